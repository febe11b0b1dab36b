#include "settings.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <QHostAddress>
#include <QString>
#include <QUrl>

namespace verbenahold {

namespace {

namespace po = boost::program_options;

constexpr int fault_exit_code = 2;

std::string variable_name(std::string_view option) {
    std::string name = "VERBENAHOLD_";
    for (const char letter : option) {
        name += letter == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
    return name;
}

template <class T>
std::optional<T> parse_number(std::string_view text) {
    T number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::string range_of(const option_definition& option) {
    std::ostringstream range;
    range.precision(15);
    range << " from " << option.min_value << " to " << option.max_value;
    return range.str();
}

bool is_name(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_';
    });
}

bool is_url(std::string_view text) {
    const QUrl url(QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size())), QUrl::StrictMode);
    return url.isValid() && (url.scheme() == "http" || url.scheme() == "https") && !url.host().isEmpty();
}

// Description of valid values of the option, for error messages.
std::string expected(const option_definition& option) {
    switch (option.type) {
        case option_type::text:
            return "text";
        case option_type::integer:
            return "a whole number" + range_of(option);
        case option_type::decimal:
            return "a number" + range_of(option);
        case option_type::boolean:
            return "true or false";
        case option_type::address:
            return "an IP address and port, such as 127.0.0.1:4711";
        case option_type::file:
            return "a readable file";
        case option_type::url:
            return "a URL such as http://127.0.0.1:8080";
        case option_type::name:
            return "letters, digits, '-' and '_'";
    }
    return {};
}

using option_value = std::variant<std::string, std::int64_t, double, bool>;

template <class T>
std::optional<option_value> parse_ranged(const option_definition& option, std::string_view text) {
    const auto number = parse_number<T>(text);
    if (!number || static_cast<double>(*number) < option.min_value || static_cast<double>(*number) > option.max_value) {
        return std::nullopt;
    }
    return option_value(*number);
}

std::optional<option_value> parse_boolean(std::string_view text) {
    if (text == "true") {
        return option_value(true);
    }
    if (text == "false") {
        return option_value(false);
    }
    return std::nullopt;
}

std::optional<option_value> parse_value(const option_definition& option, const std::string& text) {
    const auto keep_if = [&](bool good) { return good ? std::optional<option_value>(text) : std::nullopt; };
    switch (option.type) {
        case option_type::text:
            return text;
        case option_type::integer:
            return parse_ranged<std::int64_t>(option, text);
        case option_type::decimal:
            return parse_ranged<double>(option, text);
        case option_type::boolean:
            return parse_boolean(text);
        case option_type::address:
            return keep_if(parse_address(text).has_value());
        case option_type::file:
            return keep_if(std::ifstream(text).good());
        case option_type::url:
            return keep_if(is_url(text));
        case option_type::name:
            return keep_if(is_name(text));
    }
    return std::nullopt;
}

std::string default_note(const option_definition& option) {
    if (!option.default_value.empty()) {
        return " (default " + std::string(option.default_value) + ")";
    }
    return option.optional ? " (optional)" : " (required)";
}

po::options_description describe(std::span<const option_definition> options) {
    po::options_description description("Settings");
    auto add = description.add_options();
    for (const option_definition& option : options) {
        auto* semantic = po::value<std::string>()->value_name("VALUE");
        const std::string help =
            std::string(option.help) + default_note(option) + " [" + variable_name(option.name) + "]";
        add(std::string(option.name).c_str(), semantic, help.c_str());
    }
    add("help", po::bool_switch(), "print this help and exit");
    add("print-config", po::bool_switch(), "check the settings, print them and exit");
    add("argument", po::value<std::vector<std::string>>(), "arguments that are not flags");
    return description;
}

// Replaces a boolean flag without a value by --name=true, because an implicit
// value in Boost.Program_options would consume the next argument.
std::vector<std::string> with_boolean_values(std::span<const option_definition> options,
                                             std::vector<std::string> arguments) {
    for (std::string& argument : arguments) {
        const bool bare = std::any_of(options.begin(), options.end(), [&](const option_definition& option) {
            return option.type == option_type::boolean && argument == "--" + std::string(option.name);
        });
        if (bare) {
            argument += "=true";
        }
    }
    return arguments;
}

std::string help_text(std::string_view program, std::string_view purpose, const po::options_description& description) {
    std::ostringstream text;
    text << program << ": " << purpose << "\n\n"
         << "Each setting is given by its flag or, if the flag is absent, by the environment\n"
         << "variable in brackets.\n\n"
         << description;
    return text.str();
}

