// A disk in memory that fails any call, crashes before any call, and keeps
// after a crash only what was synced, or a random part of the rest.
//
//   auto disk = FakeDisk {};
//   disk.crashAt(7);                          // call 7 and all later ones fail
//   runScript(disk);
//   auto later = disk.afterPowerLoss(random); // what a restarted VM finds
//
// Files follow a rename as in POSIX. Unsynced bytes may survive as a prefix, or
// with holes of zeros; unsynced changes of names survive each on its own.

#ifndef FIGRACK_COORD_TESTING_FAKEDISK_H
#define FIGRACK_COORD_TESTING_FAKEDISK_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coord/disk.h"
#include "core/random.h"

namespace figrack::coord::testing {

class FakeDisk final : public Disk
{
public:
    /// How much of what was not synced a crash leaves.
    enum class Survival { Nothing, Everything, Random };
    enum class Fault { Failed, Full, Crash };

    FakeDisk();
    /// Calls counted so far; reads count too.
    auto calls() const -> std::size_t;
    /// A call fails once. @param call counted from 1
    auto failAt(std::size_t call, Fault fault) -> void;
    auto crashAt(std::size_t call) -> void { failAt(call, Fault::Crash); }
    auto crashed() const -> bool;
    /// The process died, the VM lives: all that was written is there, synced or not.
    auto afterProcessDeath() const -> FakeDisk;
    auto afterPowerLoss(Survival survival, Random &random) const -> FakeDisk;
    /// Changes stored bytes, for tests of damage. @return false when there is no such file
    auto damage(const std::string &path, const std::function<void(std::string &)> &change) -> bool;
    auto files() const -> std::vector<std::string>;

    auto makeFolder(const std::string &path) -> absl::Status override;
    auto lock(const std::string &path) -> absl::Status override;
    auto list(const std::string &folder) -> absl::StatusOr<std::vector<std::string>> override;
    auto read(const std::string &path) -> absl::StatusOr<std::optional<std::string>> override;
    auto openAppend(const std::string &path) -> absl::StatusOr<std::unique_ptr<DiskFile>> override;
    auto rename(const std::string &from, const std::string &to) -> absl::Status override;
    auto remove(const std::string &path) -> absl::Status override;
    auto syncDirectory(const std::string &folder) -> absl::Status override;

private:
    struct Inode;
    struct State;
    class File;
    explicit FakeDisk(std::shared_ptr<State> state);
    std::shared_ptr<State> state_;
};

} // namespace figrack::coord::testing

#endif // FIGRACK_COORD_TESTING_FAKEDISK_H
