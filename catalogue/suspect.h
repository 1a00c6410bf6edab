// Work by what it is, and the endpoints that ended while they ran it, as plain values.
//
//   const auto works = workIdsOf({ method, host, path, query, caller, body });
//   const auto part = workIdOfPart(service, id);
//
// A request that makes the process of its endpoint end comes again with another
// request id, at another gateway, maybe from another address of its caller and
// with another query. It is known again by what it asks for, the whole body
// included, in two ways: of its caller, and of whoever asks for it. Different
// requests may end endpoints by a part of their prompts that they share, so each
// shared part is work of its own, whatever else its requests hold.

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

/// The same for requests that ask for the same work. Cut from a SHA-256 digest, so that nobody can
/// make up a request that is taken for another.
struct WorkId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for one.
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
    std::string_view path;   ///< As sent.
    std::string_view query;  ///< As sent.
    std::string_view caller; ///< Client account, or what else tells callers apart.
    std::string_view body;
};

/// The two ways in which a request is known again. Each has ends and completed runs of its own, and
/// either one can put the request in quarantine.
struct WorkIds
{
    /// Of this caller. Where others send the same and it completes, as reads without a body do,
    /// what this caller's request does to endpoints counts all the same.
    WorkId ofCaller;
    /// Of whoever sends it: a caller may have many addresses. The query counts only where there is
    /// no body, as what an engine runs is the body.
    WorkId ofAnyone;
    auto operator==(const WorkIds &) const -> bool = default;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(ofCaller, ofAnyone);
    }
};

/// @return the ids of the work; never those of no work
auto workIdsOf(const WorkParts &parts) -> WorkIds;

/// @return the id of a part of prompts that several requests of a service may share
auto workIdOfPart(const ServiceId &service, std::uint64_t part) -> WorkId;

/// What a WorkId names.
enum class WorkKind : std::uint8_t {
    Request,    ///< A whole request, or the load of a model.
    PromptPart, ///< In progress at many endpoints at once.
};

/// Work in progress at endpoints as these ended.
struct SuspectRow
{
    WorkId work;
    WorkKind kind = WorkKind::Request;
    std::uint64_t account = 0;          ///< Hash of the caller, for the bound by caller.
    std::vector<EndpointId> ended;      ///< Endpoints that ended under it; sorted.
    std::vector<std::uint64_t> endedMs; ///< Since each of these ends, as the sender knows.
    std::vector<EndpointId> acquitted;  ///< Of those, the ends that a completed run clears; sorted.
    std::uint64_t quietMs = 0;          ///< Since the newest end, as the sender knows.
    /// @return ends that count against the work
    auto ends() const -> std::uint32_t;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(work, kind, account, ended, endedMs, acquitted, quietMs);
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
