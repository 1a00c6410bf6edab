// The bytes are bounded before they are parsed and the depth while they are, so
// what Boost.JSON builds is bounded too. A small reader then takes one field at
// a time and remembers the first fault with its path ("replicas[3].model").

#include "endpoint/announcement.h"

#include <optional>
#include <set>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

#include "core/error.h"
#include "core/settings.h"

namespace figrack::endpoint {

namespace json = boost::json;

namespace {

constexpr auto maxDepth = std::size_t { 8 };
constexpr auto maxAccelerators = std::uint64_t { 1 } << 16;
constexpr auto maxMemoryMb = std::uint64_t { 1 } << 40;
constexpr auto maxStreams = std::uint64_t { 1 } << 24;

template<typename Value>
struct NamedValue
{
    std::string_view name;
    Value value;
};

constexpr NamedValue<state::EndpointKind> kindNames[] = {
    { "engine", state::EndpointKind::Engine },
    { "service", state::EndpointKind::Service },
};
constexpr NamedValue<state::CacheTier> tierNames[] = {
    { "remote", state::CacheTier::Remote },
    { "disk", state::CacheTier::Disk },
    { "memory", state::CacheTier::Memory },
};
constexpr NamedValue<proto::ObservedState> stateNames[] = {
    { "loading", proto::ObservedState::Loading },
    { "ready", proto::ObservedState::Ready },
    { "unloading", proto::ObservedState::Unloading },
};

template<typename Value, std::size_t Count>
auto nameOf(const NamedValue<Value> (&table)[Count], Value value) -> json::string_view
{
    for (const auto &entry : table) {
        if (entry.value == value)
            return { entry.name.data(), entry.name.size() };
    }
    return {};
}

enum class Presence : std::uint8_t { Required, Optional };

/// Reads the fields of one JSON object; the first fault stays.
class FieldReader
{
public:
    FieldReader(const json::value &value, std::string path, absl::Status &status)
        : object_(value.if_object())
        , path_(std::move(path))
        , status_(status)
    {
        if (object_ == nullptr)
            fail("", "not an object");
    }

    auto name(std::string_view field, Presence presence = Presence::Required) -> std::string
    {
        const auto *value = find(field, presence);
        if (value == nullptr)
            return {};
        const auto *text = value->if_string();
        if (text == nullptr || text->size() > maxNameBytes) {
            fail(field, text == nullptr ? "not a string" : "too long");
            return {};
        }
        if (presence == Presence::Required && text->empty())
            fail(field, "empty");
        for (const auto letter : *text) {
            if (static_cast<unsigned char>(letter) < ' ')
                fail(field, "control character");
        }
        return { text->data(), text->size() };
    }

    auto number(std::string_view field, std::uint64_t max, Presence presence) -> std::uint64_t
    {
        const auto *value = find(field, presence);
        if (value == nullptr)
            return 0;
        auto code = json::error_code {};
        const auto number = value->to_number<std::uint64_t>(code);
        if (code || value->is_double() || number > max) {
            fail(field, "not a whole number in range");
            return 0;
        }
        return number;
    }

    auto flag(std::string_view field) -> bool
    {
        const auto *value = find(field, Presence::Optional);
        if (value == nullptr)
            return false;
        if (!value->is_bool())
            fail(field, "not true or false");
        return value->is_bool() && value->get_bool();
    }

    template<typename Value, std::size_t Count>
    auto oneOf(std::string_view field, const NamedValue<Value> (&table)[Count]) -> Value
    {
        const auto text = name(field);
        for (const auto &entry : table) {
            if (entry.name == text)
                return entry.value;
        }
        fail(field, "no such value");
        return table[0].value;
    }

    /// Calls read(value, path) for each element of an array that may be missing.
    template<typename Read>
    auto forEach(std::string_view field, std::size_t max, Read read) -> void
    {
        const auto *value = find(field, Presence::Optional);
        if (value == nullptr)
            return;
        const auto *array = value->if_array();
        if (array == nullptr || array->size() > max)
            return fail(field, array == nullptr ? "not an array" : "too many");
        for (auto i = std::size_t { 0 }; i < array->size() && status_.ok(); ++i)
            read((*array)[i], fmt::format("{}{}[{}]", path_, field, i));
    }

    auto fail(std::string_view field, std::string_view reason) -> void
    {
        if (status_.ok()) {
            status_ = makeError(ErrorKind::Malformed,
                                fmt::format("field={}{} reason={}", path_, field, reason));
        }
    }

private:
    auto find(std::string_view field, Presence presence) -> const json::value *
    {
        if (object_ == nullptr)
            return nullptr;
        const auto *value = object_->if_contains({ field.data(), field.size() });
        if (value == nullptr && presence == Presence::Required)
            fail(field, "missing");
        return value;
    }

