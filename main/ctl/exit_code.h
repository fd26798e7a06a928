// Exit codes of boragecroftctl.
#ifndef MAIN_CTL_EXIT_CODE_H_
#define MAIN_CTL_EXIT_CODE_H_

#include "main/ctl/operator_client.h"

namespace boragecroft {

enum class ExitCode : uint8_t {
  kOk = 0,
  kRefused = 1,      // invalid, refused, or not found
  kUsage = 2,        // the command line or a file name is wrong
  kUnreachable = 3,  // no instance answered; nothing changed
  kUndecided = 4,    // the change may have taken effect, or may yet
};

// What an instance's answer means for the exit code.
auto ExitCodeOf(const OperatorReply& reply) -> ExitCode;
// What a call without an answer means; `changes` tells that the call asked for
// a change.
auto ExitCodeOf(const OperatorCallError& error, bool changes) -> ExitCode;
// The code of an error reply, such as "version_conflict"; empty when it has
// none.
auto ErrorCodeOf(const OperatorReply& reply) -> std::string;

}  // namespace boragecroft

#endif  // MAIN_CTL_EXIT_CODE_H_
