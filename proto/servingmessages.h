// What controls and gateways say to one another about documents, endpoints and
// demand; part of the inner protocol (proto/messages.h).
//
//   gateway, control -> control   Subscribe, ServingAck, ModelWanted
//   gateway          -> control   InForce, ManifestRequest, BlocksRequest,
//                                 DocumentProofRequest, HandoffTargetsRequest (answered by
//                                 their replies)
//   gateway          -> control   PickRequest (answered by PickReply, and by PickGrant where it was
//                                 queued), PickEnd
//   control          -> control   AccountNews; coord::RevisionQuery, answered by its reply
//   joining control  -> control   JoinGroup
//   gateway, control -> control, and control -> gateway   SuspectNews
//   gateway          -> control   WatchRequest (answered by WatchReply)
//   control -> subscriber         ServingUpdate, ManifestReply, BlocksReply; LoadSchedule by the
//                                 leader
//
// How a subscriber learns of endpoints depends on how many there are. Up to wholeUpTo of its
// Subscribe, each control sends it every row and its changes. Beyond that, a gateway watches keys
// at one control, and is sent the rows of a few endpoints for each key and their changes.

#ifndef FIGRACK_PROTO_SERVINGMESSAGES_H
#define FIGRACK_PROTO_SERVINGMESSAGES_H

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "catalogue/account.h"
#include "catalogue/documentblocks.h"
#include "catalogue/endpointgroup.h"
#include "catalogue/endpointrow.h"
#include "catalogue/evacuations.h"
#include "catalogue/suspect.h"
#include "coord/messages.h"
#include "core/ids.h"
#include "core/settings.h"

namespace figrack::proto {

enum class SubscriberKind : std::uint8_t { Gateway, Control };

/// What a gateway obeys from now on; to the leader.
struct InForce
{
    Revision document;    ///< Version of the configuration; 0: none.
    Revision evacuations; ///< 0: none.
    /// @return true when the state is at least as new as the other
    auto covers(const InForce &other) const -> bool
    {
        return document >= other.document && evacuations >= other.evacuations;
    }
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(document, evacuations);
    }
};

/// Asks for updates on this connection; sent again when the gateway's readiness changes.
struct Subscribe
{
    SubscriberKind kind = SubscriberKind::Gateway;
    Address callers; ///< Where callers connect; of a gateway only.
    DomainId domain;
    bool ready = false; ///< Whether callers may be sent there.
    InForce inForce;    ///< Of a gateway only.
    /// Every row is sent as long as the control knows no more endpoints than this when it gets the
    /// message; 0: no rows are sent but those that are watched.
    std::uint32_t wholeUpTo = std::numeric_limits<std::uint32_t>::max();
    /// Of a control only: gateways may learn of endpoints from it alone, so that the leaving of an
    /// endpoint is confirmed only with its acknowledgement.
    bool hasWatchers = false;
    /// Of a gateway only: its processor share, in thousandths of a core; 0: not known.
    std::uint32_t capacity = 0;
    Address handoffs; ///< Of a gateway only: where it takes requests that others hand over.
    /// Of a gateway only: groups of endpoints that it cannot make connections to.
    std::vector<catalogue::EndpointGroup> unreached;
    bool reachesNone = false; ///< Of a gateway only: these are all that it knows.
    /// Of a gateway only: the control at which it watches endpoints; empty: it gets the whole list.
    NodeId watchesAt;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(kind, callers, domain, ready, inForce, wholeUpTo, hasWatchers, capacity, handoffs,
                unreached, reachesNone, watchesAt);
    }
};

/// Asks for gateways that can take requests which the sender cannot serve.
struct HandoffTargetsRequest
{
    std::vector<DomainId> preferred; ///< Failure domains whose gateways are named first.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(preferred);
    }
};
/// A gateway that is ready and reported that it reaches some endpoints.
struct HandoffTarget
{
    NodeId node;
    Address address; ///< Subscribe::handoffs.
    DomainId domain;
    std::uint32_t capacity = 0;                      ///< Thousandths of a core; 0: not known.
    std::vector<catalogue::EndpointGroup> unreached; ///< See Subscribe.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(node, address, domain, capacity, unreached);
    }
};
struct HandoffTargetsReply
{
    std::vector<HandoffTarget> targets;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(targets);
    }
};

/// Requests in progress at one endpoint.
struct EndpointLoad
{
    EndpointId endpoint;
    std::uint32_t running = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(endpoint, running);
    }
};

/// A gateway that may be asked to keep the origins of streams (proto/streamorigin.h).
struct OriginOwner
{
    NodeId node;
    Address address; ///< Subscribe::handoffs.
    DomainId domain;
    auto operator==(const OriginOwner &) const -> bool = default;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(node, address, domain);
    }
};

