// The platform's store as the users' pages describe it, a record of what happened, and the
// settings of serving daemons, for the stand-ins of the third review.
#pragma once

#include "review3_http.hpp"

#include <condition_variable>
#include <cstdio>
#include <deque>
#include <fstream>
#include <optional>

namespace review3 {

// Writes record.txt: a line for each event, with the seconds since the start.
class recorder {
public:
    explicit recorder(const std::string& path) : m_file(path) {}

    void add(const std::string& text) {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", std::chrono::duration<double>(steady::now() - m_start).count());
        m_file << time << text << std::endl;
    }
    [[nodiscard]] double at(steady::time_point when) const {
        return std::chrono::duration<double>(when - m_start).count();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start = steady::now();
};

inline const std::string base64_letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

inline std::string to_base64(std::string_view bytes) {
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group = group << 8U | (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte]) : 0U);
        }
        for (std::size_t letter = 0; letter < 4; ++letter) {
            text += at + letter > bytes.size() ? '=' : base64_letters[group >> (18U - 6U * letter) & 63U];
        }
    }
    return text;
}

// The text of a JSON string field in a flat object, without escapes; empty if there is none.
inline std::string json_text(std::string_view object, const std::string& name) {
    const auto found = object.find("\"" + name + "\":\"");
    if (found == std::string_view::npos) {
        return {};
    }
    const auto begin = found + name.size() + 4;
    return std::string(object.substr(begin, object.find('"', begin) - begin));
}

// The objects of the array `name` in a JSON text whose objects hold no others.
inline std::vector<std::string> json_objects(std::string_view text, const std::string& name) {
    std::vector<std::string> objects;
    const auto found = text.find("\"" + name + "\":[");
    if (found == std::string_view::npos) {
        return objects;
    }
    auto at = found + name.size() + 4;
    while (at < text.size() && text[at] != ']') {
        if (text[at] == '{') {
            const auto end = text.find('}', at);
            objects.emplace_back(text.substr(at, end - at + 1));
            at = end;
        }
        ++at;
    }
    return objects;
}

inline std::string query_value(const std::string& target, const std::string& name) {
    auto found = target.find("?" + name + "=");
    found = found == std::string::npos ? target.find("&" + name + "=") : found;
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
}

// Rows in tables with versions from one counter, a feed of changes, and the drill: the store
// comes back from an older copy under a new era.
class store {
public:
    explicit store(const std::string& ip)
        : m_server(ip, 0, [this](const message& request, const std::shared_ptr<channel>& opened) {
              return answer(request, opened);
          }) {}

    [[nodiscard]] std::string address() const { return m_server.address(); }

    // Writes or, without a value, removes a row. Returns the version, which confirms it; 0 while
    // the store is away.
    std::uint64_t put(const std::string& table, const std::string& key, const std::optional<std::string>& value) {
        const std::lock_guard lock(m_mutex);
        if (m_away) {
            return 0;
        }
        return apply(table, key, value ? std::optional(to_base64(*value)) : std::nullopt);
    }

