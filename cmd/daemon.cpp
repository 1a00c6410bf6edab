// A daemon starts in this order: command line, settings, logging, run(). Errors before
// logging has started are printed on standard error as plain lines.

#include "cmd/daemon.h"

#include <csignal>
#include <cstring>
#include <iostream>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/strand.hpp>
#include <malloc.h>

#include "cmd/commandline.h"
#include "core/crypto.h"
#include "core/error.h"
#include "core/log.h"
#include "core/version.h"

namespace figrack::cmd {
namespace {

auto parseLevel(const std::string &name) -> absl::StatusOr<LogLevel>
{
    for (const auto level :
         { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
        if (logLevelName(level) == name)
            return level;
    }
    return makeError(ErrorKind::BadSettings,
                     "key=log.level value=" + name + " wanted=\"debug, info, warning or error\"");
}

auto setUpLogging(const DaemonProgram &program, const Settings &settings) -> absl::Status
{
    const auto level = parseLevel(settings.text("log.level"));
    if (!level.ok())
        return level.status();
    auto options = LogOptions {};
    options.level = *level;
    options.file = settings.text("log.file");
    options.maxFileBytes = static_cast<std::uint64_t>(settings.number("log.max_bytes"));
    options.process = program.nameKey.empty() ? program.name : settings.text(program.nameKey);
    return startLogging(options);
}

auto report(const DaemonProgram &program, const absl::Status &status) -> ExitCode
{
    std::cerr << program.name << ": " << status.message() << '\n';
    return ExitCode::Usage;
}

auto allRules(const DaemonProgram &program) -> std::vector<SettingRule>
{
    auto rules = program.rules;
    for (auto &rule : logRules())
        rules.push_back(std::move(rule));
    return rules;
}

auto exitCodeOf(const absl::Status &status) -> ExitCode
{
    switch (errorKind(status)) {
    case ErrorKind::Ok:
        return ExitCode::Ok;
    case ErrorKind::BadSettings:
        return ExitCode::Usage;
    case ErrorKind::DiskFull:
    case ErrorKind::DiskFailed:
    case ErrorKind::Corrupt:
        return ExitCode::Disk;
    default:
        return ExitCode::Failed;
    }
}

/// Makes the allocator give large blocks back to the kernel when they are freed. By default it
/// keeps blocks of up to 32 MiB in the heap once it has freed one of that size, and bodies of many
/// sizes leave gaps there that count as memory of the process.
auto limitKeptMemory() -> void
{
    constexpr auto largeBlock = 256 << 10;
    constexpr auto maxKeptAtTop = 4 << 20;
    if (::mallopt(M_MMAP_THRESHOLD, largeBlock) != 1
        || ::mallopt(M_TRIM_THRESHOLD, maxKeptAtTop) != 1)
        LogEvent(LogLevel::Warning, "allocator_not_set");
}

auto runChecked(const DaemonProgram &program, const Settings &settings) -> ExitCode
{
    // Without this, a write to a closed standard output would terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    limitKeptMemory();
    LogEvent(LogLevel::Info, "started")
            .with("program", program.name)
            .with("version", releaseVersion);
    const auto status = program.run(settings);
    if (status.ok())
        LogEvent(LogLevel::Info, "stopped").with("program", program.name);
    else
        LogEvent(LogLevel::Error, "failed").with("program", program.name).with(status);
    return exitCodeOf(status);
}

auto runWithFile(const DaemonProgram &program, const std::string &path, bool checkOnly) -> ExitCode
{
    const auto settings = Settings::read(path, allRules(program));
    if (!settings.ok())
        return report(program, settings.status());
    auto status = program.check ? program.check(*settings) : absl::OkStatus();
    if (status.ok())
        status = setUpLogging(program, *settings);
    if (!status.ok())
        return report(program, status);
    if (!checkOnly)
        return runChecked(program, *settings);
    std::cout << program.name << ": " << path << " is good\n";
    return ExitCode::Ok;
}

auto runWithArguments(const DaemonProgram &program, const std::vector<std::string> &arguments)
        -> ExitCode
{
    auto line = CommandLine {
        program.name, program.purpose,
        "Exit codes: 0 ended as asked, 1 failed at run time, 2 wrong command line or settings,\n"
        "4 the data folder is full, broken or corrupt.\n"
    };
    auto config = TCLAP::ValueArg<std::string> { "c", "config", "the settings file", false,
                                                 "",  "FILE",   line.tclap() };
    auto check = TCLAP::SwitchArg { "", "check-settings", "check the settings and exit",
                                    line.tclap() };
    auto help = TCLAP::SwitchArg { "", "help-settings", "print every setting with its default",
                                   line.tclap() };
    if (const auto code = line.parse(arguments))
        return *code;
    if (help.getValue()) {
        std::cout << describeSettings(allRules(program));
        return ExitCode::Ok;
    }
    if (!config.isSet())
        return line.reportUsageError("--config FILE is missing");
    return runWithFile(program, config.getValue(), check.getValue());
}

} // namespace

auto logRules() -> std::vector<SettingRule>
{
    constexpr auto defaultBytes = std::int64_t { 64 } << 20;
    constexpr auto maxBytes = std::int64_t { 16 } << 30;
    return {
        textRule("log.level", "lines below it are dropped: debug, info, warning or error", "info"),
        textRule("log.file", "path of the log file; empty writes to standard output", ""),
        numberRule("log.max_bytes", "size in bytes at which the file is rotated; one old is kept",
                   1 << 16, maxBytes, defaultBytes),
    };
}

auto runDaemon(const DaemonProgram &program, const std::vector<std::string> &arguments) -> int
{
    return static_cast<int>(runWithArguments(program, arguments));
}

auto randomSeed() -> std::uint64_t
{
    auto seed = std::uint64_t { 0 };
    std::memcpy(&seed, secureRandom(sizeof(seed)).data(), sizeof(seed));
    return seed;
}

class StopSignals::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(boost::asio::io_context &context, std::function<void()> onStop)
        : strand_(boost::asio::make_strand(context))
        , signals_(strand_, SIGTERM, SIGINT)
        , onStop_(std::move(onStop))
    { }

