// Commands of the control core: everything that it asks its shell (the I/O
// layer) to do, as plain values.
#pragma once

#include "verbenahold/commands.hpp"
#include "verbenahold/control_events.hpp"

#include <QJsonObject>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace verbenahold {

// ---- table service

// Answered by rows_read.
struct read_rows {
    std::uint64_t call = 0;
    std::vector<std::string> keys;
};

// Reads at most `limit` rows whose key begins with `prefix` and is greater than
// `after`, in key order. Answered by rows_read.
struct scan_rows {
    std::uint64_t call = 0;
    std::string prefix;
    std::string after;
    int limit = 0;
};

// Precondition of a transaction: the revision that a row must have. 0 requires
// that the row does not exist.
struct row_check {
    std::string key;
    std::uint64_t revision = 0;
};

struct row_put {
    std::string key;
    QJsonValue value;
};

// Written only if all checks hold, and then as a whole.
struct row_transaction {
    std::vector<row_check> checks;
    std::vector<row_put> puts;
    std::vector<std::string> deletes;
};

// Answered by rows_transacted.
struct transact_rows {
    std::uint64_t call = 0;
    row_transaction transaction;
};

// ---- weight store, engines and daemons

// Asks the weight store for one load of a model version. Answered by
// weights_answered.
struct request_weights {
    std::uint64_t call = 0;
    std::string model;
    std::string version;
};

enum class order_type : std::uint8_t { load_model, load_adapter, set_role };
std::string_view to_string(order_type type);

// An order names an absolute target, so sending it twice is harmless.
struct engine_order {
    order_type type = order_type::load_model;
    std::string model;
    std::string version;
    std::string adapter;
    std::string role;

    bool operator==(const engine_order&) const = default;
};

// Answered by order_answered.
struct send_order {
    std::uint64_t call = 0;
    server_name server;
    endpoint address;
    std::uint64_t fence = 0;
    engine_order order;
};

// Answered by schema_versions_read.
struct read_schema_versions {
    host_name host;
    endpoint address;
};

// ---- operators

// The answer to an operator's request.
struct operator_reply {
    std::uint64_t ticket = 0;
    int status = 0;
    QJsonObject body;
};

// poll_load and list_streams are answered by the same events as in the entry
// daemon.
using control_command =
    std::variant<read_rows, scan_rows, transact_rows, request_weights, send_order, read_schema_versions, poll_load,
                 list_streams, operator_reply, log_change, count, drained>;

}  // namespace verbenahold
