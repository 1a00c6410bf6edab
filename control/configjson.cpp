// A Fields object reads one JSON object. Each getter reads one field, the first error is kept,
// and finish() reports fields that no getter has read.

#include "control/configjson.h"

#include <limits>
#include <set>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "core/error.h"

namespace figrack::control {
namespace {

namespace json = boost::json;

auto toView(json::string_view text) -> std::string_view
{
    return { text.data(), text.size() };
}

auto toJsonView(std::string_view text) -> json::string_view
{
    return { text.data(), text.size() };
}

class Fields
{
public:
    Fields(std::string path, const json::value &value)
        : path_(std::move(path))
        , object_(value.if_object())
    {
        if (!object_)
            fail(path_, "an object");
    }

    auto has(std::string_view name) const -> bool
    {
        return object_ && object_->contains(toJsonView(name));
    }

    auto take(std::string_view name) -> const json::value *
    {
        if (!object_)
            return nullptr;
        taken_.insert(std::string { name });
        return object_->if_contains(toJsonView(name));
    }

    auto text(std::string_view name) -> std::string
    {
        const auto *value = take(name);
        if (value && value->is_string())
            return std::string { toView(value->get_string()) };
        fail(name, "a text");
        return {};
    }

    auto text(std::string_view name, std::string fallback) -> std::string
    {
        return has(name) ? text(name) : std::move(fallback);
    }

    template<typename Number>
    auto number(std::string_view name, Number min = std::numeric_limits<Number>::min(),
                Number max = std::numeric_limits<Number>::max()) -> Number
    {
        const auto *value = take(name);
        auto error = json::error_code {};
        const auto result = value ? value->to_number<Number>(error) : Number {};
        if (value && !error && !value->is_double() && result >= min && result <= max)
            return result;
        fail(name, "a whole number in range");
        return {};
    }

    template<typename Number>
    auto numberOr(std::string_view name, Number fallback) -> Number
    {
        return has(name) ? number<Number>(name) : fallback;
    }

    auto flag(std::string_view name) -> bool
    {
        const auto *value = take(name);
        if (value && value->is_bool())
            return value->get_bool();
        fail(name, "true or false");
        return false;
    }

    auto flag(std::string_view name, bool fallback) -> bool
    {
        return has(name) ? flag(name) : fallback;
    }

    auto finish() -> absl::Status
    {
        if (object_ && status_.ok()) {
            for (const auto &field : *object_) {
                if (!taken_.contains(std::string { toView(field.key()) }))
                    fail(toView(field.key()), "a known field");
            }
        }
        return status_;
    }

