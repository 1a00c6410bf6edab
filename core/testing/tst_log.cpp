// A line never splits and a value never passes for another key.

#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include <unistd.h>

#include "core/error.h"
#include "core/log.h"

using namespace figrack;

namespace {

/// Takes what the process writes to standard error while it lives.
class ErrorCapture
{
public:
    ErrorCapture()
        : file_(std::tmpfile())
        , saved_(dup(STDERR_FILENO))
    {
        dup2(fileno(file_), STDERR_FILENO);
    }
    ~ErrorCapture()
    {
        dup2(saved_, STDERR_FILENO);
        close(saved_);
        std::fclose(file_);
    }
    ErrorCapture(const ErrorCapture &) = delete;
    auto operator=(const ErrorCapture &) -> ErrorCapture & = delete;

    auto text() -> std::string
    {
        std::fflush(stderr);
        auto text = std::string(1 << 16, '\0');
        std::rewind(file_);
        text.resize(std::fread(text.data(), 1, text.size(), file_));
        return text;
    }

private:
    std::FILE *file_;
    int saved_;
};

auto lineWith(std::string_view value) -> std::string
{
    auto capture = ErrorCapture {};
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
    auto capture = ErrorCapture {};
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
    auto capture = ErrorCapture {};
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
