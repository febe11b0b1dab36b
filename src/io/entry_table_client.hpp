// The entry daemon's access to rows of the table service: the head and the
// changes of the configuration, and claims of idempotency keys. Results are
// delivered as events for the core.
#pragma once

#include <QObject>

#include <functional>
#include <memory>

#include "platform_client.hpp"
#include "verbenahold/commands.hpp"
#include "verbenahold/events.hpp"

namespace verbenahold {

class entry_table_client : public QObject {
public:
    using event_sink = std::function<void(entry_event&&)>;

    // `platform` must outlive this object.
    entry_table_client(platform_client& platform, daemon_id self, event_sink sink, QObject* parent = nullptr);

    void run(const read_head& command);
    // Delivers the changes, or all records if some changes no longer exist.
    void run(const read_changes& command);
    // Inserts the claim row. If the answer is lost, reads the row back to learn
    // the outcome.
    void run(const claim_key& command);
    // Writes the outcome into the claim row, with a few retries.
    void run(const record_outcome& command);

private:
    struct full_read;

    void fail(table_operation operation);
    void begin_full_read(int tries_left);
    void read_record_page(const std::shared_ptr<full_read>& state);
    void finish_full_read(const std::shared_ptr<full_read>& state);
    void read_claim(const claim_key& command, int tries_left);
    void write_outcome(const record_outcome& command, int tries_left);

    platform_client& m_platform;
    daemon_id m_self;
    event_sink m_sink;
};

}  // namespace verbenahold
