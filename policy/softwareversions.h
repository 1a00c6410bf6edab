// The software versions of each service that have served within a window of time.
//
//   versions.onRow(row, now);                    // an endpoint, as it is now
//   versions.onForgotten(id, now);               // nothing is known of it any more
//   versions.onTold(service, version, now);      // by somebody who knows no endpoint's name
//   versions.versionsOf(service, now);
//
// A version counts as long as an endpoint of it is known, and for the window after that. The number
// of versions without a known endpoint is bounded; those that end first are dropped first.
// Pure; not thread-safe.

#ifndef FIGRACK_POLICY_SOFTWAREVERSIONS_H
#define FIGRACK_POLICY_SOFTWAREVERSIONS_H

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "catalogue/endpointrow.h"
#include "core/clock.h"
#include "core/ids.h"

namespace figrack::policy {

/// How long versions count after they have served, in controls and gateways.
constexpr auto softwareVersionMemory = std::chrono::minutes { 10 };

struct SoftwareVersionsOptions
{
    /// How long a version counts after its last endpoint was known.
    Duration window = std::chrono::seconds { 60 };
    /// Largest number of versions without a known endpoint, over all services.
    std::size_t maxPast = 4096;
};

class SoftwareVersions
{
public:
    explicit SoftwareVersions(SoftwareVersionsOptions options);
    /// Handles the row of an endpoint; a later one replaces it. An endpoint that is gone served
    /// until now if its row names a version.
    auto onRow(const catalogue::EndpointRow &row, Instant now) -> void;
    auto onForgotten(const EndpointId &id, Instant now) -> void;
    /// Counts a version for the window from now on.
    /// @return true if it did not count before
    auto onTold(const ServiceId &service, const std::string &version, Instant now) -> bool;
    /// Counts all versions that counted at a time for the window from now on.
    auto renew(Instant since, Instant now) -> void;
    /// Drops the versions that do not count any more.
    auto expire(Instant now) -> void;
    auto versionsOf(const ServiceId &service, Instant now) const -> std::set<std::string>;
    /// @return the services of which a version is kept
    auto services() const -> std::vector<ServiceId>;
    /// @return the services whose versions were added or dropped since the last call
    auto takeChanged() -> std::set<ServiceId>;
    /// @return true if a version that counts at this time has been dropped for the bound
    auto isTruncated(Instant now) const -> bool { return now < truncatedUntil_; }

private:
    struct Served
    {
        std::size_t endpoints = 0; ///< Known ones.
        Instant until {};          ///< Without endpoints, it counts until then.
        auto counts(Instant now) const -> bool { return endpoints > 0 || now < until; }
    };
    using Key = std::pair<ServiceId, std::string>;

    auto find(const Key &key) -> Served *;
    auto add(const Key &key, Instant now) -> Served &;
    auto boundPast() -> void;

    SoftwareVersionsOptions options_;
    std::map<ServiceId, std::map<std::string, Served>> served_;
    std::map<EndpointId, Key> endpoints_; ///< Where each endpoint is counted.
    std::size_t past_ = 0;                ///< Versions without a known endpoint.
    Instant truncatedUntil_ {};
    std::set<ServiceId> changed_;
};

} // namespace figrack::policy

#endif // FIGRACK_POLICY_SOFTWAREVERSIONS_H
