#include "tests/servers/dispatcher/account_checks.h"

#include <boost/json/serialize.hpp>

#include "servers/dispatcher/operator_flow.h"
#include "tests/servers/dispatcher/promise_checks.h"

namespace boragecroft {
namespace {

// Totals that the scenario implies, to compare with the account.
struct Expected {
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  uint64_t tasks_done = 0;       // of jobs that were reported as done
  uint64_t recorded_starts = 0;  // tasks that started, of jobs with a record
};

auto EndedAs(const std::vector<ReportedOutcome>& reported_outcomes,
             JobState state) -> bool {
  return !reported_outcomes.empty() && reported_outcomes.back().state == state;
}

// Returns the number of tasks that started; a repeatable task counts once.
auto CountStarted(const VirtualFleet& fleet, const std::vector<JobId>& jobs)
    -> uint64_t {
  const std::set<JobId> wanted(jobs.begin(), jobs.end());
  std::set<TaskId> started;
  for (const auto& endpoint : fleet.endpoints) {
    for (const auto& it : endpoint.second.starts) {
      if (wanted.contains(it.first.job)) {
        started.insert(it.first);
      }
    }
  }
  return started.size();
}

auto ComputeExpected(const VirtualFleet& fleet) -> Expected {
  Expected expected;
  for (const auto& [subject, submitted] : CollectSubmitted(fleet)) {
    const auto found = fleet.reported_outcomes.find(subject);
    if (found == fleet.reported_outcomes.end()) {
      continue;
    }
    const auto done = EndedAs(found->second, JobState::kDone);
    expected.done += done ? 1 : 0;
    expected.failed += EndedAs(found->second, JobState::kFailed) ? 1 : 0;
    expected.refused += EndedAs(found->second, JobState::kRefused) ? 1 : 0;
    expected.tasks_done += done ? submitted.submission->payloads.size() : 0;
  }
  expected.recorded_starts = CountStarted(fleet, RecordedJobs(fleet));
  return expected;
}

auto Number(const json::object& row, const char* name) -> uint64_t {
  return row.at(name).to_number<uint64_t>();
}

// Reports whether a row of the account agrees with the expected totals. A job
// without any record is in no account, so the account may show fewer failures
// and refusals than callers received. Every job that is done has a record.
auto AgreesWith(const json::object& row, const Expected& expected) -> bool {
  const auto done = Number(row, "done");
  const auto failed = Number(row, "failed");
  const auto refused = Number(row, "refused");
  const auto tasks_done = Number(row, "tasks_done");
  const auto may_have_started = tasks_done + Number(row, "tasks_failed") +
                                Number(row, "tasks_may_have_run");
  return Number(row, "submissions") == done + failed + refused &&
         Number(row, "undecided") == 0 && done == expected.done &&
         failed <= expected.failed && refused <= expected.refused &&
         tasks_done >= expected.tasks_done &&
         expected.recorded_starts <= may_have_started;
}

auto Describe(const Expected& expected) -> std::string {
  return "done " + std::to_string(expected.done) + ", failed " +
         std::to_string(expected.failed) + ", refused " +
         std::to_string(expected.refused) + ", tasks done " +
         std::to_string(expected.tasks_done) + ", starts " +
         std::to_string(expected.recorded_starts);
}

}  // namespace

auto CheckAccount(VirtualFleet& fleet, size_t node) -> void {
  const auto number = fleet.next_number++;
  const ShowAccount show{.to = fleet.now.wall + std::chrono::hours(24)};
  Deliver(fleet, node, {}, [number, show](EventContext& context) {
    OnOperatorRequest(context, {.number = number, .call = show});
  });
  Elapse(fleet, seconds(5));
  const auto expected = ComputeExpected(fleet);
  const auto reply = fleet.operator_replies.find(number);
  if (reply == fleet.operator_replies.end() || reply->second.status != 200) {
    fleet.violations.emplace_back("no reply to the request for the account");
    return;
  }
  const auto& rows = reply->second.body.at("rows").as_array();
  if (rows.empty() ? expected.done > 0
                   : !AgreesWith(rows.front().as_object(), expected)) {
    fleet.violations.push_back("the account does not agree with " +
                               Describe(expected) + ": " +
                               json::serialize(reply->second.body));
  }
}

}  // namespace boragecroft
