// How a gateway comes by the newest configuration document: which control it asks
// for what, and when it asks another.
//
//   fetch.onAnnounced(control, version);
//   for (const auto &ask : fetch.next()) send(ask);       // now, and again at nextLook()
//   fetch.onManifest(control, reply);   fetch.onBlocks(control, reply);
//   if (auto document = fetch.take()) putIntoForce(*document);
//
// First the manifest of the newest document, then the blocks that are lacking, a
// batch at a time. One question waits at a time; when it is overdue, another
// control is asked the same besides, and whichever answers first counts: a slow
// answer is kept when it comes, since blocks are named by their content. A control
// with an overdue question is not asked again before that one has ended.
//
// A document whose manifest has come is finished before a newer one is begun, so
// that a series of changes faster than the link cannot keep the gateway from all
// of them.
//
// A gateway that has no document yet waits for what a majority of the controls
// announce, for startPatience at most: a control that was cut off from the others
// may speak first, and the highest version of a majority is never older than one
// that was confirmed.
//
// Guarantees: the version of what take() gives rises. At most one question waits
// at each control, and each batch is bounded, so that what a slow link carries
// twice is bounded by batchBytes a control. Decides only: no I/O, no timer; the
// clock is the caller's. Not thread-safe.

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
    /// A question is overdue after so long, and another control is asked besides. A batch takes
    /// 40 ms on a link of 10 Mbit/s that carries nothing else; with two controls in a row that do
    /// not answer, a change is late by 0.6 s. Doubles with each further one until an answer comes.
    Duration overdueAfter = std::chrono::milliseconds { 200 };
    Duration longestOverdueAfter = std::chrono::milliseconds { 1600 };
    /// Of blocks that are asked for at once: much less than a link carries in overdueAfter, and
    /// enough that the round trips of a whole document of 300 KB are seven.
    std::uint64_t batchBytes = std::uint64_t { 48 } << 10;
    /// A control that could not be asked, or whose question was written off, is left out for so
    /// long: the news that its connection broke may still be on its way.
    Duration failedPause = std::chrono::milliseconds { 50 };
    /// For a majority of announcements, when there is no document yet. Connections to nine controls
    /// are made within 30 ms unless they are down.
    Duration startPatience = std::chrono::milliseconds { 100 };
};

struct ManifestAsk
{
    Address control;
    Revision atLeast;
};

struct BlocksAsk
{
    Address control;
    std::vector<catalogue::BlockId> blocks;
};

using DocumentAsk = std::variant<ManifestAsk, BlocksAsk>;

/// A whole document, and how it came.
struct FetchedDocument
{
    Revision version;
    std::string text;
    Duration took {};               ///< Since this or a newer version was first announced here.
    std::uint32_t asked = 0;        ///< Questions sent for it.
    std::uint32_t overdue = 0;      ///< Of them those that another control was asked besides.
    std::uint64_t fetchedBytes = 0; ///< Of its blocks; the others were held.
};

class DocumentFetch
{
public:
    /// @param key orders the controls differently at each gateway, so that they share the work
    /// @param clock outlives this
    DocumentFetch(DocumentFetchOptions options, std::uint64_t key, const Clock &clock);

    /// A control that is dialled; counts towards a majority.
    auto onKnown(const Address &control) -> void;
    /// A control that is dialled no more.
    auto onForgotten(const Address &control) -> void;
    /// It says something: the newest document that it holds.
    auto onAnnounced(const Address &control, Revision version) -> void;
    /// The connection to it broke; its answers will not come.
    auto onLost(const Address &control) -> void;
    auto onManifest(const Address &control, const proto::ManifestReply &reply) -> void;
    auto onBlocks(const Address &control, const proto::BlocksReply &reply) -> void;
    /// A question to it will not be answered.
    auto onFailed(const Address &control) -> void;

    /// @return what to ask now
    auto next() -> std::vector<DocumentAsk>;
    /// @return when next() may have more to ask though nothing was heard
    auto nextLook() const -> std::optional<Instant>;
    /// @return a document that is complete, once
    auto take() -> std::optional<FetchedDocument>;

private:
    /// A question that waits for its answer.
    struct Question
    {
        Instant overdueAt {};
        bool isOverdue = false;
    };
    struct Source
    {
        Revision announced;
        bool hasAnnounced = false;
        Instant notBefore {}; ///< Not asked before.
        std::optional<Question> question;
    };
    /// The document that is being completed.
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
    std::map<catalogue::BlockId, std::string> blocks_; ///< Of what is in force and of the target.
    Revision version_;                                 ///< In force here.
    std::optional<Target> target_;
    std::optional<Instant> firstHeardAt_;   ///< Of any control.
    std::optional<Instant> firstLackingAt_; ///< Of a version newer than the one in force.
    std::uint32_t unanswered_ = 0;          ///< Questions overdue since the last answer.
    std::uint32_t asked_ = 0;
    std::uint32_t overdue_ = 0;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_DOCUMENTFETCH_H