std::string print_value(const option_value& value) {
    std::ostringstream text;
    text.precision(15);
    text << std::boolalpha;
    std::visit([&](const auto& held) { text << held; }, value);
    return text.str();
}

}  // namespace

std::optional<address_parts> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
    const QHostAddress ip(QString::fromUtf8(host.data(), static_cast<qsizetype>(host.size())));
    if (!port || ip.isNull()) {
        return std::nullopt;
    }
    return address_parts{std::string(host), *port};
}

std::vector<option_definition> shared_options() {
    return {
        {"log-level", option_type::name, "info", "lowest level of log lines: debug, info, warn or error"},
        {"platform-url", option_type::url, "", "the platform's table service, object store and host list"},
    };
}

settings_result settings::read(std::string_view program, std::string_view purpose,
                               std::span<const option_definition> options, const std::vector<std::string>& arguments,
                               const environment& variables) {
    const po::options_description description = describe(options);
    po::positional_options_description positional;
    positional.add("argument", -1);
    po::variables_map given;
    try {
        const auto style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
        po::store(po::command_line_parser(with_boolean_values(options, arguments))
                      .options(description)
                      .positional(positional)
                      .style(style)
                      .run(),
                  given);
    } catch (const po::error& fault) {
        return settings_exit{fault_exit_code, std::string(program) + ": " + fault.what() + "\n"};
    }
    if (given["help"].as<bool>()) {
        return settings_exit{0, help_text(program, purpose, description)};
    }

    settings result;
    std::string faults;
    std::string printed;
    for (const option_definition& option : options) {
        const std::string name(option.name);
        const std::string variable = variable_name(option.name);
        std::string source = "--" + name;
        std::optional<std::string> text;
        if (given.count(name) != 0) {
            text = given[name].as<std::string>();
        } else if ((text = variables(variable))) {
            source = variable;
        } else if (!option.default_value.empty()) {
            text = option.default_value;
        }
        if (!text && !option.optional) {
            faults.append(program).append(": --").append(name).append(" (or ").append(variable);
            faults.append(") is required: ").append(expected(option)).append("\n");
            continue;
        }
        const auto parsed = text ? parse_value(option, *text) : std::optional<option_value>(std::string());
        if (!parsed) {
            faults += std::string(program) + ": " + source + ": '" + *text + "' is not " + expected(option) + "\n";
            continue;
        }
        printed += name + "=" + (option.secret ? "(hidden)" : print_value(*parsed)) + "\n";
        result.m_values.emplace(name, *parsed);
    }
    if (!faults.empty()) {
        return settings_exit{fault_exit_code, faults};
    }
    if (given["print-config"].as<bool>()) {
        return settings_exit{0, printed};
    }
    if (given.count("argument") != 0) {
        result.m_positional = given["argument"].as<std::vector<std::string>>();
    }
    return result;
}

settings_result settings::read(std::string_view program, std::string_view purpose,
                               std::span<const option_definition> options, int argc, char** argv) {
    const std::vector<std::string> arguments(argv + std::min(argc, 1), argv + argc);
    return read(program, purpose, options, arguments, [](const std::string& name) -> std::optional<std::string> {
        // getenv is safe here: settings are read before any thread is started.
        const char* found = std::getenv(name.c_str());  // NOLINT(concurrency-mt-unsafe)
        return found == nullptr ? std::nullopt : std::optional<std::string>(found);
    });
}

const settings::value& settings::find(std::string_view name) const {
    const auto found = m_values.find(name);
    if (found == m_values.end()) {
        throw std::logic_error("no setting named " + std::string(name));
    }
    return found->second;
}

namespace {

template <class T>
const T& get_as(const option_value& value, std::string_view name) {
    const T* held = std::get_if<T>(&value);
    if (held == nullptr) {
        throw std::logic_error("setting " + std::string(name) + " has another type");
    }
    return *held;
}

}  // namespace

const std::string& settings::text(std::string_view name) const {
    return get_as<std::string>(find(name), name);
}
std::int64_t settings::integer(std::string_view name) const {
    return get_as<std::int64_t>(find(name), name);
}
double settings::decimal(std::string_view name) const {
    return get_as<double>(find(name), name);
}
bool settings::boolean(std::string_view name) const {
    return get_as<bool>(find(name), name);
}
endpoint settings::address(std::string_view name) const {
    return endpoint{text(name)};
}
duration settings::milliseconds(std::string_view name) const {
    return std::chrono::milliseconds(integer(name));
}

}  // namespace verbenahold
