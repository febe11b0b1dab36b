#include "pass_engine.hpp"

#include <algorithm>
#include <cmath>

namespace verbenahold::soak {

namespace {

constexpr double report_lag_ms = 200;
constexpr double idle_check_ms = 100;
// Work that depends on a dead engine stalls for this long before it is cut off.
constexpr double stall_ms = 1'500;
constexpr std::size_t max_reservations = 64;
constexpr double max_hold_ms = 20'000;
constexpr int tokens_per_event = 51;

}  // namespace

pass_engine::pass_engine(io_context& loop, journal& notes, std::string name, std::string address, finder find_engine)
    : m_journal(notes),
      m_name(std::move(name)),
      m_address(std::move(address)),
      m_find(std::move(find_engine)),
      m_work(loop),
      m_report(report_now()) {}

std::int64_t pass_engine::used_tokens() const {
    std::int64_t used = foreign_tokens;
    for (const auto& [name, held] : m_reservations) {
        used += held.waiting ? 0 : held.tokens;
    }
    for (const auto& job : m_running) {
        used += job->own_tokens;
    }
    return used;
}

int pass_engine::helping() const {
    return static_cast<int>(
        std::count_if(m_reading.begin(), m_reading.end(), [](const reading& part) { return part.is_helping; }));
}

int pass_engine::free_slots() const {
    return m_waiting.empty() ? std::max(0, m_speed.slots - static_cast<int>(m_running.size())) : 0;
}

std::string pass_engine::report_now() const {
    std::string tickets;
    for (const auto& [name, held] : m_reservations) {
        tickets += (tickets.empty() ? "" : ",") + std::string(R"({"id":")") + name + R"(","tokens":)" +
                   std::to_string(held.tokens) + R"(,"state":")" +
                   (held.waiting     ? "waiting"
                    : held.users > 0 ? "used"
                                     : "held") +
                   R"(","age-ms":)" + std::to_string(static_cast<long>(now_ms() - held.record->changes.front().at)) +
                   "}";
    }
    return R"({"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":2,"queued":)" +
           std::to_string(m_queue.size()) + R"(,"running":)" + std::to_string(m_running.size()) + R"(,"kv-used":)" +
           std::to_string(used_tokens()) + R"(,"kv-total":)" + std::to_string(m_speed.memory_tokens) +
           R"(,"handles":0,"pace":)" + std::to_string(slowdown) + R"(,"tickets":[)" + tickets + "]}";
}

awaitable<void> pass_engine::update_reports() {
    for (;;) {
        m_reports.emplace_back(now_ms(), report_now());
        while (m_reports.size() > 1 && m_reports.front().first < now_ms() - report_lag_ms) {
            m_report = std::move(m_reports.front().second);
            m_reports.pop_front();
        }
        expire();
        co_await pause_ms(50);
    }
}

// ---- reservations ----

int pass_engine::reserve(const std::string& name, std::int64_t tokens, double hold_ms, bool may_wait) {
    const auto found = m_reservations.find(name);
    const double expires = now_ms() + std::min(hold_ms, max_hold_ms);
    if (found != m_reservations.end()) {
        ++found->second.record->orders;
        found->second.expires = expires;
        return found->second.waiting ? 202 : 200;
    }
    if (tokens > m_speed.memory_tokens || tokens <= 0) {
        return 400;
    }
    const bool is_free = m_waiting.empty() && used_tokens() + tokens <= m_speed.memory_tokens;
    if (m_reservations.size() >= max_reservations || (!is_free && !may_wait)) {
        return 409;
    }
    auto record = std::make_shared<reservation_record>();
    record->server = m_name;
    record->name = name;
    record->tokens = tokens;
    record->orders = 1;
    record->changes.push_back({now_ms(), is_free ? reservation_phase::held : reservation_phase::waiting, "reserved"});
    m_journal.reservations.push_back(record);
    m_reservations[name] = {tokens, expires, !is_free, 0, record};
    if (!is_free) {
        m_waiting.push_back(name);
    }
    return is_free ? 200 : 202;
}

void pass_engine::release(const std::string& name) {
    end_reservation(name, "released");
}

void pass_engine::end_reservation(const std::string& name, const std::string& why) {
    const auto found = m_reservations.find(name);
    if (found == m_reservations.end()) {
        return;
    }
    found->second.record->changes.push_back({now_ms(), reservation_phase::over, why});
    m_reservations.erase(found);
    std::erase(m_waiting, name);
    grant_waiting();
    admit();
}

void pass_engine::expire() {
    std::vector<std::string> expired;
    for (const auto& [name, held] : m_reservations) {
        if (held.expires < now_ms()) {
            expired.push_back(name);
        }
    }
    for (const auto& name : expired) {
        end_reservation(name, "expired");
    }
    for (const auto& job : std::deque<std::shared_ptr<engine_job>>(m_queue)) {
        if (job->deadline_ms < now_ms()) {
            finish(job, "out of time");
        }
    }
    check_running();
}

