// Guards the operators' pages: every command on them works as written, and the
// page of settings matches the programs.
#include "control_setup.hpp"

#include <catch2/catch.hpp>

#include <QDir>
#include <QFile>
#include <QTemporaryDir>

#include <iostream>

namespace {

// The shell blocks of a page, joined in page order.
QByteArray shell_blocks(const char* page) {
    QFile file(QString(VERBENAHOLD_SOURCE_FOLDER "/docs/") + page);
    REQUIRE(file.open(QIODevice::ReadOnly));
    QByteArray script;
    bool inside = false;
    for (const QByteArray& line : file.readAll().split('\n')) {
        if (line.startsWith("```")) {
            inside = line == "```sh";
        } else if (inside) {
            script += line + '\n';
        }
    }
    return script;
}

}  // namespace

TEST_CASE("every command on the operators' pages works in the page's order") {
    for (const char* page : {"operations.md", "records.md"}) {
        control_setup setup(2);
        const QTemporaryDir folder;
        QProcessEnvironment variables = setup.environment();
        variables.insert("PATH", VERBENAHOLD_PROGRAM_FOLDER ":" + variables.value("PATH"));
        variables.insert("PLATFORM", "http://" + QString::fromStdString(setup.fleet.platform_address()));
        variables.insert("CONTROL", "http://" + QString::fromStdString(setup.fleet.address("entry-0")));
        variables.insert("KEYS", folder.path());
        const QByteArray script = shell_blocks(page);
        REQUIRE(script.contains("verbenactl"));
        const auto run = control_setup::run_in(variables, "bash", {"-euxo", "pipefail"}, script);
        INFO(run.output << run.errors);
        CHECK(run.code == 0);
        std::cout << "commands of " << page << ": passed\n";
    }
}

TEST_CASE("the page of settings has not drifted from the programs") {
    const auto run = control_setup::run_in(QProcessEnvironment::systemEnvironment(), "scripts/settings_doc.sh",
                                           {"--check", VERBENAHOLD_PROGRAM_FOLDER});
    INFO(run.output << run.errors);
    CHECK(run.code == 0);
    std::cout << "page of settings: passed\n";
}

TEST_CASE("the record sets of both deployments are accepted") {
    for (const char* file : {"apps/records-hu-central.json", "apps/records-pohja-eesti.json"}) {
        const control_setup setup(1);
        const auto run = setup.run({"apply", file});
        INFO(run.errors);
        CHECK(run.code == 0);
    }
    std::cout << "record sets: passed\n";
}
