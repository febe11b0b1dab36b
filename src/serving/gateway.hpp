// One serving daemon: listens for callers, the platform and other daemons,
// follows the desired state and the list of servers, and shuts down gracefully.
#pragma once

#include "block_archive.hpp"
#include "gateway_state.hpp"
#include "peer_link.hpp"
#include "presence.hpp"
#include "report_poller.hpp"
#include "service_listener.hpp"
#include "table_follower.hpp"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace verbenahold::serving {

class front_session;

class gateway {
public:
    // `started_unix_us` is the time of day at the start, in microseconds.
    // `read_again` reads the settings anew for a reload; if it is empty, settings
    // are never reloaded.
    gateway(boost::asio::io_context& loop, const serving_settings& settings, const wire_protocol& protocol,
            std::uint64_t started_unix_us, std::function<settings_reading()> read_again = {});
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    gateway(gateway&&) = delete;
    gateway& operator=(gateway&&) = delete;

    // Opens all listeners. False, with the reason in `fault`, if one fails.
    bool start(std::string& fault);

private:
    bool open_service(std::unique_ptr<service_listener>& listener, const std::string& address, service_handler handler,
                      std::string& fault);
    void accept();
    void on_operator_rows(const table_follower::rows& rows, const std::vector<store_row>& changed);
    void take_desired_state(const store_row& row);
    void on_server_rows(const std::vector<store_row>& changed);
    void take_server_row(const store_row& row, const std::optional<time_point>& last_trouble);
    // The store came back from an older copy.
    void on_new_era(std::uint64_t era);
    // The store came back a moment ago, and may lack rows that are written again.
    [[nodiscard]] bool has_restored_rows() const;
    void on_part_decided();
    void on_heartbeat();
    void on_daemon_status(const daemon_status& peer);
    [[nodiscard]] bool has_newer_rows(const daemon_status& peer) const;
    static void check_hint(table_follower& table, const store_position& theirs);
    void fetch_changes();
    void update_store_reader();
    void reload();
    void log_new_blocks();
    void wait_for_signals();
    void begin_stop();
    void continue_stop();

    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] daemon_status own_status() const;
    [[nodiscard]] http_answer answer_ready(const http_request& request) const;
    [[nodiscard]] http_answer answer_directory(const http_request& request);
    [[nodiscard]] http_answer answer_metrics(const http_request& request);
    [[nodiscard]] http_answer answer_peer(const http_request& request);

    gateway_state m_state;
    std::function<settings_reading()> m_read_again;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::signal_set m_signals;
    peer_link m_peers;
    presence m_presence;
    report_poller m_reports;
    table_follower m_operator_rows;
    table_follower m_server_rows;
    block_archive m_block_archive;
    std::unique_ptr<service_listener> m_ready;
    std::unique_ptr<service_listener> m_directory;
    std::unique_ptr<service_listener> m_metrics;
    std::unique_ptr<service_listener> m_peer_service;
    std::vector<std::weak_ptr<front_session>> m_sessions;
    bool m_tables_started = false;
    bool m_fetching_changes = false;
    // Until then rows of the store's older copy may be written again.
    std::optional<time_point> m_rows_settle_at;
    // When another daemon last reported that it can't reach the store.
    std::optional<time_point> m_peer_store_trouble_at;
    // Compressed answers to requests for changes, by request target. Valid for
    // the two tables at the positions below.
    std::map<std::string, std::string> m_compressed_changes;
    std::pair<store_position, store_position> m_compressed_positions;
};

}  // namespace verbenahold::serving
