// A child process of a test or an experiment. It is signalled and killed by its
// process id only, so that no other process is affected.
#ifndef TESTS_LAB_CHILD_PROCESS_H_
#define TESTS_LAB_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "core/base/clock.h"

namespace boragecroft::lab {

class ChildProcess {
 public:
  // Starts a program and redirects its output to `output_file`.
  ChildProcess(const std::vector<std::string>& command,
               std::string output_file);
  // Kills the process if it is still running.
  ~ChildProcess();
  ChildProcess(ChildProcess&&) noexcept;
  auto operator=(ChildProcess&&) noexcept -> ChildProcess&;
  ChildProcess(const ChildProcess&) = delete;
  auto operator=(const ChildProcess&) -> ChildProcess& = delete;

  auto Pid() const -> pid_t;
  auto Signal(int signal) const -> void;
  // Kills the process and waits for its end.
  auto Kill() -> void;
  // Waits for the end of the process and returns its exit code, -1 when a
  // signal ended it, or nothing when it is still running after `timeout`.
  auto Wait(milliseconds timeout) -> std::optional<int>;
  auto IsRunning() -> bool;
  // Returns the first line of output that contains `text`; empty when there is
  // none within `timeout`.
  auto WaitForLine(const std::string& text, milliseconds timeout) const
      -> std::string;

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
  std::string output_file_;
};

// Returns `command` so that it runs with a limit of open descriptors, as the
// same process. 0: the limit of this process.
auto WithDescriptorLimit(std::vector<std::string> command, int max_descriptors)
    -> std::vector<std::string>;

}  // namespace boragecroft::lab

#endif  // TESTS_LAB_CHILD_PROCESS_H_