    auto fail(std::string_view name, std::string_view wanted) -> void
    {
        if (status_.ok()) {
            status_ = makeError(ErrorKind::BadRequest,
                                fmt::format("field={}{}{} wanted=\"{}\"", path_,
                                            path_.empty() ? "" : ".", name, wanted));
        }
    }

private:
    std::string path_;
    const json::object *object_;
    std::set<std::string> taken_;
    absl::Status status_;
};

auto parse(std::string_view text) -> absl::StatusOr<json::value>
{
    auto error = json::error_code {};
    auto value = json::parse(toJsonView(text), error);
    if (error)
        return makeError(ErrorKind::BadRequest, "the body is not JSON");
    return value;
}

auto readClass(Fields &fields) -> state::ConfigOperation
{
    auto spec = state::ClassSpec {};
    spec.id = ClassId { fields.text("id") };
    spec.startTarget = fields.number<state::Millis>("start_ms", 1);
    spec.finishTarget = fields.number<state::Millis>("finish_ms", 1);
    spec.sharePercent = fields.numberOr("share_percent", spec.sharePercent);
    spec.isDefault = fields.flag("default", false);
    return state::PutClass { spec };
}

auto readModel(Fields &fields) -> state::ConfigOperation
{
    auto spec = state::ModelSpec {};
    spec.id = ModelId { fields.text("id") };
    spec.version = fields.text("version", spec.version);
    spec.base = ModelId { fields.text("base", "") };
    spec.weightMb = fields.number<std::uint64_t>("weight_mb", 1);
    spec.kvMb = fields.numberOr("kv_mb", spec.kvMb);
    spec.slots = fields.numberOr("slots", spec.slots);
    return state::PutModel { spec };
}

auto readService(Fields &fields) -> state::ConfigOperation
{
    auto spec = state::ServiceSpec {};
    spec.id = ServiceId { fields.text("id") };
    spec.repeatable = fields.flag("repeatable", spec.repeatable);
    spec.timeout = fields.numberOr("timeout_ms", spec.timeout);
    return state::PutService { spec };
}

/// One row per operation: the field that names it and the function that reads it.
struct OperationRow
{
    std::string_view field;
    state::ConfigOperation (*readPut)(Fields &);
    state::ConfigOperation (*readDelete)(std::string);
};

const auto operationRows = std::array {
    OperationRow { "put_class", readClass, nullptr },
    OperationRow { "put_model", readModel, nullptr },
    OperationRow { "put_service", readService, nullptr },
    OperationRow { "delete_class", nullptr,
                   [](std::string id) -> state::ConfigOperation {
                       return state::DeleteClass { ClassId { std::move(id) } };
                   } },
    OperationRow { "delete_model", nullptr,
                   [](std::string id) -> state::ConfigOperation {
                       return state::DeleteModel { ModelId { std::move(id) } };
                   } },
    OperationRow { "delete_service", nullptr,
                   [](std::string id) -> state::ConfigOperation {
                       return state::DeleteService { ServiceId { std::move(id) } };
                   } },
};

auto readOperation(Fields &fields, const OperationRow &row)
        -> absl::StatusOr<state::ConfigOperation>
{
    if (row.readDelete)
        return row.readDelete(fields.text(row.field));
    auto inner = Fields { std::string { row.field }, *fields.take(row.field) };
    auto operation = row.readPut(inner);
    if (auto status = inner.finish(); !status.ok())
        return status;
    return operation;
}

} // namespace

auto parseChange(std::string_view text) -> absl::StatusOr<state::ConfigChange>
{
    const auto value = parse(text);
    if (!value.ok())
        return value.status();
    auto fields = Fields { "", *value };
    auto change = state::ConfigChange {};
    change.change = ChangeId { fields.text("change") };
    change.expected = Revision { fields.number<std::uint64_t>("expected") };
    change.author = fields.text("author");
    auto operations = 0;
    for (const auto &row : operationRows) {
        if (!fields.has(row.field))
            continue;
        ++operations;
        auto operation = readOperation(fields, row);
        if (!operation.ok())
            return operation.status();
        change.operation = std::move(*operation);
    }
    if (operations != 1)
        fields.fail("put_class, delete_class, put_model, ...", "exactly one operation");
    if (auto status = fields.finish(); !status.ok())
        return status;
    return change;
}

auto parseDraining(std::string_view text) -> absl::StatusOr<bool>
{
    const auto value = parse(text);
    if (!value.ok())
        return value.status();
    auto fields = Fields { "", *value };
    const auto draining = fields.flag("draining");
    if (auto status = fields.finish(); !status.ok())
        return status;
    return draining;
}

auto parseMember(std::string_view text) -> absl::StatusOr<MemberRequest>
{
    const auto value = parse(text);
    if (!value.ok())
        return value.status();
    auto fields = Fields { "", *value };
    auto request = MemberRequest {};
    const auto action = fields.text("action");
    request.member.node = NodeId { fields.text("node") };
    if (action == "add") {
        request.member.domain = DomainId { fields.text("domain") };
        request.member.address = fields.text("address");
        request.member.incarnation = Incarnation { fields.number<std::uint64_t>("incarnation") };
    } else if (action == "promote") {
        request.action = MemberAction::Promote;
    } else if (action == "remove") {
        request.action = MemberAction::Remove;
    } else {
        fields.fail("action", "add, promote or remove");
    }
    if (auto status = fields.finish(); !status.ok())
        return status;
    return request;
}

auto configurationJson(const state::Configuration &configuration) -> std::string
{
    auto classes = json::array {};
    for (const auto &[id, spec] : configuration.classes) {
        classes.push_back({ { "id", id.value() },
                            { "start_ms", spec.startTarget },
                            { "finish_ms", spec.finishTarget },
                            { "share_percent", spec.sharePercent },
                            { "default", spec.isDefault } });
    }
    auto models = json::array {};
    for (const auto &[id, spec] : configuration.models) {
        models.push_back({ { "id", id.value() },
                           { "version", spec.version },
                           { "base", spec.base.value() },
                           { "weight_mb", spec.weightMb },
                           { "kv_mb", spec.kvMb },
                           { "slots", spec.slots } });
    }
    auto services = json::array {};
    for (const auto &[id, spec] : configuration.services) {
        services.push_back({ { "id", id.value() },
                             { "repeatable", spec.repeatable },
                             { "timeout_ms", spec.timeout } });
    }
    return json::serialize(json::object { { "revision", configuration.revision.value() },
                                          { "classes", std::move(classes) },
                                          { "models", std::move(models) },
                                          { "services", std::move(services) } });
}

auto revisionJson(Revision revision) -> std::string
{
    return json::serialize(json::object { { "revision", revision.value() } });
}

auto conflictJson(const absl::Status &status, Revision revision) -> std::string
{
    const auto kind = errorKind(status);
    const auto message = std::string { errorArgument(status) };
    return json::serialize(
            json::object { { "error",
                             json::object { { "code", toJsonView(errorName(kind)) },
                                            { "message", message },
                                            { "ran", "not_run" },
                                            { "revision", revision.value() },
                                            { "remedy", toJsonView(errorRemedy(kind)) } } } });
}

} // namespace figrack::control
