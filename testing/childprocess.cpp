// The ids of the children stand in a fixed table of atomics, since a signal
// handler may touch nothing else.

#include "testing/childprocess.h"

#include <array>
#include <atomic>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char *
        *environ; // NOLINT(readability-redundant-declaration): not declared without _GNU_SOURCE

namespace figrack::testing {
namespace {

constexpr auto maxChildren = std::size_t { 512 };
std::array<std::atomic<pid_t>, maxChildren> childTable;
std::string pidFileName;

auto remember(pid_t pid) -> void
{
    if (!pidFileName.empty())
        std::ofstream { pidFileName, std::ios::app } << pid << '\n';
    for (auto &slot : childTable) {
        auto empty = pid_t { 0 };
        if (slot.compare_exchange_strong(empty, pid))
            return;
    }
}

auto forgetChild(pid_t pid) -> void
{
    for (auto &slot : childTable) {
        auto expected = pid;
        if (slot.compare_exchange_strong(expected, 0))
            return;
    }
}

auto killAllAndDie(int number) -> void
{
    for (auto &slot : childTable) {
        if (const auto pid = slot.load(); pid > 0)
            ::kill(pid, SIGKILL);
    }
    std::signal(number, SIG_DFL);
    std::raise(number);
}

} // namespace

auto installReaper(const std::string &pidFile) -> void
{
    pidFileName = pidFile;
    for (const auto number : { SIGINT, SIGTERM, SIGHUP, SIGABRT, SIGSEGV, SIGBUS })
        std::signal(number, killAllAndDie);
}

ChildProcess::ChildProcess(pid_t pid)
    : pid_(pid)
{
    remember(pid);
}

auto ChildProcess::start(const std::vector<std::string> &arguments, const std::string &logFile)
        -> std::unique_ptr<ChildProcess>
{
    auto pointers = std::vector<char *> {};
    for (const auto &argument : arguments)
        pointers.push_back(const_cast<char *>(argument.c_str()));
    pointers.push_back(nullptr);
    constexpr auto mode = 0644;
    auto actions = posix_spawn_file_actions_t {};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    auto pid = pid_t { 0 };
    const auto error = posix_spawn(&pid, pointers[0], &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        return nullptr;
    return std::unique_ptr<ChildProcess>(new ChildProcess(pid));
}

ChildProcess::~ChildProcess()
{
    kill();
}

auto ChildProcess::reap(int flags) -> void
{
    if (exitStatus_)
        return;
    auto status = 0;
    if (::waitpid(pid_, &status, flags) != pid_)
        return;
    exitStatus_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    forgetChild(pid_);
}

auto ChildProcess::isRunning() -> bool
{
    reap(WNOHANG);
    return !exitStatus_;
}

auto ChildProcess::signal(int number) -> void
{
    if (isRunning())
        ::kill(pid_, number);
}

auto ChildProcess::waitFor(Duration limit) -> bool
{
    constexpr auto step = std::chrono::milliseconds { 5 };
    const auto end = std::chrono::steady_clock::now() + limit;
    while (isRunning() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(step);
    return !isRunning();
}

auto ChildProcess::kill() -> void
{
    signal(SIGKILL);
    reap(0);
}

auto ChildProcess::processorSeconds() const -> double
{
    auto file = std::ifstream { "/proc/" + std::to_string(pid_) + "/stat" };
    auto text = std::string { std::istreambuf_iterator<char> { file }, {} };
    const auto nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos)
        return 0;
    auto fields = std::istringstream { text.substr(nameEnd + 1) };
    auto skipped = std::string {};
    constexpr auto fieldsBeforeUser = 11;
    for (auto i = 0; i < fieldsBeforeUser; ++i)
        fields >> skipped;
    auto user = 0.0;
    auto system = 0.0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

auto ChildProcess::residentBytes() const -> std::uint64_t
{
    auto file = std::ifstream { "/proc/" + std::to_string(pid_) + "/statm" };
    auto size = std::uint64_t { 0 };
    auto resident = std::uint64_t { 0 };
    file >> size >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace figrack::testing
