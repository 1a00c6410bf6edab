// Settings from an INI file, checked against a schema at start.
//
//   const auto schema = std::vector<SettingRule> {
//       textRule("node.id", "this process's name"),                 // required
//       numberRule("router.queue", "requests that may wait", 1, 100'000, 2048),
//       durationRule("router.lease", "how long ...", 100ms, 10s, 1500ms),
//       addressRule("router.listen", "where callers connect"),      // required
//       flagRule("router.cors", "whether ...", false),
//   };
//   auto settings = Settings::read(path, schema);   // BadSettings with file, line, key, remedy
//   settings->number("router.queue");
//
// Guarantees: an unknown key, a missing required key, a value that does not
// parse or is out of range is an error before anything else starts. After a
// successful read() every key of the schema has a checked value, so the
// getters cannot fail; asking for a key outside the schema is a failed check.

#ifndef FIGRACK_CORE_SETTINGS_H
#define FIGRACK_CORE_SETTINGS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "core/clock.h"

namespace figrack {

/// An IPv4 or IPv6 number and a port; names are never resolved.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for one.
    auto operator<=>(const Address &) const = default;
    /// @return "ip:port", with brackets around an IPv6 number
    auto text() const -> std::string;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(ip, port);
    }
};

/// Parses "127.0.0.1:8080" or "[::1]:8080".
/// @param text the address
/// @return the address, or BadSettings naming the text
auto parseAddress(std::string_view text) -> absl::StatusOr<Address>;

/// Parses a duration with its unit: "250ms", "2s", "10m", "1h"; also us and d.
/// @param text the duration
/// @return the duration, or BadSettings naming the text
auto parseDuration(std::string_view text) -> absl::StatusOr<Duration>;

/// @return the duration as parseDuration() reads it, in the largest unit that is exact;
/// parts of a microsecond are cut
auto durationText(Duration duration) -> std::string;

enum class SettingType : std::uint8_t { Text, Number, Duration, Address, AddressList, Flag };

/// One key of a schema.
struct SettingRule
{
    std::string key; ///< "section.name"
    SettingType type = SettingType::Text;
    std::string help; ///< One line; printed by --help-settings.
    bool required = false;
    std::string defaultValue; ///< As it would be written in the file; unused when required.
    std::int64_t min = 0;     ///< Numbers as they are; durations in nanoseconds.
    std::int64_t max = INT64_MAX;
};

/// @name Rules. Without a default the key is required. An empty default of a text, an address or
/// an address list makes the key optional: it then reads as empty when left out.
/// @{
auto textRule(std::string key, std::string help) -> SettingRule;
auto textRule(std::string key, std::string help, std::string defaultValue) -> SettingRule;
auto numberRule(std::string key, std::string help, std::int64_t min, std::int64_t max)
        -> SettingRule;
auto numberRule(std::string key, std::string help, std::int64_t min, std::int64_t max,
                std::int64_t defaultValue) -> SettingRule;
auto durationRule(std::string key, std::string help, Duration min, Duration max) -> SettingRule;
auto durationRule(std::string key, std::string help, Duration min, Duration max,
                  Duration defaultValue) -> SettingRule;
auto addressRule(std::string key, std::string help) -> SettingRule;
auto addressRule(std::string key, std::string help, std::string defaultValue) -> SettingRule;
auto addressListRule(std::string key, std::string help) -> SettingRule;
auto addressListRule(std::string key, std::string help, std::string defaultValue) -> SettingRule;
auto flagRule(std::string key, std::string help, bool defaultValue) -> SettingRule;
/// @}

/// A named peer, written "name@ip:port" in an address list.
struct NamedAddress
{
    std::string name;
    Address address;
    auto operator==(const NamedAddress &) const -> bool = default;
};

/// The checked settings of a process; made by read() or parse().
class Settings
{
public:
    /// Reads and checks a file.
    /// @param path the INI file
    /// @param schema every key the program knows
    /// @return the settings, or BadSettings with file, line, key and remedy
    static auto read(const std::string &path, const std::vector<SettingRule> &schema)
            -> absl::StatusOr<Settings>;
    /// As read(), from text. @param name stands for the file in errors
    static auto parse(std::string_view text, std::string_view name,
                      const std::vector<SettingRule> &schema) -> absl::StatusOr<Settings>;

    /// @name Getters of a key of the schema, by its type.
    /// @{
    auto text(std::string_view key) const -> const std::string &;
    auto number(std::string_view key) const -> std::int64_t;
    auto duration(std::string_view key) const -> Duration;
    auto address(std::string_view key) const -> const Address &;
    auto addresses(std::string_view key) const -> const std::vector<NamedAddress> &;
    auto flag(std::string_view key) const -> bool;
    /// @}

    /// @return the file that was read, or the name given to parse()
    auto source() const -> const std::string & { return source_; }

private:
    using Value = std::variant<std::string, std::int64_t, Duration, Address,
                               std::vector<NamedAddress>, bool>;
    template<typename T>
    auto get(std::string_view key) const -> const T &;
    static auto parseValue(const SettingRule &rule, std::string_view text) -> absl::StatusOr<Value>;

    std::string source_;
    std::unordered_map<std::string, Value> values_;
};

/// The schema as an INI sample with one comment line a key.
/// @param schema every key the program knows
/// @return text that parses once the required keys are filled in
auto describeSettings(const std::vector<SettingRule> &schema) -> std::string;

} // namespace figrack

#endif // FIGRACK_CORE_SETTINGS_H
