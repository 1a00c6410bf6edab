// The HTTP face of a fake endpoint: what docs/API.md says an engine and a plain
// service answer, and the calls by which a test breaks it.
//
//   POST /test/die       {"at":"now"|"load"|"stream"|"service"|"never"}
//   POST /test/drain     {"draining":true,"announce":true}   announce false: only note the time
//   POST /test/announce  {"on":false}
//   POST /test/store     {"factor":10}
//   POST /test/pace      {"first_token_ms":10,"token_ms":0}
//   GET  /test/record    counts, memory and state

#ifndef FIGRACK_TESTING_FAKESERVER_H
#define FIGRACK_TESTING_FAKESERVER_H

#include <optional>

#include "http/client.h"
#include "http/server.h"
#include "testing/fakeengine.h"

namespace figrack::testing {

class FakeEndpoint
{
public:
    FakeEndpoint(boost::asio::io_context &context, FakeOptions options);
    /// Binds, then announces itself for as long as the context runs.
    auto start() -> absl::Status;
    auto port() const -> std::uint16_t { return server_.port(); }

private:
    struct Call;
    using Task = boost::asio::awaitable<void>;

    auto handle(const http::Request &request, http::Responder &responder) -> Task;
    auto answerPlain(const http::Request &request) -> std::optional<http::Response>;
    auto takeOrder(const http::Request &request) -> http::Response;
    auto complete(const http::Request &request, http::Responder &responder) -> Task;
    auto generate(Call &call, http::Responder &responder) -> Task;
    auto stream(Call &call, http::Responder &responder) -> boost::asio::awaitable<bool>;
    auto whole(Call &call, http::Responder &responder) -> boost::asio::awaitable<bool>;
    auto serve(const http::Request &request, http::Responder &responder) -> Task;
    auto noteWork(std::string_view event, const std::string &id, const std::string &model,
                  std::string_view key, std::uint64_t resumeFrom) -> void;
    auto wait(Call &call, Millis time) -> boost::asio::awaitable<bool>;
    auto setDraining(const http::Request &request) -> void;
    auto recordJson() const -> std::string;

    auto report(bool lagging) -> proto::EndpointReport;
    auto announceForever() -> Task;
    auto announceTo(Address router) -> boost::asio::awaitable<bool>;
    auto learnRouters(std::string_view body) -> void;
    auto sampleLoad() -> void;

    boost::asio::io_context &context_;
    FakeOptions options_;
    FakeRecord record_;
    FakeEngine engine_;
    http::Server server_;
    http::Client client_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    std::vector<Address> routers_;
    std::size_t nextRouter_ = 0;
    bool announces_ = true;
    bool draining_ = false;
    std::optional<std::chrono::steady_clock::time_point> leavingSince_;
    struct LoadSample
    {
        std::chrono::steady_clock::time_point at;
        std::vector<proto::ObservedReplica> replicas;
    };
    std::deque<LoadSample> samples_; ///< Oldest first; for lagging reports.
};

} // namespace figrack::testing

#endif // FIGRACK_TESTING_FAKESERVER_H