/// Software versions of one service, in ascending order.
struct ServiceVersions
{
    ServiceId service;
    std::vector<std::string> versions; ///< Empty text: of endpoints that name none.
    auto operator==(const ServiceVersions &) const -> bool = default;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(service, versions);
    }
};

/// Software versions that have served within the resumption window, as far as the sender knows.
struct VersionNews
{
    std::vector<ServiceVersions> services;
    bool isComplete = false; ///< No version that has served within the window is missing.
    auto operator==(const VersionNews &) const -> bool = default;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(services, isComplete);
    }
};

/// Where the controls are and what they hold, to each subscriber.
struct ServingUpdate
{
    std::uint64_t number = 0;         ///< Rises on one connection.
    bool wantsAck = false;            ///< To be answered by ServingAck once it is acted on.
    Revision document;                ///< The newest document that the sender has applied; 0: none.
    NodeId leader;                    ///< As the sender knows it; may be empty.
    Term term;                        ///< Of that leader.
    std::uint32_t gateways = 0;       ///< Subscribed to the sender.
    std::uint32_t endpointsKnown = 0; ///< To the sender.
    bool isCurrent = true;            ///< The sender receives the decisions and news of its group.
    /// Only when they have changed, and to a new subscriber.
    std::optional<catalogue::Evacuations> evacuations;
    std::vector<coord::Member> controls;           ///< Only when they have changed.
    std::vector<catalogue::EndpointRow> endpoints; ///< Those that changed since the last update.
    std::vector<catalogue::EndpointBeat> beats;    ///< Announcements heard since the last update.
    std::vector<EndpointLoad> loads; ///< Over all gateways, from the leader; empty: no news.
    /// Watched endpoints whose rows are not sent any more; no new request may go there.
    std::vector<EndpointId> withdrawn;
    /// To gateways only, when they have changed, and to a new subscriber.
    std::optional<std::vector<OriginOwner>> originOwners;
    /// When they have changed, and to a new subscriber.
    std::optional<VersionNews> softwareVersions;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(number, wantsAck, document, leader, term, gateways, endpointsKnown, isCurrent,
                evacuations, controls, endpoints, beats, loads, withdrawn, originOwners,
                softwareVersions);
    }
};

/// Which endpoints a gateway wants to be told of: those of a service that hold a model, or an
/// adapter of it.
struct WatchKey
{
    ServiceId service;
    ModelId model;       ///< Empty: any endpoint of the service.
    std::string adapter; ///< Empty: the model itself.
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for one.
    auto operator<=>(const WatchKey &) const = default;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(service, model, adapter);
    }
};

/// Changes what a gateway watches at a control.
struct WatchRequest
{
    bool isReset = false; ///< The keys replace all that the gateway has watched there.
    std::vector<WatchKey> added;
    std::vector<WatchKey> removed;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(isReset, added, removed);
    }
};
struct WatchReply
{
    bool isCurrent = false; ///< See ServingUpdate.
    /// Of the added keys, without those that the gateway has been sent before.
    std::vector<catalogue::EndpointRow> endpoints;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(isCurrent, endpoints);
    }
};

/// The subscriber acts on an update from now on.
struct ServingAck
{
    std::uint64_t number = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(number);
    }
};

/// Asks for the blocks of the newest document that the control knows to be committed.
struct ManifestRequest
{
    Revision atLeast;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(atLeast);
    }
};
struct ManifestReply
{
    Revision version; ///< 0: it has none.
    std::vector<catalogue::BlockRef> blocks;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(version, blocks);
    }
};

/// Asks for blocks of any document of late.
struct BlocksRequest
{
    std::vector<catalogue::BlockId> blocks;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(blocks);
    }
};
struct BlocksReply
{
    std::vector<std::string> blocks; ///< Those that the control holds, in the order asked for.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(blocks);
    }
};

/// Asks which document a gateway must obey to be current.
struct DocumentProofRequest
{
    template<typename Archive>
    auto serialize(Archive & /*archive*/) -> void
    { }
};
struct DocumentProofReply
{
    /// No newer document was accepted before the question left; 0: that cannot be said.
    Revision demanded;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(demanded);
    }
};

/// Requests of one model at one gateway since its last report.
struct WantedRow
{
    ServiceId service;
    ModelId model;
    std::string adapter; ///< Empty: the model itself.
    std::uint32_t arrived = 0;
    std::uint32_t waiting = 0; ///< Requests that no endpoint can take.
    std::uint32_t running = 0;
    std::uint32_t refused = 0; ///< Since the last report, since no endpoint could have it in time.
    std::uint32_t late = 0; ///< Since the last report: began or paused too late where it was held.
    /// Shortest time in which one of the waiting requests must be dispatched to start on time;
    /// absent: not told.
    std::optional<std::uint64_t> startWithinMs;
    /// Prompt tokens that the arrived requests give a replica to read; 0 where the configuration
    /// does not ask for ordered admission.
    std::uint64_t readTokens = 0;
    std::uint64_t startTargetMs = 0; ///< Shortest start target of these requests.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(service, model, adapter, arrived, waiting, running, refused, late, startWithinMs,
                readTokens, startTargetMs);
    }
};

