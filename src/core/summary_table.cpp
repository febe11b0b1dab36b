#include "summary_table.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

bool has_entry(const owner_summary& summary, const service_name& service, const zone_name& zone) {
    return std::any_of(summary.entries.begin(), summary.entries.end(),
                       [&](const headroom& room) { return room.service == service && room.zone == zone; });
}

}  // namespace

void summary_table::on_summary(const daemon_id& from, const owner_summary& summary, time_point now) {
    latest_summary& latest = m_latest[from.host];
    const auto known = std::pair(latest.incarnation, latest.sequence);
    if (std::pair(from.incarnation, summary.sequence) <= known) {
        return;
    }
    latest.incarnation = from.incarnation;
    latest.sequence = summary.sequence;
    for (const auto& [service, zone] : latest.keys) {
        if (!has_entry(summary, service, zone)) {
            remove_row(from.host, service, zone);
        }
    }
    latest.keys.clear();
    for (const headroom& room : summary.entries) {
        latest.keys.emplace_back(room.service, room.zone);
        row* target = find_row(from.host, room.service, room.zone);
        if (target == nullptr) {
            target = &m_rows[room.service].emplace_back();
        }
        *target = row{from, room, now};
        target->zone_index = find_or_add_zone(room.zone);
    }
}

void summary_table::forget(const daemon_id& daemon) {
    const auto latest = m_latest.find(daemon.host);
    if (latest == m_latest.end() || latest->second.incarnation != daemon.incarnation) {
        return;
    }
    for (const auto& [service, zone] : latest->second.keys) {
        remove_row(daemon.host, service, zone);
    }
    m_latest.erase(latest);
}

summary_table::row* summary_table::find_row(const host_name& host, const service_name& service, const zone_name& zone) {
    const auto rows = m_rows.find(service);
    if (rows == m_rows.end()) {
        return nullptr;
    }
    const auto found = std::find_if(rows->second.begin(), rows->second.end(), [&](const row& candidate) {
        return candidate.owner.host == host && candidate.room.zone == zone;
    });
    return found == rows->second.end() ? nullptr : &*found;
}

void summary_table::remove_row(const host_name& host, const service_name& service, const zone_name& zone) {
    const row* found = find_row(host, service, zone);
    if (found == nullptr) {
        return;
    }
    std::vector<row>& rows = m_rows[service];
    rows.erase(rows.begin() + (found - rows.data()));
    if (rows.empty()) {
        m_rows.erase(service);
    }
}

std::size_t summary_table::find_or_add_zone(const zone_name& zone) {
    const auto found = std::find(m_zones.begin(), m_zones.end(), zone);
    if (found != m_zones.end()) {
        return static_cast<std::size_t>(found - m_zones.begin());
    }
    m_zones.push_back(zone);
    return m_zones.size() - 1;
}

void summary_table::record_sent(const daemon_id& to, const service_name& service, const zone_name& zone,
                                std::int64_t tokens, length_class length) {
    row* sent_to = find_row(to.host, service, zone);
    if (sent_to == nullptr || sent_to->owner != to) {
        return;
    }
    ++sent_to->requests_sent_since;
    sent_to->tokens_sent_since += tokens;
    if (length == length_class::long_prompt || length == length_class::very_long_prompt) {
        sent_to->long_tokens_sent_since += tokens;
    }
}

std::span<const summary_table::row> summary_table::rows(const service_name& service) const {
    const auto found = m_rows.find(service);
    if (found == m_rows.end()) {
        return {};
    }
    return found->second;
}

std::span<const zone_name> summary_table::zones() const {
    return m_zones;
}

}  // namespace verbenahold
