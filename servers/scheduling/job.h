// Jobs as a group's scheduler sees them: what is offered, what came of it.
#ifndef SERVERS_SCHEDULING_JOB_H_
#define SERVERS_SCHEDULING_JOB_H_

#include <compare>
#include <cstdint>
#include <string>

#include "core/base/clock.h"

namespace boragecroft {

// The caller's name for a job.
struct JobName {
  uint64_t value = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14.
  auto operator<=>(const JobName&) const = default;
};

// One task of a job by its position.
struct TaskName {
  JobName job;
  uint32_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14.
  auto operator<=>(const TaskName&) const = default;
};

// Processor, memory and accelerators of a worker, or the part that a task asks
// for.
struct Resources {
  int64_t cpu_millis = 0;  // thousandths of a core
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  auto operator+=(const Resources& it) -> Resources&;
  auto operator-=(const Resources& it) -> Resources&;
  auto operator==(const Resources&) const -> bool = default;
};

// True when `needs` fits beside `used` within `capacity`.
auto Fits(const Resources& capacity,
          const Resources& used,
          const Resources& needs) -> bool;

// A job that an instance hands to the scheduler of a group of workers.
struct JobOffer {
  JobName name;
  std::string spec;  // passed to the workers as it is
  std::string kind;  // name of the route: run times are learned by it
  std::string service;
  uint32_t count = 0;           // tasks
  Resources needs;              // of each task
  milliseconds run_estimate{};  // declared for one task; rough
  milliseconds target{};        // constant part of the objective
  double slack_factor = 1;      // objective per run time
  uint32_t max_attempts = 1;
  milliseconds age{};        // since the caller's request arrived
  milliseconds remaining{};  // until the caller stops waiting
  uint32_t submission = 0;   // how often it was handed over before
  // True when an earlier hand-over may have started tasks that still run.
  bool may_run_elsewhere = false;
  // True: refused at once unless all its tasks can start now.
  bool immediate_only = false;
};

enum class JobOutcome : uint8_t {
  kDone = 0,
  kFailed = 1,   // a task failed as often as its route allows
  kRefused = 2,  // nothing ran, and nothing will
  kStopped = 3,  // tasks may have run; they are being stopped
};

struct JobResult {
  JobName name;
  JobOutcome outcome = JobOutcome::kRefused;
  milliseconds retry_after{};  // of a refusal: when room is expected
  uint32_t submission = 0;     // of the offer that it answers
};

// Who handed a job over: one connection of one instance. 0 is this instance.
using OriginId = uint64_t;

}  // namespace boragecroft

template <>
struct std::hash<boragecroft::JobName> {
  auto operator()(const boragecroft::JobName& it) const noexcept -> size_t {
    return std::hash<uint64_t>()(it.value);
  }
};

#endif  // SERVERS_SCHEDULING_JOB_H_
