// Tests the export of spans as OTLP/JSON: the caller and entry spans of a request
// are in one trace, each with the right parent.
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTemporaryDir>

#include <catch2/catch.hpp>

#include <iostream>

#include "http_server.hpp"
#include "io_wait.hpp"
#include "trace_exporter.hpp"

using namespace verbenahold;

namespace {

const std::string trace = "0af7651916cd43dd8448eb211c80319c";
const std::string outer = "00-" + trace + "-00000000000000aa-01";
const std::string caller = "00-" + trace + "-00000000000000bb-01";
const std::string entry = "00-" + trace + "-00000000000000cc-01";
const daemon_id self{host_name("entry-1"), 1};

void add_request(trace_exporter& exporter) {
    exporter.add({entry, caller, "entry", std::chrono::milliseconds(5), false});
    exporter.add({caller, outer, "caller", std::chrono::milliseconds(6), true});
    exporter.add({"malformed", "", "caller", duration(1), true});
    exporter.flush();
}

void check_batch(const QByteArray& json) {
    const auto resource = QJsonDocument::fromJson(json)["resourceSpans"][0];
    CHECK(resource["resource"]["attributes"][1]["value"]["stringValue"].toString() == "entry-1");
    const QJsonArray spans = resource["scopeSpans"][0]["spans"].toArray();
    REQUIRE(spans.size() == 2);
    CHECK(spans[0]["traceId"].toString().toStdString() == trace);
    CHECK(spans[0]["parentSpanId"].toString() == spans[1]["spanId"].toString());
    CHECK(spans[1]["parentSpanId"].toString() == "00000000000000aa");
    CHECK(spans[0]["status"]["code"].toInt() == 2);
    const qint64 start = spans[0]["startTimeUnixNano"].toString().toLongLong();
    CHECK(spans[0]["endTimeUnixNano"].toString().toLongLong() - start == 5'000'000);
}

}  // namespace

TEST_CASE("spans of a request go to a file") {
    const QTemporaryDir folder;
    const QString name = folder.filePath("spans.json");
    http_client client;
    trace_exporter exporter(client, name.toStdString(), self);
    add_request(exporter);
    QFile file(name);
    REQUIRE(file.open(QIODevice::ReadOnly));
    check_batch(file.readAll());
    std::cout << "spans in a file: passed\n";
}

TEST_CASE("spans of a request go to a collector, and lost ones are counted") {
    http_server collector;
    QByteArray received;
    collector.add_route("POST", "/v1/traces", [&](const http_request& request, const shared_reply& reply) {
        received = request.body;
        reply->send(200, "application/json", "{}");
    });
    const std::string address = collector.listen_on(endpoint{"127.0.0.1:0"})->address;
    http_client client;
    trace_exporter exporter(client, "http://" + address + "/v1/traces", self);
    add_request(exporter);
    REQUIRE(wait_until([&] { return !received.isEmpty(); }));
    check_batch(received);
    CHECK(exporter.dropped() == 0);
    trace_exporter lost(client, "http://" + address + "/missing", self);
    add_request(lost);
    REQUIRE(wait_until([&] { return lost.dropped() == 2; }));
    std::cout << "spans to a collector: passed\n";
}
