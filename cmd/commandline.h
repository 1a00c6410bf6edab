// TCLAP, so set up that all programs treat --help, --version and errors alike.
//
//   auto line = CommandLine { "figrack-router", "Takes callers' requests." };
//   auto config = TCLAP::ValueArg<std::string> { "", "config", ..., line.tclap() };
//   if (auto code = line.parse(arguments)) return *code;
//
// Guarantees: --help and --version write to standard output and give Ok; a wrong
// command line writes one line with the remedy to standard error and gives Usage.

#ifndef FIGRACK_CMD_COMMANDLINE_H
#define FIGRACK_CMD_COMMANDLINE_H

#include <optional>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "cmd/exitcode.h"

namespace figrack::cmd {

/// The arguments of main(), the program's name first.
auto argumentsOf(int argc, char **argv) -> std::vector<std::string>;

class CommandLine
{
public:
    /// @param program the name printed in messages
    /// @param purpose one or more sentences for --help
    /// @param afterHelp text that --help prints last, as a table of exit codes
    CommandLine(std::string program, const std::string &purpose, std::string afterHelp = {});
    /// For the constructors of arguments.
    auto tclap() -> TCLAP::CmdLine & { return line_; }
    /// @return the code to end with at once, or nothing when the program shall go on
    auto parse(std::vector<std::string> arguments) -> std::optional<ExitCode>;
    /// Writes a complaint about the command line. @return Usage
    auto complain(const std::string &what) const -> ExitCode;

private:
    /// TCLAP's own output but for the version line and the text after the help.
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
