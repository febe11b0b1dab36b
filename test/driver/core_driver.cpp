#include "core_driver.hpp"

#include "member_group.hpp"
#include "token_text.hpp"

#include <QJsonArray>

#include <cstdlib>
#include <iostream>

namespace verbenahold::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds link_delay{2};
constexpr milliseconds server_delay{1};
constexpr milliseconds table_delay{10};
constexpr seconds lost_answer_delay{2};
constexpr milliseconds service_time{20};
constexpr milliseconds engine_step{10};
// Minimum time until the next tick.
constexpr milliseconds shortest_tick{1};
// A server in a zone that has been out for longer must get no new work.
constexpr seconds zone_out_limit{3};
// Allowed after the deadline, for the way of the answer to the caller.
constexpr milliseconds deadline_slack{200};

const std::string key_hash(64, 'a');

QJsonObject service_spec_of(const char* type, int cold_capacity) {
    return {{"type", type}, {"model", "shade"}, {"cold_capacity", cold_capacity}, {"warm_capacity", 16}};
}

}  // namespace

core_driver::core_driver(driver_options options)
    : m_options(options), m_random(options.seed), m_daemons(options.daemons) {
    std::vector<host_entry> hosts;
    for (std::size_t number = 0; number < options.daemons; ++number) {
        m_daemons[number].settings = settings_for(number, 1, options.seed);
        m_by_address[m_daemons[number].settings.peer_endpoint.address] = number;
        hosts.push_back(host_entry_for(m_daemons[number].settings));
    }
    const auto add_server = [&](const std::string& name, std::size_t number, const char* service) {
        hosts.push_back(server_entry(name, "zone-" + std::to_string(number % 3), service));
        m_server_zones[server_name(name)] = hosts.back().zone;
    };
    for (std::size_t number = 0; number < options.engines; ++number) {
        const std::string name = "engine-" + std::to_string(number);
        add_server(name, number, model_service);
        m_engine_index[server_name(name)] = number;
        const auto answer = [this](const daemon_id& to, entry_event event) {
            deliver_later(to, server_delay, std::move(event));
        };
        m_engines.push_back(std::make_unique<virtual_engine>(server_name(name), options.engine, answer));
    }
    for (std::size_t number = 0; number < options.services; ++number) {
        add_server("shop-" + std::to_string(number), number, plain_service);
    }
    m_platform.set_hosts(std::move(hosts), m_now - seconds(10));
    m_platform.commit(record_kind::service, model_service, service_spec_of("model", options.engine.cold_capacity),
                      m_now);
    m_platform.commit(record_kind::service, plain_service, service_spec_of("plain", 4), m_now);
    m_platform.commit(record_kind::client_account, "hortus",
                      {{"key_hashes", QJsonArray{QString::fromStdString(key_hash)}},
                       {"tokens_per_second", 1e6},
                       {"burst_tokens", 1e7},
                       {"weight", 1}},
                      m_now);
    for (std::size_t number = 0; number < options.daemons; ++number) {
        start(number);
    }
    advance_engines();
}

// ---- time

void core_driver::at(time_point when, std::function<void()> run) {
    m_queue.push({when, ++m_last_order, std::move(run)});
}

void core_driver::run_for(duration time) {
    const time_point end = m_now + time;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const action next = m_queue.top();
        m_queue.pop();
        m_now = std::max(m_now, next.at);
        next.run();
    }
    m_now = end;
    check_deadlines();
}

void core_driver::advance_engines() {
    for (const auto& engine : m_engines) {
        engine->advance(m_now);
    }
    if (!m_engines.empty()) {
        at(m_now + engine_step, [this] { advance_engines(); });
    }
}

// ---- daemons

void core_driver::start(std::size_t number) {
    daemon& started = m_daemons[number];
    started.settings.self.incarnation = m_incarnation++;
    started.settings.seed = m_random();
    started.core = std::make_unique<entry_core>(started.settings);
    started.waiting.clear();
    started.next_tick = time_point::max();
    started.config_version = 0;
    deliver(number, tick{});
    read_hosts(number);
}

void core_driver::stop(std::size_t number) {
    m_daemons[number].core.reset();
    m_daemons[number].paused = false;
    for (auto& [id, open] : m_tickets) {
        // The callers' connections end with the process.
        open.open = open.open && open.daemon != number;
    }
}

