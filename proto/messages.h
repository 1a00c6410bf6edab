// The inner protocol: what figrack's own processes say to one another.
//
// Every frame carries one Envelope. A request has a non-zero correlation and is
// answered by an envelope with the same one; a push has correlation 0. Versions:
// protocolVersion is exchanged in the handshake (proto/channel.h) and peers of
// different versions part with VersionMismatch.
//
//   router  -> control  JoinRequest, FeedRequest, RenewRequest, DemandReport,
//                       EndpointReport, ClaimRequest, ClaimEnd, DrainNotice
//   control -> router   FeedReply, FeedPush, LoadDigest, and the replies
//   control <-> control coord::Message
//   what gateways and controls say besides stands in proto/servingmessages.h
//
// Bounds: no frame is longer than maxFrameBytes; every container length is
// checked against the bytes left before memory is asked for (proto/codec.h).

#ifndef FIGRACK_PROTO_MESSAGES_H
#define FIGRACK_PROTO_MESSAGES_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "coord/messages.h"
#include "coord/revisionpoll.h"
#include "coord/viewlease.h"
#include "core/error.h"
#include "core/ids.h"
#include "proto/servingmessages.h"
#include "proto/streamoriginmessages.h"
#include "state/commands.h"

namespace figrack::proto {

constexpr auto protocolVersion = std::uint32_t { 11 };
constexpr auto maxFrameBytes = std::size_t { 16 } << 20;

/// An error on the wire.
struct Failure
{
    ErrorKind kind = ErrorKind::Internal;
    std::string argument;
    NodeId leader; ///< With NotLeader, when known.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(kind, argument, leader);
    }
};

/// Asks the leader to register this life of a router.
struct JoinRequest
{
    state::RegisterRouter registration;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(registration);
    }
};
struct JoinReply
{
    LogIndex index; ///< Apply up to here before renewing.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(index);
    }
};

/// Tells the leader that this router leaves: first draining, then gone.
struct DrainNotice
{
    NodeId node;
    Incarnation incarnation;
    bool gone = false;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(node, incarnation, gone);
    }
};

/// Subscribes to committed entries from an index on; any control serves it.
struct FeedRequest
{
    NodeId node;
    LogIndex from;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(node, from);
    }
};

/// One committed command for a reader. Control-only entries are left out.
struct FeedEntry
{
    LogIndex index;
    std::string command; ///< state::encodeCommand()
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(index, command);
    }
};

/// First answer to a FeedRequest, and each push after it.
struct FeedBatch
{
    std::string snapshot; ///< Not empty: replace the tables by it before the entries.
    std::vector<FeedEntry> entries;
    LogIndex upTo; ///< Every entry up to here that concerns the reader has now been sent.
    NodeId leader; ///< As the sender knows it.
    Term term;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(snapshot, entries, upTo, leader, term);
    }
};

/// What waits for one model in one class at one router, and what arrived since the last report.
struct DemandRow
{
    ModelId model;
    ClassId classId;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t arrived = 0; ///< Since the last report.
    std::int64_t oldestWaitMs = 0;
    std::int64_t tightestSlackMs = 0; ///< Time left till the tightest start target, may be < 0.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(model, classId, queued, running, arrived, oldestWaitMs, tightestSlackMs);
    }
};

/// Sent to the leader every interval and at once when a model without a replica is wanted.
struct DemandReport
{
    NodeId router;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    LogIndex appliedIndex;
    Revision appliedRevision;
    std::vector<DemandRow> rows;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(router, incarnation, sequence, appliedIndex, appliedRevision, rows);
    }
};

/// State of a model on an endpoint, as the endpoint itself says.
enum class ObservedState : std::uint8_t { Loading, Ready, Unloading };
struct ObservedReplica
{
    ModelId model;
    std::string version;
    ObservedState state = ObservedState::Loading;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(model, version, state, running, waiting);
    }
};

/// An endpoint's announcement as the router that got it passes it on to the controls.
struct EndpointReport
{
    state::EndpointSpec spec;
    bool draining = false;
    std::uint64_t sequence = 0; ///< Rises with each announcement of one incarnation.
    std::uint64_t usedMb = 0;   ///< Accelerator memory in use, MiB, as the endpoint says.
    std::vector<ObservedReplica> replicas;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(spec, draining, sequence, usedMb, replicas);
    }
};

/// Load of one endpoint, lagging; from the controls to all routers.
struct LoadRow
{
    EndpointId endpoint;
    std::uint64_t sequence = 0;
    std::int64_t ageMs = 0; ///< How old the report was when this was sent.
    std::vector<ObservedReplica> replicas;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(endpoint, sequence, ageMs, replicas);
    }
};
struct LoadDigest
{
    std::vector<LoadRow> rows; ///< Those that changed since the last digest.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(rows);
    }
};

/// Asks the leader to take a claim before a dispatch.
struct ClaimRequest
{
    state::TakeClaim claim;  ///< claim.deadline and at are filled by the leader from waitMs.
    std::int64_t waitMs = 0; ///< How long from now the router may still dispatch.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(claim, waitMs);
    }
};

enum class ClaimVerdict : std::uint8_t {
    Granted, ///< This router, and it alone, may dispatch.
    Stored,  ///< Ran before: the stored answer is here.
    InProgress,
    Unknown, ///< May have run; it will not be run again.
    KeyReused,
};

struct ClaimReply
{
    ClaimVerdict verdict = ClaimVerdict::Unknown;
    std::uint32_t status = 0;
    std::string contentType;
    std::string answer;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(verdict, status, contentType, answer);
    }
};

/// Ends a claim with its outcome; answered by Done once it is in the log.
struct ClaimEnd
{
    state::EndClaim end;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(end);
    }
};

struct Done
{
    LogIndex index;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(index);
    }
};

/// One router's or control's share of the burn report; opaque here, see report/.
struct ReportRequest
{
    std::int64_t windowMs = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(windowMs);
    }
};
struct ReportReply
{
    NodeId node;
    std::string report; ///< report::encode()
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(node, report);
    }
};

using Payload
        = std::variant<Failure, JoinRequest, JoinReply, DrainNotice, FeedRequest, FeedBatch,
                       coord::RenewRequest, coord::RenewReply, DemandReport, EndpointReport,
                       LoadDigest, ClaimRequest, ClaimReply, ClaimEnd, Done, ReportRequest,
                       ReportReply, coord::Message, Subscribe, ServingUpdate, ServingAck, InForce,
                       ManifestRequest, ManifestReply, BlocksRequest, BlocksReply, ModelWanted,
                       JoinGroup, PickRequest, PickReply, PickEnd, SuspectNews, AccountNews,
                       DocumentProofRequest, DocumentProofReply, coord::RevisionQuery,
                       coord::RevisionReply, WatchRequest, WatchReply, PickGrant, LoadSchedule,
                       HandoffTargetsRequest, HandoffTargetsReply, RetryGrantRequest,
                       RetryGrantReply, BegunStreams, StreamOriginQuery, StreamOriginReply>;

struct Envelope
{
    std::uint64_t correlation = 0; ///< 0 for a push.
    Payload payload;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(correlation, payload);
    }
};

} // namespace figrack::proto

#endif // FIGRACK_PROTO_MESSAGES_H