/// How many gateways could not connect to an endpoint lately, and how many others use it. Of those
/// gateways that reach other endpoints of its group.
struct UnreachedEndpoint
{
    EndpointId endpoint;
    std::uint32_t failed = 1;
    std::uint32_t used = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(endpoint, failed, used);
    }
};

/// Requests for a service that callers sent, for the retry budget.
struct ServiceRequests
{
    ServiceId service;
    std::uint64_t count = 0; ///< Since the last report.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(service, count);
    }
};

/// Sent to the leader at each interval, and at once when a model is wanted that no endpoint holds.
struct ModelWanted
{
    std::uint64_t spanMs = 0; ///< Time that the arrivals cover.
    std::vector<WantedRow> rows;
    std::vector<EndpointLoad> loads; ///< What this gateway has in progress.
    /// Endpoints that announced that they take no requests.
    std::vector<EndpointId> unreachable;
    std::vector<UnreachedEndpoint> unreached;
    std::vector<catalogue::EndpointGroup> unreachedGroups; ///< See Subscribe::unreached.
    std::vector<ServiceRequests> requests;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(spanMs, rows, loads, unreachable, unreached, unreachedGroups, requests);
    }
};

/// The beginning of a prompt that other requests may share.
struct PromptSpan
{
    std::uint64_t key = 0;    ///< Of model, adapter and all parts of the prompt up to this one.
    std::uint64_t tokens = 0; ///< Of this part alone.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(key, tokens);
    }
};

/// What an endpoint named as the rate of requests that it takes from all gateways together.
struct CandidateRate
{
    EndpointId endpoint;
    std::optional<double> perSecond; ///< Absent: it takes any rate again.
    std::uint64_t ageMs = 0;         ///< Since the gateway heard of it.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(endpoint, perSecond, ageMs);
    }
};

/// Asks a balancer which endpoint a request should go to, and books the request there.
struct PickRequest
{
    std::uint64_t ticket = 0; ///< Names the booking; unique at the gateway.
    /// Endpoints that can take the request, by what the gateway knows.
    std::vector<EndpointId> candidates;
    std::uint64_t model = 0;        ///< Hash of service and model; 0 at a plain service.
    std::vector<PromptSpan> shared; ///< In the prompt's order.
    std::uint64_t ownTokens = 0;    ///< Of the prompt, after the shared parts.
    std::uint64_t outputTokens = 0; ///< At most; 0 at a plain service.
    /// Tokens of KV cache that one engine fetches from another in a millisecond; 0: it does not.
    std::uint64_t fetchTokensPerMs = 0;
    std::int64_t limitMs = 0;       ///< The booking ends by itself after it.
    std::uint32_t places = 0;       ///< Requests that an engine runs at once; 0: without bound.
    std::uint32_t rank = 0;         ///< 0 is the most urgent.
    bool hasBegun = false;          ///< It goes on elsewhere, and is not turned away.
    std::int64_t startTargetMs = 0; ///< Its first event should come within it; 0: any time.
    std::int64_t gapTargetMs = 0;   ///< Its events should follow within it; 0: any time.
    catalogue::WorkIds works;       ///< What is suspected runs one at a time.
    std::vector<catalogue::WorkId> parts; ///< Of its prompt, those that the gateway suspects.
    /// Of an account with a limit. With no candidate it is only asked whether the account has room.
    std::optional<catalogue::AccountCharge> charge;
    /// Of the candidates that ever named one to the gateway.
    std::vector<CandidateRate> rates;
    /// The configuration asks for ordered admission (catalogue/contention.h): the request may wait
    /// at the balancer for a place, in the order of all gateways' requests.
    bool isOrdered = false;
    std::int64_t startWithinMs = 0; ///< Time left to its first event, if that is to be on time.
    std::int64_t waitedMs = 0;      ///< Since it arrived at its gateway.
    AccountId account;              ///< Of its caller; empty: none.
    std::uint64_t cost = 0;         ///< In the units of that account.
    double accountPerSecond = 0;    ///< That account's limit, in the same units; 0: none.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(ticket, candidates, model, shared, ownTokens, outputTokens, fetchTokensPerMs,
                limitMs, places, rank, hasBegun, startTargetMs, gapTargetMs, works, parts, charge,
                rates, isOrdered, startWithinMs, waitedMs, account, cost, accountPerSecond);
    }
};
/// Why a request may not go anywhere now.
enum class PickRefusal : std::uint8_t {
    None,
    NoRoom,      ///< Those that could take it have as many requests as they can serve.
    Suspect,     ///< For what its work did.
    OverLimit,   ///< Its account has used up its limit.
    CannotCount, ///< This control does not hear what others admit for its account.
    RateUsed,    ///< Those that could take it have got all requests of late that they take.
};
struct PickReply
{
    /// One of the candidates; empty when none has room for it, and nothing is booked then.
    EndpointId endpoint;
    std::uint32_t startMs = 0; ///< Until the prompt is read there, as expected.
    std::uint32_t running = 0; ///< Requests booked there before this one.
    std::uint32_t holdMs = 0; ///< To be sent after so long: the endpoint's streams go on meanwhile.
    EndpointId fetchFrom;     ///< Keeps more of the prompt, which may be fetched; empty: none does.
    std::uint32_t comeBackMs = 0; ///< With a refusal: when it may be taken.
    PickRefusal refusal = PickRefusal::None;
    bool isNearLimit = false; ///< The request's account has used most of its limit of late.
    /// No place is free yet; a PickGrant follows. The endpoint is empty, and startMs is the
    /// predicted time until the grant.
    bool isQueued = false;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(endpoint, startMs, running, holdMs, fetchFrom, comeBackMs, refusal, isNearLimit,
                isQueued);
    }
};
/// Ends the wait of a queued request, at the gateway that asked.
struct PickGrant
{
    std::uint64_t ticket = 0; ///< Of its PickRequest.
    PickReply reply;          ///< With an endpoint, where the request is booked, or with a refusal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(ticket, reply);
    }
};
/// How a request that was booked has ended.
enum class PickOutcome : std::uint8_t {
    Unknown, ///< It broke, or says nothing of its endpoint's load.
    OnTime,  ///< It began, and paused, within what its route allows.
    Late,
};
/// The request is not at the endpoint any more, or has never gone there.
struct PickEnd
{
    std::uint64_t ticket = 0;
    std::int64_t startMs = 0; ///< From its sending to the first event; 0: there was none.
    PickOutcome outcome = PickOutcome::Unknown;
    bool mayHaveRun = false; ///< Else its account gets its charge back.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(ticket, startMs, outcome, mayHaveRun);
    }
};