void core_driver::restart(std::size_t number) {
    stop(number);
    start(number);
}

void core_driver::pause(std::size_t number, bool paused) {
    daemon& changed = m_daemons[number];
    changed.paused = paused;
    if (paused) {
        return;
    }
    for (const entry_event& event : std::exchange(changed.waiting, {})) {
        deliver(number, event);
    }
    changed.next_tick = time_point::max();
    schedule_tick(number);
}

void core_driver::deliver(std::size_t number, const entry_event& event) {
    daemon& receiver = m_daemons[number];
    if (!receiver.core) {
        return;
    }
    if (receiver.paused) {
        receiver.waiting.push_back(event);
        return;
    }
    std::vector<entry_command> out;
    receiver.core->handle(event, m_now, out);
    const std::uint64_t version = receiver.core->read_figures().config_version;
    if (version < receiver.config_version) {
        add_violation("configuration went back on " + to_string(receiver.settings.self));
    }
    receiver.config_version = version;
    for (const entry_command& command : out) {
        run(number, command);
    }
    schedule_tick(number);
}

void core_driver::deliver_later(const daemon_id& to, duration delay, entry_event event) {
    at(m_now + delay, [this, to, event = std::move(event)] {
        for (std::size_t number = 0; number < m_daemons.size(); ++number) {
            if (m_daemons[number].settings.self == to) {
                deliver(number, event);
            }
        }
    });
}

void core_driver::schedule_tick(std::size_t number) {
    daemon& scheduled = m_daemons[number];
    const auto wakeup = scheduled.core->next_wakeup();
    if (!wakeup || scheduled.paused) {
        return;
    }
    const time_point when = std::max(*wakeup, m_now + shortest_tick);
    if (when >= scheduled.next_tick) {
        return;
    }
    scheduled.next_tick = when;
    at(when, [this, number, when, self = scheduled.settings.self] {
        daemon& ticked = m_daemons[number];
        if (ticked.settings.self != self || ticked.next_tick != when || ticked.paused) {
            return;
        }
        ticked.next_tick = time_point::max();
        deliver(number, tick{});
    });
}

void core_driver::read_hosts(std::size_t number) {
    const daemon_id self = m_daemons[number].settings.self;
    if (!m_platform.host_list_is_down) {
        deliver(number, host_list_read{m_platform.hosts_at(m_now)});
    }
    at(m_now + seconds(1), [this, number, self] {
        if (m_daemons[number].core && m_daemons[number].settings.self == self) {
            read_hosts(number);
        }
    });
}

entry_core::figures core_driver::figures(std::size_t number) const {
    return m_daemons[number].core->read_figures();
}

void core_driver::set_zone(const std::string& zone, const char* state) {
    m_platform.commit(record_kind::availability_zone, zone, {{"state", state}}, m_now);
}

// ---- commands

void core_driver::send(std::size_t number, const send_peer& command) {
    const double control_bytes = estimated_control_message_bytes(command.message);
    m_control_bytes += control_bytes;
    m_control_messages += control_bytes > 0 ? 1 : 0;
    const std::size_t to = m_by_address.at(command.address.address);
    std::uniform_real_distribution<> chance(0, 1);
    const double loss = control_bytes > 0 ? m_faults.loss : std::max(m_faults.loss, m_faults.work_loss);
    if (m_daemons[number].side != m_daemons[to].side || chance(m_random) < loss) {
        return;
    }
    const int copies = chance(m_random) < m_faults.duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const duration extra(
            static_cast<std::int64_t>(chance(m_random) * static_cast<double>(m_faults.jitter.count())));
        const peer_message_received event{m_daemons[number].settings.self, command.message};
        at(m_now + link_delay + extra, [this, to, event] { deliver(to, event); });
    }
}

void core_driver::check_new_work(const server_name& server) {
    const zone_name& zone = m_server_zones[server];
    const auto out = m_platform.out_since(zone);
    if (out && m_now - *out > zone_out_limit) {
        add_violation("new work on " + server.value + " in a zone that is out");
    }
}

virtual_engine* core_driver::find_engine(const server_name& server) {
    const auto found = m_engine_index.find(server);
    return found == m_engine_index.end() ? nullptr : m_engines[found->second].get();
}

