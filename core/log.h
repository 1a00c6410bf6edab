// One log line of key=value pairs an event.
//
//   LogEvent(LogLevel::Info, "order_sent").with("endpoint", id).with("term", term);
//
// Standard output is never waited for: a line that it cannot take at once is dropped, and so
// are lines beyond maxLinesPerSecond; the next line that goes out says how many, as dropped=.
//
// The line is written when the LogEvent goes out of scope. Values with spaces,
// quotes or control characters are quoted and escaped, so a line never splits.
// The logging library is behind log.cpp: its macros clash with doctest's.
// Never pass a token, key or request body as a value.

#ifndef FIGRACK_CORE_LOG_H
#define FIGRACK_CORE_LOG_H

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "core/ids.h"

namespace figrack {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// The name of a level: "debug", "info", "warning", "error".
auto logLevelName(LogLevel level) -> std::string_view;

/// Of standard output, averaged; bursts of as many lines go out at once. A line costs some 10 us.
constexpr auto maxLinesPerSecond = 200;

struct LogOptions
{
    LogLevel level = LogLevel::Info; ///< Lines below it are dropped.
    std::string file;                ///< Path of the log file; empty writes to standard output.
    std::uint64_t maxFileBytes = 64ULL << 20; ///< At this size the file is rotated.
    std::string process;                      ///< Put on every line as process=.
};

/// Configures logging once, before the first thread starts.
/// @param options the level, file and rotation
/// @return BadSettings when the file cannot be opened
auto startLogging(const LogOptions &options) -> absl::Status;

/// One event, written at the end of its scope.
class LogEvent
{
public:
    LogEvent(LogLevel level, std::string_view event);
    ~LogEvent();
    LogEvent(const LogEvent &) = delete;
    auto operator=(const LogEvent &) -> LogEvent & = delete;

    auto with(std::string_view key, std::string_view value) -> LogEvent &;
    auto with(std::string_view key, const char *value) -> LogEvent &
    {
        return with(key, std::string_view { value });
    }
    auto with(std::string_view key, std::int64_t value) -> LogEvent &;
    auto with(std::string_view key, std::uint64_t value) -> LogEvent &;
    auto with(std::string_view key, int value) -> LogEvent &
    {
        return with(key, std::int64_t { value });
    }
    auto with(std::string_view key, double value) -> LogEvent &;
    auto with(std::string_view key, bool value) -> LogEvent &;
    /// Adds error= and detail=.
    auto with(const absl::Status &status) -> LogEvent &;

    template<typename Tag>
    auto with(std::string_view key, const NumberId<Tag> &id) -> LogEvent &
    {
        return with(key, id.value());
    }
    template<typename Tag>
    auto with(std::string_view key, const NameId<Tag> &id) -> LogEvent &
    {
        return with(key, std::string_view { id.value() });
    }

private:
    LogLevel level_;
    bool enabled_;
    std::string line_;
};

} // namespace figrack

#endif // FIGRACK_CORE_LOG_H
