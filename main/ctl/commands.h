// Runs the commands of boragecroftctl.
#ifndef MAIN_CTL_COMMANDS_H_
#define MAIN_CTL_COMMANDS_H_

#include <ostream>

#include "main/ctl/command_line.h"
#include "main/ctl/exit_code.h"

namespace boragecroft {

// Runs a command and returns the exit code of the program. Writes results to
// `out` and errors to `err`.
auto RunCommand(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> ExitCode;

namespace detail {

auto RunCheck(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> ExitCode;
auto RunDiff(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> ExitCode;
auto RunApply(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> ExitCode;
auto RunShow(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> ExitCode;

// Prints the status and the body of an error reply.
auto PrintRefusal(const OperatorReply& reply, std::ostream& err) -> void;

}  // namespace detail

}  // namespace boragecroft

#endif  // MAIN_CTL_COMMANDS_H_