    const json::object *object_;
    std::string path_; ///< Ends in '.' unless empty.
    absl::Status &status_;
};

auto readCached(const json::value &value, const std::string &path, absl::Status &status)
        -> state::CachedModel
{
    auto reader = FieldReader { value, path + ".", status };
    auto cached = state::CachedModel {};
    cached.model = ModelId { reader.name("model") };
    cached.version = reader.name("version");
    cached.tier = reader.oneOf("tier", tierNames);
    return cached;
}

auto readReplica(const json::value &value, const std::string &path, absl::Status &status)
        -> proto::ObservedReplica
{
    auto reader = FieldReader { value, path + ".", status };
    auto replica = proto::ObservedReplica {};
    replica.model = ModelId { reader.name("model") };
    replica.version = reader.name("version");
    replica.state = reader.oneOf("state", stateNames);
    replica.running
            = static_cast<std::uint32_t>(reader.number("running", maxStreams, Presence::Optional));
    replica.waiting
            = static_cast<std::uint32_t>(reader.number("waiting", maxStreams, Presence::Optional));
    return replica;
}

auto readSpec(FieldReader &reader, absl::Status &status) -> state::EndpointSpec
{
    auto spec = state::EndpointSpec {};
    spec.id = EndpointId { reader.name("id") };
    spec.incarnation = Incarnation { reader.number("incarnation", UINT64_MAX, Presence::Required) };
    spec.kind = reader.oneOf("kind", kindNames);
    spec.address = reader.name("address");
    if (status.ok() && !parseAddress(spec.address).ok())
        reader.fail("address", "not ip:port");
    spec.domain = DomainId { reader.name("domain") };
    spec.service = ServiceId { reader.name("service", Presence::Optional) };
    spec.accelerators = static_cast<std::uint32_t>(
            reader.number("accelerators", maxAccelerators, Presence::Optional));
    spec.memoryMb = reader.number("memory_mb", maxMemoryMb, Presence::Optional);
    spec.checksFence = reader.flag("checks_fence");
    auto seen = std::set<std::pair<ModelId, std::string>> {};
    reader.forEach("cached", maxCached, [&](const json::value &value, const std::string &path) {
        auto cached = readCached(value, path, status);
        if (!seen.emplace(cached.model, cached.version).second)
            reader.fail(path, "duplicate");
        spec.cached.push_back(std::move(cached));
    });
    return spec;
}

auto parseJson(std::string_view text) -> absl::StatusOr<json::value>
{
    if (text.size() > maxAnnouncementBytes)
        return makeError(ErrorKind::TooLarge, fmt::format("announcement bytes={}", text.size()));
    auto options = json::parse_options {};
    options.max_depth = maxDepth;
    auto code = json::error_code {};
    auto value = json::parse({ text.data(), text.size() }, code, json::storage_ptr {}, options);
    if (code)
        return makeError(ErrorKind::Malformed, "json reason=" + code.message());
    return value;
}

} // namespace

auto parseAnnouncement(std::string_view json) -> absl::StatusOr<proto::EndpointReport>
{
    const auto value = parseJson(json);
    if (!value.ok())
        return value.status();
    auto status = absl::OkStatus();
    auto reader = FieldReader { *value, "", status };
    auto report = proto::EndpointReport {};
    report.spec = readSpec(reader, status);
    report.draining = reader.flag("draining");
    report.sequence = reader.number("sequence", UINT64_MAX, Presence::Required);
    report.usedMb = reader.number("used_mb", maxMemoryMb, Presence::Optional);
    auto seen = std::set<ModelId> {};
    reader.forEach("replicas", maxReplicas, [&](const auto &element, const std::string &path) {
        auto replica = readReplica(element, path, status);
        if (!seen.insert(replica.model).second)
            reader.fail(path, "duplicate");
        report.replicas.push_back(std::move(replica));
    });
    if (!status.ok())
        return status;
    return report;
}

auto announcementJson(const proto::EndpointReport &report) -> std::string
{
    const auto &spec = report.spec;
    auto object = json::object {};
    object["id"] = spec.id.value();
    object["incarnation"] = spec.incarnation.value();
    object["sequence"] = report.sequence;
    object["kind"] = nameOf(kindNames, spec.kind);
    object["address"] = spec.address;
    object["domain"] = spec.domain.value();
    object["service"] = spec.service.value();
    object["accelerators"] = spec.accelerators;
    object["memory_mb"] = spec.memoryMb;
    object["used_mb"] = report.usedMb;
    object["checks_fence"] = spec.checksFence;
    object["draining"] = report.draining;
    auto cachedList = json::array {};
    for (const auto &cached : spec.cached) {
        cachedList.push_back(json::object { { "model", cached.model.value() },
                                            { "version", cached.version },
                                            { "tier", nameOf(tierNames, cached.tier) } });
    }
    object["cached"] = std::move(cachedList);
    auto replicas = json::array {};
    for (const auto &replica : report.replicas) {
        replicas.push_back(json::object { { "model", replica.model.value() },
                                          { "version", replica.version },
                                          { "state", nameOf(stateNames, replica.state) },
                                          { "running", replica.running },
                                          { "waiting", replica.waiting } });
    }
    object["replicas"] = std::move(replicas);
    return json::serialize(object);
}

} // namespace figrack::endpoint
