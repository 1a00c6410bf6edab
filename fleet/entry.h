// Which gateway addresses a caller is told when it looks for a gateway.
//
//   const auto choice = chooseEntries(registry.gateways(), { domain, region }, regions);
//   answer(choice.addresses());
//
// Callers are sent to the gateways of their own failure domain, else of their region, else to all.
// They pick one of the listed addresses at random for each new connection, so a gateway gets
// connections in proportion to the number of times that it is listed. Where the capacities of the
// chosen gateways differ, each is therefore listed in proportion to its own: with equal shares,
// gateways of 0.09 and of 0.3 core got the same load, and the small ones were overloaded first.
//
// A gateway that cannot reach any endpoint is left out, since others serve its callers without
// another hop. If no gateway reaches one, the endpoints are at fault, and all are told.
//
// Pure decision. Callers drop connections to addresses that a new answer leaves out, so every
// chosen gateway is in every answer, and only the numbers of repeats depend on capacities.

#ifndef FIGRACK_FLEET_ENTRY_H
#define FIGRACK_FLEET_ENTRY_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "catalogue/homes.h"
#include "core/ids.h"
#include "core/settings.h"
#include "fleet/registry.h"

namespace figrack::fleet {

/// An answer names no more entries; it is read for each look-up of a caller.
constexpr auto maxEntries = std::size_t { 64 };
/// A gateway is not listed more often. It keeps a single gateway with a very small capacity from
/// filling the answer with repeats of the others.
constexpr auto maxRepeats = std::uint32_t { 8 };
/// Where a caller is, by its own account; each may be empty.
struct CallerPlace
{
    DomainId domain;
    RegionId region;
};

/// The area whose gateways are told.
enum class EntryScope : std::uint8_t { Domain, Region, All };
/// @return "domain", "region" or "all"
auto entryScopeName(EntryScope scope) -> std::string_view;

/// A gateway that a caller is told, and how often it is listed.
struct Entry
{
    GatewayInfo gateway;
    std::uint32_t repeats = 1;
};

struct EntryChoice
{
    EntryScope scope = EntryScope::All;
    std::string area; ///< Name of the failure domain or region; empty: all.
    std::vector<Entry> entries;

    /// @return true when a gateway is listed more than once
    auto isWeighted() const -> bool;
    /// @return each address once, in the order of the gateways, and then the repeats
    auto addresses() const -> std::vector<Address>;
    /// @return "capacity:entries" of each kind of gateway, by commas; empty when none is repeated
    auto weightsText() const -> std::string;
};

/// @param gateways those that callers may be sent to, in a stable order
/// @param regions of the failure domains
/// @return no entries when there is no gateway
auto chooseEntries(const std::vector<GatewayInfo> &gateways, const CallerPlace &caller,
                   const catalogue::RegionMap &regions) -> EntryChoice;

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_ENTRY_H
