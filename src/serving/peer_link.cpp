#include "peer_link.hpp"

#include "log_line.hpp"
#include "server_connection.hpp"
#include "serving.pb.h"

#include <cmath>

namespace verbenahold::serving {

namespace {

using boost::asio::ip::udp;

// Room that one status takes in a datagram, with names of usual length.
constexpr std::size_t max_status_bytes = 400;

udp::endpoint udp_endpoint_of(const std::string& address) {
    const auto endpoint = endpoint_of(address);
    return {endpoint.address(), endpoint.port()};
}

std::uint32_t milliseconds_of(duration value) {
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

daemon_status status_of(const wire::Status& message, std::uint64_t boot) {
    daemon_status status;
    status.boot = boot;
    status.name = message.name();
    status.zone = zone_name(message.zone());
    status.front_address = message.front_address();
    status.peer_address = message.peer_address();
    status.accepting = message.accepting();
    status.operator_rows = {message.operator_rows_era(), message.operator_rows_version()};
    status.server_rows = {message.server_rows_era(), message.server_rows_version()};
    status.store_in_reach = message.store_in_reach();
    status.leaving = message.leaving();
    status.active = !message.stands_by();
    status.shares_work = !message.works_alone();
    status.cores = usable_amount(message.cores());
    status.requests_per_second = usable_amount(message.requests_per_second());
    status.chosen_hosts.assign(message.chosen_hosts().begin(), message.chosen_hosts().end());
    return status;
}

void fill_status(wire::Status& message, const daemon_status& status) {
    message.set_boot(status.boot);
    message.set_name(status.name);
    message.set_zone(status.zone.value);
    message.set_front_address(status.front_address);
    message.set_peer_address(status.peer_address);
    message.set_accepting(status.accepting);
    message.set_operator_rows_version(status.operator_rows.version);
    message.set_operator_rows_era(status.operator_rows.era);
    message.set_server_rows_version(status.server_rows.version);
    message.set_server_rows_era(status.server_rows.era);
    message.set_store_in_reach(status.store_in_reach);
    message.set_leaving(status.leaving);
    message.set_stands_by(!status.active);
    message.set_works_alone(!status.shares_work);
    message.set_cores(static_cast<float>(status.cores));
    message.set_requests_per_second(static_cast<float>(status.requests_per_second));
    for (const auto& host : status.chosen_hosts) {
        message.add_chosen_hosts(host);
    }
}

template <class Message>
std::vector<request_trait> traits_of(const Message& message) {
    return {message.traits().begin(), message.traits().end()};
}

// The statement names a server, and a limit in it is an amount. One that isn't says neither
// what the limit is nor that there is none.
bool is_readable(const wire::LimitStatement& message) {
    const double amount = message.requests_per_second();
    return !message.server().empty() && std::isfinite(amount) && amount >= 0;
}

limit_statement statement_of(const wire::LimitStatement& message, time_point now) {
    limit_statement statement{server_name(message.server()), std::nullopt,
                              now - std::chrono::milliseconds(message.age_ms())};
    if (message.has_requests_per_second()) {
        statement.requests_per_second = message.requests_per_second();
    }
    return statement;
}

void fill_crash(wire::ServerCrash& message, const crash_observation& crash, time_point now) {
    message.set_server_run(crash.server_run);
    message.set_age_ms(milliseconds_of(now - crash.at));
    message.mutable_traits()->Add(crash.traits.begin(), crash.traits.end());
}

void fill_block(wire::TraitBlock& message, const trait_block& block, time_point now) {
    message.mutable_traits()->Add(block.traits.begin(), block.traits.end());
    message.set_round(block.round);
    message.set_cleared(block.cleared);
    message.set_expires_in_ms(milliseconds_of(block.expires - now));
}

void fill_limit(wire::LimitStatement& message, const limit_statement& limit, time_point now) {
    message.set_server(limit.server.value);
    if (limit.requests_per_second) {
        message.set_requests_per_second(*limit.requests_per_second);
    }
    message.set_age_ms(milliseconds_of(now - limit.at));
}

void fill_leaving(wire::LeavingStatement& message, const leaving_statement& leaving, time_point /*now*/) {
    message.set_server(leaving.server.value);
    message.set_started_at_unix_ms(leaving.started_at_unix_ms);
}

// A crash or a block whose traits don't fit in one message, and one part of them.
template <class Item>
struct part_of {
    const Item* item = nullptr;
    std::span<const request_trait> traits;
    trait_set_id set;
};

template <class Item>
bool fits_in_message(const Item& item) {
    return item.traits.size() <= max_traits_per_message;
}

template <class Item>
void add_parts(std::vector<part_of<Item>>& parts, const Item& item) {
    const std::span<const request_trait> all(item.traits);
    const trait_set_id set{digest_of(all), all.size()};
    for (std::size_t first = 0; first < all.size(); first += max_traits_per_message) {
        parts.push_back({&item, all.subspan(first, std::min(max_traits_per_message, all.size() - first)), set});
    }
}

// Separates what fits in one message from what has to be sent in parts.
template <class Item>
std::pair<std::vector<Item>, std::vector<part_of<Item>>> split_by_size(const std::vector<Item>& items) {
    std::pair<std::vector<Item>, std::vector<part_of<Item>>> split;
    for (const auto& item : items) {
        if (fits_in_message(item)) {
            split.first.push_back(item);
        } else {
            add_parts(split.second, item);
        }
    }
    return split;
}

template <class Message>
void name_set(Message& message, const trait_set_id& set) {
    message.set_set(set.digest);
    message.set_set_size(static_cast<std::uint32_t>(set.size));
}

void fill_crash_part(wire::CrashPart& message, const part_of<crash_observation>& part, time_point now) {
    name_set(message, part.set);
    auto& crash = *message.mutable_crash();
    crash.set_server_run(part.item->server_run);
    crash.set_age_ms(milliseconds_of(now - part.item->at));
    crash.mutable_traits()->Add(part.traits.begin(), part.traits.end());
}

void fill_block_part(wire::BlockPart& message, const part_of<trait_block>& part, time_point now) {
    name_set(message, part.set);
    auto& block = *message.mutable_block();
    block.set_round(part.item->round);
    block.set_cleared(part.item->cleared);
    block.set_expires_in_ms(milliseconds_of(part.item->expires - now));
    block.mutable_traits()->Add(part.traits.begin(), part.traits.end());
}

// Fills messages from a list, beginning at `first`, as far as the datagram has room.
// Returns the first item that had none, with which the next datagram should begin.
template <class Item, class Message>
std::size_t fill_in_turn(std::span<const Item> items, std::size_t first, wire::Datagram& datagram,
                         google::protobuf::RepeatedPtrField<Message>& messages,
                         void (*fill)(Message&, const Item&, time_point), time_point now) {
    // Smaller items may still have room behind one that has none.
    constexpr int max_misses = 8;
    int misses = 0;
    std::optional<std::size_t> left_out;
    for (std::size_t position = 0; position < items.size(); ++position) {
        const auto index = (first + position) % items.size();
        fill(*messages.Add(), items[index], now);
        if (datagram.ByteSizeLong() > max_datagram_bytes) {
            messages.RemoveLast();
            left_out = left_out.value_or(index);
            if (++misses >= max_misses) {
                break;
            }
        }
    }
    return left_out.value_or(0);
}

void fill_work(wire::WorkUpdate& message, const work_update& update) {
    message.set_number(update.id.number);
    message.set_event(static_cast<std::uint32_t>(update.event));
    message.set_lifetime_ms(milliseconds_of(update.lifetime));
    message.set_account(update.account);
    message.set_server_ms(static_cast<float>(update.server_ms));
    for (const auto& item : update.items) {
        auto& part = *message.add_items();
        part.set_server(item.server.value);
        part.set_read_ms(static_cast<float>(item.prefill_ms));
        part.set_context_tokens(static_cast<std::uint64_t>(item.context_tokens));
        part.set_writes(item.decodes);
        part.set_pause_ms(milliseconds_of(item.event_gap_target));
        part.set_target_ms(milliseconds_of(item.latency_target));
        part.set_weight(static_cast<float>(item.weight));
    }
    for (const auto& prefix : update.prefixes) {
        message.add_prefixes(prefix.hash);
        message.add_prefix_tokens(static_cast<std::uint64_t>(prefix.tokens));
    }
}

work_item item_of(const wire::WorkItem& message) {
    work_item item;
    item.server = server_name(message.server());
    item.prefill_ms = message.read_ms();
    item.context_tokens = static_cast<std::int64_t>(message.context_tokens());
    item.decodes = message.writes();
    item.event_gap_target = std::chrono::milliseconds(message.pause_ms());
    item.latency_target = std::chrono::milliseconds(message.target_ms());
    item.weight = message.weight();
    return item;
}

}  // namespace

peer_link::peer_link(gateway_state& state, std::function<daemon_status()> own_status)
    : m_state(state),
      m_own_status(std::move(own_status)),
      m_socket(state.loop),
      m_batch(std::make_unique<wire::Datagram>()) {}

peer_link::~peer_link() = default;

bool peer_link::open(const std::string& address, std::string& fault) {
    m_own_address = address;
    const auto endpoint = udp_endpoint_of(address);
    boost::system::error_code error;
    m_socket.open(endpoint.protocol(), error);
    if (!error) {
        m_socket.bind(endpoint, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        fault = "can't bind UDP " + address + ": " + error.message();
        return false;
    }
    receive();
    return true;
}

void peer_link::close() {
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

const udp::endpoint& peer_link::endpoint_at(const std::string& address) {
    const auto [found, inserted] = m_endpoints.try_emplace(address);
    if (inserted) {
        found->second = udp_endpoint_of(address);
        if (found->second.port() == 0) {
            log_line("ignored daemon address").add("address", address).warn();
        }
    }
    return found->second;
}

void peer_link::receive() {
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender,
                                [this](const boost::system::error_code& error, std::size_t size) {
                                    if (error == boost::asio::error::operation_aborted) {
                                        return;
                                    }
                                    // Other errors report that a sent datagram reached a closed
                                    // port.
                                    if (!error) {
                                        m_state.guard.run({"peer datagram", {}}, [&] { handle_datagram(size); });
                                    }
                                    receive();
                                });
}

void peer_link::handle_datagram(std::size_t size) {
    wire::Datagram datagram;
    if (!datagram.ParseFromArray(m_buffer.data(), static_cast<int>(size)) || datagram.boot() == m_state.boot) {
        m_state.counters.add("datagrams_ignored");
        return;
    }
    const auto now = m_state.timers.now();
    if (datagram.has_status()) {
        handle_status(status_of(datagram.status(), datagram.boot()), now, false);
    }
    for (const auto& relayed : datagram.relayed()) {
        handle_status(status_of(relayed.status(), relayed.status().boot()),
                      now - std::chrono::milliseconds(relayed.age_ms()), true);
    }
    for (const auto& update : datagram.work()) {
        apply_work_update(datagram.boot(), update);
    }
    for (const auto& server : datagram.troubled_servers()) {
        m_state.servers.report_failure(server_name(server), now);
    }
    for (const auto& report : datagram.reports()) {
        m_state.on_report({server_name(report.server()), static_cast<int>(report.requests()),
                           static_cast<std::int64_t>(report.held_tokens()), report.pace(), 0});
    }
    if (datagram.has_waiting()) {
        const auto weight = std::min<std::uint32_t>(datagram.waiting(), max_turn_weight);
        m_state.turns.on_waiting(datagram.boot(), static_cast<int>(weight), now);
    }
    handle_crash_knowledge(datagram, now);
    for (const auto& limit : datagram.limits()) {
        if (is_readable(limit)) {
            m_state.statements.limits().on_statement(statement_of(limit, now), now);
        }
    }
    for (const auto& leaving : datagram.leaving()) {
        m_state.statements.on_leaving({server_name(leaving.server()), leaving.started_at_unix_ms()}, now);
    }
}

void peer_link::handle_crash_knowledge(const wire::Datagram& datagram, time_point now) {
    for (const auto& sound : datagram.sound_requests()) {
        m_state.crashes.on_sound_request(traits_of(sound), now - std::chrono::milliseconds(sound.age_ms()), now);
    }
    const auto take_block = [&](const wire::TraitBlock& block, std::vector<request_trait> traits) {
        m_state.crashes.on_reported_block(
            {std::move(traits), block.round(), block.cleared(), now + std::chrono::milliseconds(block.expires_in_ms())},
            now);
    };
    const auto take_crash = [&](const wire::ServerCrash& crash, std::vector<request_trait> traits) {
        m_state.crashes.on_crash(
            {crash.server_run(), now - std::chrono::milliseconds(crash.age_ms()), std::move(traits)}, now);
    };
    for (const auto& block : datagram.blocks()) {
        take_block(block, traits_of(block));
    }
    for (const auto& part : datagram.block_parts()) {
        if (auto whole = m_trait_sets.add({part.set(), part.set_size()}, traits_of(part.block()))) {
            take_block(part.block(), std::move(*whole));
        }
    }
    for (const auto& crash : datagram.crashes()) {
        take_crash(crash, traits_of(crash));
    }
    for (const auto& part : datagram.crash_parts()) {
        if (auto whole = m_trait_sets.add({part.set(), part.set_size()}, traits_of(part.crash()))) {
            take_crash(part.crash(), std::move(*whole));
        }
    }
    for (const auto& death : datagram.deaths()) {
        if (death.deaths() >= crashes_to_block) {
            m_state.crashes.on_reported_block({{death.fingerprint()}, 1, false, now + block_time}, now);
        }
    }
}

void peer_link::handle_status(const daemon_status& status, time_point heard_at, bool is_relayed) {
    if (status.name == m_state.settings.host.value) {
        return;
    }
    if (status.name.empty() || endpoint_of(status.peer_address).port() == 0) {
        m_state.counters.add("statuses_ignored");
        return;
    }
    const bool is_new =
        is_relayed ? m_state.daemons.on_relayed_status(status, heard_at) : m_state.daemons.on_status(status, heard_at);
    if (is_new) {
        log_line("daemon joined").add("daemon", status.name).add("boot", status.boot).info();
        m_state.forget_work_of_ended_daemons();
    }
    if (!is_relayed) {
        tell_open_work(status);
    }
    if (m_state.notices.on_daemon_status) {
        m_state.notices.on_daemon_status(status);
    }
}

void peer_link::tell_open_work(const daemon_status& status) {
    if (!status.shares_work) {
        m_told_of_open_work.erase(status.name);
        return;
    }
    auto& told = m_told_of_open_work[status.name];
    if (told == status.boot) {
        return;
    }
    told = status.boot;
    const std::array<std::string, 1> target{status.peer_address};
    wire::Datagram datagram;
    for (const auto& work : m_state.load.list_open_work(m_state.boot, m_state.timers.now())) {
        const auto event = work.in_prefill ? work_event::open_in_prefill : work_event::open_after_prefill;
        work_update update;
        update.id = work.id;
        update.event = event;
        update.items = work.items;
        update.lifetime = work.lifetime;
        fill_work(*datagram.add_work(), update);
        if (datagram.ByteSizeLong() > max_datagram_bytes / 2) {
            send(datagram, target);
            datagram.Clear();
        }
    }
    if (datagram.work_size() > 0) {
        send(datagram, target);
    }
}

void peer_link::apply_work_update(std::uint64_t boot, const wire::WorkUpdate& update) {
    const auto now = m_state.timers.now();
    const work_id id{boot, update.number()};
    switch (static_cast<work_event>(update.event())) {
        case work_event::started:
            m_state.count_account_use(update.account(), update.server_ms());
            for (const auto& item : update.items()) {
                if (item.writes()) {
                    m_state.statements.limits().on_sent(server_name(item.server()), now);
                }
                m_state.load.add(id, item_of(item), now, now + std::chrono::milliseconds(update.lifetime_ms()));
            }
            break;
        case work_event::read:
            m_state.load.on_prefill_done(id, now);
            note_prefixes(update);
            break;
        case work_event::ended:
            m_state.load.remove(id, now);
            note_prefixes(update);
            break;
        case work_event::open_in_prefill:
        case work_event::open_after_prefill:
            if (m_state.load.contains(id)) {
                break;
            }
            for (const auto& item : update.items()) {
                m_state.load.add(id, item_of(item), now, now + std::chrono::milliseconds(update.lifetime_ms()));
            }
            if (static_cast<work_event>(update.event()) == work_event::open_after_prefill) {
                m_state.load.on_prefill_done(id, now);
            }
            break;
    }
}

void peer_link::note_prefixes(const wire::WorkUpdate& update) {
    const int count = update.prefixes_size();
    if (count == 0) {
        return;
    }
    if (count != update.prefix_tokens_size() || count > static_cast<int>(max_announced_prefixes) ||
        update.items_size() != 1) {
        m_state.counters.add("prefixes_ignored");
        return;
    }
    const server_name server(update.items(0).server());
    const auto* engine = m_state.caching_engine_of(server);
    if (engine == nullptr) {
        return;
    }
    std::vector<prefix_part> prefixes;
    prefixes.reserve(max_announced_prefixes);
    for (int index = 0; index < count; ++index) {
        prefixes.push_back({update.prefixes(index), static_cast<std::int64_t>(update.prefix_tokens(index))});
    }
    const auto now = m_state.timers.now();
    m_state.prefixes.on_prefilled(server, m_state.servers.find(server, now)->started_at_unix_ms, prefixes,
                                  engine->prefix_cache_tokens, now);
}

void peer_link::send_status() {
    const auto now = m_state.timers.now();
    wire::Datagram datagram;
    fill_status(*datagram.mutable_status(), m_own_status());
    datagram.set_waiting(static_cast<std::uint32_t>(m_state.own_turn_weight()));
    add_crash_knowledge(datagram, now);
    add_statements(datagram, now);
    send(datagram, m_state.role.heartbeat_targets_in_zone(now));
    send(datagram, m_state.role.heartbeat_targets_elsewhere(now));
}

void peer_link::add_crash_knowledge(wire::Datagram& datagram, time_point now) {
    const auto all_blocks = m_state.crashes.list_blocks(now);
    const auto [blocks, block_parts] = split_by_size(all_blocks);
    m_first_block =
        fill_in_turn<trait_block>(blocks, m_first_block, datagram, *datagram.mutable_blocks(), fill_block, now);
    const auto all_crashes = m_state.crashes.list_recent_crashes(now);
    const auto [crashes, crash_parts] = split_by_size(all_crashes);
    m_first_crash =
        fill_in_turn<crash_observation>(crashes, m_first_crash, datagram, *datagram.mutable_crashes(), fill_crash, now);
    m_first_block_part = fill_in_turn<part_of<trait_block>>(block_parts, m_first_block_part, datagram,
                                                            *datagram.mutable_block_parts(), fill_block_part, now);
    m_first_crash_part = fill_in_turn<part_of<crash_observation>>(
        crash_parts, m_first_crash_part, datagram, *datagram.mutable_crash_parts(), fill_crash_part, now);
}

void peer_link::add_statements(wire::Datagram& datagram, time_point now) {
    const auto leaving = m_state.statements.list_leaving();
    m_first_leaving = fill_in_turn<leaving_statement>(leaving, m_first_leaving, datagram, *datagram.mutable_leaving(),
                                                      fill_leaving, now);
    const auto limits = m_state.statements.limits().list_recent(now);
    m_first_limit =
        fill_in_turn<limit_statement>(limits, m_first_limit, datagram, *datagram.mutable_limits(), fill_limit, now);
}

void peer_link::relay_statuses() {
    const auto now = m_state.timers.now();
    std::vector<std::string> standby;
    for (const auto& [name, member] : m_state.daemons.members()) {
        if (member.status.zone == m_state.settings.zone && !member.status.shares_work) {
            standby.push_back(member.status.peer_address);
        }
    }
    if (standby.empty()) {
        return;
    }
    wire::Datagram datagram;
    for (const auto& [name, member] : m_state.daemons.members()) {
        if (member.is_relayed || !member.status.shares_work || member.status.zone == m_state.settings.zone) {
            continue;
        }
        auto& relayed = *datagram.add_relayed();
        fill_status(*relayed.mutable_status(), member.status);
        relayed.set_age_ms(milliseconds_of(now - member.last_heard));
        if (datagram.ByteSizeLong() > max_datagram_bytes - max_status_bytes) {
            send(datagram, standby);
            datagram.Clear();
        }
    }
    if (datagram.relayed_size() > 0) {
        send(datagram, standby);
    }
}

void peer_link::send_work(const work_update& update) {
    fill_work(*m_batch->add_work(), update);
    schedule_flush();
}

void peer_link::send_trouble(const server_name& server) {
    m_batch->add_troubled_servers(server.value);
    schedule_flush();
}

void peer_link::send_report(const server_report& report) {
    auto& message = *m_batch->add_reports();
    message.set_server(report.server.value);
    message.set_requests(static_cast<std::uint32_t>(report.requests));
    message.set_held_tokens(static_cast<std::uint64_t>(report.held_tokens));
    message.set_pace(static_cast<float>(report.slowdown));
    schedule_flush();
}

void peer_link::send_crash(const crash_observation& crash) {
    const auto now = m_state.timers.now();
    if (fits_in_message(crash)) {
        fill_crash(*m_batch->add_crashes(), crash, now);
        schedule_flush();
        return;
    }
    std::vector<part_of<crash_observation>> parts;
    add_parts(parts, crash);
    for (const auto& part : parts) {
        fill_crash_part(*m_batch->add_crash_parts(), part, now);
        schedule_flush();
    }
}

void peer_link::send_limit(const limit_statement& limit) {
    fill_limit(*m_batch->add_limits(), limit, m_state.timers.now());
    schedule_flush();
}

void peer_link::send_leaving(const leaving_statement& leaving) {
    fill_leaving(*m_batch->add_leaving(), leaving, m_state.timers.now());
    schedule_flush();
}

void peer_link::send_waiting(int weight) {
    m_batch->set_waiting(static_cast<std::uint32_t>(weight));
    schedule_flush();
}

void peer_link::send_sound_request(std::span<const request_trait> traits, time_point began) {
    const auto age_ms = milliseconds_of(m_state.timers.now() - began);
    // Each trait is sound for itself.
    for (; !traits.empty(); traits = traits.subspan(std::min(max_traits_per_message, traits.size()))) {
        const auto part = traits.first(std::min(max_traits_per_message, traits.size()));
        auto& message = *m_batch->add_sound_requests();
        message.mutable_traits()->Add(part.begin(), part.end());
        message.set_age_ms(age_ms);
        schedule_flush();
    }
}

void peer_link::schedule_flush() {
    if (m_batch->ByteSizeLong() > max_datagram_bytes / 2) {
        flush();
    } else if (!m_flush_scheduled) {
        m_flush_scheduled = true;
        m_state.timers.after(batching_delay, [this] {
            m_flush_scheduled = false;
            flush();
        });
    }
}

void peer_link::flush() {
    if (m_batch->ByteSizeLong() == 0) {
        return;
    }
    send(*m_batch, work_targets());
    m_batch->Clear();
}

std::span<const std::string> peer_link::work_targets() {
    if (m_targets_revision != m_state.daemons.revision()) {
        m_targets_revision = m_state.daemons.revision();
        m_work_targets = m_state.role.work_targets();
    }
    return m_work_targets;
}

void peer_link::send(const wire::Datagram& datagram, std::span<const std::string> addresses) {
    if (addresses.empty()) {
        return;
    }
    wire::Datagram stamped_datagram = datagram;
    stamped_datagram.set_boot(m_state.boot);
    const std::string bytes = stamped_datagram.SerializeAsString();
    for (const auto& address : addresses) {
        const auto& endpoint = endpoint_at(address);
        if (endpoint.port() == 0) {
            continue;
        }
        boost::system::error_code error;
        m_socket.send_to(boost::asio::buffer(bytes), endpoint, 0, error);
        if (error) {
            m_state.counters.add("datagrams_unsent");
        }
    }
}

}  // namespace verbenahold::serving
