// The part of class backend_server that writes answers, right and wrong ones.
#include "answer_text.hpp"
#include "backend_server.hpp"

#include <algorithm>
#include <array>

namespace verbenahold::soak {

namespace {

constexpr double endless_ms = 6'000;
constexpr double endless_pause_ms = 2;
// Lets the bytes before a reset reach the daemon.
constexpr double reset_delay_ms = 5;

}  // namespace

awaitable<bool> backend_server::stay_silent(session& open, arrival* seen, std::string_view why) {
    if (seen != nullptr) {
        seen->disruption = why;
    }
    while (!open.peer_left) {
        co_await open.wake.wait_until(now_ms() + 1'000);
    }
    co_return seen != nullptr&& on_caller_left(*seen);
}

awaitable<bool> backend_server::send_own(session& open, int status, std::string_view body) {
    const serving::header_fields fields{{"Content-Type", "application/json"}, {"Verbenahold-Instance-Id", m_id}};
    const auto text = answer_text(status, fields, body);
    if (roll(misbehaviour::late_copy_of_order)) {
        open.late_copy = text;
    }
    co_return co_await write_all(open.socket, text);
}

std::string backend_server::head_of(const arrival& seen, int status, std::string_view at_server) const {
    serving::header_fields fields{{"Verbenahold-Instance-Id", m_id}};
    if (!has(misbehaviour::late_copy_unnamed)) {
        fields.push_back({"Verbenahold-Attempt-Id", seen.attempt});
    }
    if (!seen.signature.empty()) {
        fields.push_back({"Verbenahold-Origin-Signature", seen.signature});
    }
    if (seen.states_not_executed) {
        fields.push_back({"Verbenahold-Not-Executed", "1"});
    }
    if (!at_server.empty()) {
        fields.push_back({"At-Server", std::string(at_server)});
    }
    return head_text(status, fields);
}

std::string backend_server::stream_head(const arrival& seen) const {
    return head_of(seen, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

awaitable<bool> backend_server::reject(session& open, arrival& seen, int status, std::string_view at_server) {
    seen.states_not_executed = true;
    co_return co_await send_answer(open, seen, status, "", at_server);
}

awaitable<bool> backend_server::fail_after_run(session& open, arrival& seen) {
    constexpr std::array<int, 5> statuses{500, 504, 503, 429, 408};
    const int status = statuses.at(m_random() % statuses.size());
    co_return co_await send_answer(open, seen, status, "failed", "");
}

awaitable<bool> backend_server::lose_answer(session& open, arrival& seen) {
    seen.disruption = "answer lost";
    seen.ended = now_ms();
    if (m_random() % 2 == 0) {
        reset(open);
    }
    co_return false;
}

awaitable<bool> backend_server::break_off(session& open, arrival& seen, std::string_view sent) {
    seen.ended = now_ms();
    co_await write_all(open.socket, sent);
    if (has(misbehaviour::hang)) {
        co_return co_await stay_silent(open, &seen, "hang");
    }
    seen.disruption = "broken off";
    if (has(misbehaviour::reset_mid)) {
        co_await pause_ms(reset_delay_ms);
        reset(open);
    }
    co_return false;
}

awaitable<bool> backend_server::send_answer(session& open, arrival& seen, int status, std::string_view body,
                                            std::string_view at_server) {
    seen.status = status;
    seen.body = body;
    seen.ended = now_ms();
    const bool runs = !seen.states_not_executed;
    const auto head = head_of(seen, status, at_server);
    if (runs && roll(misbehaviour::endless)) {
        co_return co_await send_endless(open, seen, head);
    }
    if (runs && roll(misbehaviour::no_length)) {
        seen.answered = true;
        const auto text = head + "Connection: close\r\n\r\n" + seen.body;
        co_await write_all(open.socket, text);
        error_code ignored;
        open.socket.shutdown(tcp::socket::shutdown_send, ignored);
        co_return false;
    }
    if (runs && roll(misbehaviour::wrong_length)) {
        constexpr std::array<std::string_view, 4> lengths{"1000000000000000000", "5", "100000", "-1"};
        seen.disruption = "wrong length";
        const std::string length(lengths.at(m_random() % lengths.size()));
        // A shorter length makes the rest of the body surplus bytes.
        const auto text_of_body = seen.body;
        if (length == "5") {
            seen.body.resize(5);
        }
        const auto text = head + "Content-Length: " + length + "\r\n\r\n" + text_of_body;
        co_await write_all(open.socket, text);
        co_return false;
    }
    auto text = head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + seen.body;
    const bool breaks = roll(misbehaviour::broken_off) || roll(misbehaviour::reset_mid) || roll(misbehaviour::hang);
    if (runs && breaks) {
        text.resize(text.size() - body.size() / 2 - 1);
        co_return co_await break_off(open, seen, text);
    }
    if (roll(misbehaviour::late_copy) || roll(misbehaviour::late_copy_unnamed)) {
        open.late_copy = text;
    }
    if (roll(misbehaviour::surplus)) {
        text += "surplus bytes";
    }
    seen.answered = true;
    co_return co_await write_all(open.socket, text);
}

awaitable<bool> backend_server::send_endless(session& open, arrival& seen, std::string_view head) {
    seen.disruption = "endless";
    const bool chunked = m_random() % 2 == 0;
    const std::string bytes(65'536, 'x');
    const auto piece = chunked ? chunk_text(bytes) : bytes;
    const auto begin =
        std::string(head) + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n");
    bool alive = co_await write_all(open.socket, begin);
    for (const double until = now_ms() + endless_ms; alive && now_ms() < until && !open.peer_left;) {
        alive = co_await write_all(open.socket, piece);
        co_await pause_ms(endless_pause_ms);
    }
    co_return false;
}

}  // namespace verbenahold::soak
