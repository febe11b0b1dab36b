// Bytes that servers in trouble send in place of an answer, for tests of everything that
// reads answers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace verbenahold::samples {

using namespace std::string_literals;

// In a text, the place of the request's id.
inline constexpr std::string_view id_mark = "{id}";
inline const std::string own_fields = "Verbenahold-Attempt-Id: {id}\r\nVerbenahold-Origin-Signature: proof\r\n";
inline const std::string event = "id: 1\ndata: from the server\n\n";
inline const std::string sound_answer = "HTTP/1.1 200 OK\r\n" + own_fields + "Content-Length: 29\r\n\r\n" + event;

// An answer with this status line and these further header lines, each with its line end.
inline std::string answer_with(const std::string& status_line, const std::string& fields,
                               const std::string& body = event) {
    return status_line + "\r\n" + own_fields + fields + "\r\n" + body;
}

// An answer of status 200 with these header lines beside a sound length.
inline std::string answer_with_line(const std::string& line) {
    return answer_with("HTTP/1.1 200 OK", line + "\r\nContent-Length: 29\r\n");
}

struct answer_sample {
    std::string name;
    // Holds id_mark.
    std::string text;
};

inline std::vector<answer_sample> wrong_statuses() {
    std::vector<answer_sample> found;
    for (const auto* status : {"000", "001", "099", "600", "999"}) {
        const auto line = "HTTP/1.1 "s + status + " Status";
        found.push_back({status, answer_with(line, "Content-Length: 29\r\n")});
        found.push_back({status + " without a body"s, answer_with(line, "Content-Length: 0\r\n", {})});
        found.push_back({status + " without a length"s, answer_with(line, {}, {})});
        found.push_back({status + " before an answer"s, answer_with(line, {}, {}) + sound_answer});
        found.push_back(
            {status + " around an answer"s,
             answer_with(line, "Content-Length: " + std::to_string(sound_answer.size()) + "\r\n", {}) + sound_answer});
    }
    found.push_back({"an empty status", answer_with("HTTP/1.1  OK", "Content-Length: 29\r\n")});
    found.push_back({"a status of two digits", answer_with("HTTP/1.1 20 OK", "Content-Length: 29\r\n")});
    found.push_back({"a status of four digits", answer_with("HTTP/1.1 2000 OK", "Content-Length: 29\r\n")});
    found.push_back({"a negative status", answer_with("HTTP/1.1 -20 OK", "Content-Length: 29\r\n")});
    found.push_back({"a control byte in the reason", answer_with("HTTP/1.1 200 O\x01K", "Content-Length: 29\r\n")});
    return found;
}

inline std::vector<answer_sample> wrong_interims() {
    const auto around = [](const std::string& status_line) {
        return status_line + "\r\nContent-Length: " + std::to_string(sound_answer.size()) + "\r\n\r\n" + sound_answer;
    };
    return {
        {"a change of protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + sound_answer},
        {"an interim answer with a body", around("HTTP/1.1 103 Early Hints")},
        {"an interim answer in chunks", "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + sound_answer},
        {"no content with a body", answer_with("HTTP/1.1 204 No Content", "Content-Length: 29\r\n")},
        {"no content in chunks",
         answer_with("HTTP/1.1 204 No Content", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n")}};
}

inline std::vector<answer_sample> wrong_names() {
    std::vector<answer_sample> found;
    for (const int code : {0x00, 0x01, 0x09, 0x0b, 0x0d, 0x1f, 0x20, 0x22, 0x28, 0x2f, 0x5b, 0x7b, 0x7f, 0x80, 0xff}) {
        const std::string letter(1, static_cast<char>(code));
        const auto name = "byte " + std::to_string(code);
        found.push_back({name + " in a name", answer_with_line("Na" + letter + "me: x")});
        found.push_back({name + " after a name", answer_with_line("Name" + letter + ": x")});
        found.push_back({name + " after Content-Length",
                         answer_with("HTTP/1.1 200 OK", "Content-Length" + letter + ": 4\r\nContent-Length: 29\r\n")});
        found.push_back({name + " after the only Content-Length",
                         answer_with("HTTP/1.1 200 OK", "Content-Length" + letter + ": 29\r\n")});
        found.push_back({name + " after Transfer-Encoding",
                         answer_with("HTTP/1.1 200 OK", "Transfer-Encoding" + letter + ": chunked\r\n",
                                     "1d\r\n" + event + "\r\n0\r\n\r\n")});
        found.push_back({name + " in an interim answer's name",
                         "HTTP/1.1 103 Early Hints\r\nNa" + letter + "me: x\r\n\r\n" + sound_answer});
        found.push_back(
            {name + " in a trailer's name", answer_with("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
                                                        "1d\r\n" + event + "\r\n0\r\nNa" + letter + "me: x\r\n\r\n")});
    }
    found.push_back({"an empty name", answer_with_line(": x")});
    found.push_back({"a line without a colon", answer_with_line("Name")});
    found.push_back({"a blank before the first name",
                     "HTTP/1.1 200 OK\r\n Name: x\r\n" + own_fields + "Content-Length: 29\r\n\r\n" + event});
    return found;
}

inline std::vector<answer_sample> wrong_values() {
    return {{"a zero byte in a value", answer_with_line("Name: a\0b"s)},
            {"a control byte in a value", answer_with_line("Name: a\x01"
                                                           "b")},
            {"a carriage return in a value", answer_with_line("Name: a\rb")},
            {"a line feed in a value", answer_with_line("Name: a\nb")},
            {"a line that ends without a carriage return", answer_with_line("Name: a\nName: b")}};
}

inline std::vector<answer_sample> wrong_framings() {
    std::vector<answer_sample> found;
    for (const auto* coding : {"gzip", "identity", "xchunked", "chunked, gzip", "gzip, chunked", "chunked, chunked",
                               "chunked\r\nTransfer-Encoding: gzip", "gzip\r\nTransfer-Encoding: chunked", ""}) {
        const auto fields = "Transfer-Encoding: "s + coding + "\r\n";
        found.push_back({"coding "s + coding, answer_with("HTTP/1.1 200 OK", fields)});
        found.push_back({"chunks and coding "s + coding,
                         answer_with("HTTP/1.1 200 OK", fields, "1d\r\n" + event + "\r\n0\r\n\r\n")});
    }
    for (const auto* length : {"+29", "-29", "0x1d", "29x", "29 29", "29, 30", "29\r\nContent-Length: 30",
                               "29\r\nTransfer-Encoding: chunked", "", "99999999999999999999999"}) {
        found.push_back({"length "s + length, answer_with("HTTP/1.1 200 OK", "Content-Length: "s + length + "\r\n")});
    }
    for (const auto* size : {"", "x", "-1d", "+1d", "0x1d", "1d x", "1d;a b", "100000000000000000"}) {
        found.push_back({"chunk size "s + size, answer_with("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
                                                            size + "\r\n"s + event + "\r\n0\r\n\r\n")});
    }
    found.push_back({"a chunk longer than its size", answer_with("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
                                                                 "1c\r\n" + event + "\r\n0\r\n\r\n")});
    found.push_back({"chunks in HTTP 1.0", answer_with("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n",
                                                       "1d\r\n" + event + "\r\n0\r\n\r\n")});
    for (const auto* version : {"HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/11", "http/1.1", "ICY"}) {
        found.push_back({version, answer_with(version + " 200 OK"s, "Content-Length: 29\r\n")});
    }
    return found;
}

}  // namespace verbenahold::samples
