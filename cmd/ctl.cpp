// Each command is a member function of Session, which holds the options and the client.
// A change of the configuration is a compare-and-set: the command reads the current
// configuration, builds the new row from the current one, and sends it with the revision
// it read (or that of --expected). The control refuses it if the revision has changed.

#include "cmd/ctl.h"

#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <thread>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "cmd/ctlclient.h"
#include "cmd/ctloptions.h"
#include "cmd/ctltable.h"
#include "core/crypto.h"
#include "core/error.h"

namespace figrack::cmd {
namespace {

namespace json = boost::json;

constexpr auto pollDelay = std::chrono::milliseconds { 500 };
constexpr auto defaultWait = Duration { std::chrono::minutes { 10 } };

/// How the text of an option is converted to a JSON field of a row.
enum class FieldType : std::uint8_t { Text, Number, Millis, Flag };

struct FieldRow
{
    std::string_view option;
    const char *field;
    FieldType type;
};

/// One kind of row in the configuration, with the commands that list and change it.
struct KindRow
{
    std::string_view command; ///< First word of its commands, for example "classes".
    const char *list;         ///< Field of the configuration that holds the rows.
    const char *put;          ///< Name of the operation that creates or changes a row.
    const char *remove;       ///< Name of the operation that deletes a row.
    std::vector<FieldRow> fields;
    std::vector<Column> columns;
};

auto kindRows() -> const std::vector<KindRow> &
{
    static const auto rows = std::vector<KindRow> {
        { "classes",
          "classes",
          "put_class",
          "delete_class",
          { { "start", "start_ms", FieldType::Millis },
            { "finish", "finish_ms", FieldType::Millis },
            { "share", "share_percent", FieldType::Number },
            { "default", "default", FieldType::Flag } },
          { { "id", "CLASS" },
            { "start_ms", "START_MS" },
            { "finish_ms", "FINISH_MS" },
            { "share_percent", "SHARE_%" },
            { "default", "DEFAULT" } } },
        { "models",
          "models",
          "put_model",
          "delete_model",
          { { "model-version", "version", FieldType::Text },
            { "base", "base", FieldType::Text },
            { "weight-mb", "weight_mb", FieldType::Number },
            { "kv-mb", "kv_mb", FieldType::Number },
            { "slots", "slots", FieldType::Number } },
          { { "id", "MODEL" },
            { "version", "VERSION" },
            { "base", "BASE" },
            { "weight_mb", "WEIGHT_MB" },
            { "kv_mb", "KV_MB" },
            { "slots", "SLOTS" } } },
        { "services",
          "services",
          "put_service",
          "delete_service",
          { { "repeatable", "repeatable", FieldType::Flag },
            { "call-timeout", "timeout_ms", FieldType::Millis } },
          { { "id", "SERVICE" }, { "repeatable", "REPEATABLE" }, { "timeout_ms", "TIMEOUT_MS" } } },
    };
    return rows;
}

const auto memberColumns = std::vector<Column> {
    { "node", "MEMBER" },    { "domain", "DOMAIN" },           { "address", "ADDRESS" },
    { "voter", "VOTER" },    { "caught_up", "CAUGHT_UP" },     { "heard", "HEARD" },
    { "match_index", "AT" }, { "incarnation", "INCARNATION" },
};
const auto routerColumns = std::vector<Column> { { "node", "ROUTER" },
                                                 { "domain", "DOMAIN" },
                                                 { "address", "ADDRESS" },
                                                 { "alive", "ALIVE" },
                                                 { "draining", "DRAINING" } };
const auto endpointColumns = std::vector<Column> {
    { "id", "ENDPOINT" },         { "kind", "KIND" },         { "service", "SERVICE" },
    { "domain", "DOMAIN" },       { "address", "ADDRESS" },   { "memory_mb", "MEMORY_MB" },
    { "held_mb", "HELD_MB" },     { "draining", "DRAINING" }, { "suspected", "SUSPECTED" },
    { "checks_fence", "FENCED" },
};
const auto replicaColumns = std::vector<Column> {
    { "model", "MODEL" },   { "version", "VERSION" },   { "endpoint", "ENDPOINT" },
    { "state", "STATE" },   { "in_doubt", "IN_DOUBT" }, { "memory_mb", "MEMORY_MB" },
    { "reason", "REASON" },
};

auto progress(const std::string &line) -> void
{
    std::cerr << line << '\n';
}

auto reportBadSettings(const absl::Status &status) -> ExitCode
{
    std::cerr << "figrackctl: " << status.message() << '\n';
    return ExitCode::Usage;
}

auto parseObject(const std::string &text) -> json::object
{
    auto error = json::error_code {};
    const auto value = json::parse(text, error);
    return !error && value.is_object() ? value.get_object() : json::object {};
}

auto arrayOf(const json::object &object, std::string_view field) -> json::array
{
    const auto *value = object.if_contains(json::string_view { field.data(), field.size() });
    return value != nullptr && value->is_array() ? value->get_array() : json::array {};
}

auto textOf(const json::object &object, const char *field) -> std::string
{
    const auto *value = object.if_contains(field);
    if (value == nullptr)
        return "-";
    return value->is_string() ? std::string { value->get_string() } : json::serialize(*value);
}

auto isTrue(const json::object &object, const char *field) -> bool
{
    const auto *value = object.if_contains(field);
    return value != nullptr && value->is_bool() && value->get_bool();
}

auto findRow(const json::array &rows, const char *field, const std::string &id) -> json::object
{
    for (const auto &row : rows) {
        if (row.is_object() && textOf(row.get_object(), field) == id)
            return row.get_object();
    }
    return {};
}

auto newChangeId() -> std::string
{
    auto id = std::string { "ctl-" };
    for (const auto c : secureRandom(8))
        id += fmt::format("{:02x}", static_cast<unsigned char>(c));
    return id;
}

/// Writes the error of a reply that is not a success to standard error.
/// @return the exit code for it
auto reportFailedReply(const ControlReply &reply) -> ExitCode
{
    if (reply.outcome == Outcome::Unreachable) {
        std::cerr << "figrackctl: no control could be reached, nothing was done: " << reply.detail
                  << "; check --control and try again\n";
        return ExitCode::Unknown;
    }
    if (reply.outcome == Outcome::Unknown) {
        std::cerr << "figrackctl: the outcome is unknown: " << reply.detail
                  << "; look at the status, or resend a change with the same --change-id\n";
        return ExitCode::Unknown;
    }
    const auto body = parseObject(reply.body);
    const auto *error = body.if_contains("error");
    if (error == nullptr || !error->is_object()) {
        std::cerr << "figrackctl: the control answered " << reply.status << '\n';
        return ExitCode::Failed;
    }
    const auto &object = error->get_object();
    const auto code = textOf(object, "code");
    const auto message = textOf(object, "message");
    // A message made by core/error.h begins with the code and already ends with the remedy.
    const auto isComplete = message.starts_with(code + ": ");
    std::cerr << "figrackctl: " << (isComplete ? "" : code + ": ") << message;
    if (object.contains("revision"))
        std::cerr << "; revision in force: " << textOf(object, "revision");
    std::cerr << (isComplete ? "" : "; " + textOf(object, "remedy")) << '\n';
    return ExitCode::Failed;
}

/// Runs the command of one invocation of figrackctl.
class Session
{
public:
    Session(const CtlOptions &options, ControlClientOptions clientOptions, const Clock &clock)
        : options_(options)
        , clock_(clock)
        , client_(std::move(clientOptions), clock)
    { }

