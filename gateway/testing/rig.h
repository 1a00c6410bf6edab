// Test rig: a forwarder over loopback sockets, with fake endpoints whose behavior a test defines.
//
//   auto rig = Rig {};
//   auto &endpoint = rig.addEndpoint("i-1", { "m0" });
//   endpoint.handler = ...;
//   const auto answer = rig.call(rig.request("/once/1", "id-1"));
//
// Uses one thread and one context. call() runs the context until the answer has arrived.

#ifndef FIGRACK_GATEWAY_TESTING_RIG_H
#define FIGRACK_GATEWAY_TESTING_RIG_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "gateway/crashdetector.h"
#include "gateway/forwarder.h"
#include "gateway/pathprober.h"
#include "http/client.h"
#include "http/server.h"

namespace figrack::gateway::testing {

/// A fake endpoint that records the requests it receives and answers by the test's handler.
struct FakeEndpoint
{
    EndpointId id;
    std::uint16_t port = 0;
    std::vector<http::Request> seen;
    http::Handler handler;
    std::unique_ptr<http::Server> server;
};

/// The answer that a caller received.
struct Got
{
    std::uint32_t status = 0; ///< 0 if there was no answer.
    http::Headers headers;
    std::string body;
    bool whole = false; ///< The answer was received completely.
};

class Rig
{
public:
    explicit Rig(ForwarderOptions options = {}, BalancerLink link = {},
                 PickerOptions pickerOptions = {}, KeyLeaseOptions keyOptions = {});
    /// A gateway that has just started and holds no document yet.
    static auto withoutDocument() -> std::unique_ptr<Rig>;
    ~Rig();
    /// Starts an endpoint of service "s" and announces it. @param models models that it holds
    auto addEndpoint(const std::string &id, const std::vector<std::string> &models = {})
            -> FakeEndpoint &;
    /// Announces an endpoint, which need not be listening.
    auto tell(const std::string &id, std::uint16_t port, std::uint64_t sequence,
              catalogue::EndpointState state, const std::vector<std::string> &models = {},
              const std::string &softwareVersion = {}) -> void;
    /// @return a request in the dialect of these tests
    static auto request(const std::string &path, const std::string &id) -> http::ClientRequest;
    auto call(http::ClientRequest request) -> Got;
    /// @return the port on 127.0.0.1 where callers connect
    auto port() const -> std::uint16_t { return server_.port(); }
    /// Starts a call and returns immediately. The result contains the answer once it has arrived.
    auto begin(http::ClientRequest request) -> std::shared_ptr<std::optional<Got>>;
    /// The same for a server at another port on 127.0.0.1.
    auto beginAt(std::uint16_t port, http::ClientRequest request)
            -> std::shared_ptr<std::optional<Got>>;
    /// Runs the context until the condition holds. @return false if it does not within 20 s
    auto runUntil(const std::function<bool()> &condition) -> bool;

    boost::asio::io_context context { 1 };
    SystemClock clock;
    Dialect dialect;
    Random random { 1 };
    FleetView view;
    Demand demand;
    Waiters waiters;
    Metrics metrics;
    RetryBudget retries;
    http::Client client;
    Picker picker;
    policy::Quarantine quarantine;
    EndpointPaths paths;
    PathProber prober;
    CrashDetector crashDetector;
    KeyLease keys;
    LoadWatch loadWatch;
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

/// The same catalogue, changed so that it asks for ordered admission.
/// @param isEngine whether service "s" is the engine service; else it is a plain one
auto orderedCatalogue(bool isEngine) -> catalogue::Catalogue;

/// Announces an endpoint that accepts requests and holds no model.
auto announce(FleetView &view, const EndpointId &id) -> void;

/// @return a handler that answers 200 with a body
auto answering(std::string body) -> http::Handler;
/// @return a handler that answers with a status and states that it did not run the request
auto rejecting(std::uint32_t status) -> http::Handler;
/// @return a handler that streams events with IDs first..last, and then completes the stream or
/// closes the connection
auto streaming(int first, int last, bool whole) -> http::Handler;
/// @return a handler that closes the connection without an answer
auto breaking() -> http::Handler;

} // namespace figrack::gateway::testing

#endif // FIGRACK_GATEWAY_TESTING_RIG_H
