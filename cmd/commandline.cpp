// By default TCLAP catches its own exceptions and exits the process. With its exception
// handling off, --help and --version throw an ExitException after printing their text,
// and errors throw an ArgException; parse() maps both to an exit code.

#include "cmd/commandline.h"

#include <iostream>

#include "core/version.h"

namespace figrack::cmd {

auto argumentsOf(int argc, char **argv) -> std::vector<std::string>
{
    return { argv, argv + argc };
}

CommandLine::Output::Output(std::string program, std::string afterHelp)
    : program_(std::move(program))
    , afterHelp_(std::move(afterHelp))
{ }

auto CommandLine::Output::version(TCLAP::CmdLineInterface & /*line*/) -> void
{
    std::cout << program_ << ' ' << releaseVersion << '\n';
}

auto CommandLine::Output::usage(TCLAP::CmdLineInterface &line) -> void
{
    StdOutput::usage(line);
    std::cout << afterHelp_;
}

auto CommandLine::Output::failure(TCLAP::CmdLineInterface & /*line*/,
                                  TCLAP::ArgException & /*error*/) -> void
{
    // parse() reports the error.
}

CommandLine::CommandLine(std::string program, const std::string &purpose, std::string afterHelp)
    : program_(std::move(program))
    , output_(program_, std::move(afterHelp))
    , line_(purpose, ' ', std::string { releaseVersion })
{
    line_.setExceptionHandling(false);
    line_.setOutput(&output_);
}

auto CommandLine::parse(std::vector<std::string> arguments) -> std::optional<ExitCode>
{
    try {
        line_.parse(arguments);
    } catch (const TCLAP::ExitException &end) {
        return end.getExitStatus() == 0 ? ExitCode::Ok : ExitCode::Usage;
    } catch (const TCLAP::ArgException &error) {
        const auto about = error.argId() == " " ? "" : error.argId() + ": ";
        return reportUsageError(about + error.error());
    }
    return std::nullopt;
}

auto CommandLine::reportUsageError(const std::string &what) const -> ExitCode
{
    std::cerr << program_ << ": " << what << "; see " << program_ << " --help\n";
    return ExitCode::Usage;
}

} // namespace figrack::cmd
