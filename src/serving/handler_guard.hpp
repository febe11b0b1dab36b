// Contains exceptions of the event loop's handlers, so that a fault in the work for one
// connection does not end the process and the work for all others with it.
#pragma once

#include "log_line.hpp"
#include "metrics.hpp"

#include <exception>
#include <string_view>

namespace verbenahold::serving {

// Names a handler in log lines.
struct handler_owner {
    // The part that the handler belongs to, such as "caller connection".
    std::string_view part;
    // What it works on, such as an address or a request's id.
    std::string_view subject;
};

class handler_guard {
public:
    explicit handler_guard(metrics& counters) : m_counters(counters) {}

    // Runs `work`. If it throws, logs and counts the exception and runs `recover`, which
    // must leave the owner in a valid state. Exceptions of `recover` are passed on.
    template <class Work, class Recover>
    void run(const handler_owner& owner, Work&& work, Recover&& recover) {
        try {
            work();
            return;
        } catch (const std::exception& fault) {
            report(owner, fault.what());
        } catch (...) {
            report(owner, "an exception of another type");
        }
        recover();
    }
    template <class Work>
    void run(const handler_owner& owner, Work&& work) {
        run(owner, work, [] {});
    }

private:
    void report(const handler_owner& owner, std::string_view reason) {
        m_counters.add("handler_exceptions");
        log_line("exception in handler")
            .add("part", owner.part)
            .add("subject", owner.subject)
            .add("reason", reason)
            .error();
    }

    metrics& m_counters;
};

}  // namespace verbenahold::serving