/// A granted retry is sent, if at all, within this time after it was asked for.
constexpr auto retryGrantTtl = std::chrono::milliseconds { 1000 };

/// Part of the retries per request that a gateway uses without asking. The rest is the leader's to
/// grant, so that it is not lost with a gateway.
constexpr auto ownRetryPart = 0.25;

/// Asks the leader for one retry out of those that all gateways share.
struct RetryGrantRequest
{
    ServiceId service;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(service);
    }
};
struct RetryGrantReply
{
    bool isGranted = false;
    std::uint64_t waitMs = 0; ///< Without a grant: when one may be asked for again.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(isGranted, waitMs);
    }
};

/// Why a model that requests wait for is not held yet.
enum class ScheduledLoadState : std::uint8_t {
    Ordered,  ///< An endpoint has accepted the order.
    Planned,  ///< Its endpoint carries out another order first, or has not answered yet.
    Deferred, ///< No endpoint has room for it, or the store allows no load.
};

/// When a model or an adapter is expected to be held.
struct ScheduledLoad
{
    ServiceId service;
    ModelId model;
    std::string adapter; ///< Empty: the model itself.
    ScheduledLoadState state = ScheduledLoadState::Planned;
    /// From the sending of the schedule; when deferred, if it is ordered at the next occasion.
    std::uint64_t readyInMs = 0;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(service, model, adapter, state, readyInMs);
    }
};

/// The loads that the leader has in progress or plans, to gateways. Each replaces the one before.
struct LoadSchedule
{
    Term term;
    std::uint64_t number = 0; ///< Rises within a term.
    std::vector<ScheduledLoad> rows;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(term, number, rows);
    }
};

/// Work that was in progress at endpoints as they ended: what the sender knows and the receiver may
/// not. Merging it is a union (policy/quarantine.h).
struct SuspectNews
{
    std::vector<catalogue::SuspectRow> rows;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(rows);
    }
};

/// What a control has admitted for accounts, to the others that may take its place.
struct AccountNews
{
    Incarnation life; ///< Of the sender's process: its sums begin anew with each.
    std::vector<catalogue::AccountUse> rows;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(life, rows);
    }
};

/// A control with an empty or a removed disk asks to become a member.
struct JoinGroup
{
    coord::Member member;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(member);
    }
};

} // namespace figrack::proto

#endif // FIGRACK_PROTO_SERVINGMESSAGES_H
