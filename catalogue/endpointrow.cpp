#include "catalogue/endpointrow.h"

#include <algorithm>
#include <array>

namespace figrack::catalogue {

auto endpointStateName(EndpointState state) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 3> { "ready", "draining", "gone" };
    return names[static_cast<std::size_t>(state) % names.size()];
}

auto HeldModel::hasAdapter(std::string_view name) const -> bool
{
    return std::find(adapters.begin(), adapters.end(), name) != adapters.end();
}

auto EndpointRow::find(const ModelId &model) const -> const HeldModel *
{
    const auto found = std::find_if(models.begin(), models.end(),
                                    [&](const HeldModel &held) { return held.model == model; });
    return found == models.end() ? nullptr : &*found;
}

auto EndpointRow::sameAs(const EndpointRow &other) const -> bool
{
    return service == other.service && address == other.address && slots == other.slots
            && state == other.state && models == other.models && inMemory == other.inMemory
            && onDisk == other.onDisk && softwareVersion == other.softwareVersion;
}

auto isNewer(const EndpointRow &row, const EndpointRow &than) -> bool
{
    if (than.state == EndpointState::Gone)
        return false;
    if (row.state == EndpointState::Gone)
        return true;
    if (row.sequence != than.sequence)
        return row.sequence > than.sequence;
    return row.orderVersion > than.orderVersion;
}

auto applyNewer(const EndpointRow &row, EndpointRow &known) -> void
{
    if (row.state != EndpointState::Gone) {
        known = row;
        return;
    }
    known.state = EndpointState::Gone;
    known.coldMs = 0;
}

} // namespace figrack::catalogue
