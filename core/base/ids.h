// Identifiers of the incarnation of an instance, of the jobs whose ids that
// incarnation mints, and of their tasks.
#ifndef CORE_BASE_IDS_H_
#define CORE_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/clock.h"

namespace boragecroft {

// Identifier of one start of one daemon process. The value is drawn at random
// at the start and is never used again by any process.
struct Incarnation {
  uint64_t value = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const Incarnation&) const = default;
};

// Identifier of a job. Only the process with this incarnation starts the job's
// tasks, unless that process has closed its ledger and named a successor.
struct JobId {
  Incarnation incarnation;
  uint64_t sequence = 0;
  WallTime minted;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const JobId&) const = default;
};

// Identifier of a task: its job and its position in the submission.
struct TaskId {
  JobId job;
  uint32_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const TaskId&) const = default;
};

// Returns sixteen hexadecimal digits.
auto ToString(Incarnation incarnation) -> std::string;
auto ParseIncarnation(std::string_view text) -> std::optional<Incarnation>;

// Returns "<incarnation>-<minted, ms since the epoch, hex>-<sequence, hex>".
auto ToString(const JobId& id) -> std::string;
auto ParseJobId(std::string_view text) -> std::optional<JobId>;

// Returns "<job id>/<index>".
auto ToString(const TaskId& id) -> std::string;
auto ParseTaskId(std::string_view text) -> std::optional<TaskId>;

}  // namespace boragecroft

template <>
struct std::hash<boragecroft::Incarnation> {
  auto operator()(const boragecroft::Incarnation& it) const noexcept -> size_t {
    return std::hash<uint64_t>()(it.value);
  }
};

template <>
struct std::hash<boragecroft::JobId> {
  auto operator()(const boragecroft::JobId& it) const noexcept -> size_t {
    return std::hash<uint64_t>()(it.incarnation.value ^
                                 (it.sequence * 0x9E3779B97F4A7C15ULL));
  }
};

#endif  // CORE_BASE_IDS_H_
