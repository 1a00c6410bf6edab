// Fetches the newest configuration document for a gateway. Decides which control to ask for which
// data, and when to ask another control.
//
//   fetch.onAnnounced(control, version);
//   for (const auto &ask : fetch.next()) send(ask);       // now, and again at nextCheckAt()
//   fetch.onManifest(control, reply);   fetch.onBlocks(control, reply);
//   if (auto document = fetch.take()) putIntoForce(*document);
//
// The fetch requests the manifest of the newest document first, and then the missing blocks in
// batches. Only one request is pending at a time. If it becomes overdue, another control is asked
// for the same data in addition. A late answer is still used, since blocks are identified by their
// content. A control with an overdue request is not asked again until that request has ended.
//
// Once the manifest of a document has arrived, the document is completed before a newer one is
// started. Otherwise a series of changes that is faster than the link could prevent the gateway
// from ever completing a document.
//
// A gateway without a document waits until a majority of the controls has announced a version, for
// at most majorityTimeout. A control that was cut off from the others may announce first, whereas
// the highest version of a majority is never older than one that was confirmed.
//
// Guarantees: the versions returned by take() increase. At most one request is pending at each
// control, and each batch is bounded, so a slow link carries at most batchBytes per control twice.
// Makes decisions only: it does no I/O and sets no timers. Not thread-safe.

#ifndef FIGRACK_GATEWAY_DOCUMENTFETCH_H
#define FIGRACK_GATEWAY_DOCUMENTFETCH_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "catalogue/documentblocks.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/settings.h"
#include "proto/servingmessages.h"

namespace figrack::gateway {

struct DocumentFetchOptions
{
    /// A request is overdue after this time, and another control is asked in addition. A batch
    /// takes 40 ms on an otherwise idle link of 10 Mbit/s. If two controls in a row do not answer,
    /// a change is delayed by 0.6 s. The time doubles with each further overdue request until an
    /// answer arrives.
    Duration overdueAfter = std::chrono::milliseconds { 200 };
    Duration longestOverdueAfter = std::chrono::milliseconds { 1600 };
    /// Maximum size of the blocks that are requested at once. It is much less than a link carries
    /// within overdueAfter, and large enough that a document of 300 KB takes seven round trips.
    std::uint64_t batchBytes = std::uint64_t { 48 } << 10;
    /// A control that could not be asked, or whose request failed, is not asked for this time,
    /// since the notification that its connection broke may still be pending.
    Duration failedPause = std::chrono::milliseconds { 50 };
    /// How long a gateway without a document waits for announcements of a majority. Connections to
    /// nine controls are established within 30 ms unless the controls are down.
    Duration majorityTimeout = std::chrono::milliseconds { 100 };
};

/// A request for the manifest of a document.
struct ManifestAsk
{
    Address control;
    Revision atLeast;
};

/// A request for blocks of a document.
struct BlocksAsk
{
    Address control;
    std::vector<catalogue::BlockId> blocks;
};

using DocumentAsk = std::variant<ManifestAsk, BlocksAsk>;

/// A complete document, and statistics on how it was fetched.
struct FetchedDocument
{
    Revision version;
    std::string text;
    Duration took {}; ///< Time since this or a newer version was first announced to this gateway.
    std::uint32_t asked = 0;   ///< Number of requests that were sent for it.
    std::uint32_t overdue = 0; ///< Number of these requests that became overdue.
    /// Size of the blocks that were fetched; the others were already held.
    std::uint64_t fetchedBytes = 0;
};

class DocumentFetch
{
public:
    /// @param key determines the order in which this gateway asks the controls. It should differ
    /// between gateways, so that the controls share the load
    /// @param clock must outlive this object
    DocumentFetch(DocumentFetchOptions options, std::uint64_t key, const Clock &clock);

    /// Adds a control that the gateway connects to. It counts towards the majority.
    auto onKnown(const Address &control) -> void;
    /// Removes a control that the gateway no longer connects to.
    auto onForgotten(const Address &control) -> void;
    /// Called when a control announces the newest document that it holds.
    auto onAnnounced(const Address &control, Revision version) -> void;
    /// Called when the connection to a control broke. Its pending answer will not arrive.
    auto onLost(const Address &control) -> void;
    auto onManifest(const Address &control, const proto::ManifestReply &reply) -> void;
    auto onBlocks(const Address &control, const proto::BlocksReply &reply) -> void;
    /// Called when a request to a control has failed.
    auto onFailed(const Address &control) -> void;

    /// @return the requests to send now
    auto next() -> std::vector<DocumentAsk>;
    /// @return when to call next() again if no event arrives before; nullopt if that is not needed
    auto nextCheckAt() const -> std::optional<Instant>;
    /// @return a complete document, once; nullopt if there is none
    auto take() -> std::optional<FetchedDocument>;

private:
    /// A request that has not been answered yet.
    struct PendingRequest
    {
        Instant overdueAt {};
        bool isOverdue = false;
    };
    /// What is known of a control.
    struct Source
    {
        Revision announced;
        bool hasAnnounced = false;
        Instant notBefore {}; ///< Not asked before this time.
        std::optional<PendingRequest> pending;
    };
    /// The document that is being fetched.
    struct Target
    {
        Revision version;
        std::vector<catalogue::BlockRef> blocks;
        std::uint64_t fetchedBytes = 0;
    };

    auto noteOverdue() -> void;
    auto mayBegin() const -> bool;
    auto newestAnnounced() const -> Revision;
    auto isWaiting() const -> bool;
    auto bestSource(Revision version) const -> std::optional<Address>;
    auto ask(const Address &control) -> void;
    auto missing() const -> std::vector<catalogue::BlockId>;
    auto onAnswer(const Address &control) -> void;
    auto startMeasuring() -> void;

    DocumentFetchOptions options_;
    std::uint64_t key_;
    const Clock &clock_;
    std::map<Address, Source> sources_;
    std::map<catalogue::BlockId, std::string>
            blocks_;   ///< Blocks of the document in force and of the target.
    Revision version_; ///< Version in force at this gateway.
    std::optional<Target> target_;
    std::optional<Instant> firstHeardAt_; ///< Time of the first announcement of any control.
    /// When a newer version than the one in force was first announced.
    std::optional<Instant> firstLackingAt_;
    std::uint32_t unanswered_ = 0; ///< Requests that became overdue since the last answer.
    std::uint32_t asked_ = 0;
    std::uint32_t overdue_ = 0;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_DOCUMENTFETCH_H
