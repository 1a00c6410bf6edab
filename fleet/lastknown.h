// The last known state of a control, kept on its disk next to the replicated log.
//
//   auto store = LastKnownStore { folder, disk };
//   const auto document = store.loadDocument();   // empty when there is none
//   store.save(document);                         // returns at once; written in the background
//   store.save(evacuations);
//   store.save(endpoints);
//   store.save(suspects);
//   store.save(versions);
//
// When all processes of a fleet are lost at once, gateways need a document and
// endpoints before they can serve. Without this store both are unavailable for a
// while after the start: a document until an election has committed an entry (0.7
// to 1.5 s), an endpoint until it announces itself (0 to 1.2 s). With the store,
// gateways serve 0.2 s after the start.
//
// Evacuations are saved because a gateway must know them before its first request.
//
// Software versions are saved with whether none is missing, so that a stream that
// broke with the processes can go on at the version that began it.
//
// Suspected work is saved for the same case: with an empty table, work that was
// in quarantine would end three more endpoints after each loss of all processes.
//
// Loaded state proves nothing. The document was committed, but newer ones may have
// been committed since; endpoints may be gone. It is sent to gateways, which hold
// no newer document after a start, but is never returned to a reader of the
// configuration, who must get the newest one.
//
// Guarantees: loaded state was saved as a whole, or is empty. A failed write is
// logged and retried until it succeeds, newer state replaces it, or the store is
// destroyed, which tries once more. save() never waits for the disk: a background
// thread writes, and only the newest state.

#ifndef FIGRACK_FLEET_LASTKNOWN_H
#define FIGRACK_FLEET_LASTKNOWN_H

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <absl/status/status.h>

#include "catalogue/endpointrow.h"
#include "catalogue/evacuations.h"
#include "catalogue/suspect.h"
#include "coord/disk.h"
#include "fleet/configlog.h"
#include "proto/servingmessages.h"

namespace figrack::fleet {

/// Software versions on a disk, with the time at which they were known.
struct SavedVersions
{
    proto::VersionNews news;
    std::int64_t bootNanos = 0;  ///< By the machine's monotonic clock.
    std::int64_t wallMillis = 0; ///< By the calendar.
    auto operator==(const SavedVersions &) const -> bool = default;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(news, bootNanos, wallMillis);
    }
};

class LastKnownStore
{
public:
    /// @param folder must exist when the first other function is called
    /// @param disk must outlive the store; also used from the store's thread
    LastKnownStore(std::string folder, coord::Disk &disk);
    /// Waits until all saved state is written or its last write has failed.
    ~LastKnownStore();
    LastKnownStore(const LastKnownStore &) = delete;
    auto operator=(const LastKnownStore &) -> LastKnownStore & = delete;

    /// @return the last saved document; version 0 when there is none or it cannot be read
    auto loadDocument() -> Document;
    /// @return the last saved evacuations; revision 0 when there are none or they cannot be read
    auto loadEvacuations() -> catalogue::Evacuations;
    /// @return the last saved endpoints; none when they cannot be read
    auto loadEndpoints() -> std::vector<catalogue::EndpointRow>;
    /// @return the last saved suspected work; none when it cannot be read
    auto loadSuspects() -> std::vector<catalogue::SuspectRow>;
    /// @return the last saved software versions; none and not complete when they cannot be read
    auto loadVersions() -> SavedVersions;
    auto save(const Document &document) -> void;
    auto save(const catalogue::Evacuations &evacuations) -> void;
    auto save(const std::vector<catalogue::EndpointRow> &endpoints) -> void;
    auto save(const std::vector<catalogue::SuspectRow> &suspects) -> void;
    auto save(const SavedVersions &versions) -> void;

private:
    template<typename T>
    auto load(const std::string &name) -> T;
    auto post(const std::string &name, const std::string &payload) -> void;
    auto writeLoop() -> void;
    auto write(const std::string &name, std::string_view bytes) -> absl::Status;

    const std::string folder_;
    coord::Disk &disk_;
    std::mutex mutex_;                           ///< Guards pending_ and stopping_; a leaf lock.
    std::map<std::string, std::string> pending_; ///< Bytes to write, by file name.
    bool stopping_ = false;
    std::condition_variable wake_;
    std::thread writer_; ///< Must be last: it uses all members above.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_LASTKNOWN_H
