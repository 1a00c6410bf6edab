// A caller's request that one gateway hands to another one, since it cannot reach the endpoints
// that could serve it.
//
//   auto sealed = sealHandoff(request, keys);                        // at the first gateway
//   auto request = openHandoff(sealed.bytes, sealed.seal, keys);     // at the second one
//
// The bytes are the body of an HTTP request, and the seal is a header of it, so that the answer is
// streamed, slowed down and cancelled as that of any other request. The seal is an HMAC of the
// bytes under a key of the fleet: only a gateway can hand over a request.

#ifndef FIGRACK_PROTO_HANDOFF_H
#define FIGRACK_PROTO_HANDOFF_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "core/ids.h"
#include "proto/channel.h"
#include "proto/seal.h"

namespace figrack::proto {

/// A header of the caller's request.
struct HandedHeader
{
    std::string name;
    std::string value;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(name, value);
    }
};

/// What the first gateway has already done for a request.
struct HandoffTerms
{
    NodeId from;                    ///< The first gateway.
    std::uint64_t waitedMs = 0;     ///< Since the request arrived there.
    std::uint32_t ran = 0;          ///< Dispatches that may have run.
    bool mayHaveRun = false;        ///< One of them may have run without a complete answer.
    bool isCountedAsWork = false;   ///< In the retry budget, as a request.
    bool isCountedAsDemand = false; ///< In the demand for its model.
    bool isCharged = false;         ///< To its account.
    bool hasArrived = false;        ///< An endpoint has received a dispatch of it.
    std::uint64_t retryMs = 0;      ///< For how long a retry of it is paid for; 0: none is.
    std::string resumeAfter;        ///< ID of the last event that the caller has; empty: none.
    bool isVersionBound = false;    ///< The stream has begun, here or in an earlier attempt.
    std::string softwareVersion;    ///< Of the endpoint that began that stream.
    /// The numbers of the events that the caller has received leave out none.
    bool areEventIdsConsecutive = false;
    ServiceId service; ///< That the first gateway has chosen.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(from, waitedMs, ran, mayHaveRun, isCountedAsWork, isCountedAsDemand, isCharged,
                hasArrived, retryMs, resumeAfter, isVersionBound, softwareVersion,
                areEventIdsConsecutive, service);
    }
};

struct HandedRequest
{
    HandoffTerms terms;
    std::string method;
    std::string target; ///< As the caller sent it.
    std::string path;   ///< Of the target, percent-decoded.
    std::string query;
    std::string remoteIp; ///< Of the caller.
    std::vector<HandedHeader> headers;
    std::string body;
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(terms, method, target, path, query, remoteIp, headers, body);
    }
};

using SealedHandoff = Sealed;

/// @return the request's encoding, sealed with the first of the keys
auto sealHandoff(const HandedRequest &request, const PeerKeys &keys) -> SealedHandoff;
/// @return the request; AuthFailed if none of the keys made the seal; Malformed
auto openHandoff(std::string_view bytes, std::string_view seal, const PeerKeys &keys)
        -> absl::StatusOr<HandedRequest>;

} // namespace figrack::proto

#endif // FIGRACK_PROTO_HANDOFF_H
