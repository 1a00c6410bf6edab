// The line is built as text in the event and handed to easylogging++ in one
// call. Levels are filtered here, before any text is built.

#include "core/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>

#include <poll.h>
#include <unistd.h>

#include <easylogging++.h>
#include <fmt/format.h>

#include "core/error.h"

INITIALIZE_EASYLOGGINGPP

namespace figrack {
namespace {

constexpr auto levelNames = std::array<std::string_view, 4> { "debug", "info", "warning", "error" };

std::atomic<LogLevel> lowestLevel { LogLevel::Info };
// The library's own default is a file; ours, also before startLogging(), is standard output.
std::atomic<bool> writesToFile { false };

auto processName() -> std::string &
{
    static auto name = std::string {};
    return name;
}

auto needsQuotes(std::string_view value) -> bool
{
    if (value.empty())
        return true;
    for (const auto c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte <= ' ' || byte == '"' || byte == '\\' || byte == '=' || byte == 0x7f)
            return true;
    }
    return false;
}

auto appendQuoted(std::string &line, std::string_view value) -> void
{
    constexpr auto digits = std::string_view { "0123456789abcdef" };
    line += '"';
    for (const auto c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte == '"' || byte == '\\') {
            line += '\\';
            line += c;
        } else if (byte < ' ' || byte == 0x7f) {
            line += "\\x";
            line += digits[byte >> 4];
            line += digits[byte & 15];
        } else {
            line += c;
        }
    }
    line += '"';
}

auto isoTime() -> std::string
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto millis
            = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()
            % 1000;
    auto parts = std::tm {};
    gmtime_r(&seconds, &parts);
    auto text = std::array<char, 40> {};
    const auto size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    return fmt::format("{}.{:03}Z", std::string_view { text.data(), size }, millis);
}

/// Standard output, with a bound on lines and without ever waiting.
class OutputGate
{
public:
    auto write(std::string &line) -> void
    {
        const auto lock = std::lock_guard { mutex_ };
        refill();
        if (tokens_ < 1) {
            ++dropped_;
            return;
        }
        if (dropped_ > 0)
            line += fmt::format(" dropped={}", dropped_);
        line += '\n';
        auto ready = pollfd { STDOUT_FILENO, POLLOUT, 0 };
        const auto canTake = ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
        if (!canTake || ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            ++dropped_;
            return;
        }
        tokens_ -= 1;
        dropped_ = 0;
    }

private:
    auto refill() -> void
    {
        const auto now = std::chrono::steady_clock::now();
        const auto passed = std::chrono::duration<double> { now - refilledAt_ }.count();
        refilledAt_ = now;
        tokens_ = std::min<double>(maxLinesPerSecond, tokens_ + passed * maxLinesPerSecond);
    }

    std::mutex mutex_; ///< Guards all below; a leaf in the lock order.
    double tokens_ = maxLinesPerSecond;
    std::chrono::steady_clock::time_point refilledAt_ = std::chrono::steady_clock::now();
    std::uint64_t dropped_ = 0; ///< Since the last line that went out.
};

auto outputGate() -> OutputGate &
{
    static auto gate = OutputGate {};
    return gate;
}

} // namespace

auto logLevelName(LogLevel level) -> std::string_view
{
    return levelNames[static_cast<std::size_t>(level) % levelNames.size()];
}

auto startLogging(const LogOptions &options) -> absl::Status
{
    if (!options.file.empty()) {
        auto *probe = std::fopen(options.file.c_str(), "a");
        if (probe == nullptr)
            return makeError(ErrorKind::BadSettings, "log.file=" + options.file);
        std::fclose(probe);
    }
    lowestLevel = options.level;
    processName() = options.process;
    auto configuration = el::Configurations {};
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    const auto toFile = !options.file.empty();
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::ToFile, toFile ? "true" : "false");
    if (toFile) {
        configuration.setGlobally(el::ConfigurationType::Filename, options.file);
        configuration.setGlobally(el::ConfigurationType::MaxLogFileSize,
                                  std::to_string(options.maxFileBytes));
    }
    el::Loggers::addFlag(el::LoggingFlag::StrictLogFileSizeCheck);
    el::Loggers::reconfigureAllLoggers(configuration);
    // The library truncates at the size bound; keeping one old file makes it a rotation.
    el::Helpers::installPreRollOutCallback([](const char *path, std::size_t) {
        std::rename(path, fmt::format("{}.1", path).c_str());
    });
    writesToFile = toFile;
    return absl::OkStatus();
}

LogEvent::LogEvent(LogLevel level, std::string_view event)
    : level_(level)
    , enabled_(level >= lowestLevel.load(std::memory_order_relaxed))
{
    if (!enabled_)
        return;
    line_ = fmt::format("at={} level={}", isoTime(), logLevelName(level));
    if (!processName().empty())
        with("process", std::string_view { processName() });
    with("event", event);
}

LogEvent::~LogEvent()
{
    if (!enabled_)
        return;
    if (writesToFile) {
        LOG(INFO) << line_;
        return;
    }
    outputGate().write(line_);
}

auto LogEvent::with(std::string_view key, std::string_view value) -> LogEvent &
{
    if (!enabled_)
        return *this;
    line_ += fmt::format(" {}=", key);
    if (needsQuotes(value))
        appendQuoted(line_, value);
    else
        line_ += value;
    return *this;
}

auto LogEvent::with(std::string_view key, std::int64_t value) -> LogEvent &
{
    if (enabled_)
        line_ += fmt::format(" {}={}", key, value);
    return *this;
}

auto LogEvent::with(std::string_view key, std::uint64_t value) -> LogEvent &
{
    if (enabled_)
        line_ += fmt::format(" {}={}", key, value);
    return *this;
}

auto LogEvent::with(std::string_view key, double value) -> LogEvent &
{
    if (enabled_)
        line_ += fmt::format(" {}={}", key, value);
    return *this;
}

auto LogEvent::with(std::string_view key, bool value) -> LogEvent &
{
    return with(key, value ? std::string_view { "true" } : std::string_view { "false" });
}

auto LogEvent::with(const absl::Status &status) -> LogEvent &
{
    if (!enabled_)
        return *this;
    with("error", errorName(errorKind(status)));
    return with("detail", std::string_view { status.message().data(), status.message().size() });
}

} // namespace figrack
