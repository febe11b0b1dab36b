// Measures the memory of a daemon process while peers send or leave more bytes than its
// host has memory for. Guards against a daemon that is killed for its memory, sound
// requests that starve meanwhile, and memory that is not given back.
// VERBENAHOLD_SERVE names another program than the one of this build.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

constexpr std::uint64_t megabyte = 1'000'000;
constexpr std::uint64_t host_memory = 260 * megabyte;

// What is running beside the disruption.
constexpr auto sound_answer_time = 20ms;
constexpr auto sound_request_period = 3ms;

constexpr auto play_time = 3s;

constexpr const char* engine_service =
    R"({"name":"engine","health-check":"/health","max-connections":314,"engine":{"slots":16,"kv-capacity":315000,)"
    R"("stride":51,"step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,"read_per_s":177000.0,)"
    R"("pairs_per_m":0.184,"chunk":2048,"usual":{"prompt":11121,"answer":1622},"hop-ms":0.05}})";

std::string program() {
    const char* other = std::getenv("VERBENAHOLD_SERVE");
    return other == nullptr ? VERBENAHOLD_PROGRAM_FOLDER "/verbenahold-serve" : other;
}

bool is_whole(const scripted_caller& caller) {
    return caller.received().find("\r\n\r\n") != std::string::npos;
}

bool is_status(const scripted_caller& caller, int status) {
    return caller.received().starts_with("HTTP/1.1 " + std::to_string(status));
}

// A daemon process between two services: requests to /sound/ go to a server that answers
// well, those to /other/ and /stream/ to one that the test disrupts.
class disrupted_deployment {
public:
    explicit disrupted_deployment(scripted_server::handler disrupt, std::uint64_t memory = host_memory,
                                  int engines = 0) {
        m_rig.memory_bytes = memory;
        add_server("s-1", "sound", [this](const http_request& request, const session_pointer& session) {
            m_delays.push_back(std::make_unique<boost::asio::steady_timer>(m_rig.loop, sound_answer_time));
            m_delays.back()->async_wait([request, session](const boost::system::error_code& error) {
                if (!error) {
                    session->write(proved_answer(request, "fine"));
                }
            });
        });
        for (const std::string id : {"o-1", "o-2", "o-3"}) {
            add_server(id, "other", disrupt);
        }
        for (int i = 0; i < engines; ++i) {
            add_server("e-" + std::to_string(i), "engine", disrupt);
        }
        put_state();
        m_process = &m_rig.start_program("host-1", program());
        REQUIRE(m_rig.run_until_ready("host-1"));
    }

    serving_rig& rig() { return m_rig; }
    daemon_process& process() { return *m_process; }

    // Sends sound requests at a steady rate for this long, whether or not earlier ones are
    // answered, and returns how many were answered in time.
    int count_sound_answers(std::chrono::milliseconds time) {
        std::vector<std::pair<scripted_caller*, std::size_t>> waiting;
        std::vector<scripted_caller*> idle;
        int answered = 0;
        const auto collect = [&] {
            std::erase_if(waiting, [&](const auto& entry) {
                const auto& [caller, seen] = entry;
                if (caller->received().size() > seen) {
                    answered += caller->received().find(" 200 ", seen) != std::string::npos ? 1 : 0;
                    idle.push_back(caller);
                    return true;
                }
                return caller->ended();
            });
            std::erase_if(idle, [](const auto* caller) { return caller->ended(); });
        };
        auto due = std::chrono::steady_clock::now();
        for (const auto end = due + time; due < end && m_process->is_running(); due += sound_request_period) {
            while (std::chrono::steady_clock::now() < due) {
                m_rig.run_for(1ms);
                collect();
            }
            if (idle.empty()) {
                idle.push_back(&m_rig.connect("host-1"));
            }
            auto* caller = idle.back();
            idle.pop_back();
            waiting.emplace_back(caller, caller->received().size());
            caller->send(request_text("POST", "/sound/x", "s-" + std::to_string(++m_sent), "order"));
        }
        m_rig.run_until([&] {
            collect();
            return waiting.empty();
        });
        for (auto* caller : idle) {
            caller->leave();
        }
        return answered;
    }

