#include "coroutines.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace verbenahold::soak {

namespace {

const auto run_start = std::chrono::steady_clock::now();
const auto run_start_of_day = std::chrono::system_clock::now();

std::chrono::steady_clock::time_point time_point_of(double at_ms) {
    return run_start + std::chrono::microseconds(static_cast<std::int64_t>(std::clamp(at_ms, 0.0, 1e9) * 1'000));
}

}  // namespace

double now_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - run_start).count();
}

std::string time_text(double at_ms) {
    const auto at = run_start_of_day + std::chrono::milliseconds(static_cast<std::int64_t>(at_ms));
    const auto seconds = std::chrono::system_clock::to_time_t(at);
    const auto since_epoch = std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
    std::tm parts{};
    localtime_r(&seconds, &parts);
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "+%.3f (%02d:%02d:%02d,%03d)", at_ms / 1'000, parts.tm_hour, parts.tm_min,
                  parts.tm_sec, static_cast<int>(since_epoch % 1'000));
    return text.data();
}

awaitable<void> pause_ms(double milliseconds) {
    steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_at(time_point_of(now_ms() + milliseconds));
    error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

awaitable<bool> write_all(tcp::socket& socket, std::string_view bytes) {
    error_code error;
    co_await boost::asio::async_write(socket, boost::asio::buffer(bytes.data(), bytes.size()),
                                      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    co_return !error;
}

awaitable<void> wakeup::wait_until(double at_ms) {
    m_timer.expires_at(time_point_of(at_ms));
    error_code ignored;
    co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace verbenahold::soak