    // Copies the present state, for a later drill.
    void take_copy() {
        const std::lock_guard lock(m_mutex);
        m_copy = m_state;
    }
    // Goes away: all calls are answered 503, open ones too.
    void go_away() {
        const std::lock_guard lock(m_mutex);
        m_away = true;
        m_changed.notify_all();
    }
    // Comes back from the copy, under the next era.
    void come_back_from_copy() {
        const std::lock_guard lock(m_mutex);
        m_state = m_copy;
        ++m_era;
        m_away = false;
        m_changed.notify_all();
    }
    [[nodiscard]] std::uint64_t version() {
        const std::lock_guard lock(m_mutex);
        return m_state.version;
    }
    // Reads that were answered since the last call, and those of them with 410.
    std::pair<int, int> take_read_counts() {
        const std::lock_guard lock(m_mutex);
        return {std::exchange(m_reads, 0), std::exchange(m_gone_answers, 0)};
    }

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
    };
    struct change {
        std::uint64_t version = 0;
        std::string table;
        std::string key;
        bool removed = false;
    };
    struct state {
        std::map<std::string, std::map<std::string, row>> tables;
        std::vector<change> history;
        std::uint64_t version = 0;
    };

    std::uint64_t apply(const std::string& table, const std::string& key, const std::optional<std::string>& encoded) {
        ++m_state.version;
        if (encoded) {
            m_state.tables[table][key] = {*encoded, m_state.version};
        } else {
            m_state.tables[table].erase(key);
        }
        m_state.history.push_back({m_state.version, table, key, !encoded});
        m_changed.notify_all();
        return m_state.version;
    }

    [[nodiscard]] static std::string row_text(const std::string& table, const std::string& key, const row& found) {
        return R"({"table":")" + table + R"(","part":"","key":")" + key + R"(","value":")" + found.value +
               R"(","ver":)" + std::to_string(found.version) + "}";
    }

    // The newest state of each row that changed after the version.
    [[nodiscard]] std::string changes(const std::string& table, std::uint64_t after) const {
        std::map<std::uint64_t, std::string> texts;
        std::map<std::string, change> newest;
        for (const auto& entry : m_state.history) {
            if (entry.version > after && entry.table == table) {
                newest[entry.key] = entry;
            }
        }
        for (const auto& [key, entry] : newest) {
            texts[entry.version] = entry.removed
                                       ? R"({"table":")" + table + R"(","part":"","key":")" + key +
                                             R"(","deleted":true,"ver":)" + std::to_string(entry.version) + "}"
                                       : row_text(table, key, m_state.tables.at(table).at(key));
        }
        std::string rows;
        for (const auto& [version, text] : texts) {
            rows += (rows.empty() ? "" : ",") + text;
        }
        return rows;
    }

    [[nodiscard]] std::string reply_text(int status, const std::string& body) const {
        return answer_text(status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(m_era)}}, body);
    }
    [[nodiscard]] std::string page_text(const std::string& rows) const {
        return reply_text(200, R"({"rows":[)" + rows + R"(],"has-more":false,"ver":)" +
                                   std::to_string(m_state.version) + R"(,"server-time-ms":)" +
                                   std::to_string(steady::now().time_since_epoch().count() / 1'000'000) + "}");
    }

    bool answer(const message& request, const std::shared_ptr<channel>& opened) {
        // An answer takes 4 ms.
        std::this_thread::sleep_for(milliseconds(4));
        std::string text;
        {
            std::unique_lock lock(m_mutex);
            const auto path = request.target.substr(0, request.target.find('?'));
            const auto table = query_value(request.target, "table");
            if (m_away) {
                text = reply_text(503, "{}");
            } else if (path == "/api/rows-get") {
                ++m_reads;
                std::string rows;
                for (const auto& [key, found] : m_state.tables[table]) {
                    rows += (rows.empty() ? "" : ",") + row_text(table, key, found);
                }
                text = page_text(rows);
            } else if (path == "/api/rows-feed") {
                ++m_reads;
                text = feed(lock, table, request.target);
            } else if (path == "/api/rows-tx") {
                for (const auto& object : json_objects(request.body, "put")) {
                    apply(json_text(object, "table"), json_text(object, "key"), json_text(object, "value"));
                }
                for (const auto& object : json_objects(request.body, "remove")) {
                    apply(json_text(object, "table"), json_text(object, "key"), std::nullopt);
                }
                text = reply_text(200, R"({"ver":)" + std::to_string(m_state.version) + R"(,"server-time-ms":1})");
            } else {
                text = reply_text(404, "{}");
            }
        }
        return opened->write(text);
    }

    std::string feed(std::unique_lock<std::mutex>& lock, const std::string& table, const std::string& target) {
        const auto after = std::strtoull(query_value(target, "after").c_str(), nullptr, 10);
        const auto wait = milliseconds(std::atoi(query_value(target, "wait-ms").c_str()));
        const auto until = steady::now() + wait;
        const auto era = m_era;
        while (true) {
            if (m_away) {
                return reply_text(503, "{}");
            }
            // A version that the store doesn't have.
            if (after > m_state.version || era != m_era) {
                ++m_gone_answers;
                return reply_text(410, "{}");
            }
            auto rows = changes(table, after);
            if (!rows.empty() || steady::now() >= until) {
                return page_text(rows);
            }
            m_changed.wait_until(lock, until);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    state m_state;
    state m_copy;
    std::uint64_t m_era = 1;
    bool m_away = false;
    int m_reads = 0;
    int m_gone_answers = 0;
    http_server m_server;
};

// Where one daemon listens.
struct daemon_addresses {
    std::string front;
    std::string ready;
    std::string directory;
};

// Writes the settings of a daemon as the platform renders the project's template.
inline daemon_addresses write_settings(const std::string& path, const std::string& node, const std::string& ip,
                                       const std::string& store_address) {
    // The first internal port is used for TCP and UDP.
    const int internal = free_port(ip);
    const daemon_addresses listen{ip + ":" + std::to_string(free_port(ip)), ip + ":" + std::to_string(free_port(ip)),
                                  ip + ":" + std::to_string(free_port(ip))};
    std::ofstream file(path);
    file << R"({"node":")" << node << R"(","role":"entry","machine-class":"front","serves":["front","directory"],)"
         << R"("ip":")" << ip << R"(","zone":"zone-a","region":"region-a","zones":{"zone-a":"region-a"},)"
         << R"("listen":{"front":")" << listen.front << R"(","ready":")" << listen.ready << R"(","directory":")"
         << listen.directory << R"("},"internal-ports":[)" << internal << "," << internal + 15
         << R"(],"seeds":[],"bootstrap":true,"include-in-tolerance":false,)"
         << R"("limits":{"cpu-share":0.25,"cpu-cores":1,"memory-mb":260,"max-fds":4100,"bandwidth-mbps":1000.0,)"
         << R"("disk-mb":0},"data-dir":null,"discovery":"platform","entry":"directory","heartbeat-ms":1200,)"
         << R"("contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","places",)"
         << R"("platform","spans"],"fault-tolerance":{"machines":2,"zones":1,"regions":0},)"
         << R"("bounds":{"seed-staleness-s":3,"addr-reuse-s":2,"contact-ms":3000,"ack-ms":4000,"sync-s":4,)"
         << R"("drain-ms":2000,"grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,"back-ms":250,)"
         << R"("max-skew-ms":5000,"strict-revoke":false,"revoke-ms":5000,"budget-ratio":0.2,"budget-window-s":10,)"
         << R"("budget-slack":106,"cold-overage":1.5,"cold-slack":5,"evacuation-ms":5000,"recovery-s":12,)"
         << R"("pass-ms":120,"retry-after-s":0,"stall_ms":1500,"hold-max-ms":20000,"free-ms":4000,)"
         << R"("idle-max-ms":9000,"ttl_max_s":5},"provider":{"address":")" << store_address
         << R"(","form":"table","writes-per-s":400,"reads-per-s":2000,"tx-ms":3.0,"part-writes-per-s":300,)"
         << R"("row-bytes":65536,"across":true,"history-s":20,"blob-bytes":8388608,"blob-ms":25.0,)"
         << R"("blob-mb-per-s":80.0}})";
    return listen;
}

// Tells run.sh that the settings are written and the daemons may be started.
inline void say_ready(const std::string& folder) {
    std::ofstream(folder + "/ready") << "ready\n";
}

// Waits until the daemon says that it is ready; false if it doesn't within the limit.
inline bool wait_until_ready(const std::string& address, milliseconds limit) {
    const auto until = steady::now() + limit;
    while (steady::now() < until) {
        const auto asked = call(address, "GET /api/readiness HTTP/1.1\r\nHost: h\r\n\r\n", milliseconds(500));
        if (asked.complete && asked.answer.status == 200) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

// The exit codes of a case.
enum verdict { rule_held = 0, rule_broken = 1, could_not_run = 2 };

// A setting of the environment, such as TROUBLE.
inline int environment_number(const char* name, int fallback) {
    const char* text = std::getenv(name);
    return text == nullptr || *text == '\0' ? fallback : std::atoi(text);
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace review3
