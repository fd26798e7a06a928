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

// Returns the exit code for an instance's reply.
auto ExitCodeOf(const OperatorReply& reply) -> ExitCode;
// Returns the exit code for a call without an answer. `changes` is true when
// the call requested a change.
auto ExitCodeOf(const OperatorCallError& error, bool changes) -> ExitCode;
// Returns the code of an error reply, such as "version_conflict", or an empty
// text when it has none.
auto ErrorCodeOf(const OperatorReply& reply) -> std::string;

}  // namespace boragecroft

#endif  // MAIN_CTL_EXIT_CODE_H_
