// Events of the control core: everything that its shell (the I/O layer)
// reports to it, as plain values.
#pragma once

#include "verbenahold/events.hpp"
#include "verbenahold/records.hpp"
#include "verbenahold/types.hpp"

#include <QJsonObject>
#include <QJsonValue>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace verbenahold {

// ---- table service

struct stored_row {
    std::string key;
    QJsonValue value;
    std::uint64_t revision = 0;
};

// Answer to read_rows or scan_rows. If `ok` is false, the read failed and
// `rows` is meaningless.
struct rows_read {
    std::uint64_t call = 0;
    bool ok = false;
    std::vector<stored_row> rows;
};

enum class transact_status : std::uint8_t {
    done,
    // A check failed and nothing was written.
    conflict,
    // Nothing was written: the table service is over its rate limit or down.
    refused,
    // There was no answer: the transaction may have taken effect, or may still
    // do so.
    unknown,
};

// Answer to transact_rows. `revision` is that of the rows written.
struct rows_transacted {
    std::uint64_t call = 0;
    transact_status status = transact_status::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed_keys;
};

// ---- weight store, engines and daemons

enum class weights_state : std::uint8_t { available, rate_limited, unavailable };

// Answer to request_weights.
struct weights_answered {
    std::uint64_t call = 0;
    weights_state state = weights_state::unavailable;
};

enum class order_result : std::uint8_t {
    accepted,
    // The engine has seen a higher fencing number.
    stale_fence,
    // The engine refused the order.
    refused,
    // There was no answer; the order may have taken effect.
    unknown,
};

// Answer to send_order.
struct order_answered {
    std::uint64_t call = 0;
    order_result result = order_result::unknown;
};

// Answer to read_schema_versions. `newest` is empty if the daemon did not
// answer.
struct schema_versions_read {
    host_name host;
    std::optional<int> newest;
};

// ---- operators

// PUT of a record. The reply carries the same ticket.
struct write_request {
    std::uint64_t ticket = 0;
    // {"kind","name","schema_version","record_version","spec"}.
    QJsonObject record;
    // Operation id, chosen by the operator's client. The same id is applied at
    // most once.
    std::string operation;
};

struct read_request {
    std::uint64_t ticket = 0;
    record_kind kind = record_kind::service;
    // If empty, all records of the kind are read.
    std::optional<std::string> name;
};

struct changes_request {
    std::uint64_t ticket = 0;
    // The changes with a higher version are returned.
    std::uint64_t after = 0;
};

struct status_request {
    std::uint64_t ticket = 0;
};

using control_event = std::variant<tick, drain_requested, host_list_read, rows_read, rows_transacted, weights_answered,
                                   order_answered, schema_versions_read, load_report, load_failed, stream_listing,
                                   write_request, read_request, changes_request, status_request>;

}  // namespace verbenahold