void pass_engine::check_running() {
    for (const auto& job : std::vector<std::shared_ptr<engine_job>>(m_running)) {
        if (job->deadline_ms < now_ms()) {
            finish(job, "out of time");
            continue;
        }
        for (const auto& part : job->helpers) {
            const auto* helper = m_find(part.address);
            if (helper == nullptr || !helper->m_alive) {
                job->stalled_since = job->stalled_since.value_or(now_ms());
                job->at_server = helper == nullptr ? job->at_server : helper->m_name;
            } else if (!part.reservation.empty() && !helper->m_reservations.contains(part.reservation)) {
                job->at_server = helper->m_name;
                finish(job, "memory lost");
                break;
            }
        }
        if (job->stalled_since && now_ms() - *job->stalled_since > stall_ms) {
            finish(job, "a helper is dead");
        }
    }
}

void pass_engine::grant_waiting() {
    while (!m_waiting.empty()) {
        auto& first = m_reservations.at(m_waiting.front());
        if (used_tokens() + first.tokens > m_speed.memory_tokens) {
            return;
        }
        first.waiting = false;
        first.record->changes.push_back({now_ms(), reservation_phase::held, "memory became free"});
        m_waiting.pop_front();
    }
}

void pass_engine::use_reservations(const engine_job& job, bool begins) {
    for (const auto& part : job.helpers) {
        auto* helper = m_find(part.address);
        if (helper == nullptr || part.reservation.empty()) {
            continue;
        }
        const auto found = helper->m_reservations.find(part.reservation);
        if (found == helper->m_reservations.end()) {
            continue;
        }
        found->second.users += begins ? 1 : -1;
        found->second.record->changes.push_back(
            {now_ms(), found->second.users > 0 ? reservation_phase::used : reservation_phase::held,
             (begins ? "used by " : "no longer used by ") + job.id});
    }
}

std::int64_t pass_engine::reserved_elsewhere(const engine_job& job) const {
    std::int64_t tokens = 0;
    for (const auto& part : job.helpers) {
        const auto* helper = m_find(part.address);
        if (helper != nullptr && !part.reservation.empty()) {
            const auto found = helper->m_reservations.find(part.reservation);
            tokens += found != helper->m_reservations.end() ? found->second.tokens : 0;
        }
    }
    return tokens;
}

// ---- jobs ----

std::string pass_engine::submit(const std::shared_ptr<engine_job>& job) {
    for (const auto& part : job->helpers) {
        const auto* helper = m_find(part.address);
        const bool usable = helper != nullptr && helper->m_alive && helper->helping() < m_speed.slots &&
                            (part.reservation.empty() || helper->m_reservations.contains(part.reservation));
        if (!usable) {
            job->at_server = helper == nullptr ? std::string() : helper->m_name;
            return "a helper is gone, busy or lacks the reservation";
        }
    }
    for (const auto& part : job->helpers) {
        if (!part.reservation.empty()) {
            m_find(part.address)->m_reservations.at(part.reservation).record->requests.push_back(job->id);
        }
    }
    const auto all_tokens = job->prompt_tokens + std::int64_t{job->events_total} * tokens_per_event;
    job->own_tokens = std::max<std::int64_t>(0, all_tokens - reserved_elsewhere(*job));
    if (job->own_tokens > m_speed.memory_tokens || m_queue.size() >= m_speed.queue) {
        return "full";
    }
    m_queue.push_back(job);
    admit();
    m_work.notify();
    return {};
}

void pass_engine::admit() {
    while (!m_queue.empty() && static_cast<int>(m_running.size()) < m_speed.slots && m_waiting.empty()) {
        const auto next = std::min_element(m_queue.begin(), m_queue.end(), [](const auto& left, const auto& right) {
            return left->priority < right->priority;
        });
        const auto job = *next;
        if (used_tokens() + job->own_tokens > m_speed.memory_tokens) {
            return;
        }
        m_queue.erase(next);
        if (!begin(job)) {
            finish(job, "a helper lost the reservation");
        }
    }
}

bool pass_engine::begin(const std::shared_ptr<engine_job>& job) {
    for (const auto& part : job->helpers) {
        const auto* helper = m_find(part.address);
        if (helper == nullptr || (!part.reservation.empty() && !helper->m_reservations.contains(part.reservation))) {
            job->at_server = helper == nullptr ? std::string() : helper->m_name;
            return false;
        }
    }
    job->state = engine_job::phase::reading;
    m_running.push_back(job);
    use_reservations(*job, true);
    std::vector<pass_engine*> readers{this};
    for (const auto& part : job->helpers) {
        auto* helper = m_find(part.address);
        if (helper != this) {
            readers.push_back(helper);
        }
    }
    job->unread_parts = static_cast<int>(readers.size());
    const auto prompt = static_cast<double>(job->prompt_tokens);
    for (auto* reader : readers) {
        const bool is_helping = reader != this;
        const auto place = is_helping ? std::find_if(reader->m_reading.begin(), reader->m_reading.end(),
                                                     [](const reading& part) { return !part.is_helping; })
                                      : reader->m_reading.end();
        reader->m_reading.insert(
            place, {job, this, std::max(1.0, prompt / static_cast<double>(readers.size())), prompt, is_helping});
        reader->m_work.notify();
    }
    return true;
}

