// Only the fields needed for routing are read from the JSON; the body is
// forwarded unchanged. The prompt text (for chat calls, the concatenated contents
// of the messages) is collected for the prefix hashes.

#include "router/parse.h"

#include <algorithm>

#include <boost/json.hpp>

#include "core/error.h"
#include "router/prefix.h"

namespace figrack::router {
namespace {

namespace json = boost::json;

constexpr auto maxIdBytes = std::size_t { 128 };
constexpr auto maxJsonDepth = std::size_t { 32 };
constexpr auto maxPromptBytes = prefixBlockBytes * maxPrefixBlocks;
constexpr auto servicesPath = std::string_view { "/v1/services/" };

auto isPrintable(std::string_view text) -> bool
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

auto isId(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= maxIdBytes && isPrintable(text);
}

auto badRequest(std::string_view argument) -> absl::Status
{
    return makeError(ErrorKind::BadRequest, argument);
}

auto parseObject(std::string_view body) -> absl::StatusOr<json::object>
{
    auto options = json::parse_options {};
    options.max_depth = maxJsonDepth;
    auto error = json::error_code {};
    auto value = json::parse({ body.data(), body.size() }, error, {}, options);
    if (error || !value.is_object())
        return badRequest("body is not a JSON object");
    return std::move(value.as_object());
}

auto textField(const json::object &body, std::string_view name) -> absl::StatusOr<std::string>
{
    const auto *value = body.if_contains({ name.data(), name.size() });
    if (value == nullptr || value->is_null())
        return std::string {};
    const auto *text = value->if_string();
    if (text == nullptr)
        return badRequest("field=" + std::string { name } + " must be text");
    return std::string { text->data(), text->size() };
}

auto flagField(const json::object &body, std::string_view name) -> absl::StatusOr<bool>
{
    const auto *value = body.if_contains({ name.data(), name.size() });
    if (value == nullptr || value->is_null())
        return false;
    const auto *flag = value->if_bool();
    if (flag == nullptr)
        return badRequest("field=" + std::string { name } + " must be true or false");
    return *flag;
}

auto appendText(std::string &out, const json::value *value) -> void
{
    if (value == nullptr || out.size() >= maxPromptBytes)
        return;
    if (const auto *text = value->if_string()) {
        out.append(text->data(), std::min(text->size(), maxPromptBytes - out.size()));
        return;
    }
    const auto *list = value->if_array();
    if (list == nullptr)
        return;
    for (const auto &item : *list) {
        if (const auto *part = item.if_object())
            appendText(out, part->if_contains("text"));
        else
            appendText(out, &item);
    }
}

auto promptText(const json::object &body) -> std::string
{
    auto out = std::string {};
    appendText(out, body.if_contains("prompt"));
    const auto *messages = body.if_contains("messages");
    const auto *list = messages == nullptr ? nullptr : messages->if_array();
    if (list == nullptr)
        return out;
    for (const auto &item : *list) {
        const auto *message = item.if_object();
        if (message == nullptr)
            continue;
        appendText(out, message->if_contains("content"));
    }
    return out;
}

auto applyClass(const http::Request &request, const std::string &fromBody, const View &view,
                Work &work) -> absl::Status
{
    const auto header = request.header("X-Figrack-Class");
    const auto name = header.empty() ? fromBody : std::string { header };
    const auto spec = view.classSpec(ClassId { name });
    if (!spec) {
        return makeError(ErrorKind::UnknownClass,
                         name.empty() ? std::string { "no class given and there is no default" }
                                      : "class=" + name.substr(0, maxIdBytes));
    }
    work.classId = spec->id;
    work.startTarget = spec->startTarget;
    work.finishTarget = std::max(spec->finishTarget, spec->startTarget);
    return absl::OkStatus();
}

auto applyKey(const http::Request &request, Work &work) -> absl::Status
{
    const auto key = request.header("Idempotency-Key");
    const auto repeatable = request.header("X-Figrack-Repeatable");
    if (!key.empty() && !isId(key))
        return badRequest("Idempotency-Key must be up to 128 printable characters without spaces");
    work.key = IdempotencyKey { std::string { key } };
    if (!repeatable.empty() && repeatable != "yes" && repeatable != "no")
        return badRequest("X-Figrack-Repeatable must be yes or no");
    if (repeatable == "no")
        work.repeatable = false;
    if (!work.repeatable && work.key.empty()) {
        return badRequest("this call may not be repeated: send an Idempotency-Key, "
                          "and the same one when you send it again");
    }
    return absl::OkStatus();
}

auto parseModelCall(const http::Request &request, const View &view, Work &work) -> absl::Status
{
    auto body = parseObject(request.body);
    if (!body.ok())
        return body.status();
    auto model = textField(*body, "model");
    auto classId = textField(*body, "class");
    auto stream = flagField(*body, "stream");
    for (const auto &status : { model.status(), classId.status(), stream.status() }) {
        if (!status.ok())
            return status;
    }
    if (model->empty())
        return badRequest("field=model is missing");
    const auto spec = view.model(ModelId { *model });
    if (!spec)
        return makeError(ErrorKind::UnknownModel, "model=" + model->substr(0, maxIdBytes));
    work.target.model = spec->id;
    work.stream = *stream;
    work.enginePath = request.path;
    work.prefix = prefixHashes(*model, promptText(*body));
    return applyClass(request, *classId, view, work);
}

auto parseServiceCall(const http::Request &request, const View &view, Work &work) -> absl::Status
{
    const auto name = request.path.substr(servicesPath.size());
    const auto spec = view.service(ServiceId { name });
    if (!spec)
        return makeError(ErrorKind::UnknownService, "service=" + name.substr(0, maxIdBytes));
    work.target.service = spec->id;
    work.repeatable = spec->repeatable;
    work.enginePath = "/";
    if (auto status = applyClass(request, {}, view, work); !status.ok())
        return status;
    work.finishTarget = std::max<Millis>(spec->timeout, 1);
    work.startTarget = std::min(work.startTarget, work.finishTarget);
    return absl::OkStatus();
}

} // namespace

auto requestIdOf(const http::Request &request, const std::string &generated) -> RequestId
{
    const auto given = request.header("X-Request-Id");
    return RequestId { isId(given) ? std::string { given } : generated };
}

auto parseWork(const http::Request &request, const View &view) -> absl::StatusOr<Work>
{
    auto work = Work {};
    const auto isService = request.path.compare(0, servicesPath.size(), servicesPath) == 0;
    auto status = isService ? parseServiceCall(request, view, work)
                            : parseModelCall(request, view, work);
    if (!status.ok())
        return status;
    if (status = applyKey(request, work); !status.ok())
        return status;
    const auto caller = request.header("X-Figrack-Caller");
    work.caller = isId(caller) ? std::string { caller } : request.remoteIp;
    work.contentType = std::string { request.header("Content-Type") };
    if (work.contentType.empty())
        work.contentType = isService ? "application/octet-stream" : "application/json";
    work.body = request.body;
    return work;
}

} // namespace figrack::router
