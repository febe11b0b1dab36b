// Reads the settings of a program from flags and environment variables. They are
// defined by a table of typed options. All values are checked at start, and each
// error is reported in one line.
#pragma once

#include <boost/outcome.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "verbenahold/types.hpp"

namespace verbenahold {

enum class option_type : std::uint8_t {
    text,
    // Whole number between `min_value` and `max_value`.
    integer,
    // Decimal number between `min_value` and `max_value`.
    decimal,
    // "true" or "false"; a flag without a value means true.
    boolean,
    // IP number and port, as in "127.0.0.1:4711" or "[::1]:4711". Port 0 is
    // allowed: the kernel chooses.
    address,
    // Path of a readable file.
    file,
    // An http or https URL without a path, for example
    // "http://127.0.0.1:8080".
    url,
    // A name of letters, digits, '-' and '_'.
    name,
};

// One setting: flag --name and environment variable VERBENAHOLD_NAME, with
// '-' written as '_' there. A setting without a default is required unless
// `optional` is set; then its value is empty.
struct option_definition {
    std::string_view name;
    option_type type = option_type::text;
    std::string_view default_value;
    std::string_view help;
    bool optional = false;
    double min_value = 0;
    double max_value = 1e15;
    // Hidden in --print-config.
    bool secret = false;
};

// Settings shared by entry, control and verbenactl.
std::vector<option_definition> shared_options();

// Exit code and output of a program that ends after reading its settings: code 0
// and the help or the configuration for standard output, or code 2 and the errors
// for standard error.
struct settings_exit {
    int code = 0;
    std::string text;
};

class settings;
using settings_result =
    BOOST_OUTCOME_V2_NAMESPACE::result<settings, settings_exit, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

class settings {
public:
    using environment = std::function<std::optional<std::string>(const std::string&)>;

    // Reads flags first, then the environment, then defaults.
    static settings_result read(std::string_view program, std::string_view purpose,
                                std::span<const option_definition> options, const std::vector<std::string>& arguments,
                                const environment& variables);
    // The same with the arguments of main and the environment of the process.
    static settings_result read(std::string_view program, std::string_view purpose,
                                std::span<const option_definition> options, int argc, char** argv);

    // Values by name. A name that is not in the table, or one of another type, is
    // a programming error and throws std::logic_error.
    [[nodiscard]] const std::string& text(std::string_view name) const;
    [[nodiscard]] std::int64_t integer(std::string_view name) const;
    [[nodiscard]] double decimal(std::string_view name) const;
    [[nodiscard]] bool boolean(std::string_view name) const;
    [[nodiscard]] endpoint address(std::string_view name) const;
    // The duration of an integer setting in milliseconds.
    [[nodiscard]] duration milliseconds(std::string_view name) const;
    // Arguments that are not flags, in order.
    [[nodiscard]] const std::vector<std::string>& positional() const { return m_positional; }

private:
    using value = std::variant<std::string, std::int64_t, double, bool>;

    [[nodiscard]] const value& find(std::string_view name) const;

    std::map<std::string, value, std::less<>> m_values;
    std::vector<std::string> m_positional;
};

// Host and port of "127.0.0.1:4711" or "[::1]:4711"; empty if malformed.
struct address_parts {
    std::string host;
    std::uint16_t port = 0;
};
std::optional<address_parts> parse_address(std::string_view text);

}  // namespace verbenahold
