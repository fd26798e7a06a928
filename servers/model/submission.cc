#include "servers/model/submission.h"

#include <array>
#include <utility>

namespace boragecroft {
namespace {

template <class Enum>
struct Named {
  Enum value;
  std::string_view name;
};

constexpr std::array kTaskStates = {
    Named<TaskState>{TaskState::kQueued, "queued"},
    Named<TaskState>{TaskState::kStarted, "started"},
    Named<TaskState>{TaskState::kDone, "done"},
    Named<TaskState>{TaskState::kFailed, "failed"},
    Named<TaskState>{TaskState::kNotRun, "not_run"},
    Named<TaskState>{TaskState::kMayHaveRun, "may_have_run"},
};

constexpr std::array kJobStates = {
    Named<JobState>{JobState::kActive, "active"},
    Named<JobState>{JobState::kDone, "done"},
    Named<JobState>{JobState::kFailed, "failed"},
    Named<JobState>{JobState::kRefused, "refused"},
};

constexpr std::array kRefusals = {
    Named<Refusal>{Refusal::kInvalid, "invalid"},
    Named<Refusal>{Refusal::kUnknownPartner, "unknown_partner"},
    Named<Refusal>{Refusal::kWrongPartner, "wrong_partner"},
    Named<Refusal>{Refusal::kIdExpired, "id_expired"},
    Named<Refusal>{Refusal::kIdNotMinted, "id_not_minted"},
    Named<Refusal>{Refusal::kCanNeverRun, "can_never_run"},
    Named<Refusal>{Refusal::kDeadline, "deadline"},
    Named<Refusal>{Refusal::kQueueFull, "queue_full"},
    Named<Refusal>{Refusal::kQuota, "quota"},
    Named<Refusal>{Refusal::kDraining, "draining"},
    Named<Refusal>{Refusal::kOverloaded, "overloaded"},
    Named<Refusal>{Refusal::kNotReady, "not_ready"},
    Named<Refusal>{Refusal::kIdReused, "id_reused"},
};

template <class Enum, size_t kSize>
auto NameOf(const std::array<Named<Enum>, kSize>& table, Enum value)
    -> std::string_view {
  for (const auto& it : table) {
    if (it.value == value) {
      return it.name;
    }
  }
  return "unknown";
}

template <class Enum, size_t kSize>
auto ValueOf(const std::array<Named<Enum>, kSize>& table, std::string_view name)
    -> std::optional<Enum> {
  for (const auto& it : table) {
    if (it.name == name) {
      return it.value;
    }
  }
  return std::nullopt;
}

}  // namespace

auto ToString(TaskState state) -> std::string_view {
  return NameOf(kTaskStates, state);
}

auto ParseTaskState(std::string_view text) -> std::optional<TaskState> {
  return ValueOf(kTaskStates, text);
}

auto IsFinal(TaskState state) -> bool {
  return state != TaskState::kQueued && state != TaskState::kStarted;
}

auto ToString(JobState state) -> std::string_view {
  return NameOf(kJobStates, state);
}

auto ParseJobState(std::string_view text) -> std::optional<JobState> {
  return ValueOf(kJobStates, text);
}

auto ToString(Refusal refusal) -> std::string_view {
  return NameOf(kRefusals, refusal);
}

auto ParseRefusal(std::string_view text) -> std::optional<Refusal> {
  return ValueOf(kRefusals, text);
}

}  // namespace boragecroft
