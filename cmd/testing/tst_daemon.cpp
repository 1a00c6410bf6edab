// Tests the command line that all daemons share, and their stop on a signal.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <unistd.h>

#include "cmd/daemon.h"
#include "core/error.h"
#include "core/version.h"

using namespace figrack;
using namespace figrack::cmd;

namespace {

/// The exit code and the output of a program.
struct Outcome
{
    int code = 0;
    std::string out;
    std::string error;
};

/// Runs a daemon and captures its standard output and error.
auto runCapturingOutput(const DaemonProgram &program, std::vector<std::string> arguments) -> Outcome
{
    arguments.insert(arguments.begin(), program.name);
    auto out = std::ostringstream {};
    auto error = std::ostringstream {};
    auto *oldOut = std::cout.rdbuf(out.rdbuf());
    auto *oldError = std::cerr.rdbuf(error.rdbuf());
    const auto code = runDaemon(program, arguments);
    std::cout.rdbuf(oldOut);
    std::cerr.rdbuf(oldError);
    return { code, out.str(), error.str() };
}

/// A temporary settings file that the destructor removes.
class SettingsFile
{
public:
    explicit SettingsFile(const std::string &text)
    {
        close(mkstemp(path.data()));
        std::ofstream { path } << text;
    }
    ~SettingsFile() { std::remove(path.c_str()); }
    SettingsFile(const SettingsFile &) = delete;
    auto operator=(const SettingsFile &) -> SettingsFile & = delete;

    std::string path = "/tmp/tst_daemon.XXXXXX";
};

auto program(const absl::Status &result = absl::OkStatus()) -> DaemonProgram
{
    return { "figrack-test",
             "Tests.",
             { textRule("node.id", "this process's name") },
             "node.id",
             [result](const Settings &) { return result; },
             {} };
}

auto contains(const std::string &text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}

const auto validSettings = std::string { "[node]\nid = a\n[log]\nlevel = error\n" };

} // namespace

TEST_CASE("help, version and the list of settings go to standard output")
{
    const auto version = runCapturingOutput(program(), { "--version" });
    CHECK(version.code == 0);
    CHECK(version.out == "figrack-test " + std::string { releaseVersion } + "\n");
    const auto help = runCapturingOutput(program(), { "--help" });
    CHECK(help.code == 0);
    CHECK(contains(help.out, "--check-settings"));
    CHECK(contains(help.out, "Exit codes: 0"));
    const auto settings = runCapturingOutput(program(), { "--help-settings" });
    CHECK(settings.code == 0);
    CHECK(contains(settings.out, "; this process's name (text; required)\nid = \n"));
    CHECK(contains(settings.out, "[log]\n"));
}

TEST_CASE("an invalid command line or setting exits with 2 and prints one line")
{
    const auto file = SettingsFile { "[node]\nid = a\nother = 1\n" };
    for (const auto &[arguments, part] :
         std::vector<std::pair<std::vector<std::string>, std::string>> {
                 { {}, "--config FILE is missing" },
                 { { "--nonsense" }, "--nonsense" },
                 { { "--config" }, "config" },
                 { { "--config", "/nonexistent" }, "file=/nonexistent cannot be read" },
                 { { "--config", file.path }, "line=3 key=node.other is unknown" },
                 { { "--check-settings", "--config", file.path }, "line=3 key=node.other" } }) {
        const auto outcome = runCapturingOutput(program(), arguments);
        CHECK(outcome.code == 2);
        CHECK(contains(outcome.error, part));
        CHECK(std::count(outcome.error.begin(), outcome.error.end(), '\n') == 1);
    }
}

TEST_CASE("--check-settings runs the daemon's own check and not the daemon")
{
    const auto file = SettingsFile { validSettings };
    auto checked = program(makeError(ErrorKind::Internal, "must not run"));
    CHECK(runCapturingOutput(checked, { "--check-settings", "--config", file.path }).code == 0);
    checked.check = [](const Settings &settings) {
        return makeError(ErrorKind::BadSettings, "key=" + settings.text("node.id"));
    };
    for (const auto &arguments : { std::vector<std::string> { "--check-settings", "-c", file.path },
                                   std::vector<std::string> { "-c", file.path } }) {
        const auto outcome = runCapturingOutput(checked, arguments);
        CHECK(outcome.code == 2);
        CHECK(contains(outcome.error, "key=a"));
    }
    const auto bad = SettingsFile { "[node]\nid = a\n[log]\nlevel = loud\n" };
    CHECK(runCapturingOutput(program(), { "--check-settings", "-c", bad.path }).code == 2);
}

TEST_CASE("the status that run() returns determines the exit code")
{
    const auto file = SettingsFile { validSettings };
    const auto codeOf = [&](const absl::Status &status) {
        return runCapturingOutput(program(status), { "--config", file.path }).code;
    };
    CHECK(codeOf(absl::OkStatus()) == 0);
    CHECK(codeOf(makeError(ErrorKind::Internal, "x")) == 1);
    CHECK(codeOf(makeError(ErrorKind::DiskFull, "folder=x")) == 4);
    CHECK(codeOf(makeError(ErrorKind::Corrupt, "file=x")) == 4);
    CHECK(codeOf(makeError(ErrorKind::BadSettings, "listen=x")) == 2);
}

TEST_CASE("the first signal requests a stop and later ones are ignored")
{
    auto context = boost::asio::io_context {};
    auto stops = 0;
    auto signals = std::optional<StopSignals> {};
    signals.emplace(context, [&] {
        ++stops;
        std::raise(SIGTERM);
        std::raise(SIGINT);
    });
    std::raise(SIGTERM);
    while (stops == 0)
        context.run_one();
    // Signals whose handlers have not run yet must not keep the context running.
    signals.reset();
    context.run();
    CHECK(stops == 1);
}

TEST_CASE("all threads run the context until it has no work")
{
    auto context = boost::asio::io_context {};
    auto ran = std::atomic<int> { 0 };
    for (auto i = 0; i < 100; ++i)
        boost::asio::post(context, [&] { ++ran; });
    runThreads(context, 3);
    CHECK(ran == 100);
}
