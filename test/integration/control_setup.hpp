// A platform with control processes, and runs of verbenactl against them.
#pragma once

#include "fleet.hpp"

#include <QProcess>
#include <QProcessEnvironment>

#include <string>
#include <vector>

// What one run of a program gave.
struct program_run {
    int code = -1;
    std::string output;
    std::string errors;
};

class control_setup {
public:
    explicit control_setup(int controls) : fleet(VERBENAHOLD_PROGRAM_FOLDER) {
        fleet.start_platform();
        for (int i = 0; i < controls; ++i) {
            const std::string host = "entry-" + std::to_string(i);
            fleet.start(verbenahold::standins::member_kind::control, {host, "zone-a", "", {}, false});
        }
        for (int i = 0; i < controls; ++i) {
            urls += (urls.empty() ? "http://" : ",http://") + fleet.address("entry-" + std::to_string(i));
        }
    }

    // The environment in which operators' commands run.
    [[nodiscard]] QProcessEnvironment environment() const {
        QProcessEnvironment result = QProcessEnvironment::systemEnvironment();
        result.insert("VERBENAHOLD_CONTROL", QString::fromStdString(urls));
        result.insert("VERBENAHOLD_OPERATOR_KEY", verbenahold::standins::fleet_operator_key);
        return result;
    }

    // Runs verbenactl in the source folder.
    [[nodiscard]] program_run run(const QStringList& arguments, const QByteArray& input = {}) const {
        return run_in(environment(), VERBENAHOLD_PROGRAM_FOLDER "/verbenactl", arguments, input);
    }

    static program_run run_in(const QProcessEnvironment& variables, const QString& program,
                              const QStringList& arguments, const QByteArray& input = {}) {
        constexpr int limit_ms = 60'000;
        QProcess process;
        process.setProcessEnvironment(variables);
        process.setWorkingDirectory(VERBENAHOLD_SOURCE_FOLDER);
        process.start(program, arguments);
        process.write(input);
        process.closeWriteChannel();
        program_run result;
        if (process.waitForFinished(limit_ms) && process.exitStatus() == QProcess::NormalExit) {
            result.code = process.exitCode();
        }
        result.output = process.readAllStandardOutput().toStdString();
        result.errors = process.readAllStandardError().toStdString();
        return result;
    }

    verbenahold::standins::fleet fleet;
    std::string urls;
};
