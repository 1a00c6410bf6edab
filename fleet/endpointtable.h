// What a control knows of each endpoint: the newest row of each incarnation, and when it was last
// heard from.
//
//   table.setOnChanged(onChanged);
//   if (!table.isIgnored(row)) table.announce(row);      // from the endpoint itself
//   table.merge(row);   table.hear(beat);                // from another control
//   table.tick();                                        // drops what is old
//
// An endpoint may restart under the same name; each incarnation has its own ID.
// The newest known incarnation is in use and supersedes the others. Messages of a
// superseded incarnation that arrive later change nothing, whatever state they
// report.
//
// onChanged is called for each row that differs from the one before, and for each
// endpoint that falls silent or is heard again. Not thread-safe.

#ifndef FIGRACK_FLEET_ENDPOINTTABLE_H
#define FIGRACK_FLEET_ENDPOINTTABLE_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "catalogue/endpointrow.h"
#include "core/clock.h"

namespace figrack::fleet {

struct EndpointTableOptions
{
    Duration forgetGoneAfter = std::chrono::seconds { 60 };
    /// An endpoint that nobody has heard from for this time is considered lost.
    Duration forgetSilentAfter = std::chrono::seconds { 30 };
    /// An endpoint that nobody has heard from for this time is chosen last: three announcement
    /// intervals plus some delay.
    Duration silentAfter = std::chrono::milliseconds { 4500 };
    /// The same as forgetSilentAfter, for an endpoint that was known before a restart and has not
    /// announced itself since: three announcement intervals.
    Duration recallFor = std::chrono::seconds { 4 };
    /// An incarnation that is older than a known one is normally ignored. It is accepted when it
    /// keeps announcing itself for this time while the newer one is silent: then the clock of its
    /// VM was probably set back. After a network partition, delayed announcements arrive all at
    /// once, so a dead incarnation is not accepted by mistake. An endpoint whose clock was set
    /// back is missing for three announcements.
    Duration olderIncarnationAfter = std::chrono::seconds { 4 };
};

class EndpointTable
{
public:
    /// What has changed about an endpoint.
    enum class Change : std::uint8_t {
        Row,
        Superseded, ///< A newer incarnation is in use; the row is marked as gone.
        Silence,    ///< It has fallen silent, or is heard again; the row is as before.
    };
    using OnChanged = std::function<void(const catalogue::EndpointRow &row, Change change)>;
    EndpointTable(EndpointTableOptions options, const Clock &clock);
    auto setOnChanged(OnChanged listener) -> void;
    /// Sets the function that is called after a row has been dropped.
    auto setOnForgotten(std::function<void(const EndpointId &)> listener) -> void;

    /// Restores the endpoints that were known before a restart. They are kept until they announce
    /// themselves or recallFor has passed.
    auto recall(std::vector<catalogue::EndpointRow> endpoints) -> void;
    /// @return true when the row comes from a superseded incarnation
    auto isIgnored(const catalogue::EndpointRow &row) -> bool;
    /// Handles a row from the endpoint itself. @return true when the row changed the known state
    auto announce(const catalogue::EndpointRow &row) -> bool;
    /// Handles a row from another control. @return true when the row changed the known state
    auto merge(const catalogue::EndpointRow &row) -> bool;
    /// Handles the news that another control has heard from an endpoint.
    auto hear(const catalogue::EndpointBeat &beat) -> void;
    /// Changes the known row of an endpoint after an order, until its next announcement.
    /// @return true when that changed the known state
    auto amend(const EndpointId &id, const std::function<void(catalogue::EndpointRow &)> &change)
            -> bool;
    /// Drops rows that are old, and notices which endpoints have fallen silent.
    auto tick() -> void;

    auto find(const EndpointId &id) const -> const catalogue::EndpointRow *;
    /// @return the newest incarnation of the endpoint that is in use, or nullptr
    auto inUse(const EndpointId &id) const -> const catalogue::EndpointRow *;
    /// @return true when a newer incarnation of the endpoint is in use
    auto isSuperseded(const EndpointId &id) const -> bool;
    /// @return true when the endpoint has not been heard from for silentAfter
    auto isSilent(const EndpointId &id) const -> bool;
    auto size() const -> std::size_t { return known_.size(); }
    /// @return true when a known endpoint is in the failure domain
    auto knowsDomain(const DomainId &domain) const -> bool;
    auto rows() const -> std::vector<const catalogue::EndpointRow *>;
    /// @return the row as it is sent, with the time that is left until the endpoint is warm;
    /// nullopt when it is not known
    auto toSend(const EndpointId &id) const -> std::optional<catalogue::EndpointRow>;
    /// @return all rows as they are sent, the one heard last at the end: if two endpoints were
    /// known at one address, a receiver keeps the later one
    auto allToSend() const -> std::vector<catalogue::EndpointRow>;
    /// @return the endpoints that announced themselves here since the last call
    auto takeBeats() -> std::vector<catalogue::EndpointBeat>;

private:
    struct Known
    {
        catalogue::EndpointRow row;
        Instant heardAt {};
        Instant silentFrom {}; ///< The endpoint counts as silent from then on.
        Instant coldUntil {};  ///< The endpoint takes a limited rate of requests until then.
        bool beaten = false;   ///< An announcement arrived here since the last takeBeats().
        bool isSilent = false;
    };

    auto newerHeardAt(const EndpointId &id) const -> std::optional<Instant>;
    auto acceptsIncarnation(const EndpointId &id) -> bool;
    auto supersedeOthers(const EndpointId &id) -> void;
    auto noteCold(Known &known) const -> bool;
    auto noteHeard(Known &known) -> void;
    auto rowToSend(const Known &known) const -> catalogue::EndpointRow;
    auto notify(const Known &known, Change change) const -> void;

    EndpointTableOptions options_;
    const Clock &clock_;
    std::map<EndpointId, Known> known_;
    /// Incarnations older than a known one, with the time since when they have been announcing
    /// themselves while the newer one is silent.
    std::map<EndpointId, Instant> olderIncarnations_;
    OnChanged onChanged_;
    std::function<void(const EndpointId &)> onForgotten_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_ENDPOINTTABLE_H
