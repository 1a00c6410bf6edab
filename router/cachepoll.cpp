// Each round polls the engines in the order of their names, starting after the
// engine polled last, so that every engine is polled in turn even if there are
// more engines than polls per round.

#include "router/cachepoll.h"

#include <charconv>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "core/error.h"

namespace figrack::router {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto maxPolls = std::size_t { 64 };
constexpr auto retention = std::chrono::minutes { 1 };
constexpr auto pollTimeout = std::chrono::milliseconds { 500 };
constexpr auto maxEvents = std::size_t { 65536 };

auto readNumber(const json::value *value) -> std::optional<std::uint64_t>
{
    if (value == nullptr)
        return std::nullopt;
    if (const auto *number = value->if_int64(); number != nullptr && *number >= 0)
        return static_cast<std::uint64_t>(*number);
    if (const auto *number = value->if_uint64())
        return *number;
    const auto *text = value->if_string();
    if (text == nullptr)
        return std::nullopt;
    auto number = std::uint64_t { 0 };
    const auto end = text->data() + text->size();
    const auto read = std::from_chars(text->data(), end, number);
    if (read.ec != std::errc {} || read.ptr != end)
        return std::nullopt;
    return number;
}

auto readHashes(const json::object &object, std::string_view name, std::vector<std::uint64_t> &out)
        -> bool
{
    const auto *value = object.if_contains({ name.data(), name.size() });
    if (value == nullptr)
        return true;
    const auto *list = value->if_array();
    if (list == nullptr || list->size() > maxEvents)
        return false;
    for (const auto &item : *list) {
        const auto hash = readNumber(&item);
        if (!hash)
            return false;
        out.push_back(*hash);
    }
    return true;
}

} // namespace

auto parseCacheEvents(const EndpointId &endpoint, std::string_view json)
        -> absl::StatusOr<policy::CacheEvents>
{
    auto error = json::error_code {};
    const auto value = json::parse({ json.data(), json.size() }, error);
    if (error || !value.is_object())
        return makeError(ErrorKind::Malformed, "cache events");
    const auto &object = value.get_object();
    auto events = policy::CacheEvents {};
    events.endpoint = endpoint;
    const auto first = readNumber(object.if_contains("first"));
    if (!first)
        return makeError(ErrorKind::Malformed, "cache events: field=first");
    events.firstSequence = *first;
    const auto *snapshot = object.if_contains("snapshot");
    events.snapshot = snapshot != nullptr && snapshot->is_bool() && snapshot->get_bool();
    if (!readHashes(object, "added", events.added)
        || !readHashes(object, "removed", events.removed))
        return makeError(ErrorKind::Malformed, "cache events: field=added or removed");
    return events;
}

CachePoller::CachePoller(const Clock &clock, Scheduler &scheduler, http::Client &client)
    : clock_(clock)
    , scheduler_(scheduler)
    , client_(client)
{ }

auto CachePoller::round() -> asio::awaitable<void>
{
    const auto now = clock_.now();
    for (const auto &[id, address] : scheduler_.takeUsedEngines()) {
        auto &engine = engines_[id];
        if (engine.address != address)
            engine.next = 0;
        engine.address = address;
        engine.lastUsed = now;
    }
    std::erase_if(engines_,
                  [now](const auto &entry) { return now - entry.second.lastUsed > retention; });
    auto polls = std::min(maxPolls, engines_.size());
    for (; polls > 0; --polls) {
        auto next = engines_.upper_bound(cursor_);
        if (next == engines_.end())
            next = engines_.begin();
        cursor_ = next->first;
        const auto good = co_await pollOne(next->first, next->second);
        if (!good)
            engines_.erase(cursor_);
        if (engines_.empty())
            break;
    }
}

auto CachePoller::pollOne(const EndpointId &id, Engine &engine) -> asio::awaitable<bool>
{
    const auto from = scheduler_.wantsCacheSnapshot(id) ? 0 : engine.next;
    auto request = http::ClientRequest {};
    request.address = engine.address;
    request.method = "GET";
    request.target = fmt::format("/figrack/cache-events?from={}", from);
    auto result = co_await client_.fetch(std::move(request), pollTimeout);
    const auto *response = std::get_if<http::Response>(&result);
    if (response == nullptr || response->status != 200)
        co_return false;
    const auto events = parseCacheEvents(id, response->body);
    if (!events.ok())
        co_return false;
    // In a snapshot, `first` is the sequence number that follows the snapshot.
    const auto count = events->snapshot ? 0 : events->added.size() + events->removed.size();
    engine.next = events->firstSequence + count;
    if (events->snapshot || count > 0)
        scheduler_.onCacheEvents(*events);
    co_return true;
}

} // namespace figrack::router
