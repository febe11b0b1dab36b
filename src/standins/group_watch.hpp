// Watches the parts of a group's KV cache on other engines: confirms their
// reservations and detects lost parts.
#pragma once

#include "engine_model.hpp"

#include <QNetworkAccessManager>
#include <QString>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "timer_service.hpp"

namespace verbenahold::standins {

// Address part of an engine's URL: no scheme and no final '/'.
std::string strip_url(const std::string& url);

class group_watch {
public:
    // Whether all parts are confirmed, and tokens that were imported there.
    using confirm_callback = std::function<void(bool ok, std::int64_t imported)>;
    using lost_callback = std::function<void(const std::string& stream, const std::string& url)>;

    group_watch(timer_service& timers, lost_callback on_lost);

    // Confirms that each part's reservation exists and keeps it from expiring.
    void confirm(const std::vector<group_part>& parts, const confirm_callback& done);
    // Watches a part until the stream is forgotten or the part is lost.
    void watch(const std::string& stream, const group_part& part);
    void forget(const std::string& stream);

private:
    struct watched {
        std::string url;
        std::string reservation;
        int failures = 0;
    };

    void check_all();
    void check(const std::string& stream, const watched& part);
    void report(const std::string& stream, const std::string& url, bool present, bool answered);

    timer_service& m_timers;
    lost_callback m_on_lost;
    QNetworkAccessManager m_network;
    std::map<std::string, std::vector<watched>> m_watched;
    std::uint64_t m_timer = 0;
};

}  // namespace verbenahold::standins
