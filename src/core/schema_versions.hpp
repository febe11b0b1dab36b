// Which schema version a writer may use, and the form of a record in another
// version.
#pragma once

#include "verbenahold/events.hpp"
#include "verbenahold/records.hpp"
#include "verbenahold/types.hpp"

#include <map>
#include <span>
#include <vector>

namespace verbenahold {

// The same record in schema version `version`. Fields that `version` does not
// have are kept, so that a later rewrite in their version restores them. Fails
// if the record cannot be expressed: an account without keys has no form in
// version 1.
record_result<record> convert_schema(record value, int version);

// What live entry daemons announced to read.
class schema_versions {
public:
    // Daemons that the host list no longer has are forgotten.
    void on_host_list(std::span<const host_entry> hosts);
    void on_announced(const host_name& host, std::optional<int> newest, time_point now);
    // The highest version that all live daemons read. A daemon that never
    // announced anything counts as reading the oldest.
    [[nodiscard]] int writable() const;
    // Entry daemons whose announcement is older than announcement_age.
    [[nodiscard]] std::vector<host_entry> stale(time_point now) const;

    // A daemon is replaced within seconds, and old daemons read all older
    // versions; so a write uses announcements of the last 10 s.
    static constexpr duration announcement_age = std::chrono::seconds(10);

private:
    struct daemon {
        host_entry host;
        std::optional<int> newest;
        std::optional<time_point> asked;
    };
    std::map<host_name, daemon> m_daemons;
};

}  // namespace verbenahold
