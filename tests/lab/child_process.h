// A process that a test or an experiment started, and only such a one: it is
// ended by its id.
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
  // Starts a program whose output goes to `output_file`.
  ChildProcess(const std::vector<std::string>& command,
               std::string output_file);
  // Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(ChildProcess&&) noexcept;
  auto operator=(ChildProcess&&) noexcept -> ChildProcess&;
  ChildProcess(const ChildProcess&) = delete;
  auto operator=(const ChildProcess&) -> ChildProcess& = delete;

  auto Pid() const -> pid_t;
  auto Signal(int signal) const -> void;
  // Kills the process and waits for its end.
  auto Kill() -> void;
  // The exit code once it has ended within `timeout`; -1 when a signal ended
  // it.
  auto Wait(milliseconds timeout) -> std::optional<int>;
  auto IsRunning() -> bool;
  // The first line of output that contains `text`; empty when none comes within
  // `timeout`.
  auto WaitForLine(const std::string& text, milliseconds timeout) const
      -> std::string;

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
  std::string output_file_;
};

}  // namespace boragecroft::lab

#endif  // TESTS_LAB_CHILD_PROCESS_H_
