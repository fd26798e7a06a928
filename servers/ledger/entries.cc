#include "servers/ledger/entries.h"

namespace boragecroft {

auto AppendRun(TaskRuns& runs, TaskState state, uint32_t count) -> void {
  if (count == 0) {
    return;
  }
  if (!runs.empty() && runs.back().state == state) {
    runs.back().count += count;
    return;
  }
  runs.push_back(TaskRun{.state = state, .count = count});
}

auto EncodeRuns(const std::vector<TaskState>& states) -> TaskRuns {
  TaskRuns runs;
  for (const auto it : states) {
    AppendRun(runs, it, 1);
  }
  return runs;
}

auto CountTasks(const TaskRuns& runs, TaskState state) -> uint64_t {
  uint64_t count = 0;
  for (const auto& it : runs) {
    count += it.state == state ? it.count : 0;
  }
  return count;
}

}  // namespace boragecroft
