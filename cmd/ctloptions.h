// The parsed and validated command line of figrackctl.
//
//   auto options = CtlOptions { arguments };
//   if (auto code = options.failure()) return *code;
//   options.command()        // "classes put"
//   options.names()          // { "urgent" }
//
// The addresses of the controls and the path of the token file are taken from the
// options, else from the environment ($FIGRACK_CONTROL, $FIGRACK_TOKEN_FILE), else
// from the settings file that --config names.

#ifndef FIGRACK_CMD_CTLOPTIONS_H
#define FIGRACK_CMD_CTLOPTIONS_H

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "cmd/commandline.h"
#include "cmd/ctlclient.h"

namespace figrack::cmd {

/// Returns the rules of figrackctl's settings file.
auto ctlRules() -> std::vector<SettingRule>;

/// One command of figrackctl. The help text and the validation are derived from it.
struct CommandRow
{
    std::string_view words;   ///< The words of the command, for example "classes put".
    std::string_view names;   ///< Placeholders of its operands: "ID", "OLD NEW" or empty.
    std::string_view options; ///< Names of the options that it takes, each between two spaces.
    std::string_view help;
};

class CtlOptions
{
public:
    explicit CtlOptions(const std::vector<std::string> &arguments);

    /// @return the code with which the program must exit now, or nothing if it is to continue
    auto failure() const -> std::optional<ExitCode> { return failure_; }
    /// @return the words of the command, for example "classes put"
    auto command() const -> std::string { return std::string { row_->words }; }
    /// @return the operands of the command, as many as it takes
    auto names() const -> const std::vector<std::string> & { return names_; }

    auto isSet(std::string_view option) const -> bool;
    /// @return the option's value, or an empty string if it is not set
    auto text(std::string_view option) const -> std::string;
    /// @return whether a switch is set
    auto flag(std::string_view option) const -> bool;
    /// @return the option's value as an unsigned integer, or BadSettings with the option's name
    auto number(std::string_view option) const -> absl::StatusOr<std::uint64_t>;
    /// @return the option's value as a duration, or BadSettings with the option's name
    auto duration(std::string_view option) const -> absl::StatusOr<Duration>;

    /// @return addresses, token and timeout for the client, or the error that prevents it:
    ///     BadSettings, or that of reading the settings or the token file
    auto clientOptions() const -> absl::StatusOr<ControlClientOptions>;
    /// Writes an error about the command line to standard error.
    /// @return ExitCode::Usage
    auto reportUsageError(const std::string &what) const -> ExitCode
    {
        return line_.reportUsageError(what);
    }

private:
    auto findCommand(const std::vector<std::string> &words) -> std::optional<ExitCode>;
    auto rejectUnsupportedOptions() const -> std::optional<ExitCode>;
    auto readControls(ControlClientOptions &options) const -> absl::Status;
    auto readToken(ControlClientOptions &options) const -> absl::Status;
    auto settingFromFile(std::string_view key) const -> absl::StatusOr<std::string>;

    CommandLine line_;
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> values_;
    std::vector<std::unique_ptr<TCLAP::SwitchArg>> switches_;
    std::unique_ptr<TCLAP::MultiArg<std::string>> controls_;
    const CommandRow *row_ = nullptr;
    std::vector<std::string> names_;
    std::optional<ExitCode> failure_;
};

} // namespace figrack::cmd

#endif // FIGRACK_CMD_CTLOPTIONS_H
