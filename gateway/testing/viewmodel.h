// A plain model of FleetView for random tests: it keeps each endpoint's state in one list and looks
// through all of it for each question.

#ifndef FIGRACK_GATEWAY_TESTING_VIEWMODEL_H
#define FIGRACK_GATEWAY_TESTING_VIEWMODEL_H

#include <map>
#include <set>
#include <vector>

#include "catalogue/endpointrow.h"
#include "core/clock.h"
#include "gateway/fleetview.h"

namespace figrack::gateway::testing {

class ViewModel
{
public:
    explicit ViewModel(const Clock &clock)
        : clock_(clock)
    { }
    auto apply(const catalogue::EndpointRow &row) -> void;
    auto applyBeat(const EndpointId &id, std::uint64_t sequence) -> void;
    auto withdraw(const EndpointId &id) -> void;
    auto withdrawAll() -> void;
    /// Drops what the view drops each time that an update has been applied.
    auto forgetOld() -> void;
    /// @return the endpoints of the service that accept new requests
    auto of(const ServiceId &service) const -> std::set<EndpointId>;
    auto size() const -> std::size_t { return entries_.size(); }

private:
    struct Entry
    {
        EndpointId id;
        ServiceId service;
        Address address;
        catalogue::EndpointState state = catalogue::EndpointState::Ready;
        std::uint64_t sequence = 0;
        bool isReplaced = false;
        bool isWithdrawn = false;
        Instant heardAt {};
        Instant withdrawnAt {};
    };
    auto find(const EndpointId &id) -> Entry *;
    auto isSuperseded(const EndpointId &id) const -> bool;
    auto supersedeOlder(const EndpointId &id) -> void;
    auto replaceOthersAt(const Entry &entry) -> void;
    auto hasYoungerAt(const catalogue::EndpointRow &row) const -> bool;

    const Clock &clock_;
    FleetViewOptions options_;
    std::vector<Entry> entries_;
    Instant nextForget_ {};
};

} // namespace figrack::gateway::testing

#endif // FIGRACK_GATEWAY_TESTING_VIEWMODEL_H
