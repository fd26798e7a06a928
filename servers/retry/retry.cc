#include "servers/retry/retry.h"

#include <algorithm>
#include <numeric>

namespace boragecroft {

namespace {

constexpr uint32_t kCreditPerStart = 100;
// Limit of the credit that can accumulate while few retries are needed.
constexpr uint32_t kMaxCredit = 20 * kCreditPerStart;
constexpr uint32_t kMaxExtraStarts = 2;
// Limits for the attempts of one task that end without a start, by the first
// four values of AttemptEnd: busy, draining, cannot run, not sent.
constexpr std::array<uint32_t, 4> kMaxNotStarted = {32, 8, 3, 8};

// Number of first repetitions that go to another worker immediately.
constexpr uint32_t kAttemptsWithoutBackoff = 2;
constexpr auto kFirstBackoff = milliseconds(2);
constexpr auto kMaxBackoff = milliseconds(500);

auto Deny(StartDenial denial, microseconds wait = {}) -> StartPermit {
  return {.denial = denial, .charged = false, .wait = wait};
}

auto MayHaveStarted(const Attempts& attempts) -> bool {
  return attempts.done + attempts.failed + attempts.unknown > 0;
}

auto HasTooManyNotStarted(const Attempts& attempts) -> bool {
  for (size_t n = 0; n < kMaxNotStarted.size(); ++n) {
    if (attempts.not_started[n] >= kMaxNotStarted[n]) {
      return true;
    }
  }
  return false;
}

// Permits an extra start of a repeatable task if the budget has credit for it.
auto ChargeBudget(const RetryBudget& budget,
                  const BudgetKey& key,
                  const Attempts& attempts) -> StartPermit {
  if (attempts.extra_starts >= kMaxExtraStarts) {
    return Deny(StartDenial::kTooManyAttempts);
  }
  const auto it = budget.credit.find(key);
  if (it == budget.credit.end() || it->second < kCreditPerStart) {
    return Deny(StartDenial::kBudget);
  }
  return {.charged = true};
}

auto BackoffAfter(uint32_t not_started, Random& random) -> microseconds {
  if (not_started <= kAttemptsWithoutBackoff) {
    return microseconds(0);
  }
  auto wait = microseconds(kFirstBackoff);
  for (auto n = kAttemptsWithoutBackoff + 1;
       n < not_started && wait < kMaxBackoff; ++n) {
    wait *= 2;
  }
  wait = std::min<microseconds>(wait, kMaxBackoff);
  // The backoff is randomised over half of its length, so that instances do not
  // retry simultaneously.
  return wait / 2 + microseconds(DrawBelow(random, wait.count() / 2 + 1));
}

}  // namespace

auto IsKnownNotStarted(AttemptEnd end) -> bool {
  return end <= AttemptEnd::kNotSent;
}

auto MayStart(const RetryBudget& budget,
              const BudgetKey& key,
              const Attempts& attempts,
              Now now) -> StartPermit {
  if (attempts.done > 0) {
    return Deny(StartDenial::kAlreadyDone);
  }
  if (attempts.in_progress > 0) {
    return Deny(StartDenial::kInProgress);
  }
  if (MayHaveStarted(attempts) && !attempts.repeatable) {
    return Deny(StartDenial::kMayHaveStarted);
  }
  if (HasTooManyNotStarted(attempts)) {
    return Deny(StartDenial::kTooManyAttempts);
  }
  if (now.boot < attempts.not_before) {
    return Deny(StartDenial::kBackoff, attempts.not_before - now.boot);
  }
  if (MayHaveStarted(attempts)) {
    return ChargeBudget(budget, key, attempts);
  }
  return {};
}

auto MayHedge(const RetryBudget& budget,
              const BudgetKey& key,
              const Attempts& attempts,
              const RunTimeEstimate& estimate,
              microseconds running_for) -> StartPermit {
  if (attempts.done > 0) {
    return Deny(StartDenial::kAlreadyDone);
  }
  if (!attempts.repeatable) {
    return Deny(StartDenial::kMayHaveStarted);
  }
  if (attempts.in_progress != 1) {
    return Deny(StartDenial::kInProgress);
  }
  if (estimate.observations < kHedgeObservations ||
      running_for <= estimate.high) {
    return Deny(StartDenial::kNotDue);
  }
  if (HasTooManyNotStarted(attempts)) {
    return Deny(StartDenial::kTooManyAttempts);
  }
  return ChargeBudget(budget, key, attempts);
}

auto RecordStart(RetryBudget& budget,
                 const BudgetKey& key,
                 Attempts& attempts,
                 const StartPermit& permit) -> void {
  ++attempts.in_progress;
  auto& credit = budget.credit[key];
  if (permit.charged) {
    ++attempts.extra_starts;
    credit -= std::min(credit, kCreditPerStart);
  }
  if (!attempts.first_start_counted) {
    attempts.first_start_counted = true;
    credit = std::min(credit + budget.percent, kMaxCredit);
  }
}

auto RecordEnd(Attempts& attempts, AttemptEnd end, Now now, Random& random)
    -> void {
  --attempts.in_progress;
  switch (end) {
    case AttemptEnd::kDone:
      ++attempts.done;
      return;
    case AttemptEnd::kFailed:
      ++attempts.failed;
      return;
    case AttemptEnd::kUnknown:
      ++attempts.unknown;
      return;
    case AttemptEnd::kBusy:
    case AttemptEnd::kDraining:
    case AttemptEnd::kCannotRun:
    case AttemptEnd::kNotSent:
      break;
  }
  ++attempts.not_started.at(static_cast<size_t>(end));
  const auto total = std::accumulate(attempts.not_started.begin(),
                                     attempts.not_started.end(), 0U);
  attempts.not_before = now.boot + BackoffAfter(total, random);
}

auto SummarizeAttempts(const Attempts& attempts) -> TaskState {
  if (attempts.done > 0) {
    return TaskState::kDone;
  }
  if (attempts.in_progress > 0) {
    return TaskState::kStarted;
  }
  // An attempt without an answer may have been done, whatever the outcome of
  // the other attempts.
  if (attempts.unknown > 0) {
    return TaskState::kMayHaveRun;
  }
  return attempts.failed > 0 ? TaskState::kFailed : TaskState::kNotRun;
}

}  // namespace boragecroft
