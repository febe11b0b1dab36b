// Guards the trace of a request: one trace with a span for each hop, whose
// parent is the calling hop, so that a slow request can be analyzed.
#include "test_deployment.hpp"

#include <catch2/catch.hpp>

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTemporaryDir>

#include <iostream>
#include <map>
#include <string>

using namespace verbenahold::standins;

namespace {

struct span {
    std::string trace;
    std::string id;
    std::string parent;
};

// Reads spans from a file of OTLP/JSON lines, by name; the last one of a name
// counts.
std::map<std::string, span> read_spans(const QString& file_name) {
    std::map<std::string, span> spans;
    QFile file(file_name);
    if (!file.open(QIODevice::ReadOnly)) {
        return spans;
    }
    const auto text = [](const QJsonValue& value) { return value.toString().toStdString(); };
    while (!file.atEnd()) {
        const QJsonObject batch = QJsonDocument::fromJson(file.readLine()).object();
        for (const QJsonValue resource : batch["resourceSpans"].toArray()) {
            for (const QJsonValue scope : resource["scopeSpans"].toArray()) {
                for (const QJsonValue one : scope["spans"].toArray()) {
                    spans[text(one["name"])] = {text(one["traceId"]), text(one["spanId"]), text(one["parentSpanId"])};
                }
            }
        }
    }
    return spans;
}

}  // namespace

TEST_CASE("one trace leads from the caller over entry and owner to the engine") {
    const QTemporaryDir folder;
    const QString file = folder.filePath("spans.json");
    deployment_plan plan;
    plan.entries = 1;
    plan.engines = 1;
    plan.entry_arguments = {"--trace-target", file};
    test_deployment deployment(VERBENAHOLD_PROGRAM_FOLDER, plan);
    const auto exchange = deployment.send("entry-1", {"trace me", 5});
    REQUIRE(wait_until([&] { return exchange->is_over(); }, std::chrono::seconds(15)));
    REQUIRE(exchange->status() == 200);
    std::map<std::string, span> spans;
    REQUIRE(wait_until(
        [&] {
            spans = read_spans(file);
            return spans.size() >= 4;
        },
        std::chrono::seconds(10)));
    CHECK(spans.at("entry").parent == spans.at("caller").id);
    CHECK(spans.at("owner").parent == spans.at("entry").id);
    CHECK(spans.at("engine").parent == spans.at("owner").id);
    for (const auto& [name, one] : spans) {
        CHECK(one.trace == spans.at("caller").trace);
    }
    std::cout << "one trace over four hops: passed\n";
}
