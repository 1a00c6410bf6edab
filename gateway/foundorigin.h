// Which software version began a stream, from what the gateways that were asked have answered.
//
//   auto evidence = OriginEvidence { ... };       // of this gateway
//   evidence.add(reply);                          // of each gateway that was asked
//   const auto found = evidence.found(account, options);

#ifndef FIGRACK_GATEWAY_FOUNDORIGIN_H
#define FIGRACK_GATEWAY_FOUNDORIGIN_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "core/clock.h"
#include "core/ids.h"
#include "proto/streamorigin.h"

namespace figrack::gateway {

/// How the version that began a stream was found out.
enum class OriginSource : std::uint8_t {
    Unknown,     ///< Several versions may have begun it.
    Foreign,     ///< It was begun by another account.
    Here,        ///< This gateway has kept it.
    Owner,       ///< Another gateway has kept it.
    Control,     ///< A control has kept it.
    OnlyVersion, ///< The service has had no other version within the window.
};

/// @return "unknown", "foreign", "here", "owner", "control" or "only_version"
auto originSourceName(OriginSource source) -> std::string_view;

struct FoundOrigin
{
    OriginSource source = OriginSource::Unknown;
    std::optional<std::string> softwareVersion; ///< Present unless Unknown or Foreign.
    Duration retryAfter {}; ///< If Unknown or Foreign, when another answer may be expected.
};

/// Why a gateway has not answered.
enum class OriginFailure : std::uint8_t {
    Refused,  ///< Its process has ended: the connection was refused.
    NoAnswer, ///< It may have kept the origin, and cannot be reached in time.
};

using OriginAnswer = std::variant<proto::StreamOriginReply, OriginFailure>;

/// What the controls that keep a stream's origin have answered.
struct ControlAnswer
{
    std::optional<proto::StreamOrigin> origin;
    bool mayBeKnown = false;             ///< A control that did not answer may know the origin.
    std::set<std::string> versions = {}; ///< That have served within the window.
    /// Enough controls in touch with their group say that no version is missing.
    bool isComplete = false;
};

struct OriginWaits
{
    /// Time after which versions that have served no longer count.
    Duration window = std::chrono::seconds { 60 };
    /// Time after which a gateway that did not answer may, or a control may be reached.
    Duration reachedAgain = std::chrono::seconds { 1 };
};

/// What is known of a stream's origin.
class OriginEvidence
{
public:
    /// @param versions of the service within the window, as far as this gateway knows
    explicit OriginEvidence(std::set<std::string> versions);
    /// @param answer of a gateway that was asked
    auto add(const OriginAnswer &answer) -> void;
    /// @param answer to a question that was asked for this stream: what controls said earlier, or
    /// another gateway says of them, may be outdated by an endpoint that has joined since
    auto add(const ControlAnswer &answer) -> void;
    /// @param source of an origin that was found
    auto setOrigin(proto::StreamOrigin origin, OriginSource source) -> void;
    auto hasOrigin() const -> bool { return origin_.has_value(); }
    auto replied() const -> std::size_t { return replied_; }
    auto silent() const -> std::size_t { return silent_; }
    auto refused() const -> std::size_t { return refused_; }
    /// @return true if exactly one version can have begun the stream: it alone has served within
    /// the window, the controls confirm that none is missing, and this gateway is not cut off from
    /// all others
    auto isOnlyVersionSure() const -> bool;
    /// @param account of the caller
    auto found(const AccountId &account, const OriginWaits &waits) const -> FoundOrigin;

private:
    auto retryAfter(const OriginWaits &waits) const -> Duration;

    std::set<std::string> versions_;
    bool isConfirmed_ = false;
    std::optional<proto::StreamOrigin> origin_;
    OriginSource source_ = OriginSource::Unknown;
    std::size_t replied_ = 0;
    std::size_t refused_ = 0;
    std::size_t silent_ = 0;
    bool mayControlKnow_ = false;
};

} // namespace figrack::gateway

#endif // FIGRACK_GATEWAY_FOUNDORIGIN_H