    auto wait() -> void
    {
        signals_.async_wait(
                [self = shared_from_this()](boost::system::error_code error, int number) {
                    if (!error)
                        self->onSignal(number);
                });
    }

    auto cancel() -> void
    {
        // Cancels on the strand: the handler of a signal may already be queued and start another
        // wait. That wait must be cancelled too, or it would keep the context running.
        boost::asio::post(strand_, [self = shared_from_this()] {
            auto ignored = boost::system::error_code {};
            self->signals_.cancel(ignored);
            self->cancelled_ = true;
        });
    }

private:
    auto onSignal(int number) -> void
    {
        LogEvent(LogLevel::Info, stopping_ ? "stop_already_under_way" : "stop_asked")
                .with("signal", number);
        // Waiting again also prevents a second signal from terminating the process.
        if (!cancelled_)
            wait();
        if (!std::exchange(stopping_, true))
            onStop_();
    }

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    // The members below are accessed on the strand only.
    boost::asio::signal_set signals_;
    std::function<void()> onStop_;
    bool stopping_ = false;
    bool cancelled_ = false;
};

StopSignals::StopSignals(boost::asio::io_context &context, std::function<void()> onStop)
    : impl_(std::make_shared<Impl>(context, std::move(onStop)))
{
    impl_->wait();
}

StopSignals::~StopSignals()
{
    impl_->cancel();
}

auto runThreads(boost::asio::io_context &context, std::size_t threads) -> void
{
    auto others = std::vector<std::thread> {};
    for (auto i = std::size_t { 1 }; i < threads; ++i)
        others.emplace_back([&context] { context.run(); });
    context.run();
    for (auto &thread : others)
        thread.join();
}

} // namespace figrack::cmd
