// HTTP client of the platform's table service, object store, host list and
// weight store. Results are passed to callbacks; every call has a time limit.
#pragma once

#include <QByteArray>
#include <QJsonValue>
#include <QObject>
#include <QPointer>
#include <QUrl>

#include <boost/outcome.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "http_client.hpp"
#include "verbenahold/events.hpp"

namespace verbenahold {

enum class platform_error : std::uint8_t {
    // No connection: the platform received nothing.
    unreachable,
    // No answer in time, or the connection ended before it.
    timed_out,
    // The service reported that it is unavailable (5xx).
    unavailable,
    // Over the platform's rate limit (429).
    rate_limited,
    // A check of a transaction failed (409).
    conflict,
    // The answer could not be parsed.
    bad_answer,
};

std::string_view to_string(platform_error error);

struct platform_fault {
    platform_error error = platform_error::unreachable;
    // True if the outcome of a write is unknown: it may have taken effect, and
    // the caller must read it back.
    bool unknown = false;
    // Keys whose check failed; set with `conflict` only.
    std::vector<std::string> failed_keys;
};

template <class T>
using platform_result =
    BOOST_OUTCOME_V2_NAMESPACE::result<T, platform_fault, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

struct table_row {
    std::string key;
    QJsonValue value;
    std::uint64_t revision = 0;
};

// The revision that a row must have; 0 means that the row must not exist.
struct table_check {
    std::string key;
    std::uint64_t revision = 0;
};

struct table_put {
    std::string key;
    QJsonValue value;
};

// Applied atomically.
struct table_transaction {
    std::vector<table_check> checks;
    std::vector<table_put> puts;
    std::vector<std::string> deletes;
};

class platform_client : public QObject {
public:
    template <class T>
    using callback = std::function<void(const platform_result<T>&)>;
    using rows = std::vector<table_row>;

    static constexpr std::chrono::milliseconds call_timeout{2'000};

    // `client` must outlive this object.
    platform_client(http_client& client, const QUrl& base, QObject* parent = nullptr);

    // Passes the new revision of the written rows to `done`.
    void transact(const table_transaction& transaction, callback<std::uint64_t> done);
    // Passes the existing rows to `done`, in any order.
    void read(const std::vector<std::string>& keys, callback<rows> done);
    // Reads at most `limit` rows whose key begins with `prefix` and is greater
    // than `after`, in key order.
    void scan(const std::string& prefix, const std::string& after, int limit, callback<rows> done);
    void list_hosts(callback<std::vector<host_entry>> done);
    // Passes no value if the object does not exist.
    void get_object(const std::string& name, callback<std::optional<QByteArray>> done);
    void put_object(const std::string& name, const QByteArray& bytes, callback<bool> done);
    void delete_object(const std::string& name, callback<bool> done);
    // Asks the weight store for a model version; passes true if it exists.
    void fetch_weights(const std::string& model, const std::string& version, callback<bool> done);

private:
    void call(const char* method, const QString& path, const QByteArray& content_type, const QByteArray& body,
              http_client::answer_callback done);

    http_client& m_client;
    QUrl m_base;
};

}  // namespace verbenahold
