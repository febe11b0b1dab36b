#include "block_archive.hpp"

#include "log_line.hpp"
#include "serving.pb.h"
#include "table_follower.hpp"
#include "trait_assembly.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace verbenahold::serving {

namespace {

constexpr duration check_period = std::chrono::milliseconds(250);
// Pause after a failed call; it doubles up to the maximum, since refused calls are paid for.
constexpr duration first_retry_delay = std::chrono::milliseconds(500);
constexpr duration max_retry_delay = std::chrono::seconds(8);
// The store takes rows of 65,536 bytes.
constexpr std::size_t max_saved_traits = 8'000;

std::string key_of(std::span<const request_trait> traits) {
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(digest_of(traits)));
    return text.data();
}

}  // namespace

block_archive::block_archive(gateway_state& state, std::chrono::microseconds started_unix)
    : m_state(state), m_started_unix(started_unix), m_retry_delay(first_retry_delay) {}

void block_archive::start() {
    if (m_started) {
        return;
    }
    m_started = true;
    m_state.timers.every(check_period, [this] { check(); });
    check();
}

std::chrono::milliseconds block_archive::unix_time_of(time_point at) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_started_unix + at.time_since_epoch());
}

time_point block_archive::time_of_unix(std::chrono::milliseconds unix) const {
    return time_point(std::chrono::duration_cast<duration>(unix - m_started_unix));
}

bool block_archive::is_responsible(const std::string& key) const {
    return m_state.role.is_active() &&
           m_state.daemons.is_responsible(m_state.settings.host.value, key, m_state.timers.now());
}

void block_archive::on_store_era(std::uint64_t era) {
    if (m_era && era > *m_era) {
        m_saved.clear();
    }
    m_era = std::max(m_era.value_or(era), era);
}

void block_archive::check() {
    if (m_calling || m_state.stop.has_begun() || m_state.timers.now() < m_next_call) {
        return;
    }
    if (!m_listed) {
        list({});
        return;
    }
    if (!write_next()) {
        remove_next();
    }
}

void block_archive::call(const http_request& request, std::function<void()> on_success) {
    m_calling = true;
    m_state.calls.call(m_state.settings.store_address, request, {store_call_limit, max_rows_bytes},
                       [this, on_success = std::move(on_success)](const call_result& result) {
                           m_calling = false;
                           if (!result.answer || result.answer->head.status != 200) {
                               on_failure(result.answer ? "the store refused the call" : result.failure);
                               return;
                           }
                           m_retry_delay = first_retry_delay;
                           const auto era = m_state.wire.read_store_era(*result.answer);
                           on_store_era(era);
                           // Otherwise the store has come back without the change.
                           if (era == m_era) {
                               on_success();
                           }
                       });
}

void block_archive::on_failure(std::string_view reason) {
    log_line("blocks not kept in the store").add("reason", reason).add("retry_ms", m_retry_delay).warn();
    m_next_call = m_state.timers.now() + m_retry_delay;
    m_retry_delay = std::min(m_retry_delay * 2, max_retry_delay);
}

void block_archive::list(const std::string& first_key) {
    m_calling = true;
    m_state.calls.call(m_state.settings.store_address, m_state.wire.list_rows(store_table::block_rows, first_key),
                       {store_call_limit, max_rows_bytes}, [this](const call_result& result) {
                           m_calling = false;
                           m_state.guard.run(
                               {"table", "blocks"}, [&] { on_listing(result); },
                               [&] { on_failure("the rows can't be handled"); });
                       });
}

void block_archive::on_listing(const call_result& result) {
    if (!result.answer) {
        on_failure(result.failure);
        return;
    }
    const auto page = m_state.wire.read_page(*result.answer);
    const auto* listed = std::get_if<store_page>(&page);
    if (listed == nullptr) {
        on_failure("the rows can't be read");
        return;
    }
    on_store_era(listed->position.era);
    for (const auto& row : listed->rows) {
        restore(row);
    }
    if (listed->has_more) {
        // The smallest key that is greater than the last one.
        list(listed->rows.back().key + '\0');
        return;
    }
    m_listed = true;
    m_retry_delay = first_retry_delay;
    log_line("blocks read from the store").add("rows", m_saved.size()).info();
}

void block_archive::restore(const store_row& row) {
    const auto now = m_state.timers.now();
    wire::SavedBlock saved;
    std::vector<request_trait> traits;
    if (saved.ParseFromString(row.value)) {
        traits.assign(saved.traits().begin(), saved.traits().end());
    }
    if (traits.empty() || key_of(traits) != row.key) {
        log_line("saved block unusable").add("key", row.key).add("version", row.version).warn();
        // Removed by the daemon that is responsible.
        m_saved[row.key] = {};
        return;
    }
    const auto expires = std::min(time_of_unix(std::chrono::milliseconds(saved.expires_unix_ms())), now + block_time);
    m_saved[row.key] = {saved.round(), saved.cleared(), expires + relapse_time};
    m_state.crashes.restore_block({std::move(traits), saved.round(), saved.cleared(), expires}, now);
}

bool block_archive::write_next() {
    for (const auto& block : m_state.crashes.list_blocks_to_keep(m_state.timers.now())) {
        const auto key = key_of(block.traits);
        const auto known = m_saved.find(key);
        const bool is_saved = known != m_saved.end() && std::pair(known->second.round, known->second.cleared) >=
                                                            std::pair(block.round, block.cleared);
        if (is_saved || block.traits.size() > max_saved_traits || !is_responsible(key)) {
            continue;
        }
        wire::SavedBlock saved;
        saved.mutable_traits()->Add(block.traits.begin(), block.traits.end());
        saved.set_round(block.round);
        saved.set_cleared(block.cleared);
        saved.set_expires_unix_ms(static_cast<std::uint64_t>(unix_time_of(block.expires).count()));
        call(m_state.wire.write_row(store_table::block_rows, key, saved.SerializeAsString()),
             [this, key, row = saved_row{block.round, block.cleared, block.expires + relapse_time}] {
                 m_saved[key] = row;
                 log_line("block kept in the store").add("key", key).add("round", row.round).info();
             });
        return true;
    }
    return false;
}

bool block_archive::remove_next() {
    for (const auto& [key, row] : m_saved) {
        if (m_state.timers.now() < row.ends || !is_responsible(key)) {
            continue;
        }
        call(m_state.wire.remove_row(store_table::block_rows, key), [this, key = key] { m_saved.erase(key); });
        return true;
    }
    return false;
}

}  // namespace verbenahold::serving
