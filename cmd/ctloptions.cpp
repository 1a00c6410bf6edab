// TCLAP does not support subcommands. All options of all commands are therefore declared
// on one TCLAP command line, the command's words and operands are parsed as unlabelled
// arguments, and the table commandRows states which options each command takes.

#include "cmd/ctloptions.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>

#include <fmt/format.h>

#include "core/error.h"
#include "core/secretfile.h"

namespace figrack::cmd {
namespace {

constexpr auto changeOptions = std::string_view { " change-id author expected " };

constexpr auto commandRows = std::array {
    CommandRow { "status", "", " local ", "leader, members, routers, endpoints and replicas" },
    CommandRow { "config show", "", "", "the configuration in force" },
    CommandRow { "classes list", "", "", "the request classes and their targets" },
    CommandRow { "classes put", "ID", " start finish share default ",
                 "create a class, or change the given fields of one" },
    CommandRow { "classes delete", "ID", "", "delete a class" },
    CommandRow { "models list", "", "", "the models and adapters" },
    CommandRow { "models put", "ID", " model-version base weight-mb kv-mb slots ",
                 "create a model, or change the given fields of one" },
    CommandRow { "models delete", "ID", "", "delete a model" },
    CommandRow { "services list", "", "", "the plain services" },
    CommandRow { "services put", "ID", " repeatable call-timeout ",
                 "create a service, or change the given fields of one" },
    CommandRow { "services delete", "ID", "", "delete a service" },
    CommandRow { "drain endpoint", "ID", " undo ",
                 "send no new requests to an endpoint; --undo ends it" },
    CommandRow { "drain router", "ID", " undo ",
                 "remove a router from the address list; --undo ends it" },
    CommandRow { "members list", "", "", "the members that replicate the control state" },
    CommandRow { "members add", "NODE", " domain address incarnation ", "add a learner" },
    CommandRow { "members promote", "NODE", "", "make a caught-up learner a voter" },
    CommandRow { "members remove", "NODE", "", "remove a member" },
    CommandRow {
            "members replace", "OLD NEW", " domain address incarnation wait ",
            "add NEW, wait until it has caught up, promote it, remove OLD, wait until repaired" },
    CommandRow { "transfer", "", "", "transfer leadership to another control" },
    CommandRow { "report", "", " window format out ", "the report on error-budget burn" },
};

/// Options that every command takes, each between two spaces.
constexpr auto commonOptions
        = std::string_view { " control config token-file timeout json help version " };

struct OptionRow
{
    std::string_view name;
    std::string_view value; ///< Empty for a switch.
    std::string_view help;
};

constexpr auto optionRows = std::array {
    OptionRow { "config", "FILE", "settings file; section [ctl]: control, token_file, timeout" },
    OptionRow { "token-file", "FILE", "file whose first line is the token" },
    OptionRow { "timeout", "DURATION", "time limit of one call including retries; default 30s" },
    OptionRow { "json", "", "print the control's JSON" },
    OptionRow { "local", "", "ask the first control reached instead of the leader" },
    OptionRow { "change-id", "ID",
                "id of the change; generated and printed if not given; resend with the same id" },
    OptionRow { "author", "NAME", "author of the change; default $USER" },
    OptionRow { "expected", "REVISION",
                "revision that the change is based on; default the current one" },
    OptionRow { "start", "DURATION", "target from request to first token" },
    OptionRow { "finish", "DURATION", "target from request to last token" },
    OptionRow { "share", "PERCENT", "share of requests that must meet both targets" },
    OptionRow { "default", "true|false", "whether requests without a class belong to this one" },
    OptionRow { "model-version", "VERSION", "version of the weights" },
    OptionRow { "base", "MODEL", "the base model of an adapter" },
    OptionRow { "weight-mb", "MIB", "accelerator memory of the weights" },
    OptionRow { "kv-mb", "MIB", "accelerator memory set aside for KV cache" },
    OptionRow { "slots", "COUNT", "streams that a replica runs concurrently" },
    OptionRow { "repeatable", "true|false", "whether calls may run more than once" },
    OptionRow { "call-timeout", "DURATION", "time limit of a call to the service" },
    OptionRow { "undo", "", "end the drain" },
    OptionRow { "domain", "DOMAIN", "failure domain of the member" },
    OptionRow { "address", "IP:PORT", "peer address of the member" },
    OptionRow { "incarnation", "N",
                "incarnation of the member's disk, as `status --local` at that member prints it" },
    OptionRow { "wait", "DURATION", "time limit of each step of a replacement; default 10m" },
    OptionRow { "window", "5m|1h|6h|3d", "window of the report; default 1h" },
    OptionRow { "format", "table|json|html", "format of the report; default table" },
    OptionRow { "out", "FILE", "write the report to a file" },
};

constexpr auto exitCodes = std::string_view {
    "\nExit codes:\n"
    "   0  done\n"
    "   1  refused, or the change lost against another; nothing was changed\n"
    "   2  wrong command line or settings; nothing was sent\n"
    "   3  no control could be reached, or the outcome is unknown: resend with the same "
    "--change-id\n"
};

auto has(std::string_view options, std::string_view name) -> bool
{
    return options.find(fmt::format(" {} ", name)) != std::string_view::npos;
}

auto takes(const CommandRow &row, std::string_view option) -> bool
{
    const auto changes = row.words.ends_with(" put") || row.words.ends_with(" delete");
    return has(commonOptions, option) || has(row.options, option)
            || (changes && has(changeOptions, option));
}

auto wordCount(std::string_view text) -> std::size_t
{
    return text.empty() ? 0
                        : static_cast<std::size_t>(std::count(text.begin(), text.end(), ' ')) + 1;
}

auto helpText() -> std::string
{
    auto text = std::string { "\nCommands:\n" };
    for (const auto &row : commandRows) {
        text += fmt::format("   {} {}\n        {}", row.words, row.names, row.help);
        auto separator = std::string_view { "; options:" };
        for (const auto &option : optionRows) {
            if (!has(commonOptions, option.name) && takes(row, option.name)) {
                text += fmt::format("{} --{}", separator, option.name);
                separator = "";
            }
        }
        text += '\n';
    }
    return text + std::string { exitCodes };
}

auto environment(const char *name) -> std::string
{
    const auto *value = std::getenv(name);
    return value == nullptr ? std::string {} : std::string { value };
}

auto parseControls(std::string_view text, std::vector<Address> &controls) -> absl::Status
{
    while (!text.empty()) {
        const auto end = std::min(text.find_first_of(", "), text.size());
        if (end > 0) {
            auto address = parseAddress(text.substr(0, end));
            if (!address.ok())
                return address.status();
            controls.push_back(*std::move(address));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return absl::OkStatus();
}

} // namespace

auto ctlRules() -> std::vector<SettingRule>
{
    return {
        textRule("ctl.control", "operator addresses of the controls, as ip:port, ip:port", ""),
        textRule("ctl.token_file", "file whose first line is the token", ""),
        textRule("ctl.timeout", "time limit of one call including retries", ""),
    };
}

CtlOptions::CtlOptions(const std::vector<std::string> &arguments)
    : line_("figrackctl",
            "Looks at figrack and changes it: classes, targets, models, services, "
            "drains, members and the report.",
            helpText())
{
    for (const auto &row : optionRows) {
        const auto name = std::string { row.name };
        const auto help = std::string { row.help };
        if (row.value.empty())
            switches_.push_back(std::make_unique<TCLAP::SwitchArg>("", name, help, line_.tclap()));
        else
            values_.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
                    "", name, help, false, "", std::string { row.value }, line_.tclap()));
    }
    controls_ = std::make_unique<TCLAP::MultiArg<std::string>>(
            "", "control",
            "operator address of a control; may be repeated; default $FIGRACK_CONTROL", false,
            "IP:PORT", line_.tclap());
    auto words = TCLAP::UnlabeledMultiArg<std::string> { "command", "what to do; see below", false,
                                                         "COMMAND", line_.tclap() };
    failure_ = line_.parse(arguments);
    if (!failure_)
        failure_ = findCommand(words.getValue());
    if (!failure_)
        failure_ = rejectUnsupportedOptions();
}

auto CtlOptions::findCommand(const std::vector<std::string> &words) -> std::optional<ExitCode>
{
    for (const auto &row : commandRows) {
        const auto count = wordCount(row.words);
        auto start = std::string {};
        for (auto i = std::size_t { 0 }; i < std::min(count, words.size()); ++i)
            start += (i == 0 ? "" : " ") + words[i];
        if (start != row.words)
            continue;
        names_.assign(words.begin() + static_cast<std::ptrdiff_t>(count), words.end());
        if (names_.size() != wordCount(row.names))
            return reportUsageError(fmt::format("usage: {} {}", row.words, row.names));
        row_ = &row;
        return std::nullopt;
    }
    return reportUsageError(words.empty() ? "a command is missing"
                                          : "unknown command: " + words[0]);
}

auto CtlOptions::rejectUnsupportedOptions() const -> std::optional<ExitCode>
{
    for (const auto &option : optionRows) {
        if (isSet(option.name) && !takes(*row_, option.name))
            return reportUsageError(fmt::format("{} takes no --{}", row_->words, option.name));
    }
    return std::nullopt;
}

auto CtlOptions::isSet(std::string_view option) const -> bool
{
    const auto named = [option](const auto &arg) { return arg->getName() == option; };
    const auto value = std::find_if(values_.begin(), values_.end(), named);
    if (value != values_.end())
        return (*value)->isSet();
    const auto flag = std::find_if(switches_.begin(), switches_.end(), named);
    return flag != switches_.end() && (*flag)->isSet();
}

auto CtlOptions::text(std::string_view option) const -> std::string
{
    for (const auto &value : values_) {
        if (value->getName() == option)
            return value->getValue();
    }
    return {};
}

auto CtlOptions::flag(std::string_view option) const -> bool
{
    return isSet(option);
}

auto CtlOptions::number(std::string_view option) const -> absl::StatusOr<std::uint64_t>
{
    const auto value = text(option);
    auto number = std::uint64_t { 0 };
    const auto *end = value.data() + value.size();
    const auto [rest, error] = std::from_chars(value.data(), end, number);
    if (error == std::errc {} && rest == end && !value.empty())
        return number;
    return makeError(ErrorKind::BadSettings,
                     fmt::format("--{} {} wanted=\"a whole number\"", option, value));
}

auto CtlOptions::duration(std::string_view option) const -> absl::StatusOr<Duration>
{
    auto duration = parseDuration(text(option));
    if (duration.ok())
        return duration;
    return makeError(
            ErrorKind::BadSettings,
            fmt::format("--{} {}", option, std::string_view { errorArgument(duration.status()) }));
}

auto CtlOptions::settingFromFile(std::string_view key) const -> absl::StatusOr<std::string>
{
    if (!isSet("config"))
        return std::string {};
    const auto settings = Settings::read(text("config"), ctlRules());
    if (!settings.ok())
        return settings.status();
    return settings->text(key);
}

auto CtlOptions::readControls(ControlClientOptions &options) const -> absl::Status
{
    auto texts = controls_->getValue();
    if (texts.empty())
        texts.push_back(environment("FIGRACK_CONTROL"));
    if (texts[0].empty()) {
        auto text = settingFromFile("ctl.control");
        if (!text.ok())
            return text.status();
        texts = { *std::move(text) };
    }
    for (const auto &text : texts) {
        if (auto status = parseControls(text, options.controls); !status.ok())
            return status;
    }
    if (options.controls.empty())
        return makeError(ErrorKind::BadSettings,
                         "no control is named: give --control, $FIGRACK_CONTROL or --config");
    return absl::OkStatus();
}

auto CtlOptions::readToken(ControlClientOptions &options) const -> absl::Status
{
    auto path = isSet("token-file") ? text("token-file") : environment("FIGRACK_TOKEN_FILE");
    if (path.empty()) {
        auto text = settingFromFile("ctl.token_file");
        if (!text.ok())
            return text.status();
        path = *std::move(text);
    }
    if (path.empty())
        return makeError(ErrorKind::BadSettings,
                         "no token: give --token-file, $FIGRACK_TOKEN_FILE or --config");
    auto file = SecretFile::open(path, checkToken);
    if (!file.ok())
        return file.status();
    options.token = (*file)->secrets().front();
    return absl::OkStatus();
}

auto CtlOptions::clientOptions() const -> absl::StatusOr<ControlClientOptions>
{
    auto options = ControlClientOptions {};
    auto status = readControls(options);
    if (status.ok())
        status = readToken(options);
    if (!status.ok())
        return status;
    const auto timeoutText = isSet("timeout") ? absl::StatusOr<std::string> { text("timeout") }
                                              : settingFromFile("ctl.timeout");
    if (!timeoutText.ok())
        return timeoutText.status();
    if (timeoutText->empty())
        return options;
    const auto timeout = parseDuration(*timeoutText);
    if (!timeout.ok())
        return timeout.status();
    // A try gets at most a third of the timeout, so that each of three controls can be tried.
    options.timeout = *timeout;
    options.tryTimeout = std::min(options.tryTimeout, *timeout / 3);
    return options;
}

} // namespace figrack::cmd
