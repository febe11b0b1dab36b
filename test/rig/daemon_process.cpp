#include "daemon_process.hpp"

#include <array>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace verbenahold::serving {

std::string settings_text(const serving_settings& settings) {
    const auto port = settings.peer_address.substr(settings.peer_address.rfind(':') + 1);
    std::ostringstream text;
    text << R"({"node":")" << settings.host.value << R"(","zone":")" << settings.zone.value << R"(","ip":")"
         << settings.ip << R"(","listen":{"front":")" << settings.front_address << R"(","ready":")"
         << settings.ready_address << R"(","directory":")" << settings.directory_address << R"("},"internal-ports":[)"
         << port << ',' << port << R"(],"bounds":{"grace-s":8,"budget-ratio":0.2,"budget-slack":100,)"
         << R"("budget-window-s":10,"cold-overage":1.5,"cold-slack":5},"provider":{"address":")"
         << settings.store_address << R"("},"zones":{"zone-a":"r"},"limits":{"memory-mb":)"
         << static_cast<double>(settings.memory_bytes) / 1e6 << "}}";
    return text.str();
}

daemon_process::daemon_process(const std::string& program, const serving_settings& settings) {
    std::string folder = (std::filesystem::temp_directory_path() / "verbenahold-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = folder;
    std::ofstream(m_folder / "settings.json") << settings_text(settings);
    std::array<std::string, 3> words{program, "--settings", (m_folder / "settings.json").string()};
    std::array<char*, 4> arguments{words[0].data(), words[1].data(), words[2].data(), nullptr};
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, (m_folder / "log").c_str(),
                                       O_WRONLY | O_CREAT | O_TRUNC, S_IRUSR | S_IWUSR);
    const int failed = ::posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("can't start " + program);
    }
}

daemon_process::~daemon_process() {
    if (is_running()) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

bool daemon_process::is_running() {
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = -1;
    }
    return m_process > 0;
}

std::string daemon_process::log() const {
    std::ostringstream text;
    text << std::ifstream(m_folder / "log").rdbuf();
    return text.str();
}

std::uint64_t daemon_process::status_bytes(const std::string& name) const {
    constexpr std::uint64_t bytes_per_kb = 1024;
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoull(line.substr(name.size())) * bytes_per_kb;
        }
    }
    return 0;
}

}  // namespace verbenahold::serving
