// The few file operations that durable storage needs, behind a small face.
//
//   auto disk = PosixDisk {};
//   auto file = disk.openAppend("data/log-1");
//   (*file)->append(bytes);
//   (*file)->sync();
//   disk.syncDirectory("data");
//
// PosixDisk is the machine's; coord/testing/fakedisk.h is one in memory that
// fails any call, crashes between any two and loses what was not synced.
//
// Guarantees: what sync() covered survives a crash of the VM, and so does a
// name that syncDirectory() covered. Nothing else does: without the second, a
// new, renamed or removed file may be found as it was before.

#ifndef FIGRACK_COORD_DISK_H
#define FIGRACK_COORD_DISK_H

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace figrack::coord {

/// A file open for appending; closed by its destructor. It follows a rename.
class DiskFile
{
public:
    virtual ~DiskFile() = default;
    /// Writes all bytes at the end. @return DiskFull or DiskFailed; part may be written then
    virtual auto append(std::string_view bytes) -> absl::Status = 0;
    /// Makes all that was appended durable. @return DiskFull or DiskFailed; never call it again
    /// then: the system may have dropped the pages and would report success
    virtual auto sync() -> absl::Status = 0;
};

/// Paths are the host's. Every error is DiskFull or DiskFailed unless said otherwise.
class Disk
{
public:
    virtual ~Disk() = default;
    /// Makes a folder, unless it is there, and syncs its parent.
    virtual auto makeFolder(const std::string &path) -> absl::Status = 0;
    /// Takes an exclusive lock that lasts as long as this object or process.
    /// @return BadSettings when another process, or another Disk, holds it
    virtual auto lock(const std::string &path) -> absl::Status = 0;
    /// @return names of the files in a folder, sorted
    virtual auto list(const std::string &folder) -> absl::StatusOr<std::vector<std::string>> = 0;
    /// @return the file's bytes; nullopt when there is no such file
    virtual auto read(const std::string &path) -> absl::StatusOr<std::optional<std::string>> = 0;
    /// Opens a file for appending and makes it when there is none.
    virtual auto openAppend(const std::string &path)
            -> absl::StatusOr<std::unique_ptr<DiskFile>> = 0;
    /// Replaces a file in one step.
    virtual auto rename(const std::string &from, const std::string &to) -> absl::Status = 0;
    virtual auto remove(const std::string &path) -> absl::Status = 0;
    /// Makes the names in a folder durable.
    virtual auto syncDirectory(const std::string &folder) -> absl::Status = 0;
};

/// The machine's file system.
class PosixDisk final : public Disk
{
public:
    PosixDisk() = default;
    ~PosixDisk() override;
    PosixDisk(const PosixDisk &) = delete;
    auto operator=(const PosixDisk &) -> PosixDisk & = delete;

    auto makeFolder(const std::string &path) -> absl::Status override;
    auto lock(const std::string &path) -> absl::Status override;
    auto list(const std::string &folder) -> absl::StatusOr<std::vector<std::string>> override;
    auto read(const std::string &path) -> absl::StatusOr<std::optional<std::string>> override;
    auto openAppend(const std::string &path) -> absl::StatusOr<std::unique_ptr<DiskFile>> override;
    auto rename(const std::string &from, const std::string &to) -> absl::Status override;
    auto remove(const std::string &path) -> absl::Status override;
    auto syncDirectory(const std::string &folder) -> absl::Status override;

private:
    std::vector<int> locks_;
};

} // namespace figrack::coord

#endif // FIGRACK_COORD_DISK_H
