// Model of a backend server that serves a language model, as the platform's pages
// describe it: slots, a small queue, memory with reservations, and passes whose length
// depends on what is read. It knows no network.
#pragma once

#include "coroutines.hpp"
#include "journal.hpp"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace verbenahold::soak {

class pass_engine;

// A request at the engine that received it.
struct engine_job {
    struct part {
        // The engine's address, and the name of its reservation if there is one.
        std::string address;
        std::string reservation;
    };
    enum class phase : std::uint8_t { queued, reading, writing, ended };

    std::string id;
    std::int64_t prompt_tokens = 0;
    int events_total = 1;
    int priority = 5;
    double deadline_ms = 0;
    std::vector<part> helpers;

    phase state = phase::queued;
    int unread_parts = 0;
    int events_ready = 0;
    std::int64_t own_tokens = 0;
    // Why the job ended without its last event; empty if it did not.
    std::string ended_by;
    // The server at fault, for the answer's header.
    std::string at_server;
    // Since when a helper is dead; empty while none is.
    std::optional<double> stalled_since;
    std::function<void()> on_change;
};

struct engine_speed {
    int slots = 16;
    std::size_t queue = 32;
    std::int64_t memory_tokens = 315'000;
    double step_ms = 0.85;
    double step_ms_per_writer = 0.00425;
    double step_ms_per_1k_context = 0.00285;
    double read_tokens_per_ms = 177;
    double read_ms_per_1m_pairs = 0.184;
    std::int64_t chunk_tokens = 2'048;
    int steps_per_pass = 51;
};

class pass_engine {
public:
    using finder = std::function<pass_engine*(std::string_view address)>;

    pass_engine(io_context& loop, journal& notes, std::string name, std::string address, finder find_engine);

    // Takes a job into the queue; returns why not, or nothing.
    std::string submit(const std::shared_ptr<engine_job>& job);
    // The caller left, or the server dropped the job.
    void drop(const std::shared_ptr<engine_job>& job);
    // Status of the order's answer.
    int reserve(const std::string& name, std::int64_t tokens, double hold_ms, bool may_wait);
    void release(const std::string& name);
    // Report as of some time ago.
    [[nodiscard]] const std::string& report() const { return m_report; }
    [[nodiscard]] int free_slots() const;
    // Ends all jobs and reservations, as a crash does.
    void clear(const std::string& why);
    // While not alive, jobs that depend on this engine stall.
    void set_alive(bool alive) { m_alive = alive; }
    [[nodiscard]] bool is_alive() const { return m_alive; }

    // Passes take this many times as long.
    double slowdown = 1;
    // Memory taken by callers outside the run.
    std::int64_t foreign_tokens = 0;

    awaitable<void> run();
    awaitable<void> update_reports();

private:
    struct reservation {
        std::int64_t tokens = 0;
        double expires = 0;
        bool waiting = false;
        int users = 0;
        std::shared_ptr<reservation_record> record;
    };
    struct reading {
        std::weak_ptr<engine_job> job;
        pass_engine* owner = nullptr;
        double tokens_left = 0;
        double prompt_tokens = 0;
        bool is_helping = false;
    };

    void admit();
    bool begin(const std::shared_ptr<engine_job>& job);
    void finish(const std::shared_ptr<engine_job>& job, const std::string& why);
    void use_reservations(const engine_job& job, bool begins);
    void end_reservation(const std::string& name, const std::string& why);
    void expire();
    void grant_waiting();
    void on_part_read(const std::shared_ptr<engine_job>& job);
    [[nodiscard]] std::int64_t used_tokens() const;
    [[nodiscard]] std::int64_t reserved_elsewhere(const engine_job& job) const;
    [[nodiscard]] int helping() const;
    // Ends running jobs that are out of time, or whose helper is dead or lost the memory.
    void check_running();
    [[nodiscard]] std::string report_now() const;
    double plan_pass(std::vector<std::pair<std::list<reading>::iterator, double>>& plan);

    journal& m_journal;
    std::string m_name;
    std::string m_address;
    finder m_find;
    engine_speed m_speed;
    wakeup m_work;
    bool m_alive = true;
    std::deque<std::shared_ptr<engine_job>> m_queue;
    std::vector<std::shared_ptr<engine_job>> m_running;
    std::list<reading> m_reading;
    std::map<std::string, reservation> m_reservations;
    std::deque<std::string> m_waiting;
    std::string m_report;
    std::deque<std::pair<double, std::string>> m_reports;
};

}  // namespace verbenahold::soak
