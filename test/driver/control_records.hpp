// Sample records for the tests of the control process.
#pragma once

#include "verbenahold/records.hpp"

#include <string>

namespace verbenahold::testing {

inline record zone_record(const std::string& state, std::uint64_t record_version = 0) {
    return {{record_kind::availability_zone, "zone-a"},
            newest_schema_version,
            record_version,
            {{"state", QString::fromStdString(state)}}};
}

inline record service_record(const std::string& version, int max_unavailable, std::uint64_t record_version = 0) {
    return {{record_kind::service, "shade-llm"},
            newest_schema_version,
            record_version,
            {{"type", "model"},
             {"model", "shade"},
             {"model_version", QString::fromStdString(version)},
             {"max_unavailable", max_unavailable}}};
}

}  // namespace verbenahold::testing