    auto run() -> ExitCode;

private:
    auto get(const std::string &target) -> ControlReply
    {
        return client_.call({ "GET", target, {} });
    }
    auto showStatus() -> ExitCode;
    auto showConfig() -> ExitCode;
    auto listRows(const KindRow &kind) -> ExitCode;
    auto putRow(const KindRow &kind) -> ExitCode;
    auto deleteRow(const KindRow &kind) -> ExitCode;
    auto sendChange(const json::object &config, const char *operation, json::value what)
            -> ExitCode;
    auto drain(std::string_view what) -> ExitCode;
    auto listMembers() -> ExitCode;
    auto addMember(const std::string &node) -> ExitCode;
    auto changeMember(const char *action, const std::string &node) -> ExitCode;
    auto postMember(const json::object &body) -> ExitCode;
    auto replaceMember() -> ExitCode;
    auto removeLostDisk(const std::string &node) -> ExitCode;
    auto waitUntilCaughtUp(const std::string &node) -> ExitCode;
    auto waitUntilVoter(const std::string &node) -> ExitCode;
    auto waitUntilRepaired() -> ExitCode;
    auto transfer() -> ExitCode;
    auto report() -> ExitCode;
    auto printReply(const ControlReply &reply, const std::string &tableText) -> ExitCode;
    auto setField(json::object &row, const FieldRow &field) const -> absl::Status;

