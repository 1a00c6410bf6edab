// What is known of one endpoint, as controls pass it to one another and to gateways.

#ifndef FIGRACK_CATALOGUE_ENDPOINTROW_H
#define FIGRACK_CATALOGUE_ENDPOINTROW_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "catalogue/endpointgroup.h"
#include "core/ids.h"
#include "core/settings.h"

namespace figrack::catalogue {

/// Where an endpoint stands in its life.
enum class EndpointState : std::uint8_t { Ready, Draining, Gone };

/// @return "ready", "draining" or "gone"
auto endpointStateName(EndpointState state) -> std::string_view;

/// A model that an endpoint holds, with the adapters of it that are loaded.
struct HeldModel
{
    ModelId model;
    std::vector<std::string> adapters;
    auto operator==(const HeldModel &) const -> bool = default;
    auto hasAdapter(std::string_view name) const -> bool;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(model, adapters);
    }
};

struct EndpointRow
{
    EndpointId id; ///< Of one incarnation.
    ServiceId service;
    Address address;
    DomainId domain;
    std::uint32_t slots = 0;
    EndpointState state = EndpointState::Ready;
    std::uint64_t sequence = 0; ///< Of the endpoint's announcements; the higher one is newer.
    /// Of changes that a leader's orders brought about since that announcement.
    std::uint64_t orderVersion = 0;
    std::vector<HeldModel> models;
    std::vector<ModelId> inMemory; ///< Copies of weights that load fast.
    std::vector<ModelId> onDisk;   ///< Copies of weights that load nearly as fast.
    /// How much longer the endpoint is cold, ms; a cold one takes only a limited rate of requests.
    std::uint32_t coldMs = 0;
    /// Of the endpoint's software; empty if it names none. What two versions write does not fit
    /// together, so a stream goes on only at the version that began it.
    std::string softwareVersion;
    auto group() const -> EndpointGroup { return { service, domain }; }
    /// @return the model as held, or nullptr
    auto find(const ModelId &model) const -> const HeldModel *;
    /// @return true when nothing but the age of the announcement and the time left until the
    /// endpoint is warm differs
    auto sameAs(const EndpointRow &other) const -> bool;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(id, service, address, domain, slots, state, sequence, orderVersion, models,
                inMemory, onDisk, coldMs, softwareVersion);
    }
};

/// Visits the entries of all incarnations of an endpoint.
/// @param rows a map from EndpointId; const or not
template<typename Rows, typename Visit>
auto forEachIncarnation(Rows &rows, const EndpointId &id, const Visit &visit) -> void
{
    const auto name = std::string { id.name() };
    // Names that begin alike may sort between an id without an incarnation and those with one.
    if (const auto plain = rows.find(EndpointId { name }); plain != rows.end())
        visit(*plain);
    const auto prefix = name + EndpointId::separator;
    for (auto item = rows.lower_bound(EndpointId { prefix }); item != rows.end(); ++item) {
        if (item->first.value().compare(0, prefix.size(), prefix) != 0)
            return;
        visit(*item);
    }
}

/// Among incarnations of one endpoint the newest is in use and the others are over.
/// @param rows a map from EndpointId to what holds a row @param rowOf gives the row of an entry
/// @return the live row of another incarnation of the endpoint that stands against this one, being
/// newer; nullptr when there is none
template<typename Rows, typename RowOf>
auto newerIncarnation(const Rows &rows, const EndpointId &id, const RowOf &rowOf)
        -> const EndpointRow *
{
    const EndpointRow *newest = nullptr;
    forEachIncarnation(rows, id, [&](const auto &item) {
        const EndpointRow &row = rowOf(item.second);
        const auto isLive = row.state != EndpointState::Gone;
        if (isLive && row.id.incarnation() > id.incarnation())
            newest = &row;
    });
    return newest;
}

/// @return true when a row tells news of the endpoint that another row is of: a later announcement
/// or, of the same one, what orders have changed since; and nothing after it is gone
auto isNewer(const EndpointRow &row, const EndpointRow &than) -> bool;

/// Applies a newer row to what is known of the endpoint. A row that says that the endpoint is gone
/// changes the state alone, because its writer need not know anything else about the endpoint.
auto applyNewer(const EndpointRow &row, EndpointRow &known) -> void;

/// The newest announcement that was heard of an endpoint, without what it says.
struct EndpointBeat
{
    EndpointId id;
    std::uint64_t sequence = 0;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(id, sequence);
    }
};

} // namespace figrack::catalogue

#endif // FIGRACK_CATALOGUE_ENDPOINTROW_H
