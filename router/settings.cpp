// The schema is one table, and the options are read from it key by key. A key that
// is missing from either makes the first test that starts a router fail.

#include "router/settings.h"

#include <fmt/format.h>

#include "core/error.h"

namespace figrack::router {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

auto splitList(std::string_view list) -> std::vector<std::string>
{
    auto parts = std::vector<std::string> {};
    auto part = std::string {};
    for (const auto c : list) {
        if (c == ',' || c == ' ') {
            if (!part.empty())
                parts.push_back(std::move(part));
            part.clear();
            continue;
        }
        part += c;
    }
    if (!part.empty())
        parts.push_back(std::move(part));
    return parts;
}

auto readBounds(const Settings &settings, RouterOptions &options) -> void
{
    const auto size = [&settings](std::string_view key) {
        return static_cast<std::size_t>(settings.number(key));
    };
    options.threads = static_cast<std::uint32_t>(size("router.threads"));
    options.maxConnections = size("limits.connections");
    options.maxHeldBytes = size("limits.held_bytes");
    options.maxBodyBytes = size("limits.body_bytes");
    options.maxAnswerBytes = size("limits.answer_bytes");
    options.maxQueued = size("limits.queued");
    options.maxQueuedPerClass = size("limits.queued_per_class");
    options.maxQueuedPerCaller = size("limits.queued_per_caller");
    options.maxStreams = size("limits.in_progress");
    options.serviceSlots = static_cast<std::uint32_t>(size("limits.service_slots"));
    options.retry.maxAttempts = static_cast<std::uint32_t>(size("retry.attempts"));
    options.retry.capacity = static_cast<double>(settings.number("retry.burst"));
    options.retry.perRequest = static_cast<double>(settings.number("retry.percent")) / 100.0;
    options.retry.firstDelay = std::chrono::duration_cast<std::chrono::milliseconds>(
                                       settings.duration("retry.backoff"))
                                       .count();
}

auto readTimes(const Settings &settings, RouterOptions &options) -> void
{
    options.addressLifetime = settings.duration("router.address_lifetime");
    options.demandEvery = settings.duration("demand.every");
    options.demandIdleEvery = settings.duration("demand.idle_every");
    options.expectedLoad = settings.duration("demand.expected_load");
    options.streamIdle = settings.duration("limits.stream_idle");
    options.claimTimeout = settings.duration("claims.timeout");
    options.claimWindow = settings.duration("claims.window");
    options.cachePoll = settings.duration("router.cache_poll");
    options.announceLease = settings.duration("announce.lease");
    options.viewLease.length = settings.duration("lease.length");
    options.viewLease.renewEvery = settings.duration("lease.renew_every");
}

auto limitRules() -> std::vector<SettingRule>
{
    constexpr auto million = 1'000'000;
    constexpr auto gibibyte = 1 << 30;
    return {
        numberRule("limits.connections", "open connections of callers", 1, million, 4096),
        numberRule("limits.held_bytes", "bytes that all callers may make the process hold", 1 << 20,
                   std::int64_t { gibibyte } * 1024, gibibyte),
        numberRule("limits.body_bytes", "bytes of a request's body", 1024, gibibyte, 4 << 20),
        numberRule("limits.answer_bytes", "bytes of an answer that is not a stream", 1024, gibibyte,
                   16 << 20),
        numberRule("limits.queued", "requests waiting in all", 1, million, 8192),
        numberRule("limits.queued_per_class", "requests waiting in one class", 1, million, 2048),
        numberRule("limits.queued_per_caller", "requests waiting of one caller", 1, million, 256),
        numberRule("limits.in_progress", "requests in progress, waiting ones included", 1, million,
                   12000),
        numberRule("limits.service_slots", "calls at once to one endpoint of a plain service", 1,
                   100'000, 64),
        durationRule("limits.stream_idle", "longest pause between two tokens of a stream",
                     milliseconds { 100 }, hours { 1 }, seconds { 30 }),
        numberRule("retry.attempts", "dispatches of one request, the first included", 1, 10, 3),
        numberRule("retry.burst", "retries that may come at once", 0, 100'000, 20),
        numberRule("retry.percent", "retries for each hundred requests", 0, 100, 10),
        durationRule("retry.backoff", "longest wait before the second dispatch; doubles",
                     milliseconds { 1 }, seconds { 10 }, milliseconds { 20 }),
    };
}

auto timeRules() -> std::vector<SettingRule>
{
    return {
        durationRule("demand.every", "between reports of waiting requests", milliseconds { 10 },
                     seconds { 10 }, milliseconds { 100 }),
        durationRule("demand.idle_every", "between reports when nothing waits",
                     milliseconds { 100 }, minutes { 1 }, seconds { 1 }),
        durationRule("demand.expected_load", "a model's load time until loads have been seen",
                     milliseconds { 0 }, hours { 1 }, seconds { 1 }),
        durationRule("claims.timeout", "for the leader's verdict on a claim", milliseconds { 50 },
                     minutes { 1 }, seconds { 1 }),
        durationRule("claims.window", "from asking for a claim to the dispatch at the latest",
                     milliseconds { 100 }, minutes { 10 }, seconds { 5 }),
        durationRule("announce.lease", "an endpoint's announcement is good for so long",
                     milliseconds { 500 }, hours { 1 }, seconds { 3 }),
        textRule("announce.proxies", "IPs, by comma, that may announce addresses of other hosts",
                 ""),
        durationRule("lease.length", "how long the configuration is known to be current",
                     milliseconds { 200 }, minutes { 1 }, milliseconds { 1500 }),
        durationRule("lease.renew_every", "between renewals of that lease", milliseconds { 20 },
                     seconds { 20 }, milliseconds { 300 }),
    };
}

} // namespace

auto routerSchema() -> std::vector<SettingRule>
{
    auto rules = std::vector<SettingRule> {
        textRule("router.name", "this router's name, unique in the system"),
        textRule("router.domain", "the failure domain this VM is in"),
        addressRule("router.listen", "ip:port where callers connect"),
        textRule("router.advertise", "ip:port that callers are told; empty: as router.listen", ""),
        addressListRule("router.controls",
                        "name@ip:port of every control process, the nearest first"),
        textRule("router.key_file", "file with the keys shared by figrack's processes"),
        numberRule("router.threads", "worker threads", 1, 256, 4),
        durationRule("router.address_lifetime", "how long a caller may keep the address list",
                     milliseconds { 100 }, hours { 1 }, seconds { 10 }),
        durationRule("router.cache_poll", "between polls of an engine's cache events",
                     milliseconds { 50 }, minutes { 1 }, seconds { 1 }),
        textRule("tls.certificate", "PEM certificate chain; empty: plain HTTP", ""),
        textRule("tls.key", "PEM private key", ""),
    };
    for (auto &rule : limitRules())
        rules.push_back(std::move(rule));
    for (auto &rule : timeRules())
        rules.push_back(std::move(rule));
    return rules;
}

auto routerOptions(const Settings &settings) -> absl::StatusOr<RouterOptions>
{
    auto options = RouterOptions {};
    options.self = NodeId { settings.text("router.name") };
    options.domain = DomainId { settings.text("router.domain") };
    options.callerListen = settings.address("router.listen");
    options.callerAddress = options.callerListen;
    const auto &advertise = settings.text("router.advertise");
    if (!advertise.empty()) {
        auto address = parseAddress(advertise);
        if (!address.ok())
            return makeError(ErrorKind::BadSettings, "router.advertise=" + advertise);
        options.callerAddress = *address;
    }
    options.controls = settings.addresses("router.controls");
    if (options.controls.empty())
        return makeError(ErrorKind::BadSettings, "router.controls names no control process");
    options.keyFile = settings.text("router.key_file");
    options.certificateFile = settings.text("tls.certificate");
    options.keyPemFile = settings.text("tls.key");
    if (options.certificateFile.empty() != options.keyPemFile.empty())
        return makeError(ErrorKind::BadSettings, "tls.certificate and tls.key go together");
    options.announceProxies = splitList(settings.text("announce.proxies"));
    readBounds(settings, options);
    readTimes(settings, options);
    // After one lease length, every router has either applied the drain notice or lost its lease
    // and serves no requests.
    options.drainPropagationTime = options.viewLease.length;
    if (options.viewLease.renewEvery * 2 > options.viewLease.length)
        return makeError(ErrorKind::BadSettings,
                         "lease.renew_every must be at most half of lease.length");
    return options;
}

} // namespace figrack::router