    // Prints the peak and checks it, and that sound requests were served beside it.
    void check(const std::string& what, int served, int served_before) {
        std::cout << what << ": peak " << m_process->peak_bytes() / megabyte << " MB, sound requests " << served
                  << " of " << served_before << " before\n";
        CHECK(m_process->is_running());
        CHECK(m_process->peak_bytes() < m_rig.settings("host-1").memory_bytes);
        CHECK(served >= served_before * 9 / 10);
    }

private:
    void add_server(const std::string& id, const std::string& service, scripted_server::handler answer) {
        const auto& server = m_rig.add_server(id, std::move(answer));
        m_rig.store.put("servers", id,
                        R"({"service":")" + service + R"(","address":")" + server.address() +
                            R"(","zone":"zone-a","slots":2000,"state":"ready"})");
    }

    void put_state() {
        const auto route = [](const std::string& name, const std::string& kind, const std::string& service) {
            return R"({"name":")" + name + R"(","prefix":"/)" + name + R"(/","host":"h.example","kind":")" + kind +
                   R"(","service":")" + service +
                   R"(","timeout-ms":20000,"target-latency-ms":300,"max-attempts":1,"target-gap-ms":5000})";
        };
        const auto service = [](const std::string& name) {
            return R"({"name":")" + name + R"(","health-check":"/health","max-connections":4000})";
        };
        m_rig.store.put("op", "config",
                        R"({"version":1,"routes":[)" + route("sound", "unsafe", "sound") + "," +
                            route("other", "unsafe", "other") + "," + route("stream", "streaming", "other") +
                            R"(],"services":[)" + service("sound") + "," + service("other") + "," + engine_service +
                            R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)" +
                            R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)" +
                            R"("tenants":[{"name":"first","api-keys":["key-1"]}]})");
    }

    serving_rig m_rig;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> m_delays;
    daemon_process* m_process = nullptr;
    int m_sent = 0;
};

std::string long_request(const std::string& path, const std::string& id, const std::string& body) {
    auto text = request_text("POST", path, id, body);
    text.replace(text.find("Deadline-Ms: 2000"), 17, "Deadline-Ms: 20000");
    return text;
}

const auto answer_well = [](const http_request& request, const session_pointer& session) {
    session->write(proved_answer(request, "fine"));
};

}  // namespace

TEST_CASE("40 bodies of 4 MB at once leave the daemon within its memory, and idle connections hold none of it") {
    disrupted_deployment all(answer_well);
    const int before = all.count_sound_answers(play_time);
    const auto resident_before = all.process().resident_bytes();
    const std::string body(4'194'304, 'x');
    std::vector<scripted_caller*> callers;
    for (int i = 0; i < 40; ++i) {
        callers.push_back(&all.rig().connect("host-1"));
        callers.back()->send_later(long_request("/other/x", "b-" + std::to_string(i), body));
    }
    const int beside = all.count_sound_answers(play_time);
    REQUIRE(all.rig().run_until([&] {
        return std::all_of(callers.begin(), callers.end(), [](const auto* caller) { return is_whole(*caller); });
    }));
    const auto answered =
        std::count_if(callers.begin(), callers.end(), [](const auto* caller) { return is_status(*caller, 200); });
    all.rig().run_until([&] { return all.process().resident_bytes() < resident_before + 20 * megabyte; });
    std::cout << "bodies answered: " << answered << " of 40, resident " << resident_before / megabyte << " MB before, "
              << all.process().resident_bytes() / megabyte << " MB after\n";
    all.check("40 bodies of 4 MB", beside, before);
    CHECK(answered == 40);
    CHECK(all.process().resident_bytes() < resident_before + 20 * megabyte);
}