void core_driver::start_stream(const daemon_id& from, virtual_engine& engine, const open_stream& command) {
    const std::uint64_t before = engine.cold_overloads();
    engine.on(from, command, m_now);
    if (engine.cold_overloads() == before) {
        return;
    }
    std::string text = command.server.value + " was given more than it carries cold:";
    for (const auto& [id, stream] : engine.model().streams()) {
        text += stream.is_active() ? ' ' + id : "";
    }
    add_violation(text);
}

void core_driver::call(std::size_t number, const call_service& command) {
    check_new_work(command.server);
    const daemon_id caller = m_daemons[number].settings.self;
    at(m_now + service_time, [this, caller, command] {
        if (!command.idempotent) {
            ++m_executions[command.idempotency_key];
        }
        deliver_later(caller, server_delay,
                      service_replied{command.server, command.attempt, 200, "text/plain", "done"});
    });
}

void core_driver::run(std::size_t number, const entry_command& command) {
    const daemon_id self = m_daemons[number].settings.self;
    const auto on_server = [&](const auto& sent) {
        using sent_type = std::decay_t<decltype(sent)>;
        at(m_now + server_delay, [this, self, sent] {
            virtual_engine* engine = find_engine(sent.server);
            if (engine == nullptr) {
                if constexpr (std::is_same_v<sent_type, poll_load>) {
                    load_report report;
                    report.server = sent.server;
                    report.incarnation = 1;
                    deliver_later(self, server_delay, report);
                }
            } else if constexpr (std::is_same_v<sent_type, open_stream>) {
                check_new_work(sent.server);
                start_stream(self, *engine, sent);
            } else if constexpr (std::is_same_v<sent_type, reopen_stream>) {
                engine->on(self, sent);
            } else if constexpr (std::is_same_v<sent_type, cancel_stream> ||
                                 std::is_same_v<sent_type, release_memory>) {
                engine->on(sent);
            } else {
                engine->on(self, sent, m_now);
            }
        });
    };
    const auto on_table = [&](table_operation operation, const entry_event& answer) {
        deliver_later(self, table_delay, m_platform.table_is_down ? entry_event(table_failed{operation}) : answer);
    };
    if (const auto* sent = std::get_if<send_peer>(&command)) {
        send(number, *sent);
    } else if (const auto* called = std::get_if<call_service>(&command)) {
        call(number, *called);
    } else if (const auto* opened = std::get_if<open_stream>(&command)) {
        on_server(*opened);
    } else if (const auto* reopened = std::get_if<reopen_stream>(&command)) {
        on_server(*reopened);
    } else if (const auto* canceled = std::get_if<cancel_stream>(&command)) {
        on_server(*canceled);
    } else if (const auto* polled = std::get_if<poll_load>(&command)) {
        on_server(*polled);
    } else if (const auto* listed = std::get_if<list_streams>(&command)) {
        on_server(*listed);
    } else if (const auto* reserved = std::get_if<reserve_memory>(&command)) {
        on_server(*reserved);
    } else if (const auto* released = std::get_if<release_memory>(&command)) {
        on_server(*released);
    } else if (const auto* tokens = std::get_if<reply_tokens>(&command)) {
        take_tokens(*tokens);
    } else if (const auto* finished = std::get_if<reply_finished>(&command)) {
        const auto answer = m_tickets.find(finished->ticket);
        if (answer != m_tickets.end() && answer->second.tokens != static_cast<std::uint64_t>(finished->output_tokens)) {
            add_violation("an answer was declared whole with tokens missing");
        }
        finish(finished->ticket);
    } else if (const auto* replied = std::get_if<reply_service>(&command)) {
        finish(replied->ticket);
    } else if (const auto* refused_reply = std::get_if<reply_refused>(&command)) {
        refuse(*refused_reply);
    } else if (std::holds_alternative<read_head>(command)) {
        on_table(table_operation::read_head, table_head_read{m_platform.head()});
    } else if (const auto* changes = std::get_if<read_changes>(&command)) {
        on_table(table_operation::read_changes, table_changes_read{m_platform.changes_after(changes->after_version)});
    } else if (const auto* claimed = std::get_if<claim_key>(&command)) {
        const bool lost = m_platform.lost_answers > 0 && m_platform.lost_answers-- > 0;
        deliver_later(self, lost ? duration(lost_answer_delay) : duration(table_delay),
                      m_platform.claim(self, claimed->key, claimed->body_hash));
    } else if (const auto* outcome = std::get_if<record_outcome>(&command)) {
        m_platform.record_outcome(outcome->key, outcome->outcome);
    } else if (const auto* line = std::get_if<log_change>(&command)) {
        if (std::getenv("VERBENAHOLD_TRACE") != nullptr) {
            std::cout << m_now.time_since_epoch().count() << ' ' << to_string(self) << ": " << line->text << '\n';
        }
    }
}

