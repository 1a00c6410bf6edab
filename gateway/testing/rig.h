// A forwarder over loopback sockets, with endpoints that do as a test tells them.
//
//   auto rig = Rig {};
//   auto &endpoint = rig.addEndpoint("i-1", { "m0" });
//   endpoint.handler = ...;
//   const auto answer = rig.call(rig.request("/once/1", "id-1"));
//
// One thread, one context; call() runs it until the answer has come.

#ifndef FIGRACK_GATEWAY_TESTING_RIG_H
#define FIGRACK_GATEWAY_TESTING_RIG_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "gateway/endingwatch.h"
#include "gateway/forwarder.h"
#include "http/client.h"
#include "http/server.h"

namespace figrack::gateway::testing {

/// A stand-in endpoint: counts what reaches it and answers by the test's handler.
struct FakeEndpoint
{
    EndpointId id;
    std::uint16_t port = 0;
    std::vector<http::Request> seen;
    http::Handler handler;
    std::unique_ptr<http::Server> server;
};

/// What a caller got.
struct Got
{
    std::uint32_t status = 0; ///< 0: no answer.
    http::Headers headers;
    std::string body;
    bool whole = false;
};

class Rig
{
public:
    explicit Rig(ForwarderOptions options = {}, BalancerLink link = {},
                 PickerOptions pickerOptions = {}, KeyLeaseOptions keyOptions = {});
    /// A gateway that has just started and holds no document yet.
    static auto withoutDocument() -> std::unique_ptr<Rig>;
    ~Rig();
    /// Starts an endpoint of service "s" and makes it known. @param models that it holds
    auto addEndpoint(const std::string &id, const std::vector<std::string> &models = {})
            -> FakeEndpoint &;
    /// Tells of an endpoint, also of one that does not listen.
    auto tell(const std::string &id, std::uint16_t port, std::uint64_t sequence,
              catalogue::EndpointState state, const std::vector<std::string> &models = {}) -> void;
    /// @return a request of the dialect of these tests
    static auto request(const std::string &path, const std::string &id) -> http::ClientRequest;
    auto call(http::ClientRequest request) -> Got;
    /// @return the port on 127.0.0.1 where callers connect
    auto port() const -> std::uint16_t { return server_.port(); }
    /// Begins a call and returns at once; the answer is in the result once it has come.
    auto begin(http::ClientRequest request) -> std::shared_ptr<std::optional<Got>>;
    /// Runs the context until the condition holds. @return false when it did not within 20 s
    auto runUntil(const std::function<bool()> &condition) -> bool;

    boost::asio::io_context context { 1 };
    SystemClock clock;
    Dialect dialect;
    Random random { 1 };
    FleetView view;
    RetryWindow retries;
    Demand demand;
    Waiters waiters;
    Metrics metrics;
    http::Client client;
    Picker picker;
    policy::Quarantine quarantine;
    EndingWatch endings;
    KeyLease keys;
    Forwarder forwarder;
    http::Client caller;

private:
    struct NoDocument
    { };
    Rig(NoDocument, ForwarderOptions options, BalancerLink link, PickerOptions pickerOptions,
        KeyLeaseOptions keyOptions);
    std::vector<std::unique_ptr<FakeEndpoint>> endpoints_;
    http::Server server_;
};

/// The catalogue of these tests: routes /once/, /idem/, /stream/, /resume/ to service "s".
auto testCatalogue(bool engine) -> std::shared_ptr<const catalogue::Catalogue>;

/// Makes an endpoint known that takes work and holds no model.
auto announce(FleetView &view, const EndpointId &id) -> void;

/// @return a handler that answers 200 with a body
auto answering(std::string body) -> http::Handler;
/// @return a handler that answers a status and states that it did not run the request
auto rejecting(std::uint32_t status) -> http::Handler;
/// @return a handler that streams events with ids first..last, then ends whole or is cut
auto streaming(int first, int last, bool whole) -> http::Handler;
/// @return a handler that closes the connection without an answer
auto breaking() -> http::Handler;

} // namespace figrack::gateway::testing

#endif // FIGRACK_GATEWAY_TESTING_RIG_H