void pass_engine::finish(const std::shared_ptr<engine_job>& job, const std::string& why) {
    if (job->state == engine_job::phase::ended) {
        return;
    }
    const bool was_running = job->state != engine_job::phase::queued;
    job->state = engine_job::phase::ended;
    job->ended_by = why;
    std::erase(m_queue, job);
    std::erase(m_running, job);
    if (was_running) {
        use_reservations(*job, false);
    }
    if (job->on_change) {
        job->on_change();
    }
    grant_waiting();
    admit();
}

void pass_engine::drop(const std::shared_ptr<engine_job>& job) {
    job->on_change = nullptr;
    finish(job, "dropped");
}

void pass_engine::clear(const std::string& why) {
    auto jobs = std::exchange(m_running, {});
    jobs.insert(jobs.end(), m_queue.begin(), m_queue.end());
    m_queue.clear();
    for (const auto& job : jobs) {
        finish(job, why);
    }
    for (const auto& part : std::exchange(m_reading, {})) {
        if (const auto job = part.job.lock(); job && part.is_helping) {
            job->stalled_since = now_ms();
            job->at_server = m_name;
        }
    }
    m_waiting.clear();
    for (const auto& [name, held] : std::exchange(m_reservations, {})) {
        held.record->changes.push_back({now_ms(), reservation_phase::over, why});
    }
}

// ---- passes ----

void pass_engine::on_part_read(const std::shared_ptr<engine_job>& job) {
    if (job->state == engine_job::phase::reading && --job->unread_parts == 0) {
        job->state = engine_job::phase::writing;
        m_work.notify();
    }
}

// Plans what the next pass reads, and returns its length.
double pass_engine::plan_pass(std::vector<std::pair<std::list<reading>::iterator, double>>& plan) {
    int writers = 0;
    double context = 0;
    for (const auto& job : m_running) {
        if (job->state == engine_job::phase::writing) {
            ++writers;
            context += static_cast<double>(job->own_tokens);
        }
    }
    double budget = static_cast<double>(m_speed.chunk_tokens * m_speed.steps_per_pass);
    double read = 0;
    double pairs = 0;
    for (auto part = m_reading.begin(); part != m_reading.end();) {
        const auto job = part->job.lock();
        if (!job || job->state == engine_job::phase::ended) {
            part = m_reading.erase(part);
            continue;
        }
        const double tokens = std::min(budget, part->tokens_left);
        if (tokens > 0) {
            plan.emplace_back(part, tokens);
            budget -= tokens;
            read += tokens;
            pairs += tokens * part->prompt_tokens / 2;
        }
        ++part;
    }
    if (writers == 0 && read == 0) {
        return 0;
    }
    const double needed_steps = std::ceil(read / static_cast<double>(m_speed.chunk_tokens));
    const double steps = writers > 0 ? m_speed.steps_per_pass : needed_steps;
    const double step_ms =
        m_speed.step_ms + writers * m_speed.step_ms_per_writer + context / 1'000 * m_speed.step_ms_per_1k_context;
    return slowdown *
           (steps * step_ms + read / m_speed.read_tokens_per_ms + pairs / 1e6 * m_speed.read_ms_per_1m_pairs);
}

awaitable<void> pass_engine::run() {
    for (;;) {
        std::vector<std::pair<std::list<reading>::iterator, double>> plan;
        const double length = m_alive ? plan_pass(plan) : 0;
        if (length <= 0) {
            co_await m_work.wait_until(now_ms() + idle_check_ms);
            continue;
        }
        // Parts are found again by their job: the list may change during the pass.
        std::vector<std::pair<std::weak_ptr<engine_job>, double>> read;
        for (const auto& [part, tokens] : plan) {
            read.emplace_back(part->job, tokens);
        }
        std::vector<std::shared_ptr<engine_job>> writers;
        std::copy_if(m_running.begin(), m_running.end(), std::back_inserter(writers),
                     [](const auto& job) { return job->state == engine_job::phase::writing; });
        co_await pause_ms(length);
        for (const auto& job : writers) {
            if (job->state != engine_job::phase::writing || job->stalled_since) {
                continue;
            }
            ++job->events_ready;
            const bool is_last = job->events_ready >= job->events_total;
            if (is_last) {
                finish(job, {});
            } else if (job->on_change) {
                job->on_change();
            }
        }
        for (const auto& [weak, tokens] : read) {
            const auto job = weak.lock();
            if (!job) {
                continue;
            }
            const auto part = std::find_if(m_reading.begin(), m_reading.end(),
                                           [&](const reading& candidate) { return candidate.job.lock() == job; });
            if (part == m_reading.end()) {
                continue;
            }
            part->tokens_left -= tokens;
            if (part->tokens_left < 0.5) {
                auto* owner = part->owner;
                m_reading.erase(part);
                owner->on_part_read(job);
            }
        }
    }
}

}  // namespace verbenahold::soak
