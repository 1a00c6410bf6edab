// A wrapper around TCLAP that gives all programs the same handling of --help,
// --version and command-line errors.
//
//   auto line = CommandLine { "figrack-router", "Takes callers' requests." };
//   auto config = TCLAP::ValueArg<std::string> { "", "config", ..., line.tclap() };
//   if (auto code = line.parse(arguments)) return *code;
//
// Guarantees: for --help and --version, parse() writes to standard output and returns
// Ok. For an invalid command line it writes one line that names the error and refers
// to --help to standard error and returns Usage.

#ifndef FIGRACK_CMD_COMMANDLINE_H
#define FIGRACK_CMD_COMMANDLINE_H

#include <optional>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "cmd/exitcode.h"

namespace figrack::cmd {

/// Returns the arguments of main() as strings, the program's name first.
auto argumentsOf(int argc, char **argv) -> std::vector<std::string>;

class CommandLine
{
public:
    /// @param program the program's name as printed in messages
    /// @param purpose one or more sentences that --help prints as the description
    /// @param afterHelp text that --help prints last, for example a table of exit codes
    CommandLine(std::string program, const std::string &purpose, std::string afterHelp = {});
    /// Returns the TCLAP command line to pass to the constructors of TCLAP arguments.
    auto tclap() -> TCLAP::CmdLine & { return line_; }
    /// Parses the arguments, the program's name first.
    /// @return the code with which the program must exit now, or nothing if it is to continue
    auto parse(std::vector<std::string> arguments) -> std::optional<ExitCode>;
    /// Writes an error about the command line to standard error.
    /// @return ExitCode::Usage
    auto reportUsageError(const std::string &what) const -> ExitCode;

private:
    /// TCLAP's standard output, except that version() prints one line, usage() appends
    /// afterHelp and failure() prints nothing.
    class Output : public TCLAP::StdOutput
    {
    public:
        Output(std::string program, std::string afterHelp);
        auto version(TCLAP::CmdLineInterface &line) -> void override;
        auto usage(TCLAP::CmdLineInterface &line) -> void override;
        auto failure(TCLAP::CmdLineInterface &line, TCLAP::ArgException &error) -> void override;

    private:
        std::string program_;
        std::string afterHelp_;
    };

    std::string program_;
    Output output_;
    TCLAP::CmdLine line_;
};

} // namespace figrack::cmd

#endif // FIGRACK_CMD_COMMANDLINE_H
