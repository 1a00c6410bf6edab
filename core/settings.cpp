// The property_tree INI parser does the reading; it knows no schema and keeps no
// line numbers, so the line of a key at fault is looked up in the text. Each key is
// then parsed by its rule's type, and what the file leaves out is parsed from the
// rule's default, so that a default out of its own range is found by any test.

#include "core/settings.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <fmt/format.h>

#include "core/check.h"
#include "core/error.h"

namespace figrack {
namespace {

constexpr auto maxFileBytes = std::size_t { 1 } << 20;

struct DurationUnit
{
    std::string_view name;
    std::int64_t nanos;
};

// Largest first: durationText() takes the first that is exact.
constexpr auto durationUnits = std::array<DurationUnit, 6> { {
        { "d", 86'400'000'000'000 },
        { "h", 3'600'000'000'000 },
        { "m", 60'000'000'000 },
        { "s", 1'000'000'000 },
        { "ms", 1'000'000 },
        { "us", 1'000 },
} };

constexpr auto typeNames = std::array<std::string_view, 6> {
    "text", "number", "duration", "address", "list of name@ip:port", "true or false"
};

auto badSetting(const std::string &argument) -> absl::Status
{
    return makeError(ErrorKind::BadSettings, argument);
}

auto badValue(std::string_view text, std::string_view wanted) -> absl::Status
{
    return badSetting(fmt::format("value=\"{}\" wanted=\"{}\"", text, wanted));
}

auto trim(std::string_view text) -> std::string_view
{
    constexpr auto blanks = std::string_view { " \t\r\n" };
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

template<typename Number>
auto parseNumber(std::string_view text, Number &value) -> bool
{
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    return error == std::errc {} && rest == end;
}

auto boundText(const SettingRule &rule, std::int64_t bound) -> std::string
{
    if (rule.type == SettingType::Duration)
        return durationText(Duration { bound });
    return std::to_string(bound);
}

auto rangeText(const SettingRule &rule) -> std::string
{
    return fmt::format("{} from {} to {}", typeNames[static_cast<std::size_t>(rule.type)],
                       boundText(rule, rule.min), boundText(rule, rule.max));
}

auto parseNamedAddress(std::string_view text) -> absl::StatusOr<NamedAddress>
{
    const auto at = text.find('@');
    if (at == std::string_view::npos || at == 0)
        return badValue(text, "name@ip:port");
    auto address = parseAddress(trim(text.substr(at + 1)));
    if (!address.ok())
        return address.status();
    return NamedAddress { std::string { trim(text.substr(0, at)) }, *std::move(address) };
}

auto parseAddressList(std::string_view text) -> absl::StatusOr<std::vector<NamedAddress>>
{
    auto list = std::vector<NamedAddress> {};
    auto names = std::set<std::string> {};
    while (!trim(text).empty()) {
        const auto comma = text.find(',');
        auto entry = parseNamedAddress(trim(text.substr(0, comma)));
        if (!entry.ok())
            return entry.status();
        if (!names.insert(entry->name).second)
            return badValue(entry->name, "each name once");
        list.push_back(*std::move(entry));
        text = comma == std::string_view::npos ? std::string_view {} : text.substr(comma + 1);
    }
    return list;
}

auto parseFlag(std::string_view text) -> absl::StatusOr<bool>
{
    if (text == "true")
        return true;
    if (text == "false")
        return false;
    return badValue(text, "true or false");
}

auto mayBeEmpty(const SettingRule &rule) -> bool
{
    return !rule.required && rule.defaultValue.empty();
}

/// The line on which a key of a section stands, or 0.
auto lineOf(std::string_view text, std::string_view section, std::string_view name) -> std::size_t
{
    auto current = std::string_view {};
    for (auto number = std::size_t { 1 }; !text.empty(); ++number) {
        const auto end = text.find('\n');
        const auto line = trim(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view {} : text.substr(end + 1);
        if (line.starts_with('['))
            current = trim(line.substr(1, line.find(']') - 1));
        else if (current == section && trim(line.substr(0, line.find('='))) == name)
            return number;
    }
    return 0;
}

auto placed(std::string_view file, std::size_t line, std::string_view key,
            std::string_view complaint) -> absl::Status
{
    if (line == 0)
        return badSetting(fmt::format("file={} key={} {}", file, key, complaint));
    return badSetting(fmt::format("file={} line={} key={} {}", file, line, key, complaint));
}

auto splitKey(std::string_view key) -> std::pair<std::string_view, std::string_view>
{
    const auto dot = key.find('.');
    FIGRACK_CHECK(dot != std::string_view::npos && key.find('.', dot + 1) == std::string_view::npos,
                  "a key of a schema is section.name");
    return { key.substr(0, dot), key.substr(dot + 1) };
}

/// A key as it stands in the file. One outside of any section has an empty section.
struct WrittenKey
{
    std::string section;
    std::string name;
    std::string value;
};

using KeyValues = std::unordered_map<std::string, WrittenKey>; ///< By "section.name".

auto readKeys(std::string_view text, std::string_view file) -> absl::StatusOr<KeyValues>
{
    auto stream = std::istringstream { std::string { text } };
    auto tree = boost::property_tree::ptree {};
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        return badSetting(fmt::format("file={} line={} {}", file, error.line(), error.message()));
    }
    auto keys = KeyValues {};
    for (const auto &[section, children] : tree) {
        // The parser drops empty sections, so what has no children is a key.
        if (children.empty())
            keys["." + section] = { "", section, children.data() };
        for (const auto &[name, child] : children)
            keys[fmt::format("{}.{}", section, name)] = { section, name, child.data() };
    }
    return keys;
}

auto rejectUnknown(const KeyValues &keys, const std::vector<SettingRule> &schema,
                   std::string_view text, std::string_view file) -> absl::Status
{
    auto known = std::set<std::string_view> {};
    for (const auto &rule : schema)
        known.insert(rule.key);
    for (const auto &[key, written] : keys) {
        if (known.contains(key))
            continue;
        return placed(file, lineOf(text, written.section, written.name), key,
                      "is unknown: remove it or correct its spelling (--help-settings lists all)");
    }
    return absl::OkStatus();
}

auto makeRule(SettingType type, std::string key, std::string help) -> SettingRule
{
    auto rule = SettingRule {};
    rule.key = std::move(key);
    rule.type = type;
    rule.help = std::move(help);
    rule.required = true;
    return rule;
}

auto withDefault(SettingRule rule, std::string value) -> SettingRule
{
    rule.required = false;
    rule.defaultValue = std::move(value);
    return rule;
}

auto withRange(SettingRule rule, std::int64_t min, std::int64_t max) -> SettingRule
{
    rule.min = min;
    rule.max = max;
    return rule;
}

auto describeRule(const SettingRule &rule) -> std::string
{
    const auto ranged = rule.type == SettingType::Number || rule.type == SettingType::Duration;
    const auto type = ranged ? rangeText(rule)
                             : std::string { typeNames[static_cast<std::size_t>(rule.type)] };
    const auto need = rule.required ? "required" : mayBeEmpty(rule) ? "optional" : "default below";
    const auto name = std::string { splitKey(rule.key).second };
    return fmt::format("; {} ({}; {})\n{} = {}\n", rule.help, type, need, name, rule.defaultValue);
}

} // namespace

auto Address::text() const -> std::string
{
    const auto isV6 = ip.find(':') != std::string::npos;
    return isV6 ? fmt::format("[{}]:{}", ip, port) : fmt::format("{}:{}", ip, port);
}

auto parseAddress(std::string_view text) -> absl::StatusOr<Address>
{
    constexpr auto wanted = std::string_view { "an IP number and a port, as 10.0.0.1:8080" };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return badValue(text, wanted);
    auto ip = text.substr(0, colon);
    const auto bracketed = ip.size() > 2 && ip.starts_with('[') && ip.ends_with(']');
    if (bracketed)
        ip = ip.substr(1, ip.size() - 2);
    auto port = std::uint16_t { 0 };
    if (!parseNumber(text.substr(colon + 1), port))
        return badValue(text, wanted);
    auto error = boost::system::error_code {};
    const auto number = boost::asio::ip::make_address(std::string { ip }, error);
    if (error || number.is_v6() != bracketed)
        return badValue(text, wanted);
    return Address { number.to_string(), port };
}

auto parseDuration(std::string_view text) -> absl::StatusOr<Duration>
{
    constexpr auto wanted
            = std::string_view { "a whole number and a unit of us, ms, s, m, h or d, as 250ms" };
    const auto digits = std::min(text.find_first_not_of("0123456789"), text.size());
    auto count = std::int64_t { 0 };
    if (!parseNumber(text.substr(0, digits), count))
        return badValue(text, wanted);
    for (const auto &unit : durationUnits) {
        if (text.substr(digits) != unit.name)
            continue;
        if (count > std::numeric_limits<std::int64_t>::max() / unit.nanos)
            return badValue(text, "a duration under 290 years");
        return Duration { count * unit.nanos };
    }
    return badValue(text, wanted);
}

auto durationText(Duration duration) -> std::string
{
    const auto nanos = duration.count();
    if (nanos == 0)
        return "0s";
    for (const auto &unit : durationUnits) {
        if (nanos % unit.nanos == 0)
            return fmt::format("{}{}", nanos / unit.nanos, unit.name);
    }
    return fmt::format("{}us", nanos / durationUnits.back().nanos);
}

auto textRule(std::string key, std::string help) -> SettingRule
{
    return makeRule(SettingType::Text, std::move(key), std::move(help));
}

auto textRule(std::string key, std::string help, std::string defaultValue) -> SettingRule
{
    return withDefault(textRule(std::move(key), std::move(help)), std::move(defaultValue));
}

auto numberRule(std::string key, std::string help, std::int64_t min, std::int64_t max)
        -> SettingRule
{
    return withRange(makeRule(SettingType::Number, std::move(key), std::move(help)), min, max);
}

auto numberRule(std::string key, std::string help, std::int64_t min, std::int64_t max,
                std::int64_t defaultValue) -> SettingRule
{
    return withDefault(numberRule(std::move(key), std::move(help), min, max),
                       std::to_string(defaultValue));
}

auto durationRule(std::string key, std::string help, Duration min, Duration max) -> SettingRule
{
    return withRange(makeRule(SettingType::Duration, std::move(key), std::move(help)), min.count(),
                     max.count());
}

auto durationRule(std::string key, std::string help, Duration min, Duration max,
                  Duration defaultValue) -> SettingRule
{
    return withDefault(durationRule(std::move(key), std::move(help), min, max),
                       durationText(defaultValue));
}

auto addressRule(std::string key, std::string help) -> SettingRule
{
    return makeRule(SettingType::Address, std::move(key), std::move(help));
}

auto addressRule(std::string key, std::string help, std::string defaultValue) -> SettingRule
{
    return withDefault(addressRule(std::move(key), std::move(help)), std::move(defaultValue));
}

auto addressListRule(std::string key, std::string help) -> SettingRule
{
    return makeRule(SettingType::AddressList, std::move(key), std::move(help));
}

auto addressListRule(std::string key, std::string help, std::string defaultValue) -> SettingRule
{
    return withDefault(addressListRule(std::move(key), std::move(help)), std::move(defaultValue));
}

auto flagRule(std::string key, std::string help, bool defaultValue) -> SettingRule
{
    return withDefault(makeRule(SettingType::Flag, std::move(key), std::move(help)),
                       defaultValue ? "true" : "false");
}

auto Settings::read(const std::string &path, const std::vector<SettingRule> &schema)
        -> absl::StatusOr<Settings>
{
    auto file = std::ifstream { path, std::ios::binary };
    auto text = std::string(maxFileBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file.is_open() || file.bad())
        return badSetting(fmt::format("file={} cannot be read: {}", path, std::strerror(errno)));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > maxFileBytes)
        return badSetting(fmt::format("file={} is longer than {} bytes", path, maxFileBytes));
    return parse(text, path, schema);
}

auto Settings::parse(std::string_view text, std::string_view name,
                     const std::vector<SettingRule> &schema) -> absl::StatusOr<Settings>
{
    auto keys = readKeys(text, name);
    if (!keys.ok())
        return keys.status();
    if (auto status = rejectUnknown(*keys, schema, text, name); !status.ok())
        return status;
    auto settings = Settings {};
    settings.source_ = name;
    for (const auto &rule : schema) {
        const auto found = keys->find(rule.key);
        if (found == keys->end() && rule.required)
            return placed(name, 0, rule.key, fmt::format("is required: add it ({})", rule.help));
        const auto &written = found == keys->end() ? rule.defaultValue : found->second.value;
        auto value = parseValue(rule, written);
        if (!value.ok()) {
            const auto [section, key] = splitKey(rule.key);
            return placed(name, lineOf(text, section, key), rule.key,
                          errorArgument(value.status()));
        }
        settings.values_.emplace(rule.key, *std::move(value));
    }
    return settings;
}

auto Settings::parseValue(const SettingRule &rule, std::string_view text) -> absl::StatusOr<Value>
{
    const auto wrap = [](auto parsed) -> absl::StatusOr<Value> {
        if (!parsed.ok())
            return parsed.status();
        return Value { *std::move(parsed) };
    };
    const auto inRange
            = [&rule](std::int64_t number) { return number >= rule.min && number <= rule.max; };
    if (text.empty() && !mayBeEmpty(rule))
        return badValue(text, "a value");
    switch (rule.type) {
    case SettingType::Text:
        return Value { std::string { text } };
    case SettingType::Number: {
        auto number = std::int64_t { 0 };
        if (!parseNumber(text, number) || !inRange(number))
            return badValue(text, "a whole " + rangeText(rule));
        return Value { number };
    }
    case SettingType::Duration: {
        auto duration = parseDuration(text);
        if (duration.ok() && !inRange(duration->count()))
            return badValue(text, "a " + rangeText(rule));
        return wrap(std::move(duration));
    }
    case SettingType::Address:
        return text.empty() ? absl::StatusOr<Value> { Address {} } : wrap(parseAddress(text));
    case SettingType::AddressList:
        return wrap(parseAddressList(text));
    case SettingType::Flag:
        return wrap(parseFlag(text));
    }
    return badValue(text, "a known type of setting");
}

template<typename T>
auto Settings::get(std::string_view key) const -> const T &
{
    const auto found = values_.find(std::string { key });
    FIGRACK_CHECK(found != values_.end(), "only keys of the schema are asked for");
    const auto *value = std::get_if<T>(&found->second);
    FIGRACK_CHECK(value != nullptr, "a key is asked for by its own type");
    return *value;
}

auto Settings::text(std::string_view key) const -> const std::string &
{
    return get<std::string>(key);
}

auto Settings::number(std::string_view key) const -> std::int64_t
{
    return get<std::int64_t>(key);
}

auto Settings::duration(std::string_view key) const -> Duration
{
    return get<Duration>(key);
}

auto Settings::address(std::string_view key) const -> const Address &
{
    return get<Address>(key);
}

auto Settings::addresses(std::string_view key) const -> const std::vector<NamedAddress> &
{
    return get<std::vector<NamedAddress>>(key);
}

auto Settings::flag(std::string_view key) const -> bool
{
    return get<bool>(key);
}

auto describeSettings(const std::vector<SettingRule> &schema) -> std::string
{
    auto sections = std::vector<std::string_view> {};
    for (const auto &rule : schema) {
        const auto section = splitKey(rule.key).first;
        if (std::find(sections.begin(), sections.end(), section) == sections.end())
            sections.push_back(section);
    }
    auto text = std::string {};
    for (const auto section : sections) {
        text += fmt::format("{}[{}]\n", text.empty() ? "" : "\n", section);
        for (const auto &rule : schema) {
            if (splitKey(rule.key).first == section)
                text += describeRule(rule);
        }
    }
    return text;
}

} // namespace figrack
