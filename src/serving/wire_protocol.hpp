// What the serving layer needs translated between its own types and the words
// of the platform that it runs on. An implementation decides nothing.
#pragma once

#include "desired_state.hpp"
#include "http_types.hpp"
#include "server_registry.hpp"
#include "server_report.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenahold::serving {

// A caller's request, decoded. Fields that callers may not set are left out of
// `request`.
struct caller_request {
    http_request request;
    std::string host;
    // Names this try of the caller; empty if it sent none.
    std::string attempt_id;
    std::string api_key;
    // How long the caller waits.
    std::optional<duration> time_limit;
    // Last event of the stream that the caller has.
    std::optional<std::int64_t> last_event_id;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_output_tokens = 0;
};

// What the serving layer adds to a request for one server.
struct forwarding {
    server_name server;
    duration time_left{};
    std::optional<account_name> account;
    std::optional<int> priority;
    std::optional<std::int64_t> last_event_id;
    // Addresses of servers that help to read, with the memory reserved there.
    struct helper {
        std::string address;
        std::string reservation;
    };
    std::vector<helper> helpers;
};

// The head of a server's answer, decoded.
struct server_answer {
    // The server states that it did not run the request and never will.
    bool not_executed = false;
    // Another server has the address now.
    bool wrong_server = false;
    // The answer bears the server's proof.
    bool proved = false;
    // The try of the caller that the answer belongs to; empty if not said.
    std::string attempt_id;
    // The server at fault, by id or address, where the answer names it.
    std::string server_at_fault;
};

// Where callers ask to connect for a host.
struct locate_query {
    std::string host;
    zone_name zone;
};

enum class store_table { operator_rows, server_rows, daemon_rows };

struct store_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
};

struct store_page {
    std::vector<store_row> rows;
    // Version of the newest transaction.
    std::uint64_t version = 0;
    bool has_more = false;
};

// Why the store did not do what was asked.
enum class store_fault {
    // Nothing was done: it is down, too busy, or turns this daemon away.
    unavailable,
    // The history that was asked for is gone.
    history_gone,
    // The answer makes no sense.
    malformed,
};

// What an operator's row says.
struct evacuation {
    zone_name zone;
};

class wire_protocol {
public:
    wire_protocol() = default;
    virtual ~wire_protocol() = default;
    wire_protocol(const wire_protocol&) = delete;
    wire_protocol& operator=(const wire_protocol&) = delete;
    wire_protocol(wire_protocol&&) = delete;
    wire_protocol& operator=(wire_protocol&&) = delete;

    // Callers and backend servers.
    [[nodiscard]] virtual caller_request read_request(http_request request) const = 0;
    [[nodiscard]] virtual http_request server_request(const caller_request& request, const forwarding& added) const = 0;
    [[nodiscard]] virtual server_answer read_answer(const http_answer_head& head) const = 0;
    // Fields of an answer that this daemon makes itself.
    [[nodiscard]] virtual header_fields own_answer_fields(const caller_request& request,
                                                          std::optional<duration> retry_after) const = 0;

    // Reservations of memory at a model engine.
    [[nodiscard]] virtual http_request reserve_memory(std::string_view reservation, std::int64_t tokens,
                                                      duration hold) const = 0;
    [[nodiscard]] virtual http_request release_memory(std::string_view reservation) const = 0;

    // The load that a model engine tells; nothing if the answer makes no sense.
    [[nodiscard]] virtual http_request ask_load() const = 0;
    [[nodiscard]] virtual std::optional<server_report> read_load(const server_name& server,
                                                                 const http_answer& answer) const = 0;

    // The directory and the platform's checks.
    [[nodiscard]] virtual std::optional<locate_query> read_locate(std::string_view target) const = 0;
    [[nodiscard]] virtual http_answer locate_answer(std::span<const std::string> addresses,
                                                    duration lifetime) const = 0;
    [[nodiscard]] virtual bool is_readiness_check(std::string_view target) const = 0;

    // The metadata store. A page holds rows from `first_key` on.
    [[nodiscard]] virtual http_request list_rows(store_table table, std::string_view first_key) const = 0;
    [[nodiscard]] virtual http_request await_rows(store_table table, std::uint64_t after, duration wait) const = 0;
    [[nodiscard]] virtual http_request write_row(store_table table, std::string_view key,
                                                 std::string_view value) const = 0;
    [[nodiscard]] virtual http_request remove_row(store_table table, std::string_view key) const = 0;
    [[nodiscard]] virtual std::variant<store_page, store_fault> read_page(const http_answer& answer) const = 0;

    // Rows of operators and servers; nothing for a row that can't be used.
    [[nodiscard]] virtual std::optional<desired_state> read_desired_state(const store_row& row) const = 0;
    [[nodiscard]] virtual std::optional<evacuation> read_evacuation(std::string_view key) const = 0;
    [[nodiscard]] virtual std::optional<server_entry> read_server(const store_row& row) const = 0;
};

}  // namespace verbenahold::serving
