#include <boost/json/array.hpp>
#include <iostream>
#include <map>

#include "bench/failures/tracked_job.h"

namespace boragecroft::bench {
namespace {

using lab::JsonReply;

constexpr milliseconds kFinalTimeout{30000};
constexpr milliseconds kAccountTimeout{20000};
constexpr std::string_view kUnrecorded = "owner_lost_unrecorded";

// What the answers say altogether, to be held against the account.
struct AnswerTotals {
  int64_t done = 0;
  int64_t failed = 0;  // with a record
};

auto Report(const TrackedJob& tracked, const std::string& fault) -> void {
  std::cout << "  " << tracked.job.id << " (" << tracked.job.urgency_class
            << ", " << tracked.job.tasks << " tasks): " << fault << "\n";
}

auto AwaitSettled(const Address& server, const lab::JobSpec& job) -> JsonReply {
  JsonReply reply;
  lab::Eventually(kFinalTimeout, [&] {
    reply = lab::Fetch(server, job.id, job.partner, seconds(1));
    return IsSettled(reply);
  });
  return reply;
}

auto Describe(const JsonReply& reply) -> std::string {
  std::string text = reply.Text("state") + "/" + reply.Text("reason");
  for (const auto* it : {"done", "failed", "not_run", "may_have_run"}) {
    text += '/';
    text += std::to_string(lab::CountTasks(reply, it));
  }
  return text;
}

auto SameAnswer(const JsonReply& a, const JsonReply& b) -> bool {
  auto same = a.Text("state") == b.Text("state");
  for (const auto* it : {"done", "failed", "not_run", "may_have_run"}) {
    same = same && lab::CountTasks(a, it) == lab::CountTasks(b, it);
  }
  return same;
}

// The answer of all instances; empty when they don't agree or know none.
auto AskEveryone(lab::Cluster& cluster, TrackedJob& tracked)
    -> std::optional<JsonReply> {
  std::optional<JsonReply> first;
  for (const auto& it : cluster.Instances()) {
    const auto reply = AwaitSettled(it.callers, tracked.job);
    if (!IsSettled(reply)) {
      Report(tracked, "no final answer from " + it.name + ": " +
                          std::to_string(reply.status) + " " + Describe(reply));
      return std::nullopt;
    }
    Note(tracked, reply);
    if (first && !SameAnswer(*first, reply)) {
      Report(tracked, "answers differ: " + Describe(*first) + " and " +
                          Describe(reply) + " from " + it.name);
      return std::nullopt;
    }
    first = reply;
  }
  return first;
}

auto TaskName(const TrackedJob& tracked, size_t index) -> std::string {
  return tracked.job.id + "/" + std::to_string(index);
}

// Tasks that were called "not run" and yet started.
auto CountFalseNotRun(const TrackedJob& tracked,
                      const JsonReply& answer,
                      const lab::StartCounts& counts) -> int {
  auto n = tracked.false_refusals;
  if (n > 0) {
    Report(tracked, "refused as not run after it had been accepted");
  }
  for (const auto it : tracked.not_run) {
    if (counts.starts.contains(TaskName(tracked, it))) {
      Report(tracked,
             "task " + std::to_string(it) + " was called not run, and started");
      ++n;
    }
  }
  const auto refused = tracked.refused_for_good || tracked.unknown ||
                       answer.Text("state") == "refused";
  for (size_t i = 0; refused && i < static_cast<size_t>(tracked.job.tasks);
       ++i) {
    if (counts.starts.contains(TaskName(tracked, i))) {
      Report(tracked, "refused, and task " + std::to_string(i) + " started");
      ++n;
    }
  }
  return n;
}

// Tasks that were called done or failed and yet never started.
auto CountUnfounded(const TrackedJob& tracked,
                    const JsonReply& answer,
                    const lab::StartCounts& counts) -> int {
  auto n = 0;
  for (size_t i = 0; i < static_cast<size_t>(tracked.job.tasks); ++i) {
    const auto state = lab::TaskStateOf(answer, i);
    const auto ran =
        answer.Text("state") == "done" || state == "done" || state == "failed";
    if (ran && !counts.starts.contains(TaskName(tracked, i))) {
      Report(tracked, "task " + std::to_string(i) + " never started");
      ++n;
    }
  }
  return n;
}

auto Sum(const JsonReply& account, std::string_view column) -> int64_t {
  int64_t sum = 0;
  if (account.status != 200) {
    return -1;
  }
  for (const auto& it : account.body.at("rows").as_array()) {
    sum += it.at(column).to_number<int64_t>();
  }
  return sum;
}

// How far the account of each instance is from the answers.
auto CompareAccounts(lab::Cluster& cluster, const AnswerTotals& totals) -> int {
  auto wrong = 0;
  for (const auto& it : cluster.Instances()) {
    JsonReply account;
    const auto agrees = lab::Eventually(kAccountTimeout, [&] {
      account = lab::Get(it.operators, "/v1/account", seconds(10));
      return Sum(account, "done") == totals.done &&
             Sum(account, "failed") == totals.failed &&
             Sum(account, "undecided") == 0;
    });
    if (!agrees) {
      std::cout << "  account of " << it.name << ": done "
                << Sum(account, "done") << " failed " << Sum(account, "failed")
                << " undecided " << Sum(account, "undecided")
                << ", answers: done " << totals.done << " failed "
                << totals.failed << "\n";
      ++wrong;
    }
  }
  return wrong;
}

// Started tasks that belong to no job that was submitted.
auto CountStrangers(const std::vector<TrackedJob>& jobs,
                    const lab::StartCounts& counts) -> int {
  std::map<std::string, const TrackedJob*> by_id;
  for (const auto& it : jobs) {
    by_id[it.job.id] = &it;
  }
  auto n = 0;
  for (const auto& it : counts.starts) {
    if (!by_id.contains(it.first.substr(0, it.first.find('/')))) {
      std::cout << "  nobody submitted " << it.first << "\n";
      ++n;
    }
  }
  return n;
}

auto AddTo(AnswerTotals& totals, const JsonReply& answer) -> void {
  const auto state = answer.Text("state");
  totals.done += state == "done" ? 1 : 0;
  totals.failed +=
      state == "failed" && answer.Text("reason") != kUnrecorded ? 1 : 0;
}

}  // namespace

auto Reconcile(lab::Cluster& cluster, std::vector<TrackedJob>& jobs)
    -> Findings {
  Findings findings;
  AnswerTotals totals;
  std::vector<std::optional<JsonReply>> answers;
  answers.reserve(jobs.size());
  for (auto& it : jobs) {
    answers.push_back(AskEveryone(cluster, it));
  }
  const auto counts = cluster.CountStarts();
  for (size_t i = 0; i < jobs.size(); ++i) {
    const auto& it = jobs[i];
    findings.submissions += it.submitted ? 1 : 0;
    findings.partial += it.partial;
    if (it.contradictions > 0) {
      Report(it, "an answer contradicts an earlier recorded one");
    }
    findings.unaccounted += it.contradictions + (answers[i] ? 0 : 1);
    const auto answer = answers[i].value_or(JsonReply());
    findings.false_not_run += CountFalseNotRun(it, answer, counts);
    findings.unaccounted += CountUnfounded(it, answer, counts);
    AddTo(totals, answer);
  }
  findings.double_starts = counts.double_starts;
  findings.unaccounted += CountStrangers(jobs, counts);
  findings.unaccounted += CompareAccounts(cluster, totals);
  return findings;
}

}  // namespace boragecroft::bench
