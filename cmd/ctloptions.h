// The command line of figrackctl: what was asked for, checked.
//
//   auto options = CtlOptions { arguments };
//   if (auto code = options.failure()) return *code;
//   options.command()        // "classes put"
//   options.names()          // { "urgent" }
//
// Where the controls are and where the token is comes from the options, else from
// the environment, else from the settings file.

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

/// The rules of figrackctl's settings file.
auto ctlRules() -> std::vector<SettingRule>;

/// One command of figrackctl, for the help and for checking.
struct CommandRow
{
    std::string_view words;   ///< "classes put"
    std::string_view names;   ///< "ID", "OLD NEW" or empty.
    std::string_view options; ///< Names of the options that it takes, between blanks.
    std::string_view help;
};

class CtlOptions
{
public:
    explicit CtlOptions(const std::vector<std::string> &arguments);

    /// @return the code to end with, when the command line ends the program
    auto failure() const -> std::optional<ExitCode> { return failure_; }
    auto command() const -> std::string { return std::string { row_->words }; }
    auto names() const -> const std::vector<std::string> & { return names_; }

    auto isSet(std::string_view option) const -> bool;
    /// @return the option's text, or an empty one
    auto text(std::string_view option) const -> std::string;
    auto flag(std::string_view option) const -> bool;
    /// @return a whole number, or BadSettings naming the option
    auto number(std::string_view option) const -> absl::StatusOr<std::uint64_t>;
    auto duration(std::string_view option) const -> absl::StatusOr<Duration>;

    /// @return how to reach the controls, or BadSettings
    auto clientOptions() const -> absl::StatusOr<ControlClientOptions>;
    /// Reports a wrong use of the command. @return Usage
    auto complain(const std::string &what) const -> ExitCode { return line_.complain(what); }

private:
    auto findCommand(const std::vector<std::string> &words) -> std::optional<ExitCode>;
    auto rejectForeignOptions() const -> std::optional<ExitCode>;
    auto readControls(ControlClientOptions &options) const -> absl::Status;
    auto readToken(ControlClientOptions &options) const -> absl::Status;
    auto fromFile(std::string_view key) const -> absl::StatusOr<std::string>;

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
