#include "daemon_view.hpp"

#include <xxhash.h>
#include <algorithm>
#include <utility>

namespace verbenahold::serving {

namespace {

// How long the maximum number of senders is kept after it was reached.
constexpr duration peak_retention = std::chrono::seconds(15);

}  // namespace

std::uint64_t make_boot_id(const std::string& host, std::uint64_t started_unix_us) {
    return XXH64(host.data(), host.size(), started_unix_us);
}

bool daemon_view::take_in(const daemon_status& status, time_point heard_at, bool is_relayed) {
    const auto [found, inserted] = m_alive.try_emplace(status.name);
    auto& known = found->second;
    if (!inserted && heard_at < known.last_heard) {
        return false;
    }
    const bool is_new = known.status.boot != status.boot;
    if (!inserted && is_new) {
        m_replaced_boots.push_back(known.status.boot);
    }
    if (inserted || is_new || known.status.active != status.active || known.status.shares_work != status.shares_work) {
        ++m_revision;
    }
    known = {status, heard_at, is_relayed};
    m_records[status.name] = {status.name, status.peer_address, status.zone, status.cores};
    return is_new;
}

void daemon_view::on_record(const daemon_record& record) {
    // A heartbeat says more than the row, and is newer.
    if (!m_alive.contains(record.name)) {
        m_records[record.name] = record;
        ++m_revision;
    }
}

bool daemon_view::on_status(const daemon_status& status, time_point now) {
    return take_in(status, now, false);
}

bool daemon_view::on_relayed_status(const daemon_status& status, time_point heard_at) {
    return take_in(status, heard_at, true);
}

void daemon_view::on_leaving(const std::string& name) {
    const auto found = m_alive.find(name);
    if (found != m_alive.end()) {
        found->second.status.accepting = false;
    }
}

std::vector<std::uint64_t> daemon_view::remove_dead(time_point now) {
    auto dead = std::exchange(m_replaced_boots, {});
    std::erase_if(m_alive, [&](const auto& entry) {
        const auto timeout = entry.second.status.shares_work ? daemon_timeout : standby_timeout;
        if (now - entry.second.last_heard < timeout) {
            return false;
        }
        ++m_revision;
        dead.push_back(entry.second.status.boot);
        return true;
    });
    return dead;
}

std::vector<daemon_status> daemon_view::alive() const {
    std::vector<daemon_status> statuses;
    for (const auto& [name, entry] : m_alive) {
        statuses.push_back(entry.status);
    }
    return statuses;
}

bool daemon_view::is_store_reader(const std::string& own_name, time_point now) const {
    // Daemons are ranked by the hash of their names, which spreads the readers over
    // zones.
    const auto rank_of = [](const std::string& name) { return XXH64(name.data(), name.size(), 0); };
    const auto own_rank = rank_of(own_name);
    std::size_t lower_ranked = 0;
    for (const auto& [name, known] : m_alive) {
        const bool is_candidate =
            known.status.active && known.status.store_in_reach && now - known.last_heard < store_reader_timeout;
        lower_ranked += is_candidate && rank_of(name) < own_rank ? 1 : 0;
    }
    return lower_ranked < store_reader_count;
}

bool daemon_view::is_responsible(const std::string& own_name, std::string_view subject, time_point now) const {
    const auto score_of = [&](const std::string& name) {
        return XXH64(subject.data(), subject.size(), XXH64(name.data(), name.size(), 0));
    };
    const auto own_score = score_of(own_name);
    return std::none_of(m_alive.begin(), m_alive.end(), [&](const auto& entry) {
        const auto& [name, known] = entry;
        return known.status.active && known.status.accepting && now - known.last_heard < store_reader_timeout &&
               score_of(name) > own_score;
    });
}

std::vector<std::uint64_t> daemon_view::sharing_boots() const {
    std::vector<std::uint64_t> boots;
    for (const auto& [name, entry] : m_alive) {
        if (entry.status.shares_work) {
            boots.push_back(entry.status.boot);
        }
    }
    return boots;
}

int daemon_view::senders() const {
    return 1 + static_cast<int>(std::count_if(m_alive.begin(), m_alive.end(),
                                              [](const auto& entry) { return entry.second.status.shares_work; }));
}

int daemon_view::recent_max_senders(time_point now) {
    if (senders() >= m_peak || now - m_peak_at > peak_retention) {
        m_peak = senders();
        m_peak_at = now;
    }
    return m_peak;
}

}  // namespace verbenahold::serving
