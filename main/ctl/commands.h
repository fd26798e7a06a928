// Runs the commands of boragecroftctl.
#ifndef MAIN_CTL_COMMANDS_H_
#define MAIN_CTL_COMMANDS_H_

#include <ostream>

#include "main/ctl/command_line.h"
#include "main/ctl/exit_code.h"

namespace boragecroft {

// Results go to `out`, errors to `err`.
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

// Prints what an error reply says.
auto PrintRefusal(const OperatorReply& reply, std::ostream& err) -> void;

}  // namespace detail

}  // namespace boragecroft

#endif  // MAIN_CTL_COMMANDS_H_
