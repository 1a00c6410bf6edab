// PosixDisk: each call is the system call of its name, retried when a signal
// breaks it off, its error told as DiskFull or DiskFailed. Only a lock already
// held is told apart, as BadSettings: two processes were given one folder.

#include "coord/disk.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "core/error.h"

namespace figrack::coord {

namespace {

constexpr auto fileMode = mode_t { 0640 };
constexpr auto folderMode = mode_t { 0750 };
constexpr auto readChunk = std::size_t { 1 } << 20;

auto diskError(std::string_view call, std::string_view path, int error) -> absl::Status
{
    const auto full = error == ENOSPC || error == EDQUOT;
    const auto text = std::generic_category().message(error);
    return makeError(full ? ErrorKind::DiskFull : ErrorKind::DiskFailed,
                     fmt::format("call={} path={} error=\"{}\"", call, path, text));
}

/// Calls until no signal breaks the call off.
template<typename Call>
auto retried(Call call) -> decltype(call())
{
    while (true) {
        const auto result = call();
        if (result >= 0 || errno != EINTR)
            return result;
    }
}

/// Owns a descriptor.
class Descriptor
{
public:
    explicit Descriptor(int fd)
        : fd_(fd)
    { }
    ~Descriptor()
    {
        if (fd_ >= 0)
            ::close(fd_);
    }
    Descriptor(const Descriptor &) = delete;
    auto operator=(const Descriptor &) -> Descriptor & = delete;
    auto get() const -> int { return fd_; }
    auto release() -> int { return std::exchange(fd_, -1); }

private:
    int fd_;
};

auto openRetried(const std::string &path, int flags) -> int
{
    return retried([&] { return ::open(path.c_str(), flags | O_CLOEXEC, fileMode); });
}

class PosixFile final : public DiskFile
{
public:
    PosixFile(std::string path, int fd)
        : path_(std::move(path))
        , fd_(fd)
    { }

    auto append(std::string_view bytes) -> absl::Status override
    {
        while (!bytes.empty()) {
            const auto written
                    = retried([&] { return ::write(fd_.get(), bytes.data(), bytes.size()); });
            if (written < 0)
                return diskError("write", path_, errno);
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return absl::OkStatus();
    }

    auto sync() -> absl::Status override
    {
        // The size is metadata that a reader needs, so fdatasync() covers it too.
        if (::fdatasync(fd_.get()) != 0)
            return diskError("fdatasync", path_, errno);
        return absl::OkStatus();
    }

private:
    std::string path_;
    Descriptor fd_;
};

} // namespace

PosixDisk::~PosixDisk()
{
    for (const auto fd : locks_)
        ::close(fd);
}

auto PosixDisk::makeFolder(const std::string &path) -> absl::Status
{
    if (::mkdir(path.c_str(), folderMode) == 0) {
        const auto parent = std::filesystem::path { path }.parent_path().string();
        return syncDirectory(parent.empty() ? "." : parent);
    }
    if (errno != EEXIST)
        return diskError("mkdir", path, errno);
    struct stat about = {};
    if (::stat(path.c_str(), &about) != 0)
        return diskError("stat", path, errno);
    return S_ISDIR(about.st_mode) ? absl::OkStatus() : diskError("mkdir", path, ENOTDIR);
}

auto PosixDisk::lock(const std::string &path) -> absl::Status
{
    auto file = Descriptor { openRetried(path, O_RDWR | O_CREAT) };
    if (file.get() < 0)
        return diskError("open", path, errno);
    if (retried([&] { return ::flock(file.get(), LOCK_EX | LOCK_NB); }) != 0) {
        if (errno == EWOULDBLOCK)
            return makeError(ErrorKind::BadSettings,
                             fmt::format("lock={} is held by another process", path));
        return diskError("flock", path, errno);
    }
    locks_.push_back(file.release());
    return absl::OkStatus();
}

auto PosixDisk::list(const std::string &folder) -> absl::StatusOr<std::vector<std::string>>
{
    auto error = std::error_code {};
    auto names = std::vector<std::string> {};
    auto entry = std::filesystem::directory_iterator { folder, error };
    const auto end = std::filesystem::directory_iterator {};
    while (!error && entry != end) {
        names.push_back(entry->path().filename().string());
        entry.increment(error);
    }
    if (error)
        return diskError("readdir", folder, error.value());
    std::sort(names.begin(), names.end());
    return names;
}

auto PosixDisk::read(const std::string &path) -> absl::StatusOr<std::optional<std::string>>
{
    const auto file = Descriptor { openRetried(path, O_RDONLY) };
    if (file.get() < 0) {
        if (errno == ENOENT)
            return std::nullopt;
        return diskError("open", path, errno);
    }
    auto bytes = std::string {};
    while (true) {
        const auto before = bytes.size();
        bytes.resize(before + readChunk);
        const auto got
                = retried([&] { return ::read(file.get(), bytes.data() + before, readChunk); });
        if (got < 0)
            return diskError("read", path, errno);
        bytes.resize(before + static_cast<std::size_t>(got));
        if (got == 0)
            return bytes;
    }
}

auto PosixDisk::openAppend(const std::string &path) -> absl::StatusOr<std::unique_ptr<DiskFile>>
{
    const auto fd = openRetried(path, O_WRONLY | O_CREAT | O_APPEND);
    if (fd < 0)
        return diskError("open", path, errno);
    return std::make_unique<PosixFile>(path, fd);
}

auto PosixDisk::rename(const std::string &from, const std::string &to) -> absl::Status
{
    if (std::rename(from.c_str(), to.c_str()) != 0)
        return diskError("rename", from, errno);
    return absl::OkStatus();
}

auto PosixDisk::remove(const std::string &path) -> absl::Status
{
    if (::unlink(path.c_str()) != 0)
        return diskError("unlink", path, errno);
    return absl::OkStatus();
}

auto PosixDisk::syncDirectory(const std::string &folder) -> absl::Status
{
    const auto directory = Descriptor { openRetried(folder, O_RDONLY | O_DIRECTORY) };
    if (directory.get() < 0)
        return diskError("open", folder, errno);
    if (::fsync(directory.get()) != 0)
        return diskError("fsync", folder, errno);
    return absl::OkStatus();
}

} // namespace figrack::coord
