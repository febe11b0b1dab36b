#include "log_recorder.hpp"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>

#include <algorithm>

namespace verbenahold::serving {

namespace {

log4cxx::LoggerPtr daemon_logger() {
    return log4cxx::Logger::getLogger("verbenahold");
}

}  // namespace

class log_recorder::appender : public log4cxx::AppenderSkeleton {
public:
    [[nodiscard]] const std::vector<std::string>& lines() const { return m_lines; }
    void close() override {}
    [[nodiscard]] bool requiresLayout() const override { return false; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool&) override {
        m_lines.push_back(event->getMessage());
    }

private:
    std::vector<std::string> m_lines;
};

log_recorder::log_recorder() : m_appender(std::make_shared<appender>()) {
    daemon_logger()->addAppender(m_appender);
}

log_recorder::~log_recorder() {
    daemon_logger()->removeAppender(m_appender);
}

std::string log_recorder::find(std::string_view event, const std::vector<std::string_view>& parts) const {
    const auto& lines = m_appender->lines();
    const auto found = std::find_if(lines.rbegin(), lines.rend(), [&](const std::string& line) {
        return line.starts_with(event) && std::all_of(parts.begin(), parts.end(), [&](std::string_view part) {
                   return line.find(part) != std::string::npos;
               });
    });
    return found == lines.rend() ? std::string() : *found;
}

}  // namespace verbenahold::serving
