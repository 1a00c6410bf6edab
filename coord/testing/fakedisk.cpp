// Each file is an inode with two texts: what is written and what is durable.
// A sync copies one to the other. A failed sync leaves the written text
// readable and counted as clean, so that a second sync reports success and
// makes nothing durable: what Linux does. Names are a map, with a list of the
// changes that no directory sync has covered.

#include "coord/testing/fakedisk.h"

#include <algorithm>

#include "core/error.h"

namespace figrack::coord::testing {

struct FakeDisk::Inode
{
    std::string written;
    std::string durable;
    std::size_t clean = 0; ///< Bytes of written that a sync believes it has written.
};

struct FakeDisk::State
{
    /// One change of names: from goes, to appears. Either may be empty.
    struct NameChange
    {
        std::string gone;
        std::string added;
        std::shared_ptr<Inode> inode;
    };
    std::map<std::string, std::shared_ptr<Inode>> names;
    std::map<std::string, std::shared_ptr<Inode>> durableNames;
    std::vector<NameChange> pending;
    std::set<std::string> locks;
    std::size_t calls = 0;
    std::map<std::size_t, Fault> faults;
    bool crashed = false;

    auto step() -> absl::Status
    {
        ++calls;
        const auto fault = faults.find(calls);
        if (fault != faults.end() && fault->second == Fault::Crash)
            crashed = true;
        if (crashed)
            return makeError(ErrorKind::DiskFailed, "fake=crashed");
        if (fault == faults.end())
            return absl::OkStatus();
        const auto full = fault->second == Fault::Full;
        return makeError(full ? ErrorKind::DiskFull : ErrorKind::DiskFailed, "fake=fault");
    }

    static auto change(std::map<std::string, std::shared_ptr<Inode>> &map, const NameChange &change)
            -> void
    {
        if (!change.gone.empty())
            map.erase(change.gone);
        if (!change.added.empty())
            map[change.added] = change.inode;
    }

    auto note(NameChange added) -> void
    {
        change(names, added);
        pending.push_back(std::move(added));
    }
};

class FakeDisk::File final : public DiskFile
{
public:
    File(std::shared_ptr<State> state, std::shared_ptr<Inode> inode)
        : state_(std::move(state))
        , inode_(std::move(inode))
    { }

    auto append(std::string_view bytes) -> absl::Status override
    {
        // A write that fails, or during which the VM dies, leaves part of it.
        const auto alive = !state_->crashed;
        auto status = state_->step();
        if (alive)
            inode_->written.append(bytes.substr(0, status.ok() ? bytes.size() : bytes.size() / 2));
        return status;
    }

