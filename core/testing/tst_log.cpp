// A line never splits and a value never passes for another key.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include <unistd.h>

#include "core/error.h"
#include "core/log.h"

using namespace figrack;

namespace {

/// Takes what the process writes to standard output while it lives.
class OutputCapture
{
public:
    OutputCapture()
        : file_(std::tmpfile())
    {
        std::fflush(stdout); // What the test program has written so far is not the log's.
        saved_ = dup(STDOUT_FILENO);
        dup2(fileno(file_), STDOUT_FILENO);
    }
    ~OutputCapture()
    {
        dup2(saved_, STDOUT_FILENO);
        close(saved_);
        std::fclose(file_);
    }
    OutputCapture(const OutputCapture &) = delete;
    auto operator=(const OutputCapture &) -> OutputCapture & = delete;

    auto text() -> std::string
    {
        auto text = std::string(1 << 16, '\0');
        std::rewind(file_);
        text.resize(std::fread(text.data(), 1, text.size(), file_));
        return text;
    }

private:
    std::FILE *file_;
    int saved_ = -1;
};

auto lineWith(std::string_view value) -> std::string
{
    auto capture = OutputCapture {};
    LogEvent(LogLevel::Error, "test").with("key", value);
    const auto text = capture.text();
    return text.substr(text.find(" event=") + 1);
}

} // namespace

TEST_CASE("values are quoted and escaped when they must be")
{
    CHECK(lineWith("plain-1.2:3") == "event=test key=plain-1.2:3\n");
    CHECK(lineWith("") == "event=test key=\"\"\n");
    CHECK(lineWith("two words") == "event=test key=\"two words\"\n");
    CHECK(lineWith("a=b") == "event=test key=\"a=b\"\n");
    CHECK(lineWith("say \"x\" \\") == "event=test key=\"say \\\"x\\\" \\\\\"\n");
    CHECK(lineWith("line\nevent=forged") == "event=test key=\"line\\x0aevent=forged\"\n");
    CHECK(lineWith(std::string_view("\0\x1b\x7f", 3)) == "event=test key=\"\\x00\\x1b\\x7f\"\n");
    CHECK(lineWith("%d %s") == "event=test key=\"%d %s\"\n");
}

TEST_CASE("numbers, flags, ids and errors have their own forms")
{
    auto capture = OutputCapture {};
    LogEvent(LogLevel::Warning, "test")
            .with("small", -3)
            .with("big", UINT64_MAX)
            .with("real", 1.5)
            .with("flag", true)
            .with("term", Term { 7 })
            .with("model", ModelId { "m" })
            .with(makeError(ErrorKind::Timeout, "peer=a"));
    const auto text = capture.text();
    CHECK(text.find("small=-3 big=18446744073709551615 real=1.5 flag=true term=7 model=m "
                    "error=timeout detail=\"timeout: ")
          != std::string::npos);
    CHECK(text.find("level=warning") != std::string::npos);
}

TEST_CASE("levels below the lowest are dropped and a bad file is refused")
{
    auto options = LogOptions {};
    options.file = "/nonexistent/folder/log";
    CHECK(errorKind(startLogging(options)) == ErrorKind::BadSettings);
    options.file.clear();
    options.level = LogLevel::Warning;
    options.process = "tester";
    REQUIRE(startLogging(options).ok());
    auto capture = OutputCapture {};
    LogEvent(LogLevel::Info, "dropped").with("key", 1);
    LogEvent(LogLevel::Error, "kept").with("key", 2);
    CHECK(capture.text().find("dropped") == std::string::npos);
    CHECK(capture.text().find("process=tester event=kept key=2\n") != std::string::npos);
}

TEST_CASE("a file is rotated at its size and keeps whole lines")
{
    auto folder = std::string { "/tmp/tst_log.XXXXXX" };
    REQUIRE(mkdtemp(folder.data()) != nullptr);
    auto options = LogOptions {};
    options.file = folder + "/log";
    options.maxFileBytes = 4096;
    REQUIRE(startLogging(options).ok());
    for (auto i = 0; i < 100; ++i)
        LogEvent(LogLevel::Info, "test").with("number", i).with("text", "%datetime 100% \n");
    REQUIRE(startLogging({}).ok());
    for (const auto *name : { "/log", "/log.1" }) {
        auto file = std::ifstream { folder + name };
        auto line = std::string {};
        auto lines = 0;
        for (; std::getline(file, line); ++lines)
            CHECK(line.ends_with("text=\"%datetime 100% \\x0a\""));
        CHECK(lines > 0);
        CHECK(lines < 60);
        std::remove((folder + name).c_str());
    }
    rmdir(folder.c_str());
}

TEST_CASE("more lines than are allowed in a second are dropped, and counted on the next that goes "
          "out")
{
    auto capture = OutputCapture {};
    for (auto i = 0; i < 4 * maxLinesPerSecond; ++i)
        LogEvent(LogLevel::Error, "flood").with("n", i);
    usleep(50'000); // For a few more lines to be allowed.
    LogEvent(LogLevel::Error, "after").with("n", 0);
    const auto text = capture.text();
    const auto lines = std::count(text.begin(), text.end(), '\n');
    CHECK(lines < 2 * maxLinesPerSecond);
    CHECK(text.find("event=after n=0 dropped=") != std::string::npos);
}

TEST_CASE("a reader that does not read is not waited for")
{
    usleep(600'000); // For enough lines to be allowed again.
    auto ends = std::array<int, 2> { -1, -1 };
    REQUIRE(pipe(ends.data()) == 0);
    std::fflush(stdout);
    const auto saved = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    const auto bulk = std::string(2000, 'x');
    for (auto i = 0; i < maxLinesPerSecond / 2; ++i) // More than a pipe takes: a wait never ends.
        LogEvent(LogLevel::Error, "bulk").with("value", bulk);
    dup2(saved, STDOUT_FILENO);
    close(saved);
    auto taken = std::string(1 << 20, '\0');
    taken.resize(static_cast<std::size_t>(read(ends[0], taken.data(), taken.size())));
    close(ends[0]);
    close(ends[1]);
    const auto lines = std::count(taken.begin(), taken.end(), '\n');
    CHECK(lines > 10);                         // The pipe took some, whole,
    CHECK(lines < maxLinesPerSecond / 2 - 10); // and the rest was dropped.
    CHECK(taken.back() == '\n');
}
