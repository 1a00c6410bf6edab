// Learns how slow each endpoint is compared with the others that serve the same models.
//
//   auto speeds = EndpointSpeeds { options };
//   speeds.learn(endpoint, model, seen, now);               // a prompt was read alone
//   const auto read = usual * speeds.modelFactor(model) * speeds.factorOf(endpoint, now);
//
// Addressed load: a quarter of the engines runs at half of the speed of the others. Without a
// factor for each endpoint, slow ones get as many prompts as fast ones and start them late.
//
// A sample is the product of the model's factor and the endpoint's. Each of the two is learned
// from samples divided by the other. This leaves open how a common multiple is split between
// them, so the mean factor of the endpoints is held at 1. The mean is taken over all endpoints
// that are connected by common models: two models on the same endpoints cannot have a mean each,
// since an endpoint has a single factor.
//
// Slow spans of some hundred milliseconds are over before a moving average has followed them, and
// gateways report the start of a request only when it has ended, so they are not observed.
//
// Guarantee: bounded by maxEndpoints and maxModels; beyond these nothing more is learned until
// entries are forgotten. Pure: no I/O, no clock. Not thread-safe.

#ifndef FIGRACK_FLEET_ENDPOINTSPEED_H
#define FIGRACK_FLEET_ENDPOINTSPEED_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

#include "core/clock.h"
#include "core/ids.h"

namespace figrack::fleet {

struct EndpointSpeedOptions
{
    /// Weight of a new sample in the moving averages.
    double learningRate = 0.15;
    /// Bounds of a model's factor: small models read faster.
    double minModelFactor = 0.2;
    double maxModelFactor = 8;
    /// Bounds of an endpoint's factor.
    double minFactor = 0.4;
    double maxFactor = 4;
    /// Factors from the first to the second count as 1: such differences are sampling noise, and
    /// choosing the endpoint that has the prompt cached gains more than they cost.
    double bandBegin = 0.8;
    double bandEnd = 1.25;
    /// Samples of a model before endpoints are compared by it. Before, its own factor is too
    /// uncertain: the error would be attributed to the endpoints.
    std::uint32_t minModelSamples = 4;
    /// An endpoint's factor is forgotten after this time without a sample, so one that was avoided
    /// for being slow is tried again.
    Duration forgetAfter = std::chrono::seconds { 60 };
    /// The same for models, which may be rarely used. Their weights do not change.
    Duration forgetModelAfter = std::chrono::hours { 1 };
    /// Interval at which the mean factor is set to 1 again. Learning moves it by a few hundredths
    /// in between.
    Duration centreInterval = std::chrono::seconds { 1 };
    std::size_t maxEndpoints = 16'384;
    std::size_t maxModels = 16'384;
};

/// How an endpoint's factor compares with the dead band.
enum class SpeedClass : std::uint8_t { Fast, Usual, Slow };
constexpr auto speedClassNames = std::array<std::string_view, 3> { "fast", "usual", "slow" };

class EndpointSpeeds
{
public:
    explicit EndpointSpeeds(const EndpointSpeedOptions &options);
    /// Learns from a prompt that was read alone.
    /// @param model hash of the model that read it
    /// @param seen its reading time as a multiple of the usual one
    auto learn(const EndpointId &endpoint, std::uint64_t model, double seen, Instant now) -> void;
    /// @return the model's reading time as a multiple of the usual one; 1 if nothing was learned
    auto modelFactor(std::uint64_t model) const -> double;
    /// @return how much slower than the mean the endpoint is; 1 in the dead band
    auto factorOf(const EndpointId &endpoint, Instant now) const -> double;
    /// @return the factor without the dead band; 1 if nothing was learned
    auto learnedFactor(const EndpointId &endpoint, Instant now) const -> double;
    /// @return the number of known endpoints in each class, indexed by SpeedClass
    auto countByClass(Instant now) const -> std::array<std::size_t, speedClassNames.size()>;
    /// @return the number of endpoints about which anything is remembered
    auto size() const -> std::size_t { return endpoints_.size(); }
    /// Forgets what is out of date, and sets the mean factors to 1 again.
    auto maintain(Instant now) -> void;

private:
    struct Endpoint
    {
        double factor = 1;
        Instant sampledAt {}; ///< Of the last sample.
    };
    struct Model
    {
        double factor = 1;
        std::uint32_t samples = 0;
        Instant sampledAt {};
        std::map<EndpointId, Instant> endpoints; ///< Time of the last sample at each.
    };

    auto clampModel(double factor) const -> double;
    auto clampEndpoint(double factor) const -> double;
    auto isLearned(const Endpoint &endpoint, Instant now) const -> bool;
    auto isInBand(double factor) const -> bool;
    auto factorOf(const Endpoint &endpoint, Instant now) const -> double;
    auto classOf(const Endpoint &endpoint, Instant now) const -> SpeedClass;
    auto forget(Instant now) -> void;
    auto centreFactors(Instant now) -> void;

    EndpointSpeedOptions options_;
    std::map<EndpointId, Endpoint> endpoints_;
    std::map<std::uint64_t, Model> models_;
    Instant nextMaintenance_ {};
};

} // namespace figrack::fleet

#endif // FIGRACK_FLEET_ENDPOINTSPEED_H