// ---- callers

std::uint64_t core_driver::send_completion(std::size_t number, const std::string& prompt, std::int64_t max_tokens,
                                           duration deadline) {
    caller_request request;
    request.ticket = ++m_last_ticket;
    request.service = service_name(model_service);
    request.key_hash = key_hash;
    request.body = std::make_shared<const std::string>(prompt);
    request.max_tokens = max_tokens;
    request.deadline = deadline;
    m_tickets[request.ticket] = {number, standins::hash_prompt(prompt), "", m_now + deadline, 0, true};
    deliver(number, request);
    return request.ticket;
}

std::uint64_t core_driver::send_order(std::size_t number, const std::string& key, duration deadline) {
    caller_request request;
    request.ticket = ++m_last_ticket;
    request.kind = call_kind::plain;
    request.service = service_name(plain_service);
    request.key_hash = key_hash;
    request.body = std::make_shared<const std::string>("order " + key);
    request.method = "POST";
    request.path = "/v1/orders";
    request.idempotency_key = key;
    request.idempotent = false;
    request.deadline = deadline;
    m_tickets[request.ticket] = {number, 0, key, m_now + deadline, 0, true};
    deliver(number, request);
    return request.ticket;
}

void core_driver::take_tokens(const reply_tokens& reply) {
    ticket& answer = m_tickets[reply.ticket];
    if (reply.first_index != answer.tokens) {
        add_violation("tokens of an answer have a gap or come twice");
    }
    for (const std::string& token : reply.tokens) {
        if (token != standins::token_text(answer.prompt_hash, answer.tokens++)) {
            add_violation("a token belongs to another answer or place");
        }
    }
}

void core_driver::finish(std::uint64_t number) {
    ticket& answer = m_tickets[number];
    if (answer.open) {
        answer.open = false;
        ++m_answered;
    }
}

void core_driver::refuse(const reply_refused& reply) {
    ticket& answer = m_tickets[reply.ticket];
    answer.open = false;
    ++m_refused[reply.code];
    bool ran = !answer.key.empty() && executions(answer.key) > 0;
    for (const auto& engine : m_engines) {
        ran = ran || (answer.key.empty() && engine->prompts_run().contains(answer.prompt_hash));
    }
    if (reply.ran == ran_state::no && ran) {
        add_violation("a refusal says 'ran: no' of a request that ran: " + reply.message);
    }
}

int core_driver::executions(const std::string& key) const {
    const auto found = m_executions.find(key);
    return found == m_executions.end() ? 0 : found->second;
}

// ---- checks

void core_driver::add_violation(const std::string& text) {
    m_violations.push_back(std::to_string(m_now.time_since_epoch().count()) + " us: " + text);
}

void core_driver::check_deadlines() {
    for (auto& [number, open] : m_tickets) {
        const bool is_excused = m_daemons[open.daemon].paused;
        if (open.open && !is_excused && m_now > open.deadline + deadline_slack) {
            open.open = false;
            add_violation("ticket " + std::to_string(number) + " is open past its deadline");
        }
    }
}

std::vector<std::string> core_driver::violations(bool at_rest) {
    for (const auto& [key, times] : m_executions) {
        if (times > 1) {
            add_violation("order " + key + " ran " + std::to_string(times) + " times");
        }
    }
    for (const auto& [server, number] : m_engine_index) {
        const virtual_engine& engine = *m_engines[number];
        if (at_rest && engine.model().kv_used() != 0) {
            add_violation(server.value + " still holds KV tokens: " + std::to_string(engine.model().kv_used()));
        }
    }
    return m_violations;
}

}  // namespace verbenahold::testing
