// A synchronous client for the operator API of the control processes.
//
//   auto client = ControlClient { options };
//   auto reply = client.call({ "GET", "/v1/status", "", Resend::Yes });
//
// The client tries the configured control processes in turn, follows redirects (307)
// to the leader, and retries until the timeout, for example while the controls elect
// a leader.
//
// Guarantees: a call with Resend::No is sent again only after a response or an error
// that proves that it did not run. Outcome::Unknown means that the call may have run.

#ifndef FIGRACK_CMD_CTLCLIENT_H
#define FIGRACK_CMD_CTLCLIENT_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "core/settings.h"
#include "http/client.h"

namespace figrack::cmd {

/// Whether a call may be sent again when its outcome is unknown. Reads, calls that set a state
/// idempotently, and changes that carry a change id may be.
enum class Resend : std::uint8_t { No, Yes };

struct ControlCall
{
    std::string method = "GET";
    std::string target;
    std::string body;
    Resend resend = Resend::Yes;
};

enum class Outcome : std::uint8_t {
    Answered,    ///< A control sent a final response; its HTTP status may be an error.
    Unreachable, ///< No control accepted the call; it did not run.
    Unknown,     ///< The call was sent, but its result is not known; it may have run.
};

struct ControlReply
{
    Outcome outcome = Outcome::Unreachable;
    std::uint32_t status = 0;
    std::string body;
    std::string detail; ///< Human-readable reason if the outcome is not Answered.
    auto isOk() const -> bool { return outcome == Outcome::Answered && status == 200; }
};

struct ControlClientOptions
{
    std::vector<Address> controls;
    std::string token;
    Duration timeout = std::chrono::seconds { 30 };    ///< Of a call, including all its tries.
    Duration tryTimeout = std::chrono::seconds { 10 }; ///< Of one try.
    Duration retryDelay
            = std::chrono::milliseconds { 300 }; ///< Pause after each round over all controls.
};

class ControlClient
{
public:
    /// @param options must name at least one control
    ControlClient(ControlClientOptions options, const Clock &clock);
    /// Makes one call and blocks until it has ended. Not thread-safe.
    auto call(const ControlCall &call) -> ControlReply;

private:
    /// The result of sending a call once to one control.
    enum class Verdict : std::uint8_t { Final, NotRun, Unknown, Redirected };
    struct Try
    {
        Verdict verdict = Verdict::NotRun;
        ControlReply reply;
        std::optional<Address> leader;
    };

    auto tryOnce(const ControlCall &call, const Address &address, Duration timeout) -> Try;
    auto fetch(http::ClientRequest request, Duration timeout) -> http::ClientResult<http::Response>;
    auto nextAddress(const Try &last) -> Address;

    const ControlClientOptions options_;
    const Clock &clock_;
    boost::asio::io_context context_;
    http::Client http_;
    std::size_t next_ = 0; ///< Index of the control to try next; stays at a control that gave a
                           ///< final response.
};

} // namespace figrack::cmd

#endif // FIGRACK_CMD_CTLCLIENT_H
