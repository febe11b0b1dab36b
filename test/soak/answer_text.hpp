// Text of HTTP answers and of events, as the stand-ins of the soak send them.
#pragma once

#include "http_types.hpp"

#include <array>
#include <cstdio>
#include <string>
#include <string_view>

namespace verbenahold::soak {

// Status line and fields, without the empty line.
inline std::string head_text(int status, const serving::header_fields& fields) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK\r\n" : " Failure\r\n");
    for (const auto& field : fields) {
        text += field.name + ": " + field.value + "\r\n";
    }
    return text;
}

inline std::string answer_text(int status, const serving::header_fields& fields, std::string_view body) {
    return head_text(status, fields) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string(body);
}

inline std::string chunk_text(std::string_view bytes) {
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + std::string(bytes) + "\r\n";
}

// Ids of events increase by the tokens that an event holds.
inline constexpr int event_id_step = 51;

// One event of the stream that answers a request.
inline std::string event_text(std::string_view attempt, int number) {
    return "id: " + std::to_string(number * event_id_step) + "\ndata: " + std::string(attempt) + " piece " +
           std::to_string(number) + "\n\n";
}

}  // namespace verbenahold::soak
