// One connection of a caller. Requests are handled one at a time; pipelined
// requests wait.
#pragma once

#include "exchange.hpp"
#include "request_reader.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>

namespace verbenahold::serving {

class front_session : public std::enable_shared_from_this<front_session>, public answer_sink {
public:
    front_session(gateway_state& state, boost::asio::ip::tcp::socket socket);
    ~front_session() override;
    front_session(const front_session&) = delete;
    front_session& operator=(const front_session&) = delete;
    front_session(front_session&&) = delete;
    front_session& operator=(front_session&&) = delete;

    void start();
    // Closes the connection and cancels the current request.
    void abandon(early_end cause);
    // Closes the connection if it has no current request and nothing to write.
    void close_if_idle();
    // Answers the current request, or the one that has arrived in part, since the process
    // exits soon.
    void answer_for_stop();
    [[nodiscard]] bool is_idle() const {
        return !m_exchange && !has_unanswered_input() && m_reader.waiting_bytes() == 0;
    }

    void answer(const http_answer& answer) override;
    void begin_stream(const http_answer_head& head) override;
    void stream(std::string bytes) override;
    void end_stream() override;
    void cut_off(early_end cause) override;
    [[nodiscard]] std::size_t unsent_bytes() const override { return m_unsent; }

private:
    // Runs a handler; an exception ends the connection, with an answer if the fault came
    // before a request was started.
    template <class Work>
    void contained(Work&& work);
    void on_internal_fault();
    void on_timeout();
    void read();
    void on_read(const boost::system::error_code& error, std::size_t count);
    // Feeds the reader; a request that begins gets the limits that are now in force.
    void parse(std::string_view bytes);
    void handle_reader_state();
    void start_next_request();
    void begin_exchange();
    void reject_malformed();
    // Ends the connection with a 503 for a request that has not arrived whole.
    void refuse_partial_request();
    // Other bodies leave no room for the one that arrives.
    void give_way();
    void write(std::string bytes);
    void write_stream_head(const http_answer_head& head);
    void write_next();
    void on_written(const boost::system::error_code& error, std::size_t count);
    [[nodiscard]] bool closes_after_answer();
    void request_ended(bool keep);
    void close_gracefully();
    void end_writing();
    // Logs and counts `cause` if the last request has no complete answer.
    void close_socket(early_end cause);
    void log_early_end(early_end cause) const;
    void start_timeout(duration limit);
    // Closes the connection when its caller reads nothing of an answer for too long.
    void limit_write_stall();
    // A request has begun to arrive after the last one that was started.
    [[nodiscard]] bool has_unanswered_input() const {
        return m_reader.has_begun() || m_reader.state() != request_reader::progress::incomplete;
    }
    [[nodiscard]] caller_limits limits() const;
    [[nodiscard]] request_bounds bounds() const;

    gateway_state& m_state;
    boost::asio::ip::tcp::socket m_socket;
    request_reader m_reader;
    std::array<char, 16'384> m_chunk{};
    std::shared_ptr<exchange> m_exchange;
    // Keeps this object alive during a request when no read is pending.
    std::shared_ptr<front_session> m_self;
    std::deque<std::string> m_output;
    std::size_t m_written_of_front = 0;
    std::size_t m_unsent = 0;
    // The memory of what is not written yet.
    body_budget::holding m_held;
    // The memory of a request that arrives.
    body_budget::holding m_arriving;
    // Id of the last request, and bytes of its answer so far.
    std::string m_request_id;
    std::size_t m_answer_bytes = 0;
    bool m_answer_complete = true;
    bool m_writing = false;
    bool m_reading = false;
    bool m_closing = false;
    bool m_socket_closed = false;
    bool m_input_ended = false;
    bool m_keep = true;
    bool m_unchunked_stream = false;
    bool m_head_request = false;
    time_point m_request_began{};
    bool m_timing_request = false;
    loop_timers::subscription m_timeout{};
};

}  // namespace verbenahold::serving
