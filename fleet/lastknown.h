// What a control knew last, kept on its disk beside the replicated log.
//
//   auto store = LastKnownStore { folder, disk };
//   const auto document = store.loadDocument();   // empty when there is none
//   store.save(document);                         // returns at once; written soon
//   store.save(endpoints);
//   store.save(suspects);
//
// When all processes of a fleet are lost at once, gateways need a document and
// endpoints before they can serve, and both came from memory: a document only
// after an election had committed an entry (0.7 to 1.5 s after the start), an
// endpoint when it announced itself (0 to 1.2 s). With what is kept here they
// serve 0.2 s after the start.
//
// Suspected work is kept for the same case: with a table that begins anew, work in
// quarantine ends three more endpoints after each loss of all processes.
//
// What is loaded is proof of nothing: the document was committed, but newer ones
// may have been; endpoints may be gone. It is told to gateways, which hold no
// newer document after a start, and is never an answer to a reader of the
// configuration, who is owed the newest.
//
// Guarantees: what is loaded was saved as a whole, or it is empty. A failed write
// is logged and tried again until it succeeds, a newer one takes its place, or the
// store ends (once more then). save() never waits for the disk: a thread of its own
// writes, the newest state only.

#ifndef FIGRACK_FLEET_LASTKNOWN_H
#define FIGRACK_FLEET_LASTKNOWN_H

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <absl/status/status.h>

#include "catalogue/endpointrow.h"
#include "catalogue/suspect.h"
#include "coord/disk.h"
#include "fleet/configlog.h"

namespace figrack::fleet {

class LastKnownStore
{
public:
    /// @param folder that exists by the first call @param disk outlives the store; used from its
    /// thread too
    LastKnownStore(std::string folder, coord::Disk &disk);
    /// Waits until what was saved is written, or could not be.
    ~LastKnownStore();
    LastKnownStore(const LastKnownStore &) = delete;
    auto operator=(const LastKnownStore &) -> LastKnownStore & = delete;

    /// @return the document that was saved last; version 0 when none was, or it cannot be read
    auto loadDocument() -> Document;
    /// @return the endpoints that were saved last; none when they cannot be read
    auto loadEndpoints() -> std::vector<catalogue::EndpointRow>;
    /// @return the suspected work that was saved last; none when it cannot be read
    auto loadSuspects() -> std::vector<catalogue::SuspectRow>;
    auto save(const Document &document) -> void;
    auto save(const std::vector<catalogue::EndpointRow> &endpoints) -> void;
    auto save(const std::vector<catalogue::SuspectRow> &suspects) -> void;

private:
    template<typename T>
    auto load(const std::string &name) -> T;
    auto post(const std::string &name, const std::string &payload) -> void;
    auto writeLoop() -> void;
    auto write(const std::string &name, std::string_view bytes) -> absl::Status;

    const std::string folder_;
    coord::Disk &disk_;
    std::mutex mutex_;                           ///< Guards the next two; a leaf in the lock order.
    std::map<std::string, std::string> pending_; ///< Bytes to write, by file name.
    bool stopping_ = false;
    std::condition_variable wake_;
    std::thread writer_; ///< Last: it uses all of the above.
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_LASTKNOWN_H
