// The entry daemon's reads and writes of table rows: the configuration's head
// and changes, and claims of idempotency keys. Answers come as core events.
#pragma once

#include <QObject>

#include <functional>
#include <memory>

#include "platform_client.hpp"
#include "verbenahold/commands.hpp"
#include "verbenahold/events.hpp"

namespace verbenahold {

class entry_table : public QObject {
public:
    using event_sink = std::function<void(entry_event&&)>;

    // `platform` must outlive this object.
    entry_table(platform_client& platform, daemon_id self, event_sink sink, QObject* parent = nullptr);

    void run(const read_head& command);
    // Answers with the changes, or with all records if changes are missing.
    void run(const read_changes& command);
    // Inserts the claim row. When the answer is lost, the row is read back.
    void run(const claim_key& command);
    // Writes the outcome into the claim row; tries a few times.
    void run(const record_outcome& command);

private:
    struct whole_read;

    void fail(table_operation operation);
    void begin_whole_read(int tries_left);
    void read_record_page(const std::shared_ptr<whole_read>& state);
    void finish_whole_read(const std::shared_ptr<whole_read>& state);
    void read_claim(const claim_key& command, int tries_left);
    void write_outcome(const record_outcome& command, int tries_left);

    platform_client& m_platform;
    daemon_id m_self;
    event_sink m_sink;
};

}  // namespace verbenahold
