// Parses the command line of boragecroftctl.
#ifndef MAIN_CTL_COMMAND_LINE_H_
#define MAIN_CTL_COMMAND_LINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"
#include "core/base/result.h"

namespace boragecroft {

enum class Command : uint8_t {
  kCheck,
  kDiff,
  kApply,
  kShow,
  kJobsList,
  kJobsShow,
  kJobsCancel,
  kAccount,
  kDump,
  kInstances,
  kDrain,
  kSettings,
};

enum class OutputFormat : uint8_t { kTable, kJson };

struct CommandLine {
  Command command = Command::kShow;
  std::string operand;  // file name or job id, when the command takes one
  std::vector<Address> instances;
  OutputFormat output = OutputFormat::kTable;
  milliseconds timeout{5000};
  std::optional<int64_t> expected_version;
  std::string operation_id;  // of an earlier apply; empty: a new id is drawn
  int schema_version = 2;
  std::string partner;  // empty: all partners
  std::string state;    // of jobs; empty: all states
  std::optional<int64_t> limit;
  std::optional<int64_t> from_ms;  // milliseconds since the epoch
  std::optional<int64_t> to_ms;
};

// The output of a program run that ends without a command: the help text or a
// usage error.
struct CommandLineExit {
  bool is_error = false;
  std::string text;
};

// Parses the arguments, the first of which is the program's name.
auto ParseCommandLine(std::vector<std::string> args)
    -> Result<CommandLine, CommandLineExit>;

// Returns the help text with all commands, options and exit codes.
auto HelpText() -> std::string;

}  // namespace boragecroft

#endif  // MAIN_CTL_COMMAND_LINE_H_
