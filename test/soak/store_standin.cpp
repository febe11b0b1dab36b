#include "store_standin.hpp"

#include "answer_text.hpp"

#include "json_field_reader.hpp"
#include "server_connection.hpp"

#include <QByteArray>

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <vector>

namespace verbenahold::soak {

namespace {

std::string query_value(const std::string& target, const std::string& name) {
    const auto found = target.find(name + '=');
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

constexpr serving::request_bounds request_limits{65'536, 16'777'216};

}  // namespace

store_standin::store_standin(io_context& loop, std::mt19937_64::result_type seed, std::string address)
    : m_loop(loop), m_random(seed), m_address(std::move(address)), m_acceptor(loop) {
    const auto endpoint = serving::endpoint_of(m_address);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    boost::asio::co_spawn(m_loop, accept(), boost::asio::detached);
}

bool store_standin::roll(double share) {
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

void store_standin::put(const std::string& table, const std::string& key, const std::string& value) {
    m_tables[table][key] = {value, ++m_version, false};
    for (auto* poll : m_polls) {
        poll->notify();
    }
}

void store_standin::remove(const std::string& table, const std::string& key) {
    m_tables[table][key] = {{}, ++m_version, true};
    for (auto* poll : m_polls) {
        poll->notify();
    }
}

void store_standin::forget_history() {
    m_oldest = m_version;
    for (auto& [name, rows] : m_tables) {
        std::erase_if(rows, [](const auto& entry) { return entry.second.removed; });
    }
}

void store_standin::take_copy() {
    m_copy = m_tables;
    m_copy_version = m_version;
}

void store_standin::return_from_copy() {
    const auto before = std::exchange(m_tables, m_copy);
    m_version = m_copy_version;
    m_oldest = 0;
    ++m_era;
    for (const std::string table : {"op", "servers"}) {
        const auto rows = before.find(table);
        if (rows == before.end()) {
            continue;
        }
        for (const auto& [key, written] : rows->second) {
            const auto copied = m_tables[table].find(key);
            const bool is_known = copied != m_tables[table].end() && copied->second.value == written.value &&
                                  copied->second.removed == written.removed;
            if (!is_known) {
                m_tables[table][key] = {written.value, ++m_version, written.removed};
            }
        }
    }
    for (auto* poll : m_polls) {
        poll->notify();
    }
}

std::string store_standin::reply(int status, const std::string& body) const {
    return answer_text(status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(m_era)}}, body);
}

awaitable<void> store_standin::accept() {
    for (;;) {
        error_code error;
        tcp::socket socket(m_loop);
        co_await m_acceptor.async_accept(socket, boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (!error) {
            socket.set_option(tcp::no_delay(true), error);
            boost::asio::co_spawn(m_loop, serve(std::make_shared<channel>(std::move(socket))), boost::asio::detached);
        } else {
            co_await pause_ms(20);
        }
    }
}

awaitable<void> store_standin::serve(std::shared_ptr<channel> open) {
    serving::request_reader reader(request_limits);
    std::array<char, 16'384> bytes{};
    open->is_refused = roll(refused_channels);
    for (;;) {
        while (reader.state() == serving::request_reader::progress::incomplete) {
            error_code error;
            const auto count = co_await open->socket.async_read_some(
                boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            reader.feed({bytes.data(), count});
        }
        if (reader.state() == serving::request_reader::progress::broken) {
            co_return;
        }
        const auto request = reader.take_request();
        reader.feed({});
        const bool closes_unanswered = roll(unanswered);
        if (roll(reset)) {
            error_code ignored;
            open->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            co_return;
        }
        co_await pause_ms(answer_ms);
        std::string text;
        if (roll(refused) || (open->is_refused && refused_channels > 0)) {
            text = reply(503, "{}");
        } else {
            text = co_await answer(request);
        }
        if (closes_unanswered) {
            co_return;
        }
        const bool written = co_await write_all(open->socket, text);
        if (!written) {
            co_return;
        }
    }
}

std::string store_standin::page(const std::string& table, std::uint64_t after, bool changes_only,
                                bool& has_rows) const {
    std::vector<std::pair<std::uint64_t, std::string>> found;
    const auto rows_of_table = m_tables.find(table);
    if (rows_of_table != m_tables.end()) {
        for (const auto& [key, kept] : rows_of_table->second) {
            if (changes_only ? kept.version <= after : kept.removed) {
                continue;
            }
            found.emplace_back(changes_only ? kept.version : 0,
                               R"({"table":")" + table + R"(","part":"","key":")" + key + R"(","value":")" +
                                   QByteArray::fromStdString(kept.value).toBase64().toStdString() + R"(","ver":)" +
                                   std::to_string(kept.version) + (kept.removed ? R"(,"deleted":true})" : "}"));
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::string rows;
    for (const auto& [version, text] : found) {
        rows += (rows.empty() ? "" : ",") + text;
    }
    has_rows = !found.empty();
    return R"({"rows":[)" + rows + R"(],"has-more":false,"ver":)" + std::to_string(m_version) +
           R"(,"server-time-ms":)" + std::to_string(static_cast<long>(now_ms())) + "}";
}

void store_standin::apply(const std::string& body) {
    const auto object = platform::parse_object(body);
    if (!object) {
        return;
    }
    platform::json_field_reader fields(*object);
    for (const auto& entry : fields.array("put")) {
        platform::json_field_reader wanted(entry.toObject());
        const auto table = wanted.text("table");
        put(table, wanted.text("key"),
            QByteArray::fromBase64(QByteArray::fromStdString(wanted.text("value"))).toStdString());
    }
    for (const auto& entry : fields.array("remove")) {
        platform::json_field_reader wanted(entry.toObject());
        const auto table = wanted.text("table");
        remove(table, wanted.text("key"));
    }
}

awaitable<std::string> store_standin::answer(const serving::http_request& request) {
    const auto table = query_value(request.target, "table");
    bool has_rows = false;
    if (request.target.starts_with("/api/rows-get")) {
        co_return reply(200, page(table, 0, false, has_rows));
    }
    if (request.target.starts_with("/api/rows-feed")) {
        const auto after = std::stoull(query_value(request.target, "after"));
        const double until = now_ms() + std::stod(query_value(request.target, "wait-ms"));
        wakeup changed(m_loop);
        m_polls.insert(&changed);
        auto body = page(table, after, true, has_rows);
        const auto era = m_era;
        const auto is_gone = [&] { return after < m_oldest || after > m_version || era != m_era; };
        while (!has_rows && !is_gone() && now_ms() < until && refused < 1) {
            co_await changed.wait_until(until);
            body = page(table, after, true, has_rows);
        }
        m_polls.erase(&changed);
        if (is_gone()) {
            co_return reply(410, "{}");
        }
        co_return reply(200, body);
    }
    if (request.target.starts_with("/api/rows-tx")) {
        apply(request.body);
        co_return reply(200, R"({"ver":)" + std::to_string(m_version) + R"(,"server-time-ms":)" +
                                 std::to_string(static_cast<long>(now_ms())) + "}");
    }
    co_return reply(404, "{}");
}

}  // namespace verbenahold::soak
