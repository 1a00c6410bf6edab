// Counts the bytes that the gateway holds for callers and endpoints, and decides what may be added.
//
//   auto body = heldBytes.admit(request.body.size());        // nullopt: refuse the request
//   if (heldBytes.hasRoomAt(endpoint)) ...
//   const auto sent = heldBytes.sendTo(endpoint, request.body.size());
//
// Addresses callers and endpoints that are slow while many requests arrive: bodies and answers then
// accumulate until the gateway's process exceeds its memory and all of its requests are lost. An
// engine fails in the same way when the requests that it holds exceed its memory.
//
// Each decision applies only where a memory limit is set. Bytes are released with the object that
// holds them, whatever ends the request. Pure bookkeeping, without I/O. Not thread-safe.

#ifndef FIGRACK_GATEWAY_HELDBYTES_H
#define FIGRACK_GATEWAY_HELDBYTES_H

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"
#include "core/peerbudget.h"

namespace figrack::gateway {

struct HeldBytesOptions
{
    std::uint64_t memoryLimit = 0; ///< Of the process, in bytes; 0: none, and nothing is limited.
    /// Part of the limit that the sum may fill with bodies of new requests.
    double bodyShare = 0.5;
    /// Part of the limit for what callers have not taken of their streams.
    double bufferShare = 0.25;
    /// For one caller; what one that has stopped reading can take.
    std::uint64_t maxBuffered = 64U << 10;
    /// An endpoint gets no further request while it has more bytes than this from this gateway, and
    /// more than largeBodies times the largest body seen.
    std::uint64_t minAtEndpoint = 4U << 20;
    std::uint64_t largeBodies = 16;
    /// Window over which the time to release is averaged.
    Duration recent = std::chrono::seconds { 10 };
};

class HeldBytes
{
public:
    /// What bytes are held for.
    enum class Kind : std::uint8_t {
        Body,     ///< Of a request in progress.
        Answer,   ///< Read to its end before it is sent.
        Buffered, ///< Of a stream; the caller has not taken it yet.
        Sent,     ///< A body at an endpoint; not in the sum, which has it as Body.
    };

private:
    struct Counts;

public:
    /// Bytes that are released with this object. May outlive the HeldBytes.
    class Share
    {
    public:
        Share() = default;
        ~Share() { release(); }
        Share(Share &&other) noexcept;
        auto operator=(Share &&other) noexcept -> Share &;
        Share(const Share &) = delete;
        auto operator=(const Share &) -> Share & = delete;
        auto add(std::uint64_t bytes) -> void;
        auto remove(std::uint64_t bytes) -> void;
        auto release() -> void;
        auto bytes() const -> std::uint64_t { return bytes_; }

    private:
        friend class HeldBytes;
        Share(std::shared_ptr<Counts> counts, Kind kind, EndpointId endpoint);
        std::shared_ptr<Counts> counts_;
        Kind kind_ = Kind::Body;
        EndpointId endpoint_; ///< Empty unless the kind is Sent.
        std::uint64_t bytes_ = 0;
        Instant since_ {};
    };

    /// @param clock must outlive the object
    /// @param budget counts answers and buffered streams as well, besides the bodies that it has
    /// from the connections of the callers; may be nullptr
    HeldBytes(HeldBytesOptions options, const Clock &clock,
              std::shared_ptr<PeerBudget> budget = nullptr);
    ~HeldBytes();
    HeldBytes(const HeldBytes &) = delete;
    auto operator=(const HeldBytes &) -> HeldBytes & = delete;
    auto isLimited() const -> bool { return options_.memoryLimit > 0; }
    /// Holds a request's body from its arrival to the end of the request.
    /// @return nullopt if the body would bring the sum over its part of the limit
    auto admit(std::uint64_t bodyBytes) -> std::optional<Share>;
    /// @param kind Answer or Buffered @return a share without bytes
    auto hold(Kind kind) -> Share;
    /// Notes a body that an endpoint has got; to be held until the dispatch ends.
    auto sendTo(const EndpointId &endpoint, std::uint64_t bodyBytes) -> Share;
    /// @return true if the endpoint may get a further request
    auto hasRoomAt(const EndpointId &endpoint) const -> bool;
    /// @param buffered bytes of a stream that its caller has not taken yet
    /// @return true if more bytes of the stream may be buffered
    auto mayBuffer(std::uint64_t buffered, std::uint64_t more) const -> bool;
    /// @return how long bodies were held that were released recently, on average over their bytes;
    /// nullopt before the first one
    auto releaseTime() const -> std::optional<Duration>;
    /// @return bytes in memory: bodies, answers and buffered streams
    auto sum() const -> std::uint64_t;
    auto of(Kind kind) const -> std::uint64_t;
    auto at(const EndpointId &endpoint) const -> std::uint64_t;
    /// @return number of callers that have not taken all of their streams
    auto callersBufferedFor() const -> std::uint64_t;

private:
    HeldBytesOptions options_;
    std::shared_ptr<Counts> counts_;
    std::uint64_t largestBody_ = 0;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_HELDBYTES_H