    /// Polls the status until it satisfies a condition or the time of --wait is over.
    /// @param what the condition as text for messages
    /// @param condition called with the status and a text to fill with the progress so far
    /// @return Ok, Unknown after a time-out, or the exit code of the error
    template<typename Condition>
    auto waitFor(const std::string &what, Condition condition) -> ExitCode;

    const CtlOptions &options_;
    const Clock &clock_;
    ControlClient client_;
};

auto Session::run() -> ExitCode
{
    const auto command = options_.command();
    for (const auto &kind : kindRows()) {
        if (command == fmt::format("{} list", kind.command))
            return listRows(kind);
        if (command == fmt::format("{} put", kind.command))
            return putRow(kind);
        if (command == fmt::format("{} delete", kind.command))
            return deleteRow(kind);
    }
    if (command == "status")
        return showStatus();
    if (command == "config show")
        return showConfig();
    if (command == "drain endpoint")
        return drain("endpoints");
    if (command == "drain router")
        return drain("routers");
    if (command == "members list")
        return listMembers();
    if (command == "members add")
        return addMember(options_.names()[0]);
    if (command == "members promote")
        return changeMember("promote", options_.names()[0]);
    if (command == "members remove")
        return changeMember("remove", options_.names()[0]);
    if (command == "members replace")
        return replaceMember();
    if (command == "transfer")
        return transfer();
    return report();
}

auto Session::printReply(const ControlReply &reply, const std::string &tableText) -> ExitCode
{
    if (!reply.isOk())
        return reportFailedReply(reply);
    std::cout << (options_.flag("json") ? reply.body + "\n" : tableText);
    return ExitCode::Ok;
}

auto Session::showStatus() -> ExitCode
{
    const auto reply = get(options_.flag("local") ? "/v1/status?local=1" : "/v1/status");
    const auto status = parseObject(reply.body);
    auto text = std::string {};
    for (const auto *field :
         { "node", "incarnation", "role", "leader", "term", "lease_held", "revision",
           "accepted_revision", "repair_complete", "membership_changing", "open_orders", "claims" })
        text += fmt::format("{:<20}  {}\n", field, textOf(status, field));
    text += '\n' + renderTable(memberColumns, arrayOf(status, "members"));
    text += '\n' + renderTable(routerColumns, arrayOf(status, "routers"));
    text += '\n' + renderTable(endpointColumns, arrayOf(status, "endpoints"));
    text += '\n' + renderTable(replicaColumns, arrayOf(status, "replicas"));
    return printReply(reply, text);
}

auto Session::showConfig() -> ExitCode
{
    const auto reply = get("/v1/config");
    const auto config = parseObject(reply.body);
    auto text = fmt::format("revision {}\n", textOf(config, "revision"));
    for (const auto &kind : kindRows())
        text += '\n' + renderTable(kind.columns, arrayOf(config, kind.list));
    return printReply(reply, text);
}

auto Session::listRows(const KindRow &kind) -> ExitCode
{
    auto reply = get("/v1/config");
    const auto rows = arrayOf(parseObject(reply.body), kind.list);
    if (reply.isOk())
        reply.body = json::serialize(rows);
    return printReply(reply, renderTable(kind.columns, rows));
}

auto Session::setField(json::object &row, const FieldRow &field) const -> absl::Status
{
    const auto text = options_.text(field.option);
    switch (field.type) {
    case FieldType::Text:
        row[field.field] = text;
        return absl::OkStatus();
    case FieldType::Number: {
        const auto number = options_.number(field.option);
        if (number.ok())
            row[field.field] = *number;
        return number.status();
    }
    case FieldType::Millis: {
        const auto duration = options_.duration(field.option);
        if (duration.ok())
            row[field.field] = *duration / std::chrono::milliseconds { 1 };
        return duration.status();
    }
    case FieldType::Flag:
        if (text != "true" && text != "false")
            return makeError(ErrorKind::BadSettings,
                             fmt::format("--{} {} wanted=\"true or false\"", field.option, text));
        row[field.field] = text == "true";
        return absl::OkStatus();
    }
    return absl::OkStatus();
}

auto Session::putRow(const KindRow &kind) -> ExitCode
{
    auto given = json::object {};
    for (const auto &field : kind.fields) {
        if (!options_.isSet(field.option))
            continue;
        if (const auto status = setField(given, field); !status.ok())
            return reportBadSettings(status);
    }
    const auto reply = get("/v1/config");
    if (!reply.isOk())
        return reportFailedReply(reply);
    const auto config = parseObject(reply.body);
    auto row = findRow(arrayOf(config, kind.list), "id", options_.names()[0]);
    row["id"] = options_.names()[0];
    for (const auto &field : given)
        row[field.key()] = field.value();
    return sendChange(config, kind.put, row);
}

auto Session::deleteRow(const KindRow &kind) -> ExitCode
{
    const auto reply = get("/v1/config");
    if (!reply.isOk())
        return reportFailedReply(reply);
    return sendChange(parseObject(reply.body), kind.remove, json::string { options_.names()[0] });
}

auto Session::sendChange(const json::object &config, const char *operation, json::value what)
        -> ExitCode
{
    auto body = json::object {};
    const auto change = options_.isSet("change-id") ? options_.text("change-id") : newChangeId();
    body["change"] = change;
    const auto *user = std::getenv("USER");
    const auto login = std::string { user == nullptr ? "figrackctl" : user };
    body["author"] = options_.isSet("author") ? options_.text("author") : login;
    const auto *revision = config.if_contains("revision");
    body["expected"] = revision != nullptr ? *revision : json::value { 0 };
    if (options_.isSet("expected")) {
        const auto expected = options_.number("expected");
        if (!expected.ok())
            return reportBadSettings(expected.status());
        body["expected"] = *expected;
    }
    body[operation] = std::move(what);
    progress("change " + change + " sent; waiting until it is in force everywhere");
    const auto reply = client_.call({ "POST", "/v1/config", json::serialize(body), Resend::Yes });
    const auto answered = parseObject(reply.body);
    return printReply(reply, fmt::format("revision {} in force\n", textOf(answered, "revision")));
}

auto Session::drain(std::string_view what) -> ExitCode
{
    const auto draining = !options_.flag("undo");
    const auto &id = options_.names()[0];
    const auto body = json::serialize(json::object { { "draining", draining } });
    const auto reply
            = client_.call({ "POST", fmt::format("/v1/{}/{}/drain", what, id), body, Resend::Yes });
    return printReply(reply, fmt::format("{} {}\n", id, draining ? "is draining" : "takes work"));
}

auto Session::listMembers() -> ExitCode
{
    auto reply = get("/v1/status");
    const auto members = arrayOf(parseObject(reply.body), "members");
    if (reply.isOk())
        reply.body = json::serialize(members);
    return printReply(reply, renderTable(memberColumns, members));
}

auto Session::postMember(const json::object &body) -> ExitCode
{
    const auto reply = client_.call({ "POST", "/v1/members", json::serialize(body), Resend::No });
    return reply.isOk() ? ExitCode::Ok : reportFailedReply(reply);
}

auto Session::addMember(const std::string &node) -> ExitCode
{
    for (const auto *option : { "domain", "address", "incarnation" }) {
        if (!options_.isSet(option))
            return options_.reportUsageError(fmt::format("--{} is missing", option));
    }
    const auto address = parseAddress(options_.text("address"));
    if (!address.ok())
        return reportBadSettings(address.status());
    const auto incarnation = options_.number("incarnation");
    if (!incarnation.ok())
        return reportBadSettings(incarnation.status());
    progress("adding " + node + " as a learner");
    return postMember({ { "action", "add" },
                        { "node", node },
                        { "domain", options_.text("domain") },
                        { "address", address->text() },
                        { "incarnation", *incarnation } });
}

auto Session::changeMember(const char *action, const std::string &node) -> ExitCode
{
    progress(fmt::format("{} {}", action, node));
    return postMember({ { "action", action }, { "node", node } });
}

template<typename Condition>
auto Session::waitFor(const std::string &what, Condition condition) -> ExitCode
{
    auto wait = defaultWait;
    if (options_.isSet("wait")) {
        const auto given = options_.duration("wait");
        if (!given.ok())
            return reportBadSettings(given.status());
        wait = *given;
    }
    progress("waiting until " + what);
    const auto end = clock_.now() + wait;
    auto lastDetail = std::string {};
    while (true) {
        const auto reply = get("/v1/status");
        // A call may fail during an election; keep polling until the time-out.
        const auto status = parseObject(reply.body);
        auto detail = std::string {};
        if (reply.isOk() && condition(status, detail))
            return ExitCode::Ok;
        if (reply.outcome == Outcome::Answered && !reply.isOk())
            return reportFailedReply(reply);
        if (clock_.now() >= end) {
            std::cerr << "figrackctl: gave up waiting until " << what
                      << "; run the same command again to go on\n";
            return ExitCode::Unknown;
        }
        if (detail != lastDetail && !detail.empty())
            progress("  " + detail);
        lastDetail = detail;
        std::this_thread::sleep_for(pollDelay);
    }
}

// Removes the membership entry of a lost disk whose replacement uses the same node name. A node
// can be listed only once, so the old entry must be removed before the new one is added. Between
// the two steps the group has one voter less.
auto Session::removeLostDisk(const std::string &node) -> ExitCode
{
    const auto status = get("/v1/status");
    if (!status.isOk())
        return reportFailedReply(status);
    const auto row = findRow(arrayOf(parseObject(status.body), "members"), "node", node);
    if (row.empty() || textOf(row, "incarnation") == options_.text("incarnation"))
        return ExitCode::Ok;
    if (const auto code = changeMember("remove", node); code != ExitCode::Ok)
        return code;
    return waitFor(node + "'s lost disk is no member", [&](const json::object &now, std::string &) {
        return findRow(arrayOf(now, "members"), "node", node).empty()
                && !isTrue(now, "membership_changing");
    });
}

auto Session::waitUntilCaughtUp(const std::string &node) -> ExitCode
{
    return waitFor(node + " has caught up", [&](const json::object &status, std::string &detail) {
        const auto row = findRow(arrayOf(status, "members"), "node", node);
        detail = node + " is at index " + textOf(row, "match_index") + " of "
                + textOf(status, "commit_index");
        return isTrue(row, "voter") || isTrue(row, "caught_up");
    });
}

auto Session::waitUntilVoter(const std::string &node) -> ExitCode
{
    return waitFor(node + " is a voter", [&](const json::object &status, std::string &) {
        return isTrue(findRow(arrayOf(status, "members"), "node", node), "voter")
                && !isTrue(status, "membership_changing");
    });
}

auto Session::waitUntilRepaired() -> ExitCode
{
    return waitFor("the loss of any one more loses nothing",
                   [](const json::object &status, std::string &) {
                       return isTrue(status, "repair_complete")
                               && !isTrue(status, "membership_changing");
                   });
}

auto Session::replaceMember() -> ExitCode
{
    // Skips each step that the status shows as done, so that a second run continues the first.
    const auto &oldNode = options_.names()[0];
    const auto &newNode = options_.names()[1];
    auto code = oldNode == newNode ? removeLostDisk(newNode) : ExitCode::Ok;
    if (code != ExitCode::Ok)
        return code;
    const auto first = get("/v1/status");
    if (!first.isOk())
        return reportFailedReply(first);
    const auto members = arrayOf(parseObject(first.body), "members");
    const auto newNodeRow = findRow(members, "node", newNode);
    const auto oldNodeListed = oldNode != newNode && !findRow(members, "node", oldNode).empty();
    if (oldNode != newNode && newNodeRow.empty() && !oldNodeListed) {
        std::cerr << "figrackctl: " << oldNode << " is no member; `members list` names them\n";
        return ExitCode::Failed;
    }
    if (newNodeRow.empty())
        code = addMember(newNode);
    if (code == ExitCode::Ok)
        code = waitUntilCaughtUp(newNode);
    if (code == ExitCode::Ok && !isTrue(newNodeRow, "voter"))
        code = changeMember("promote", newNode);
    if (code == ExitCode::Ok)
        code = waitUntilVoter(newNode);
    if (code == ExitCode::Ok && oldNodeListed)
        code = changeMember("remove", oldNode);
    if (code == ExitCode::Ok)
        code = waitUntilRepaired();
    if (code == ExitCode::Ok)
        std::cout << oldNode << " is replaced by " << newNode << '\n';
    return code;
}

auto Session::transfer() -> ExitCode
{
    const auto reply = client_.call({ "POST", "/v1/transfer", "{}", Resend::No });
    return printReply(reply, "leadership is being handed over\n");
}

auto Session::report() -> ExitCode
{
    const auto window = options_.isSet("window") ? options_.text("window") : "1h";
    auto format = options_.isSet("format") ? options_.text("format") : "table";
    if (options_.flag("json"))
        format = "json";
    if (format != "table" && format != "json" && format != "html")
        return options_.reportUsageError("--format is table, json or html");
    if (window != "5m" && window != "1h" && window != "6h" && window != "3d")
        return options_.reportUsageError("--window is 5m, 1h, 6h or 3d");
    const auto reply = get(fmt::format("/v1/report?window={}&format={}", window, format));
    if (!reply.isOk())
        return reportFailedReply(reply);
    if (!options_.isSet("out")) {
        std::cout << reply.body;
        return ExitCode::Ok;
    }
    auto file = std::ofstream { options_.text("out"), std::ios::binary };
    file << reply.body;
    file.close();
    if (!file)
        return reportBadSettings(
                makeError(ErrorKind::BadSettings, "--out " + options_.text("out")));
    progress("wrote " + options_.text("out"));
    return ExitCode::Ok;
}

} // namespace

auto runCtl(const std::vector<std::string> &arguments, const Clock &clock) -> int
{
    const auto options = CtlOptions { arguments };
    if (const auto code = options.failure())
        return static_cast<int>(*code);
    auto clientOptions = options.clientOptions();
    if (!clientOptions.ok())
        return static_cast<int>(reportBadSettings(clientOptions.status()));
    return static_cast<int>(Session { options, *std::move(clientOptions), clock }.run());
}

} // namespace figrack::cmd
