#include "attempt_record.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

attempt_record& attempt_table::insert(const daemon_id& from, const submit& request, time_point now) {
    auto added = std::make_unique<attempt_record>();
    added->request = request;
    added->caller = from;
    added->submitted = now;
    added->deadline = now + request.time_left;
    for (const std::string& token : request.generated)
        added->checksum.add(token);
    attempt_record& record = *added;
    m_records[request.attempt] = std::move(added);
    m_deadlines.emplace(record.deadline, &record);
    return record;
}

attempt_record* attempt_table::find(const attempt_id& attempt) {
    const auto found = m_records.find(attempt);
    return found == m_records.end() ? nullptr : found->second.get();
}

attempt_record* attempt_table::find_stream(std::string_view stream) {
    const auto found = m_record_by_stream.find(std::string(stream));
    return found == m_record_by_stream.end() ? nullptr : found->second;
}

void attempt_table::set_stream(attempt_record& record, std::string stream) {
    clear_stream(record);
    record.stream = std::move(stream);
    m_record_by_stream[record.stream] = &record;
}

void attempt_table::clear_stream(attempt_record& record) {
    if (!record.stream.empty())
        m_record_by_stream.erase(record.stream);
    record.stream.clear();
}

void attempt_table::end(attempt_record& record, peer_message message, time_point now) {
    m_deadlines.erase({record.deadline, &record});
    clear_stream(record);
    record.phase = attempt_phase::ended;
    record.end = std::move(message);
    // The prompt may take megabytes; an ended attempt does not need it.
    record.request.body.reset();
    m_expiry_checks.emplace(now + resend_token_retention, record.request.attempt);
    m_expiry_checks.emplace(std::max(record.deadline, now) + ended_record_retention, record.request.attempt);
}

void attempt_table::add_tombstone(attempt_id attempt, time_point now) {
    if (const auto found = m_records.find(attempt); found != m_records.end()) {
        clear_stream(*found->second);
        m_deadlines.erase({found->second->deadline, found->second.get()});
        m_records.erase(found);
    }
    m_tombstones[attempt] = now + tombstone_lifetime;
    m_expiry_checks.emplace(now + tombstone_lifetime, std::move(attempt));
}

bool attempt_table::is_tombstoned(const attempt_id& attempt) const {
    return m_tombstones.contains(attempt);
}

std::vector<attempt_id> attempt_table::find_overdue(time_point now) const {
    std::vector<attempt_id> overdue;
    for (const auto& [deadline, record] : m_deadlines) {
        if (deadline > now)
            break;
        overdue.push_back(record->request.attempt);
    }
    return overdue;
}

std::optional<time_point> attempt_table::next_deadline() const {
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

void attempt_table::expire(time_point now) {
    while (!m_expiry_checks.empty() && m_expiry_checks.begin()->first <= now) {
        const attempt_id attempt = m_expiry_checks.begin()->second;
        m_expiry_checks.erase(m_expiry_checks.begin());
        if (const auto found = m_tombstones.find(attempt); found != m_tombstones.end() && found->second <= now)
            m_tombstones.erase(found);
        attempt_record* record = find(attempt);
        if (record == nullptr || record->phase != attempt_phase::ended)
            continue;
        if (now >= record->deadline + ended_record_retention)
            m_records.erase(attempt);
        else
            record->tokens = {};
    }
}

std::vector<attempt_id> attempt_table::list_live() const {
    std::vector<attempt_id> live;
    live.reserve(m_deadlines.size());
    for (const auto& [deadline, record] : m_deadlines)
        live.push_back(record->request.attempt);
    return live;
}

}  // namespace verbenahold
