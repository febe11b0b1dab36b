#include "client_load.hpp"

#include "answer_text.hpp"

#include "json_field_reader.hpp"
#include "server_connection.hpp"

#include <algorithm>
#include <cmath>

namespace verbenahold::soak {

namespace {

using serving::answer_parser;
using serving::field_value;

// A client waits this much longer than its time limit for an answer.
constexpr double patience_ms = 1'500;
constexpr double directory_limit_ms = 1'000;
constexpr double longest_return_ms = 3'000;
constexpr std::int64_t one_servers_memory = 315'000;
constexpr int tokens_per_event = 51;
// Of the streams that may run once, this share is long where all long prompts are.
constexpr double share_of_long_single_runs = 0.05;

// Closes the socket at a time, unless it is disarmed.
struct time_limit {
    time_limit(io_context& loop, tcp::socket& socket, double at_ms) : m_timer(loop) {
        m_timer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>((at_ms - now_ms()) * 1'000)));
        m_timer.async_wait([fired = m_fired, &socket](const error_code& error) {
            if (!error && !*fired) {
                *fired = true;
                error_code ignored;
                socket.cancel(ignored);
            }
        });
    }
    ~time_limit() { *m_fired = true; }
    time_limit(const time_limit&) = delete;
    time_limit& operator=(const time_limit&) = delete;
    time_limit(time_limit&&) = delete;
    time_limit& operator=(time_limit&&) = delete;

private:
    steady_timer m_timer;
    std::shared_ptr<bool> m_fired = std::make_shared<bool>(false);
};

double log_normal(std::mt19937_64& random, double mean, double spread) {
    return std::lognormal_distribution<double>(std::log(mean) - spread * spread / 2, spread)(random);
}

double uniform(std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace

client_load::client_load(io_context& loop, journal& notes, std::mt19937_64::result_type seed,
                         std::vector<front_address> fronts, client_habits& habits)
    : m_loop(loop), m_journal(notes), m_random(seed), m_fronts(std::move(fronts)), m_habits(habits) {
    m_run_id = std::to_string(seed % 100'000);
}

void client_load::start() {
    for (int number = 0; number < m_habits.clients; ++number) {
        boost::asio::co_spawn(m_loop, run(static_cast<std::size_t>(number), m_random()), boost::asio::detached);
    }
}

awaitable<client_load::connection_ptr> client_load::connect(const front_address& to) {
    tcp::socket socket(m_loop);
    error_code error;
    {
        const time_limit limit(m_loop, socket, now_ms() + directory_limit_ms);
        co_await socket.async_connect(serving::endpoint_of(to.front),
                                      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }
    if (error) {
        co_return nullptr;
    }
    socket.set_option(tcp::no_delay(true), error);
    auto open = std::make_shared<connection>(std::move(socket));
    open->host = to.host;
    co_return open;
}

awaitable<client_load::connection_ptr> client_load::connect_by_directory(const std::string& zone,
                                                                         std::mt19937_64& random) {
    const auto& asked = m_fronts[std::uniform_int_distribution<std::size_t>(0, m_fronts.size() - 1)(random)];
    tcp::socket socket(m_loop);
    error_code error;
    std::string body;
    {
        const time_limit limit(m_loop, socket, now_ms() + directory_limit_ms);
        co_await socket.async_connect(serving::endpoint_of(asked.directory),
                                      boost::asio::redirect_error(boost::asio::use_awaitable, error));
        const auto question =
            "GET /api/resolve?name=h.example&region=region-a&zone=" + zone + " HTTP/1.1\r\nHost: d\r\n\r\n";
        bool asked_it = false;
        if (!error) {
            asked_it = co_await write_all(socket, question);
        }
        if (!asked_it) {
            co_return nullptr;
        }
        answer_parser parser;
        parser.restart(false);
        std::array<char, 4'096> bytes{};
        auto state = answer_parser::progress::incomplete;
        while (!error && state == answer_parser::progress::incomplete) {
            const auto count = co_await socket.async_read_some(
                boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, error));
            state = parser.feed({bytes.data(), count});
        }
        body = parser.take_body();
    }
    const auto object = platform::parse_object(body);
    if (!object) {
        co_return nullptr;
    }
    platform::json_field_reader fields(*object);
    const auto addresses = fields.array("addresses");
    if (addresses.isEmpty()) {
        co_return nullptr;
    }
    const auto which = std::uniform_int_distribution<int>(0, static_cast<int>(addresses.size()) - 1)(random);
    const auto chosen = addresses.at(which).toString().toStdString();
    const auto found = std::find_if(m_fronts.begin(), m_fronts.end(),
                                    [&](const front_address& front) { return front.front == chosen; });
    if (found == m_fronts.end()) {
        co_return nullptr;
    }
    co_return co_await connect(*found);
}

std::shared_ptr<request_record> client_load::make_request(std::mt19937_64& random, const connection& open,
                                                          std::string& text) {
    auto request = std::make_shared<request_record>();
    double pick = uniform(random);
    const auto& kinds = request_kinds();
    request->kind = &kinds.back();
    for (const auto& kind : kinds) {
        if (pick < kind.share) {
            request->kind = &kind;
            break;
        }
        pick -= kind.share;
    }
    const auto& kind = *request->kind;
    std::array<char, 32> id{};
    std::snprintf(id.data(), id.size(), "%s-%06llx", m_run_id.c_str(), static_cast<unsigned long long>(++m_sent));
    request->id = id.data();
    request->host = open.host;
    request->number_on_channel = open.requests;
    request->deadline_ms = kind.deadline_ms;
    if (uniform(random) < m_habits.impatient) {
        request->deadline_ms = std::round(50 + uniform(random) * (kind.streams ? 2'000 : 250));
    }
    request->target = '/' + kind.name + "/x" + std::to_string(m_sent % 7);
    const bool second = uniform(random) < m_habits.second_account;
    request->account = second ? "tenant-2" : "tenant-1";
    const bool has_body = kind.name != "status";
    if (has_body) {
        request->body = "body of " + request->id + std::string(600, '-');
    }
    text += (has_body ? "POST " : "GET ") + request->target + " HTTP/1.1\r\nHost: " + host_header +
            "\r\nVerbenahold-Attempt-Id: " + request->id +
            "\r\nVerbenahold-Deadline-Ms: " + std::to_string(static_cast<int>(request->deadline_ms)) +
            "\r\nAuthorization: Bearer " + (second ? "key-2" : "key-1") + "\r\n";
    if (kind.prompt_tokens > 0) {
        auto tokens = static_cast<std::int64_t>(std::max(60.0, log_normal(random, kind.prompt_tokens, 0.55)));
        const double may_be_long = kind.name == "compare" ? 1 : kind.name == "once" ? share_of_long_single_runs : 0;
        if (uniform(random) < m_habits.long_prompts * may_be_long) {
            tokens = one_servers_memory + static_cast<std::int64_t>(uniform(random) * 385'000);
        }
        tokens = std::min<std::int64_t>(tokens, 700'000);
        const int events = std::max(1, static_cast<int>(log_normal(random, kind.events, 0.6)));
        const int output = std::min(events, 80) * tokens_per_event;
        text += "Verbenahold-Model: m\r\nVerbenahold-Token-Usage: " + std::to_string(tokens) + ',' +
                std::to_string(output) + "\r\nVerbenahold-Prompt-Prefix: aa" + std::to_string(m_sent % 60) + ":40,b" +
                std::to_string(m_sent) + ':' + std::to_string(tokens - 40) + "\r\n";
    }
    if (has_body) {
        text += "Content-Length: " + std::to_string(request->body.size()) + "\r\n";
    }
    text += "\r\n" + request->body;
    request->sent = now_ms();
    m_journal.requests[request->id] = request;
    ++m_open;
    return request;
}

void client_load::finish(const std::shared_ptr<request_record>& request, client_outcome outcome) {
    --m_open;
    outcome.ended = now_ms();
    request->outcome = std::move(outcome);
}

awaitable<void> client_load::read_answer(connection& open, const std::shared_ptr<request_record>& request,
                                         double leave_at, bool slowly) {
    client_outcome outcome;
    request->is_read_slowly = slowly;
    const double asked = request->is_pipelined ? now_ms() : request->sent;
    const double give_up_at = std::min(leave_at, asked + request->deadline_ms + patience_ms);
    const time_limit limit(m_loop, open.socket, give_up_at);
    open.parser.restart(false);
    auto state = open.parser.feed({});
    std::array<char, 16'384> bytes{};
    error_code error;
    while (state == answer_parser::progress::incomplete && !error) {
        if (slowly && open.parser.has_head()) {
            co_await pause_ms(120);
        }
        const auto size = slowly ? std::size_t{64} : bytes.size();
        const auto count = co_await open.socket.async_read_some(
            boost::asio::buffer(bytes.data(), size), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (now_ms() >= give_up_at && !error) {
            error = boost::asio::error::operation_aborted;
        }
        if (!error) {
            state = open.parser.feed({bytes.data(), count});
        } else if (error == boost::asio::error::eof) {
            state = open.parser.has_begun() ? open.parser.feed_end() : state;
        }
        outcome.body += open.parser.take_body();
    }
    outcome.body += open.parser.take_body();
    outcome.body_bytes = outcome.body.size();
    if (open.parser.has_head()) {
        const auto& head = open.parser.head();
        outcome.status = head.status;
        outcome.attempt_id = field_value(head.fields, "Verbenahold-Attempt-Id");
        outcome.retry_after_ms =
            1'000 * std::strtod(std::string(field_value(head.fields, "Retry-After")).c_str(), nullptr);
        outcome.signature = field_value(head.fields, "Verbenahold-Origin-Signature");
    }
    outcome.complete = state == answer_parser::progress::complete;
    outcome.gave_up = error == boost::asio::error::operation_aborted;
    outcome.channel_ended = error && !outcome.gave_up && !outcome.complete;
    outcome.channel_reset = outcome.channel_ended && error != boost::asio::error::eof;
    if (state == answer_parser::progress::broken && error != boost::asio::error::eof) {
        outcome.malformed = open.parser.fault();
    }
    open.usable = outcome.complete && !error && open.parser.keep_alive();
    if (!open.usable) {
        error_code ignored;
        open.socket.close(ignored);
    }
    finish(request, std::move(outcome));
}

awaitable<void> client_load::run(std::size_t number, std::mt19937_64::result_type seed) {
    std::mt19937_64 random(seed);
    const bool is_pinned = uniform(random) < m_habits.pinned;
    const auto& own = m_fronts[number % m_fronts.size()];
    connection_ptr open;
    const auto mean_pause = [&] {
        return 1'000.0 * m_habits.clients / (m_habits.requests_per_second * m_habits.burst);
    };
    co_await pause_ms(uniform(random) * mean_pause());
    while (!m_stopping) {
        if (!open || !open->usable || uniform(random) < m_habits.new_channel) {
            if (open && open->usable) {
                error_code ignored;
                open->socket.close(ignored);
            }
            if (is_pinned) {
                open = co_await connect(own);
            } else {
                open = co_await connect_by_directory(own.zone, random);
            }
            if (!open) {
                co_await pause_ms(100 + uniform(random) * 200);
                continue;
            }
        }
        const double started = now_ms();
        std::string text;
        std::vector<std::shared_ptr<request_record>> requests;
        const int count = uniform(random) < m_habits.pipelines ? 2 : 1;
        for (int which = 0; which < count; ++which) {
            ++open->requests;
            requests.push_back(make_request(random, *open, text));
            requests.back()->is_pipelined = which > 0;
        }
        co_await write_all(open->socket, text);
        const double leave_at = uniform(random) < m_habits.leaves ? now_ms() + uniform(random) * 800 : 1e9;
        const bool slowly = uniform(random) < m_habits.reads_slowly;
        for (const auto& request : requests) {
            if (open->usable) {
                co_await read_answer(*open, request, leave_at, slowly);
            } else {
                client_outcome unanswered;
                unanswered.channel_ended = true;
                unanswered.gave_up = requests.front()->outcome && requests.front()->outcome->gave_up;
                unanswered.channel_reset = requests.front()->outcome && requests.front()->outcome->channel_reset;
                finish(request, std::move(unanswered));
            }
        }
        const double usual_pause = std::exponential_distribution<double>(1 / mean_pause())(random);
        double pause = std::clamp(usual_pause - (now_ms() - started), 1.0, 5'000.0);
        // A caller that was refused comes back when it was told to.
        const auto& outcome = *requests.back()->outcome;
        if (outcome.status == 503 && outcome.retry_after_ms > 0) {
            pause = std::min(outcome.retry_after_ms, longest_return_ms);
        }
        co_await pause_ms(pause);
        // Bytes on a channel with no request waiting belong to no answer.
        error_code error;
        if (open->usable && open->socket.available(error) > 0) {
            std::array<char, 256> surplus{};
            const auto got = open->socket.read_some(boost::asio::buffer(surplus), error);
            if (!error && got > 0) {
                requests.back()->outcome->surplus.assign(surplus.data(), got);
            }
            open->usable = false;
        }
    }
}

}  // namespace verbenahold::soak
