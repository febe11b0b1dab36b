// Starts of the serving daemon.
#include "child_process.hpp"

#include <QTemporaryDir>

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace {

using namespace std::chrono_literals;

// Opens a pipe for writing once another process reads it; -1 after the limit.
int open_when_read(const std::string& path, std::chrono::milliseconds limit) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    int pipe = -1;
    while (pipe < 0 && std::chrono::steady_clock::now() < deadline) {
        pipe = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        if (pipe < 0) {
            std::this_thread::yield();
        }
    }
    return pipe;
}

}  // namespace

TEST_CASE("a reload signal during the start does not end the serving daemon") {
    const QTemporaryDir folder;
    const std::string settings = folder.filePath("settings.json").toStdString();
    REQUIRE(::mkfifo(settings.c_str(), S_IRUSR | S_IWUSR) == 0);
    verbenahold::standins::child_process daemon(std::string(VERBENAHOLD_PROGRAM_FOLDER) + "/verbenahold-serve",
                                                {"--check", "--settings", QString::fromStdString(settings)}, {});
    const int pipe = open_when_read(settings, 10s);
    REQUIRE(pipe >= 0);
    daemon.send_signal(SIGHUP);
    CHECK(::write(pipe, "{}", 2) == 2);
    ::close(pipe);
    REQUIRE(daemon.wait_for_exit(10s));
    // It ends because the settings lack a field.
    CHECK(daemon.exited_normally());
}
