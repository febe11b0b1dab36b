#include "daemon_record.hpp"

#include <charconv>
#include <cmath>

namespace verbenahold::serving {

namespace {

constexpr char separator = ';';
constexpr std::string_view zone_field = "zone=";
constexpr std::string_view cores_field = "cores=";

// Removes the text up to the next separator from `rest` and returns it.
std::string_view take_field(std::string_view& rest) {
    const auto end = rest.find(separator);
    const auto field = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    return field;
}

}  // namespace

double usable_amount(double value) {
    return std::isfinite(value) && value > 0 ? value : 0;
}

std::string encode_daemon_record(const daemon_record& record) {
    std::string value = record.peer_address;
    value.append(1, separator).append(zone_field).append(record.zone.value);
    value.append(1, separator).append(cores_field).append(std::to_string(record.cores));
    return value;
}

daemon_record decode_daemon_record(std::string_view name, std::string_view value) {
    daemon_record record;
    record.name = name;
    record.peer_address = take_field(value);
    while (!value.empty()) {
        const auto field = take_field(value);
        if (field.starts_with(zone_field)) {
            record.zone = zone_name(std::string(field.substr(zone_field.size())));
        } else if (field.starts_with(cores_field)) {
            const auto text = field.substr(cores_field.size());
            std::from_chars(text.data(), text.data() + text.size(), record.cores);
            record.cores = usable_amount(record.cores);
        }
    }
    return record;
}

}  // namespace verbenahold::serving