TEST_CASE("48 answers without end leave the daemon within its memory") {
    const auto piece = std::make_shared<const std::string>(std::string(65'536, 'x'));
    const std::vector<std::pair<std::string, std::string>> kinds{
        {"no proof", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"},
        {"proved", "HTTP/1.1 200 OK\r\nVerbenahold-Origin-Signature: proof\r\n\r\n"},
        {"failure", "HTTP/1.1 500 Error\r\nVerbenahold-Origin-Signature: proof\r\n\r\n"},
        {"head", "HTTP/1.1 200 OK\r\nName: "}};
    for (const auto& [kind, head] : kinds) {
        disrupted_deployment all([&, text = head](const http_request&, const session_pointer& session) {
            session->write(text);
            session->write_repeated(piece, 0);
        });
        const int before = all.count_sound_answers(play_time);
        for (int i = 0; i < 48; ++i) {
            // These callers never read.
            auto& caller = all.rig().connect("host-1", false);
            caller.send(long_request(i % 2 == 0 ? "/other/x" : "/stream/x", "e-" + std::to_string(i), "body"));
        }
        const int beside = all.count_sound_answers(play_time);
        all.check("48 answers without end, " + kind, beside, before);
    }
}

TEST_CASE("1,000 slow readers leave the daemon within its memory") {
    for (const std::uint64_t memory : {host_memory, 160 * megabyte}) {
        const auto piece = std::make_shared<const std::string>("data: " + std::string(8'000, 'x') + "\n\n");
        int streams = 0;
        disrupted_deployment all(
            [&](const http_request& request, const session_pointer& session) {
                ++streams;
                session->write("HTTP/1.1 200 OK\r\nVerbenahold-Attempt-Id: " +
                               std::string(field_value(request.fields, "Verbenahold-Attempt-Id")) +
                               "\r\nVerbenahold-Origin-Signature: proof\r\nContent-Type: text/event-stream\r\n\r\n");
                session->write_repeated(piece, 0, 200ms);
            },
            memory);
        const int before = all.count_sound_answers(play_time);
        for (int i = 0; i < 1'000; ++i) {
            auto& caller = all.rig().connect("host-1", false);
            caller.send(long_request("/stream/x", "r-" + std::to_string(i), "body"));
        }
        REQUIRE(all.rig().run_until([&] { return streams == 1'000; }));
        const int beside = all.count_sound_answers(play_time);
        all.check("1,000 slow readers with " + std::to_string(memory / megabyte) + " MB", beside, before);
    }
}

TEST_CASE("reports without end of 20 engines leave the daemon within its memory") {
    const auto piece = std::make_shared<const std::string>(std::string(65'536, ' '));
    int reports = 0;
    disrupted_deployment all(
        [&](const http_request& request, const session_pointer& session) {
            if (request.target == "/api/report") {
                ++reports;
                session->write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{");
                session->write_repeated(piece, 0);
            }
        },
        host_memory, 20);
    const int served = all.count_sound_answers(play_time);
    REQUIRE(reports >= 20);
    all.check("reports without end", served, served);
}

TEST_CASE("1,000 callers that fill what a request may take leave the daemon within its memory") {
    const std::string piece(60'000, 'x');
    const auto chunked = [](const std::string& id) {
        auto text = long_request("/other/x", id, "");
        return text.replace(text.find("Content-Length: 0"), 17, "Transfer-Encoding: chunked");
    };
    const std::vector<std::pair<std::string, std::function<std::string(const std::string&)>>> kinds{
        {"heads without end", [&](const std::string&) { return "GET /other/x HTTP/1.1\r\nName: " + piece + piece; }},
        {"bodies that stall",
         [&](const std::string& id) { return long_request("/other/x", id, piece + piece).substr(0, 100'000); }},
        {"chunks that stall", [&](const std::string& id) { return chunked(id) + "FFFFF\r\n" + piece + piece + piece; }},
        {"extensions without end", [&](const std::string& id) { return chunked(id) + "5;" + piece + piece; }},
        {"requests behind one that runs", [&](const std::string& id) {
             return long_request("/other/x", id, "body") + long_request("/other/x", id + "-2", piece) + piece;
         }}};
    for (const std::uint64_t memory : {host_memory, 160 * megabyte}) {
        for (const auto& [kind, bytes_of] : kinds) {
            disrupted_deployment all([](const http_request&, const session_pointer&) {}, memory);
            const int before = all.count_sound_answers(play_time);
            for (int i = 0; i < 1'000; ++i) {
                all.rig().connect("host-1").send_later(bytes_of("c-" + std::to_string(i)));
            }
            const int beside = all.count_sound_answers(play_time);
            all.check("1,000 callers with " + std::to_string(memory / megabyte) + " MB, " + kind, beside, before);
        }
    }
}
