// figrack-fake-endpoint: stands in for an engine or a plain service in tests.

#include <csignal>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include "core/error.h"
#include "testing/fakeserver.h"

using namespace figrack;
using namespace figrack::testing;

namespace {

constexpr auto usageError = 2;

struct BadOption
{
    std::string text;
};

auto addressOf(const std::string &text) -> Address
{
    const auto address = parseAddress(text);
    if (!address.ok())
        throw BadOption { text };
    return *address;
}

/// @param text "model:tier" or "model:version:tier"
auto cachedOf(const std::string &text) -> state::CachedModel
{
    const auto last = text.rfind(':');
    const auto first = text.find(':');
    if (last == std::string::npos)
        throw BadOption { text };
    auto cached = state::CachedModel {};
    cached.model = ModelId { text.substr(0, first) };
    cached.version = first == last ? "1" : text.substr(first + 1, last - first - 1);
    const auto tier = text.substr(last + 1);
    if (tier != "disk" && tier != "memory")
        throw BadOption { text };
    cached.tier = tier == "disk" ? state::CacheTier::Disk : state::CacheTier::Memory;
    return cached;
}

auto kindOf(const std::string &text) -> state::EndpointKind
{
    if (text != "engine" && text != "service")
        throw BadOption { text };
    return text == "engine" ? state::EndpointKind::Engine : state::EndpointKind::Service;
}

/// The command line; the arguments register themselves with it.
class CommandLine
{
public:
    auto parse(int argc, char **argv) -> FakeOptions
    {
        line_.parse(argc, argv);
        auto options = FakeOptions {};
        options.id = id_.getValue();
        options.kind = kindOf(kind_.getValue());
        options.listen = addressOf(listen_.getValue());
        options.domain = domain_.getValue();
        options.service = service_.getValue();
        for (const auto &router : routers_.getValue())
            options.routers.push_back(addressOf(router));
        for (const auto &cached : cached_.getValue())
            options.cached.push_back(cachedOf(cached));
        options.recordFile = record_.getValue();
        options.checksFence = checksFence_.getValue();
        options.announceMs = announce_.getValue();
        options.accelerators = accelerators_.getValue();
        options.memoryMb = memory_.getValue();
        options.loadRemoteMs = loadRemote_.getValue();
        options.loadDiskMs = loadDisk_.getValue();
        options.loadMemoryMs = loadMemory_.getValue();
        options.unloadMs = unload_.getValue();
        options.storeFactor = storeFactor_.getValue();
        options.slots = slots_.getValue();
        options.firstTokenMs = firstToken_.getValue();
        options.tokenMs = token_.getValue();
        options.serviceMs = serviceTime_.getValue();
        options.reportLagMs = reportLag_.getValue();
        options.cacheLagMs = cacheLag_.getValue();
        options.cacheGapPercent = cacheGap_.getValue();
        options.seed = seed_.getValue();
        return options;
    }

private:
    template<typename T>
    using Value = TCLAP::ValueArg<T>;
    using List = TCLAP::MultiArg<std::string>;
    const FakeOptions defaults_ {};
    TCLAP::CmdLine line_ { "A stand-in for an engine or a plain service.", ' ', FIGRACK_VERSION };
    Value<std::string> id_ { "", "id", "name, unique", true, "", "name", line_ };
    Value<std::string> kind_ { "", "kind", "engine or service", false, "engine", "kind", line_ };
    Value<std::string> listen_ { "",        "listen", "address; port 0: any", false, "127.0.0.1:0",
                                 "ip:port", line_ };
    Value<std::string> domain_ { "", "domain", "failure domain", false, "local", "name", line_ };
    Value<std::string> service_ {
        "", "service", "plain service or pool", false, "", "name", line_
    };
    List routers_ { "", "router", "router to announce to; several", false, "ip:port", line_ };
    List cached_ { "", "cached", "model[:version]:disk|memory; several", false, "model", line_ };
    Value<std::string> record_ { "", "record", "file for its record", false, "", "path", line_ };
    TCLAP::SwitchArg checksFence_ { "", "checks-fence", "refuse orders of an old fence", line_ };
    Value<Millis> announce_ { "",    "announce-ms",        "between announcements",
                              false, defaults_.announceMs, "ms",
                              line_ };
    Value<std::uint32_t> accelerators_ { "",    "accelerators",         "accelerators",
                                         false, defaults_.accelerators, "count",
                                         line_ };
    Value<std::uint64_t> memory_ { "",    "memory-mb",        "accelerator memory",
                                   false, defaults_.memoryMb, "MiB",
                                   line_ };
    Value<Millis> loadRemote_ { "",    "load-remote-ms",       "load from the store",
                                false, defaults_.loadRemoteMs, "ms",
                                line_ };
    Value<Millis> loadDisk_ { "",   "load-disk-ms", "load from disk", false, defaults_.loadDiskMs,
                              "ms", line_ };
    Value<Millis> loadMemory_ { "",    "load-memory-ms",       "load from memory",
                                false, defaults_.loadMemoryMs, "ms",
                                line_ };
    Value<Millis> unload_ { "", "unload-ms", "unload", false, defaults_.unloadMs, "ms", line_ };
    Value<double> storeFactor_ { "",    "store-factor",        "slow-down of the store",
                                 false, defaults_.storeFactor, "factor",
                                 line_ };
    Value<std::uint32_t> slots_ { "",    "slots",         "streams a replica runs at once",
                                  false, defaults_.slots, "count",
                                  line_ };
    Value<Millis> firstToken_ { "",    "first-token-ms",       "till the first token",
                                false, defaults_.firstTokenMs, "ms",
                                line_ };
    Value<Millis> token_ {
        "", "token-ms", "between tokens", false, defaults_.tokenMs, "ms", line_
    };
    Value<Millis> serviceTime_ { "",    "service-ms",        "a service call takes",
                                 false, defaults_.serviceMs, "ms",
                                 line_ };
    Value<Millis> reportLag_ { "",    "report-lag-ms",       "age of load reports",
                               false, defaults_.reportLagMs, "ms",
                               line_ };
    Value<Millis> cacheLag_ { "",    "cache-lag-ms",       "delay of cache events",
                              false, defaults_.cacheLagMs, "ms",
                              line_ };
    Value<std::uint32_t> cacheGap_ { "",    "cache-gap-percent",       "cache events lost",
                                     false, defaults_.cacheGapPercent, "percent",
                                     line_ };
    Value<std::uint64_t> seed_ { "", "seed", "of the lost events", false, 1, "number", line_ };
};

auto run(const FakeOptions &options) -> int
{
    auto context = boost::asio::io_context { 1 };
    auto endpoint = FakeEndpoint { context, options };
    if (const auto status = endpoint.start(); !status.ok()) {
        std::cerr << status.message() << '\n';
        return 1;
    }
    std::cout << "event=listening id=" << options.id << " port=" << endpoint.port() << std::endl;
    auto signals = boost::asio::signal_set { context, SIGTERM, SIGINT };
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    try {
        return run(CommandLine {}.parse(argc, argv));
    } catch (const BadOption &bad) {
        std::cerr << "event=bad_option value=\"" << bad.text << "\" remedy=\"see --help\"\n";
        return usageError;
    }
}
