// Choice of the schema version for writing records, and conversion of records
// between schema versions.
#pragma once

#include "verbenahold/events.hpp"
#include "verbenahold/records.hpp"
#include "verbenahold/types.hpp"

#include <map>
#include <span>
#include <vector>

namespace verbenahold {

// Converts a record to schema version `version`. Fields that `version` does not
// define are kept, so that converting back restores them. Fails if the record has no
// valid form in `version`: version 1 has no accounts without keys.
record_result<record> convert_schema(record value, int version);

// The newest schema version that each listed entry daemon can read, as announced.
class schema_versions {
public:
    // Forgets daemons that are not in the host list.
    void on_host_list(std::span<const host_entry> hosts);
    // `newest` is empty if the daemon could not be asked.
    void on_announced(const host_name& host, std::optional<int> newest, time_point now);
    // The highest version that all listed daemons can read. A daemon without an
    // announcement counts as reading only the oldest.
    [[nodiscard]] int max_writable_version() const;
    // Entry daemons that were not asked within max_announcement_age.
    [[nodiscard]] std::vector<host_entry> daemons_to_ask(time_point now) const;

    // A write asks again daemons whose announcement is older than this, because a
    // daemon can be replaced by one of another version within seconds. Every daemon
    // also reads all versions older than its newest.
    static constexpr duration max_announcement_age = std::chrono::seconds(10);

private:
    struct daemon {
        host_entry host;
        std::optional<int> newest;
        std::optional<time_point> asked_at;
    };
    std::map<host_name, daemon> m_daemons;
};

}  // namespace verbenahold
