// Records the lines that the daemons of a test log.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace verbenahold::serving {

class log_recorder {
public:
    // Records from now on, for the recorder's lifetime.
    log_recorder();
    ~log_recorder();
    log_recorder(const log_recorder&) = delete;
    log_recorder& operator=(const log_recorder&) = delete;
    log_recorder(log_recorder&&) = delete;
    log_recorder& operator=(log_recorder&&) = delete;

    // The last line that begins with `event` and holds all `parts`; empty if there is none.
    [[nodiscard]] std::string find(std::string_view event, const std::vector<std::string_view>& parts) const;

private:
    class appender;
    std::shared_ptr<appender> m_appender;
};

}  // namespace verbenahold::serving
