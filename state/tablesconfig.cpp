// The configuration: compare-and-set on its revision, with each change's result kept.
//
// A change id that was seen before gets its first answer, whatever the revision is
// now; only then is the expected revision compared. A change that loses, by its
// revision or by a reference that does not hold, is remembered as well: a resend
// must not win what its first sending lost.

#include "state/tables.h"

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

#include "core/check.h"
#include "core/serial.h"

namespace figrack::state {
namespace {

constexpr auto maxNameBytes = std::size_t { 256 };
constexpr auto maxMemoryMb = std::uint64_t { 1 } << 40;

auto checkName(std::string_view what, const std::string &name) -> absl::Status
{
    if (name.empty() || name.size() > maxNameBytes)
        return makeError(ErrorKind::BadRequest, fmt::format("{} is empty or too long", what));
    return absl::OkStatus();
}

auto hashOperation(const ConfigOperation &operation) -> std::uint64_t
{
    const auto bytes = serialize(operation);
    return XXH64(bytes.data(), bytes.size(), 0);
}

} // namespace

auto Configuration::defaultClass() const -> const ClassSpec *
{
    const auto found = std::find_if(classes.begin(), classes.end(),
                                    [](const auto &item) { return item.second.isDefault; });
    return found == classes.end() ? nullptr : &found->second;
}

auto ChangeResult::status() const -> absl::Status
{
    return won ? absl::OkStatus() : makeError(static_cast<ErrorKind>(error), detail);
}

auto Tables::findChange(const ChangeId &change) const -> const ChangeResult *
{
    const auto found = changes_.find(change);
    return found == changes_.end() ? nullptr : &found->second;
}

auto Tables::replicaMemoryMb(const ModelId &model) const -> std::uint64_t
{
    const auto found = configuration_.models.find(model);
    if (found == configuration_.models.end())
        return 0;
    return found->second.weightMb + found->second.kvMb;
}

auto Tables::applyCommand(const ConfigChange &command, LogIndex /*index*/) -> Applied
{
    if (auto status = checkName("change", command.change.value()); !status.ok())
        return Applied { std::move(status), std::nullopt, std::nullopt, std::nullopt };
    const auto hash = hashOperation(command.operation);
    if (const auto *first = findChange(command.change)) {
        if (first->operationHash != hash) {
            return Applied { makeError(ErrorKind::KeyReused, "change=" + command.change.value()),
                             *first, std::nullopt, std::nullopt };
        }
        return Applied { first->status(), *first, std::nullopt, std::nullopt };
    }
    const auto before = configuration_.revision;
    const auto status = decideChange(command);
    auto result = ChangeResult {};
    result.change = command.change;
    result.author = command.author;
    result.won = status.ok();
    result.operationHash = hash;
    if (status.ok()) {
        std::visit([this](const auto &operation) { carryOut(operation); }, command.operation);
        configuration_.revision = before.next();
        FIGRACK_CHECK(configuration_.classes.empty() || configuration_.defaultClass(),
                      "one class is the default");
    } else {
        result.error = static_cast<std::uint8_t>(errorKind(status));
        result.detail = std::string { errorArgument(status) };
    }
    result.revision = configuration_.revision;
    FIGRACK_CHECK(configuration_.revision.value() == before.value() + (status.ok() ? 1 : 0),
                  "the revision rises by one with each change that wins");
    rememberChange(result);
    return Applied { status, std::move(result), std::nullopt, std::nullopt };
}

auto Tables::decideChange(const ConfigChange &command) const -> absl::Status
{
    if (command.expected != configuration_.revision)
        return makeError(ErrorKind::Conflict, describeWinner(command.expected));
    return std::visit([this](const auto &operation) { return checkOperation(operation); },
                      command.operation);
}

// The winner is the change that took the revision which the loser wanted.
auto Tables::describeWinner(Revision expected) const -> std::string
{
    auto text = fmt::format("expected={} revision={}", expected.value(),
                            configuration_.revision.value());
    for (const auto &[id, result] : changes_) {
        if (result.won && result.revision == expected.next())
            text += fmt::format(" winner={} author={}", id.value(), result.author);
    }
    return text;
}

auto Tables::rememberChange(ChangeResult result) -> void
{
    if (changeOrder_.size() >= maxChangeResults) {
        changes_.erase(changeOrder_.front());
        changeOrder_.pop_front();
    }
    changeOrder_.push_back(result.change);
    auto id = result.change;
    changes_.insert_or_assign(std::move(id), std::move(result));
}

auto Tables::checkOperation(const PutClass &operation) const -> absl::Status
{
    const auto &spec = operation.spec;
    if (auto status = checkName("class", spec.id.value()); !status.ok())
        return status;
    if (spec.startTarget <= 0 || spec.finishTarget < spec.startTarget)
        return makeError(ErrorKind::BadRequest, "targets must be 0 < start <= finish");
    if (spec.sharePercent == 0 || spec.sharePercent > 100)
        return makeError(ErrorKind::BadRequest, "share_percent must be 1 to 100");
    const auto *standing = configuration_.defaultClass();
    if (standing && standing->id == spec.id && !spec.isDefault)
        return makeError(ErrorKind::InUse, fmt::format("class={} is the default", spec.id.value()));
    return absl::OkStatus();
}

// The first class is the default, whatever it says; a later default takes over.
auto Tables::carryOut(const PutClass &operation) -> void
{
    auto spec = operation.spec;
    if (configuration_.classes.empty())
        spec.isDefault = true;
    if (spec.isDefault) {
        for (auto &[id, other] : configuration_.classes)
            other.isDefault = false;
    }
    configuration_.classes[spec.id] = spec;
}

auto Tables::checkOperation(const DeleteClass &operation) const -> absl::Status
{
    const auto found = configuration_.classes.find(operation.id);
    if (found == configuration_.classes.end())
        return makeError(ErrorKind::UnknownClass, "class=" + operation.id.value());
    if (found->second.isDefault)
        return makeError(ErrorKind::InUse,
                         fmt::format("class={} is the default", operation.id.value()));
    return absl::OkStatus();
}

auto Tables::carryOut(const DeleteClass &operation) -> void
{
    configuration_.classes.erase(operation.id);
}

auto Tables::checkOperation(const PutModel &operation) const -> absl::Status
{
    const auto &spec = operation.spec;
    if (auto status = checkName("model", spec.id.value()); !status.ok())
        return status;
    if (auto status = checkName("version", spec.version); !status.ok())
        return status;
    if (spec.weightMb == 0 || spec.weightMb > maxMemoryMb || spec.kvMb > maxMemoryMb)
        return makeError(ErrorKind::BadRequest, "weight_mb or kv_mb is out of range");
    if (spec.slots == 0)
        return makeError(ErrorKind::BadRequest, "slots must be 1 or more");
    const auto before = configuration_.models.find(spec.id);
    if (before != configuration_.models.end() && before->second.base != spec.base) {
        if (auto status = checkNotLoaded(spec.id); !status.ok())
            return status;
    }
    if (spec.base.empty())
        return absl::OkStatus();
    const auto base = configuration_.models.find(spec.base);
    if (base == configuration_.models.end() || spec.base == spec.id)
        return makeError(ErrorKind::UnknownModel, "base=" + spec.base.value());
    if (!base->second.base.empty())
        return makeError(ErrorKind::BadRequest,
                         fmt::format("base={} is itself an adapter", spec.base.value()));
    for (const auto &[id, other] : configuration_.models) {
        if (other.base == spec.id)
            return makeError(ErrorKind::InUse, "it is the base of model=" + id.value());
    }
    return absl::OkStatus();
}

auto Tables::carryOut(const PutModel &operation) -> void
{
    configuration_.models[operation.spec.id] = operation.spec;
}

auto Tables::checkOperation(const DeleteModel &operation) const -> absl::Status
{
    const auto &models = configuration_.models;
    if (!models.contains(operation.id))
        return makeError(ErrorKind::UnknownModel, "model=" + operation.id.value());
    for (const auto &[id, other] : models) {
        if (other.base == operation.id)
            return makeError(ErrorKind::InUse, "it is the base of model=" + id.value());
    }
    return checkNotLoaded(operation.id);
}

auto Tables::checkNotLoaded(const ModelId &model) const -> absl::Status
{
    const auto replica = replicas_.lower_bound(ReplicaKey { model, EndpointId {} });
    if (replica == replicas_.end() || replica->first.first != model)
        return absl::OkStatus();
    return makeError(ErrorKind::InUse, "it is loaded on endpoint=" + replica->first.second.value());
}

auto Tables::carryOut(const DeleteModel &operation) -> void
{
    configuration_.models.erase(operation.id);
}

auto Tables::checkOperation(const PutService &operation) const -> absl::Status
{
    if (operation.spec.timeout <= 0)
        return makeError(ErrorKind::BadRequest, "timeout_ms must be positive");
    return checkName("service", operation.spec.id.value());
}

auto Tables::carryOut(const PutService &operation) -> void
{
    configuration_.services[operation.spec.id] = operation.spec;
}

auto Tables::checkOperation(const DeleteService &operation) const -> absl::Status
{
    if (!configuration_.services.contains(operation.id))
        return makeError(ErrorKind::UnknownService, "service=" + operation.id.value());
    return absl::OkStatus();
}

auto Tables::carryOut(const DeleteService &operation) -> void
{
    configuration_.services.erase(operation.id);
}

} // namespace figrack::state
