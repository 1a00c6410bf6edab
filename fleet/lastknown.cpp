// There is one file each for the document, the evacuations, the endpoints, the
// suspected work and the software versions. A file contains a checksum followed by the value. It is
// written under a temporary name, synced and renamed, and then its folder is synced, so that after
// a power loss it holds either the old state or the new one.

#include "fleet/lastknown.h"

#include <cstring>
#include <set>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "core/error.h"
#include "core/log.h"
#include "core/serial.h"

namespace figrack::fleet {
namespace {

constexpr auto documentName = "known-document";
constexpr auto evacuationsName = "known-evacuations";
constexpr auto endpointsName = "known-endpoints";
constexpr auto suspectsName = "known-suspects";
constexpr auto versionsName = "known-versions";
/// The recovery of the log removes leftover files with this suffix.
constexpr auto temporarySuffix = ".tmp";
/// Time until a failed write is retried. A disk that is full or stalled usually stays so for
/// seconds; the delay also limits the log output.
constexpr auto retryPause = std::chrono::seconds { 1 };

auto checksum(std::string_view payload) -> std::uint64_t
{
    return XXH3_64bits(payload.data(), payload.size());
}

auto seal(const std::string &payload) -> std::string
{
    const auto sum = detail::littleEndian(checksum(payload));
    return std::string { sum.data(), sum.size() } + payload;
}

/// @return Malformed for bytes that were not produced by seal()
template<typename T>
auto unseal(std::string_view bytes, T &value) -> absl::Status
{
    auto sum = detail::littleEndian(std::uint64_t { 0 });
    if (bytes.size() < sum.size())
        return makeError(ErrorKind::Malformed, "too short");
    const auto payload = bytes.substr(sum.size());
    sum = detail::littleEndian(checksum(payload));
    if (std::memcmp(sum.data(), bytes.data(), sum.size()) != 0)
        return makeError(ErrorKind::Malformed, "checksum differs");
    return deserialize(payload, value);
}

} // namespace

LastKnownStore::LastKnownStore(std::string folder, coord::Disk &disk)
    : folder_(std::move(folder) + "/")
    , disk_(disk)
    , writer_([this] { writeLoop(); })
{ }

LastKnownStore::~LastKnownStore()
{
    {
        const auto lock = std::scoped_lock { mutex_ };
        stopping_ = true;
    }
    wake_.notify_one();
    writer_.join();
}

auto LastKnownStore::loadDocument() -> Document
{
    return load<Document>(documentName);
}

auto LastKnownStore::loadEvacuations() -> catalogue::Evacuations
{
    return load<catalogue::Evacuations>(evacuationsName);
}

auto LastKnownStore::loadEndpoints() -> std::vector<catalogue::EndpointRow>
{
    return load<std::vector<catalogue::EndpointRow>>(endpointsName);
}

auto LastKnownStore::loadSuspects() -> std::vector<catalogue::SuspectRow>
{
    return load<std::vector<catalogue::SuspectRow>>(suspectsName);
}

auto LastKnownStore::loadVersions() -> SavedVersions
{
    return load<SavedVersions>(versionsName);
}

auto LastKnownStore::save(const Document &document) -> void
{
    post(documentName, serialize(document));
}

auto LastKnownStore::save(const catalogue::Evacuations &evacuations) -> void
{
    post(evacuationsName, serialize(evacuations));
}

auto LastKnownStore::save(const std::vector<catalogue::EndpointRow> &endpoints) -> void
{
    post(endpointsName, serialize(endpoints));
}

auto LastKnownStore::save(const std::vector<catalogue::SuspectRow> &suspects) -> void
{
    post(suspectsName, serialize(suspects));
}

auto LastKnownStore::save(const SavedVersions &versions) -> void
{
    post(versionsName, serialize(versions));
}

template<typename T>
auto LastKnownStore::load(const std::string &name) -> T
{
    auto value = T {};
    const auto bytes = disk_.read(folder_ + name);
    auto status = bytes.status();
    if (bytes.ok() && bytes->has_value())
        status = unseal(**bytes, value);
    if (status.ok())
        return value;
    LogEvent(LogLevel::Warning, "last_known_not_read").with("file", name).with(status);
    return {};
}

auto LastKnownStore::post(const std::string &name, const std::string &payload) -> void
{
    auto bytes = seal(payload);
    {
        const auto lock = std::scoped_lock { mutex_ };
        pending_[name] = std::move(bytes);
    }
    wake_.notify_one();
}

auto LastKnownStore::writeLoop() -> void
{
    auto triedAtEnd = std::set<std::string> {};
    auto lock = std::unique_lock { mutex_ };
    while (true) {
        wake_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
        if (pending_.empty())
            return; // Everything that was saved before the destructor ran is written.
        const auto atEnd = stopping_;
        auto next = pending_.extract(pending_.begin());
        lock.unlock();
        const auto status = write(next.key(), next.mapped());
        lock.lock();
        if (status.ok())
            continue;
        const auto givesUp = atEnd && !triedAtEnd.insert(next.key()).second;
        LogEvent(LogLevel::Warning, "last_known_not_written")
                .with("file", next.key())
                .with("again", !givesUp)
                .with(status);
        if (givesUp)
            continue;
        // Retry even if nothing else is saved: a document may have no successor. State that was
        // saved in the meantime is newer and stays.
        pending_.insert(std::move(next));
        wake_.wait_for(lock, retryPause, [this] { return stopping_; });
    }
}

auto LastKnownStore::write(const std::string &name, std::string_view bytes) -> absl::Status
{
    const auto path = folder_ + name;
    const auto temporary = path + temporarySuffix;
    // Remove the file of an earlier failed write, since data would be appended to it.
    const auto leftover = disk_.read(temporary);
    if (!leftover.ok())
        return leftover.status();
    if (leftover->has_value()) {
        if (auto status = disk_.remove(temporary); !status.ok())
            return status;
    }
    auto file = disk_.openAppend(temporary);
    if (!file.ok())
        return file.status();
    if (auto status = (*file)->append(bytes); !status.ok())
        return status;
    if (auto status = (*file)->sync(); !status.ok())
        return status;
    if (auto status = disk_.rename(temporary, path); !status.ok())
        return status;
    return disk_.syncDirectory(folder_);
}

} // namespace figrack::fleet
