#include "member_group.hpp"

#include <cstdlib>
#include <iostream>

namespace verbenahold::testing {

namespace {

constexpr std::chrono::milliseconds step{5};
constexpr std::chrono::milliseconds link_delay{2};

}  // namespace

std::uint64_t read_seed(std::uint64_t default_seed) {
    const char* text = std::getenv("VERBENAHOLD_SEED");
    const std::uint64_t seed = text == nullptr ? default_seed : std::strtoull(text, nullptr, 10);
    std::cout << "VERBENAHOLD_SEED=" << seed << '\n';
    return seed;
}

entry_settings settings_for(std::size_t number, std::uint64_t incarnation, std::uint64_t seed) {
    const std::string host = "entry-" + std::to_string(number);
    const std::string zone = "zone-" + std::to_string(number % 3);
    const std::string address = "10.0." + std::to_string(number / 250) + '.' + std::to_string(number % 250);
    return {{host_name(host), incarnation},
            zone_name(zone),
            endpoint{address + ":4700"},
            endpoint{address + ":4701"},
            seed + number};
}

host_entry host_entry_for(const entry_settings& settings, host_state state) {
    host_entry entry;
    entry.host = settings.self.host;
    entry.zone = settings.zone;
    entry.role = host_role::entry;
    entry.state = state;
    entry.peer_endpoint = settings.peer_endpoint;
    entry.caller_endpoint = settings.caller_endpoint;
    return entry;
}

host_entry server_entry(const std::string& name, const std::string& zone, const std::string& service) {
    host_entry entry;
    entry.host = host_name(name);
    entry.zone = zone_name(zone);
    entry.role = host_role::backend;
    entry.service = service_name(service);
    entry.server_endpoint = endpoint{name + ":80"};
    return entry;
}

member_group::member_group(std::size_t count, std::uint64_t seed)
    : m_random(seed), m_daemons(count), m_trace_enabled(std::getenv("VERBENAHOLD_TRACE") != nullptr) {
    for (std::size_t number = 0; number < count; ++number) {
        m_daemons[number].settings = settings_for(number, m_incarnation, seed);
        m_number_by_address[m_daemons[number].settings.peer_endpoint.address] = number;
        m_hosts.push_back(host_entry_for(m_daemons[number].settings));
        start(number);
    }
}

void member_group::start(std::size_t number) {
    daemon& started = m_daemons[number];
    started.settings.self.incarnation = m_incarnation++;
    started.members = std::make_unique<membership>(started.settings, started.settings.seed + m_incarnation);
}

void member_group::stop(std::size_t number) {
    m_daemons[number].members.reset();
}

void member_group::pause(std::size_t number, bool paused) {
    m_daemons[number].paused = paused;
}

void member_group::put_on_side(std::size_t number, int side) {
    m_daemons[number].side = side;
}

std::size_t member_group::live_count(std::size_t number) {
    std::size_t live = 0;
    for (const member& known : at(number).members()) {
        live += known.state == member_state::alive || known.state == member_state::suspect ? 1 : 0;
    }
    return live;
}

void member_group::send(std::size_t from, std::vector<entry_command>& commands) {
    for (entry_command& command : commands) {
        auto* message = std::get_if<send_peer>(&command);
        if (message == nullptr) {
            const auto* line = std::get_if<log_change>(&command);
            if (line != nullptr && m_trace_enabled) {
                std::cout << m_now.time_since_epoch().count() << " entry-" << from << ": " << line->text << '\n';
            }
            continue;
        }
        ++m_messages_sent;
        const std::size_t to = m_number_by_address.at(message->address.address);
        const bool is_cut = m_daemons[from].side != m_daemons[to].side;
        if (is_cut || std::uniform_real_distribution<>(0, 1)(m_random) < m_loss) {
            continue;
        }
        m_queue.push({m_now + link_delay, ++m_order, to, m_daemons[from].settings.self, std::move(message->message)});
    }
    commands.clear();
}

void member_group::deliver(const delivery& next) {
    daemon& receiver = m_daemons[next.to];
    if (!receiver.members) {
        return;
    }
    if (receiver.paused) {
        delivery later = next;
        later.at = m_now + step;
        m_queue.push(std::move(later));
        return;
    }
    std::vector<entry_command> out;
    membership& members = *receiver.members;
    if (const auto* probed = std::get_if<probe>(&next.message)) {
        members.on_probe(next.from, *probed, m_now, out);
    } else if (const auto* acked = std::get_if<probe_ack>(&next.message)) {
        members.on_probe_ack(next.from, *acked, m_now, out);
    } else if (const auto* asked = std::get_if<probe_request>(&next.message)) {
        members.on_probe_request(next.from, *asked, m_now, out);
    } else if (std::holds_alternative<leave>(next.message)) {
        members.on_leave(next.from, m_now, out);
    }
    send(next.to, out);
}

void member_group::tick(std::size_t number) {
    daemon& ticked = m_daemons[number];
    if (!ticked.members || ticked.paused) {
        return;
    }
    std::vector<entry_command> out;
    if (m_now >= m_next_host_list) {
        ticked.members->on_host_list(m_hosts, m_now, out);
    }
    if (ticked.members->next_wakeup() <= m_now) {
        ticked.members->on_tick(m_now, out);
    }
    send(number, out);
}

void member_group::run_for(duration time) {
    const time_point end = m_now + time;
    for (; m_now < end; m_now += step) {
        while (!m_queue.empty() && m_queue.top().at <= m_now) {
            const delivery next = m_queue.top();
            m_queue.pop();
            deliver(next);
        }
        for (std::size_t number = 0; number < m_daemons.size(); ++number) {
            tick(number);
        }
        if (m_now >= m_next_host_list) {
            m_next_host_list = m_now + std::chrono::seconds(1);
        }
    }
}

}  // namespace verbenahold::testing
