#include "logging.hpp"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <map>
#include <string>

namespace verbenahold {

namespace {

// Buffer for standard output: holds the lines of some seconds of a busy daemon.
constexpr int max_buffered_lines = 2'000;

const log4cxx::LoggerPtr& daemon_logger() {
    static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("verbenahold");
    return logger;
}

}  // namespace

bool configure_logging(std::string_view level, log_target target) {
    const std::map<std::string_view, log4cxx::LevelPtr> levels{
        {"debug", log4cxx::Level::getDebug()},
        {"info", log4cxx::Level::getInfo()},
        {"warn", log4cxx::Level::getWarn()},
        {"error", log4cxx::Level::getError()},
    };
    const auto found = levels.find(level);
    if (found == levels.end()) {
        return false;
    }
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(LOG4CXX_STR("%d{ISO8601} %-5p %m%n")));
    const bool to_output = target == log_target::standard_output;
    const auto stream = to_output ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr();
    log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(layout, stream));
    if (to_output) {
        const auto asynchronous = std::make_shared<log4cxx::AsyncAppender>();
        asynchronous->setBufferSize(max_buffered_lines);
        asynchronous->setBlocking(false);
        asynchronous->addAppender(appender);
        appender = asynchronous;
    }
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    daemon_logger()->setLevel(found->second);
    return true;
}

void log_debug(std::string_view line) {
    LOG4CXX_DEBUG(daemon_logger(), std::string(line));
}
void log_info(std::string_view line) {
    LOG4CXX_INFO(daemon_logger(), std::string(line));
}
void log_warning(std::string_view line) {
    LOG4CXX_WARN(daemon_logger(), std::string(line));
}
void log_error(std::string_view line) {
    LOG4CXX_ERROR(daemon_logger(), std::string(line));
}

}  // namespace verbenahold