    auto sync() -> absl::Status override
    {
        if (auto status = state_->step(); !status.ok()) {
            if (!state_->crashed)
                inode_->clean = inode_->written.size();
            return status;
        }
        const auto &written = inode_->written;
        inode_->durable.resize(inode_->clean, '\0');
        inode_->durable.append(written, inode_->clean);
        inode_->clean = written.size();
        return absl::OkStatus();
    }

private:
    std::shared_ptr<State> state_;
    std::shared_ptr<Inode> inode_;
};

FakeDisk::FakeDisk()
    : state_(std::make_shared<State>())
{ }

FakeDisk::FakeDisk(std::shared_ptr<State> state)
    : state_(std::move(state))
{ }

auto FakeDisk::calls() const -> std::size_t
{
    return state_->calls;
}

auto FakeDisk::crashed() const -> bool
{
    return state_->crashed;
}

auto FakeDisk::failAt(std::size_t call, Fault fault) -> void
{
    state_->faults[call] = fault;
}

auto FakeDisk::files() const -> std::vector<std::string>
{
    auto result = std::vector<std::string> {};
    for (const auto &[path, inode] : state_->names)
        result.push_back(path);
    return result;
}

auto FakeDisk::afterProcessDeath() const -> FakeDisk
{
    auto copies = std::map<std::shared_ptr<Inode>, std::shared_ptr<Inode>> {};
    const auto copy = [&](const std::shared_ptr<Inode> &inode) {
        auto &made = copies[inode];
        if (!made && inode)
            made = std::make_shared<Inode>(*inode);
        return made;
    };
    auto state = std::make_shared<State>();
    for (const auto &[path, inode] : state_->names)
        state->names[path] = copy(inode);
    for (const auto &[path, inode] : state_->durableNames)
        state->durableNames[path] = copy(inode);
    for (const auto &change : state_->pending)
        state->pending.push_back({ change.gone, change.added, copy(change.inode) });
    return FakeDisk { state };
}

auto FakeDisk::afterPowerLoss(Survival survival, Random &random) const -> FakeDisk
{
    auto state = std::make_shared<State>();
    const auto survives = [&] {
        return survival == Survival::Everything
                || (survival == Survival::Random && random.chance(0.5));
    };
    auto names = state_->durableNames;
    for (const auto &change : state_->pending) {
        if (survives())
            State::change(names, change);
    }
    for (const auto &[path, inode] : names) {
        auto found = std::make_shared<Inode>();
        found->durable = inode->durable;
        const auto lost
                = inode->written.size() - std::min(inode->written.size(), inode->durable.size());
        if (lost > 0 && survives()) {
            const auto kept = survival == Survival::Everything ? lost : random.below(lost + 1);
            auto tail = inode->written.substr(inode->durable.size(), kept);
            // A later block may reach the disk before an earlier one.
            if (survival == Survival::Random && random.chance(0.5))
                std::fill_n(tail.begin(), random.below(tail.size() + 1), '\0');
            found->durable += tail;
        }
        found->written = found->durable;
        found->clean = found->written.size();
        state->names[path] = found;
    }
    state->durableNames = state->names;
    return FakeDisk { state };
}

auto FakeDisk::damage(const std::string &path, const std::function<void(std::string &)> &change)
        -> bool
{
    const auto found = state_->names.find(path);
    if (found == state_->names.end())
        return false;
    change(found->second->written);
    found->second->durable = found->second->written;
    found->second->clean = found->second->written.size();
    return true;
}

auto FakeDisk::makeFolder(const std::string & /*path*/) -> absl::Status
{
    return state_->step();
}

auto FakeDisk::lock(const std::string &path) -> absl::Status
{
    if (auto status = state_->step(); !status.ok())
        return status;
    if (!state_->locks.insert(path).second)
        return makeError(ErrorKind::BadSettings, "lock=" + path);
    return absl::OkStatus();
}

auto FakeDisk::list(const std::string &folder) -> absl::StatusOr<std::vector<std::string>>
{
    if (auto status = state_->step(); !status.ok())
        return status;
    auto result = std::vector<std::string> {};
    for (const auto &[path, inode] : state_->names) {
        if (path.starts_with(folder + "/"))
            result.push_back(path.substr(folder.size() + 1));
    }
    return result;
}

auto FakeDisk::read(const std::string &path) -> absl::StatusOr<std::optional<std::string>>
{
    if (auto status = state_->step(); !status.ok())
        return status;
    const auto found = state_->names.find(path);
    if (found == state_->names.end())
        return std::nullopt;
    return found->second->written;
}

auto FakeDisk::openAppend(const std::string &path) -> absl::StatusOr<std::unique_ptr<DiskFile>>
{
    if (auto status = state_->step(); !status.ok())
        return status;
    if (!state_->names.contains(path))
        state_->note({ "", path, std::make_shared<Inode>() });
    return std::make_unique<File>(state_, state_->names.at(path));
}

auto FakeDisk::rename(const std::string &from, const std::string &to) -> absl::Status
{
    if (auto status = state_->step(); !status.ok())
        return status;
    if (!state_->names.contains(from))
        return makeError(ErrorKind::DiskFailed, "rename=" + from);
    state_->note({ from, to, state_->names.at(from) });
    return absl::OkStatus();
}

auto FakeDisk::remove(const std::string &path) -> absl::Status
{
    if (auto status = state_->step(); !status.ok())
        return status;
    if (!state_->names.contains(path))
        return makeError(ErrorKind::DiskFailed, "remove=" + path);
    state_->note({ path, "", nullptr });
    return absl::OkStatus();
}

auto FakeDisk::syncDirectory(const std::string & /*folder*/) -> absl::Status
{
    if (auto status = state_->step(); !status.ok())
        return status;
    state_->durableNames = state_->names;
    state_->pending.clear();
    return absl::OkStatus();
}

} // namespace figrack::coord::testing
