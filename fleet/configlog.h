// The state machine of a control group. It holds what operators have decided: the
// configuration document and the evacuated failure domains. Reservations of retries
// pass through it to a listener (fleet/retryledger.h) and leave no state.
//
//   auto log = ConfigLog {};
//   auto replica = coord::Replica { options, clock, transport, store, log, random };
//   replica.propose(ConfigLog::encode({ version, text }));
//
// Guarantees: the version never falls; a document under a version that is not
// higher than the held one changes nothing. The text is kept byte for byte. Of
// evacuations the order in the log decides, and the revision never falls.
//
// Entries and snapshots without evacuations, as earlier releases wrote them, can
// be read.

#ifndef FIGRACK_FLEET_CONFIGLOG_H
#define FIGRACK_FLEET_CONFIGLOG_H

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "catalogue/evacuations.h"
#include "coord/replica.h"
#include "core/ids.h"

namespace figrack::fleet {

/// A configuration, exactly as the operator sent it.
struct Document
{
    Revision version; ///< 0: none.
    std::string text;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(version, text);
    }
};

/// Retries that a leader may grant from now on, out of the fixed number that all gateways share.
struct RetryReservation
{
    ServiceId service;
    std::uint32_t count = 0;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(service, count);
    }
};

class ConfigLog final : public coord::StateMachine
{
public:
    /// @return the command that proposes a document
    static auto encode(const Document &document) -> std::string;
    /// @return the command that proposes a change of the evacuated domains
    static auto encode(const catalogue::EvacuationChange &change) -> std::string;
    /// @return the command that reserves retries
    static auto encode(const RetryReservation &reservation) -> std::string;

    /// @return the version that a log entry proposes; nullopt when it is not a document
    static auto versionOf(const coord::Entry &entry) -> std::optional<Revision>;

    auto apply(const coord::Entry &entry) -> void override;
    auto snapshot() const -> std::string override;
    auto restore(std::string_view state, LogIndex lastIndex) -> absl::Status override;

    /// Returns to the state before the first entry, for a replica that is started again.
    auto reset() -> void;
    auto document() const -> const Document & { return document_; }
    auto evacuations() const -> const catalogue::Evacuations & { return evacuations_; }
    /// Sets the function that is called for each applied command; it must not call the replica.
    auto setOnApplied(std::function<void(LogIndex, Term)> listener) -> void;
    /// Sets the function that is called for each applied reservation; it must not call the replica.
    auto setOnReserved(std::function<void(const RetryReservation &, Term)> listener) -> void;
    /// Sets the function that is called when a snapshot has replaced the state; it must not
    /// call the replica.
    auto setOnRestored(std::function<void(LogIndex)> listener) -> void;

private:
    auto applyDocument(const coord::Entry &entry) -> void;
    auto applyEvacuation(const coord::Entry &entry) -> void;
    auto applyReservation(const coord::Entry &entry, const RetryReservation &reservation) -> void;

    Document document_;
    catalogue::Evacuations evacuations_;
    std::function<void(LogIndex, Term)> onApplied_;
    std::function<void(const RetryReservation &, Term)> onReserved_;
    std::function<void(LogIndex)> onRestored_;
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_CONFIGLOG_H
