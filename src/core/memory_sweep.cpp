#include "memory_sweep.hpp"

#include <charconv>
#include <utility>

namespace verbenahold {

namespace {

// Streams with this daemon's id that it doesn't know are cancelled after this
// many listings: the first one may have been made before the stream ended.
constexpr int min_unknown_listings = 2;

std::vector<std::string_view> split_fields(std::string_view id) {
    std::vector<std::string_view> fields;
    while (true) {
        const std::size_t dot = id.find('.');
        fields.push_back(id.substr(0, dot));
        if (dot == std::string_view::npos)
            return fields;
        id.remove_prefix(dot + 1);
    }
}

std::optional<daemon_id> parse_daemon(std::string_view host, std::string_view incarnation) {
    std::uint64_t number = 0;
    const char* end = incarnation.data() + incarnation.size();
    const auto [stop, error] = std::from_chars(incarnation.data(), end, number);
    if (host.empty() || error != std::errc() || stop != end)
        return std::nullopt;
    return daemon_id{host_name(host), number};
}

}  // namespace

std::optional<daemon_id> parse_stream_owner(std::string_view stream) {
    constexpr std::size_t stream_fields = 6;
    const std::vector<std::string_view> fields = split_fields(stream);
    if (fields.size() != stream_fields)
        return std::nullopt;
    return parse_daemon(fields[4], fields[5]);
}

std::optional<daemon_id> parse_origin(std::string_view id) {
    const std::vector<std::string_view> fields = split_fields(id);
    if (fields.size() < 3)
        return std::nullopt;
    return parse_daemon(fields[0], fields[1]);
}

memory_sweep::result memory_sweep::on_listing(const stream_listing& listing, const membership& members,
                                              const std::function<bool(std::string_view)>& is_known, time_point now) {
    result swept;
    std::unordered_map<std::string, observation> listed_now;
    for (const listed_stream& stream : listing.streams) {
        observation seen = m_observations[stream.stream];
        if (must_cancel(stream, members, is_known(stream.stream), seen, now))
            swept.streams.push_back(stream.stream);
        listed_now[stream.stream] = seen;
    }
    for (const listed_reservation& held : listing.reservations) {
        // A reservation belongs to its caller side, not to the owner that made it.
        const std::optional<daemon_id> origin = parse_origin(held.reservation);
        if (origin && !is_known(held.reservation) && members.is_dead_for(*origin, dead_creator_grace, now))
            swept.reservations.push_back(held.reservation);
    }
    m_observations = std::move(listed_now);
    return swept;
}

bool memory_sweep::must_cancel(const listed_stream& stream, const membership& members, bool known, observation& seen,
                               time_point now) {
    if (stream.has_reader)
        seen.without_reader_since.reset();
    else if (!seen.without_reader_since)
        seen.without_reader_since = now;
    const std::optional<daemon_id> creator = parse_stream_owner(stream.stream);
    if (!creator || known) {
        seen.unknown_listings = 0;
        return false;
    }
    if (*creator == members.self())
        return ++seen.unknown_listings >= min_unknown_listings;
    const bool dead = members.is_dead_for(*creator, dead_creator_grace, now);
    return dead && seen.without_reader_since && now - *seen.without_reader_since >= no_reader_grace;
}

}  // namespace verbenahold
