// A bounded table of the origins of streams, in the order in which they were last kept.
//
//   auto table = OriginTable { options, clock };
//   table.keep({ key, origin }, OriginKeeper::Own);
//   if (const auto origin = table.find(key)) ...
//
// Callers choose the IDs of their attempts. An account that repeats the ID of another account's
// attempt does not replace its origin. If one account begins two streams with one ID at different
// versions, which of them it resumes is not known, and the origin isn't either.
//
// Not thread-safe.

#ifndef FIGRACK_PROTO_ORIGINTABLE_H
#define FIGRACK_PROTO_ORIGINTABLE_H

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/hash.h"
#include "core/ids.h"
#include "proto/streamoriginmessages.h"

namespace figrack::proto {

/// For whom an origin is kept.
enum class OriginKeeper : std::uint8_t {
    Own,    ///< The stream began at this process.
    Others, ///< Another process has told it.
};

struct OriginTableOptions
{
    /// About 15 MB. Covers the window at 1,000 streams begun a second.
    std::size_t maxEntries = 65'536;
    /// Entries end when they have not been kept again for so long.
    Duration window = std::chrono::seconds { 60 };
};

class OriginTable
{
public:
    /// @param clock must outlive this object
    OriginTable(OriginTableOptions options, const Clock &clock);
    /// Keeps an origin, or keeps it on for another window.
    /// @return the number of entries that were dropped for it, before their time
    auto keep(BegunStream stream, OriginKeeper keeper) -> std::size_t;
    /// @return nullopt if the origin is not known
    auto find(const StreamKey &key) const -> std::optional<StreamOrigin>;
    /// @return the streams of a service that began at this process
    auto ownOf(const ServiceId &service) const -> std::vector<BegunStream>;
    /// @return the streams whose origins are known
    auto all() const -> std::vector<BegunStream>;
    auto size() const -> std::size_t { return entries_.size(); }

private:
    struct Entry
    {
        BegunStream stream;
        Instant keptAt;
        bool isOwn = false;
        bool isAmbiguous = false; ///< Begun at two versions.
    };
    struct KeyHash
    {
        auto operator()(const StreamKey &key) const -> std::size_t
        {
            return rendezvousWeight(rendezvousWeight(0, key.service.value()), key.attempt);
        }
    };
    using Entries = std::list<Entry>;
    auto isOver(const Entry &entry) const -> bool;
    auto renew(Entries::iterator entry, const StreamOrigin &origin, OriginKeeper keeper) -> void;
    auto removeOldest() -> void;

    OriginTableOptions options_;
    const Clock &clock_;
    Entries entries_; ///< The oldest first.
    std::unordered_map<StreamKey, Entries::iterator, KeyHash> byKey_;
};

} // namespace figrack::proto

#endif // FIGRACK_PROTO_ORIGINTABLE_H
