// Tests lists of the store's tables. Guards against changes that are missed.
#include "serving_rig.hpp"

#include "table_follower.hpp"

#include <catch2/catch.hpp>

#include <QByteArray>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

// An event loop with what connections need, and a scripted peer.
struct call_rig {
    explicit call_rig(scripted_server::handler answer) : server(loop, std::move(answer)) {}

    bool run_until(const std::function<bool()>& condition) {
        const auto deadline = std::chrono::steady_clock::now() + 3s;
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            loop.run_one_for(5ms);
        }
        return condition();
    }

    boost::asio::io_context loop;
    metrics counters;
    handler_guard guard{counters};
    loop_timers timers{loop, guard};
    scripted_server server;
};

std::string row_text(const std::string& key, int version) {
    return R"({"table":"servers","part":"","key":")" + key + R"(","value":")" +
           QByteArray::fromStdString(std::to_string(version)).toBase64().toStdString() + R"(","ver":)" +
           std::to_string(version) + "}";
}

std::string page_text(const std::string& rows, bool has_more, int version) {
    const auto body = R"({"rows":[)" + rows + R"(],"has-more":)" + (has_more ? "true" : "false") + R"(,"ver":)" +
                      std::to_string(version) + R"(,"server-time-ms":1})";
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

}  // namespace

TEST_CASE("a row that changes between two pages of a list is not missed") {
    std::string followed_from;
    call_rig rig([&](const http_request& request, const session_pointer& session) {
        if (request.target.starts_with("/api/rows-feed")) {
            if (followed_from.empty()) {
                followed_from = request.target;
                // Row a changed to version 6 before the second page was read.
                const bool asks_early = request.target.find("after=5&") != std::string::npos;
                session->write(page_text(asks_early ? row_text("a", 6) : "", false, 7));
            }
        } else if (request.target.find("from=") == std::string::npos) {
            session->write(page_text(row_text("a", 3) + "," + row_text("b", 4), true, 5));
        } else {
            session->write(page_text(row_text("b", 4) + "," + row_text("c", 7), false, 7));
        }
    });
    const platform::platform_protocol protocol;
    http_client calls(rig.loop, rig.timers);
    std::map<std::string, std::uint64_t> seen;
    const std::string address = rig.server.address();
    table_follower table(store_table::server_rows, address, protocol, calls, rig.timers,
                         [&](const auto& rows, const auto&) {
                             seen.clear();
                             for (const auto& [key, row] : rows) {
                                 seen[key] = row.version;
                             }
                         });
    table.start(0ms);
    CHECK(rig.run_until([&] { return seen["a"] == 6 && seen["c"] == 7 && table.version() == 7; }));
    calls.abandon_all();
}
