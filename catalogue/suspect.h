// Work by what it is, and the endpoints that ended while they ran it, as plain values.
//
//   const auto work = workIdOf({ method, host, target, account, body });
//
// A request that makes the process of its endpoint end comes again with another
// request id, at another gateway. It is known again by its method, host, target,
// client account and whole body.

#ifndef FIGRACK_CATALOGUE_SUSPECT_H
#define FIGRACK_CATALOGUE_SUSPECT_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace figrack::catalogue {

/// The same for requests that ask for the same work on behalf of the same client account. Cut from
/// a SHA-256 digest, so that nobody can make up a request that is taken for another's.
struct WorkId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const WorkId &) const = default;
    /// @return true for the id of no work
    auto isNone() const -> bool { return high == 0 && low == 0; }
    /// @return 32 hexadecimal digits, for log lines
    auto text() const -> std::string;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(high, low);
    }
};

/// What makes two requests the same work.
struct WorkParts
{
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query, as sent.
    /// Keeps apart equal requests of several accounts, such as reads without a body: what one of
    /// them does to an endpoint says nothing of the others.
    std::string_view account;
    std::string_view body;
};

/// @return the id of the work; never that of no work
auto workIdOf(const WorkParts &parts) -> WorkId;

/// Work in progress at endpoints as these ended.
struct SuspectRow
{
    WorkId work;
    std::uint64_t account = 0;         ///< Hash of the client account.
    std::vector<EndpointId> ended;     ///< Endpoints that ended under it; sorted.
    std::vector<EndpointId> acquitted; ///< Of those, the ends that a completed run clears; sorted.
    std::uint64_t quietMs = 0;         ///< Since the newest end, as the sender knows.
    /// @return ends that count against the work
    auto ends() const -> std::uint32_t;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(work, account, ended, acquitted, quietMs);
    }
};

} // namespace figrack::catalogue

template<>
struct std::hash<figrack::catalogue::WorkId>
{
    auto operator()(const figrack::catalogue::WorkId &work) const noexcept -> std::size_t
    {
        return static_cast<std::size_t>(work.low);
    }
};

#endif // FIGRACK_CATALOGUE_SUSPECT_H
