// The cases of the second review that are scripts.
#include "review/lab-2/cases.h"

#include <signal.h>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace boragecroft::review {
namespace {

// Figures of the small deployment's pages.
constexpr milliseconds kRetransmit{1300};  // retransmit_ms
constexpr int64_t kCancelMs = 3000;        // cancel_ms
constexpr milliseconds kContact{3000};     // contact_ms
// Largest share of the orders that workers leave unanswered at a time.
constexpr double kMaxUnanswered = 0.055;

// Short jobs of other clients, one after the other, at all daemons in turn.
auto SubmitOthers(Fleet& fleet, uint64_t number, milliseconds interval)
    -> void {
  std::ostringstream id;
  id << "aaaa" << std::hex << std::setfill('0') << std::setw(12) << number;
  const Job job{.id = id.str(), .count = 4, .estimate_ms = 60, .work_ms = 60};
  Submit(fleet, *fleet.daemons[number % fleet.daemons.size()], job,
         [](int, const std::string&) {});
  After(fleet, interval, [&fleet, number, interval] {
    SubmitOthers(fleet, number + 1, interval);
  });
}

// Returns the share of the starts and stops, from the first unanswered one to
// the last, that got no answer.
auto UnansweredShare(Fleet& fleet, const std::vector<bool>& answered)
    -> double {
  const auto first = std::find(answered.begin(), answered.end(), false);
  const auto last = std::find(answered.rbegin(), answered.rend(), false).base();
  const auto orders = first < last ? last - first : 0;
  const auto unanswered = std::count(answered.begin(), answered.end(), false);
  Note(fleet, "starts and stops from the first unanswered to the last: " +
                  std::to_string(orders) +
                  ", of these unanswered: " + std::to_string(unanswered));
  return orders == 0
             ? 0
             : static_cast<double>(unanswered) / static_cast<double>(orders);
}

}  // namespace

// Two of these jobs fill the zone of their daemon, so that the others go to the
// zone of the frozen one. Those that get 504 are sent again.
auto SubmitDuringFreeze(Fleet& fleet, uint64_t round) -> void {
  for (uint64_t i = 0; i < 4; ++i) {
    std::ostringstream id;
    id << "cccc" << std::hex << std::setfill('0') << std::setw(12)
       << round * 4 + i;
    const Job job{
        .id = id.str(), .count = 2, .estimate_ms = 200, .work_ms = 600};
    After(fleet, milliseconds(20) * static_cast<int64_t>(i), [&fleet, job] {
      Submit(fleet, *fleet.daemons[1], job,
             [&fleet, job](int status, const std::string&) {
               if (status != 504) {
                 return;
               }
               After(fleet, kRetransmit, [&fleet, job] {
                 Submit(fleet, *fleet.daemons[2], job,
                        [](int, const std::string&) {});
               });
             });
    });
  }
}

auto RunEarlyFreezeCase(Fleet& fleet, bool trouble) -> bool {
  constexpr milliseconds kFrozen{3000};
  constexpr milliseconds kAfterStart{120};
  constexpr uint64_t kRounds = 5;
  if (!StartFleet(fleet, {{"bilbao", 1}, {"oviedo", 9}}, 2, 1500)) {
    return false;
  }
  auto& holder = *fleet.daemons[0];
  for (uint64_t round = 0; round < kRounds && fleet.broken.empty(); ++round) {
    RunFor(fleet, seconds(2));
    Note(fleet, "round " + std::to_string(round));
    if (trouble) {
      SignalDaemon(fleet, holder, SIGKILL);
      ReapDaemon(fleet, holder, seconds(1));
      RunFor(fleet, milliseconds(500));
      StartDaemon(fleet, holder);
      RunFor(fleet, kAfterStart);
      SignalDaemon(fleet, holder, SIGSTOP);
      After(fleet, kFrozen, [&] { SignalDaemon(fleet, holder, SIGCONT); });
    }
    SubmitDuringFreeze(fleet, round);
    RunFor(fleet, kFrozen + seconds(2));
  }
  return true;
}

auto RunCancelCase(Fleet& fleet, bool trouble) -> bool {
  if (!StartFleet(fleet, {{"bilbao", 2}, {"santander", 2}, {"oviedo", 2}}, 2,
                  8000)) {
    return false;
  }
  // The machines count as in touch after contact_ms without a start.
  RunFor(fleet, kContact);
  const Job job{.id = "5c0e7a21d94b36f8",
                .count = 24,
                .estimate_ms = 900,
                .work_ms = 900,
                .deadline_ms = 8000};
  auto answered = false;
  int64_t acknowledged = 0;
  fleet.on_start = [&](Worker&, const Run& run) {
    const auto now = MillisecondsNow(fleet);
    if (acknowledged > 0 && now > acknowledged + kCancelMs) {
      Break(fleet, "UNASKED",
            run.task + " starts " + std::to_string(now - acknowledged) +
                " ms after the cancelling was acknowledged");
    }
  };
  Submit(fleet, *fleet.daemons[0], job,
         [&](int, const std::string&) { answered = true; });
  if (trouble) {
    After(fleet, milliseconds(500), [&] {
      CancelJob(fleet, *fleet.daemons[0], job.id,
                [&](int status, const std::string&) {
                  acknowledged = status == 410 || status / 100 == 2
                                     ? MillisecondsNow(fleet)
                                     : 0;
                });
    });
  }
  const auto ended =
      RunUntil(fleet, milliseconds(12000), [&] { return answered; });
  return ended && (!trouble || acknowledged > 0);
}

struct DrainTrial {
  int sent = 0;
  int lost = 0;
  std::map<int, int> answers;
};

auto ClientLoop(Fleet& fleet,
                const std::shared_ptr<DrainTrial>& trial,
                size_t daemon,
                const std::shared_ptr<HttpConnection>& kept,
                uint64_t number) -> void {
  HttpRequest request;
  std::ostringstream id;
  id << "bb" << std::hex << std::setfill('0') << std::setw(2) << daemon
     << std::setw(12) << number;
  request.method = "POST";
  request.target = "/lohu930/" + id.str();
  request.headers.push_back({"Host", "nony24.example"});
  request.headers.push_back({"Content-Type", "application/json"});
  request.headers.push_back({"Deadline-Ms", "1500"});
  const auto work = number % 7 == 0 ? 900 : 60;
  request.body = "{\"spec\":\"work_ms=" + std::to_string(work) +
                 " cpu=14000\",\"best_effort\":true,\"steps\":[{\"count\":1,"
                 "\"cpu\":14000,\"mem_mb\":64,\"est_runtime_ms\":" +
                 std::to_string(work) + "}]}";
  auto connection = kept && kept->IsReusable()
                        ? kept
                        : std::make_shared<HttpConnection>(
                              fleet.io, fleet.daemons[daemon]->callers);
  const auto began = MillisecondsNow(fleet);
  ++trial->sent;
  connection->Send(
      std::move(request), milliseconds(300), milliseconds(4000),
      [&fleet, trial, daemon, connection, number, began,
       name = id.str()](const Result<HttpResponse, HttpError>& result) {
        const auto took = MillisecondsNow(fleet) - began;
        const auto status = result.has_value() ? result.value().status : 0;
        ++trial->answers[status];
        if (status == 0 && took > 5) {
          ++trial->lost;
          Note(fleet, "lost " + name + " after " + std::to_string(took) + " " +
                          result.error().reason);
        }
        const auto wait = status == 0 ? milliseconds(100) : milliseconds(7);
        After(fleet, wait, [&fleet, trial, daemon, connection, number] {
          ClientLoop(fleet, trial, daemon, connection, number + 1000);
        });
      });
}

auto RunDrainTrial(Fleet& fleet, bool trouble) -> bool {
  if (!StartFleet(fleet, {{"bilbao", 2}, {"santander", 2}, {"oviedo", 2}}, 8,
                  1500)) {
    return false;
  }
  auto trial = std::make_shared<DrainTrial>();
  for (size_t i = 0; i < 30; ++i) {
    ClientLoop(fleet, trial, i % fleet.daemons.size(), nullptr, i + 1);
  }
  RunFor(fleet, seconds(2));
  for (auto round = 0; trouble && round < 9; ++round) {
    auto& daemon = *fleet.daemons[static_cast<size_t>(round * 5) % 6];
    SignalDaemon(fleet, daemon, 15);
    ReapDaemon(fleet, daemon, seconds(7));
    RunFor(fleet, milliseconds(300));
    StartDaemon(fleet, daemon);
    RunFor(fleet, milliseconds(1300));
  }
  std::string text = "sent " + std::to_string(trial->sent) + " lost " +
                     std::to_string(trial->lost);
  for (const auto& [status, n] : trial->answers) {
    text += ", " + std::to_string(status) + ": " + std::to_string(n);
  }
  Note(fleet, text);
  return true;
}

auto RunResendTrial(Fleet& fleet, bool trouble) -> bool {
  if (!StartFleet(fleet, {{"bilbao", 2}}, 1, 1500)) {
    return false;
  }
  const Job job{
      .id = "5c0e7a21d94b36f8", .count = 2, .estimate_ms = 300, .work_ms = 300};
  auto connection =
      Submit(fleet, *fleet.daemons[0], job, [](int, const std::string&) {});
  RunFor(fleet, milliseconds(100));
  if (trouble) {
    connection->Close();
  }
  for (auto i = 0; i < 5; ++i) {
    RunFor(fleet, milliseconds(1300));
    auto done = false;
    Submit(fleet, *fleet.daemons[1], job,
           [&](int, const std::string&) { done = true; });
    RunUntil(fleet, milliseconds(3000), [&] { return done; });
  }
  return true;
}

auto RunOddEntryTrial(Fleet& fleet, bool trouble) -> bool {
  if (!StartFleet(fleet, {{"bilbao", 2}, {"santander", 2}, {"oviedo", 2}}, 4,
                  1500)) {
    return false;
  }
  SubmitOthers(fleet, 1, milliseconds(60));
  RunFor(fleet, milliseconds(2000));
  auto& w = *fleet.workers.at("i-bilbao-1");
  const auto before = w.orders;
  if (trouble) {
    const auto born = w.born;
    w.born = 9000000000000000000;
    Report(fleet, w);
    w.born = born;
  }
  RunFor(fleet, milliseconds(6000));
  for (auto& [id, it] : fleet.workers) {
    Note(fleet, id + " orders " + std::to_string(it->orders));
  }
  Note(fleet, "before " + std::to_string(before));
  return true;
}

auto RunLateStopsCase(Fleet& fleet, bool trouble) -> bool {
  constexpr milliseconds kLate{4000};
  if (!StartFleet(fleet, {{"bilbao", 2}, {"santander", 2}, {"oviedo", 2}}, 10,
                  1500)) {
    return false;
  }
  const Job job{.id = "5c0e7a21d94b36f8",
                .count = 1,
                .estimate_ms = 900,
                .work_ms = 3600,
                .deadline_ms = 1500};
  Worker* first = nullptr;  // the worker of the job's first run
  fleet.on_start = [&](Worker& worker, const Run& run) {
    if (first == nullptr && run.task.starts_with(job.id)) {
      first = &worker;
    }
  };
  std::vector<bool> answered;  // for each start and stop
  fleet.fate = [&](Worker& worker, const std::string& path,
                   const json::object& body) {
    const auto* task = body.if_contains("task");
    const auto of_job =
        task != nullptr && task->as_string().starts_with(job.id);
    const auto late =
        trouble && of_job && path == "/run-stop" && &worker == first;
    if (task != nullptr) {
      answered.push_back(!late);
    }
    return late ? Fate{.answer = false, .delay = kLate} : Fate{};
  };
  SubmitOthers(fleet, 1, milliseconds(40));
  RunFor(fleet, milliseconds(2000));
  auto finished = false;
  Submit(fleet, *fleet.daemons[0], job, [&](int status, const std::string&) {
    if (status != 504 || first == nullptr) {
      finished = true;
      return;
    }
    After(fleet, kRetransmit, [&] {
      auto& other = *fleet.daemons[first->zone == "oviedo" ? 0 : 4];
      Submit(fleet, other, job,
             [&](int, const std::string&) { finished = true; });
    });
  });
  const auto ended =
      RunUntil(fleet, milliseconds(10000), [&] { return finished; });
  return ended && first != nullptr &&
         UnansweredShare(fleet, answered) <= kMaxUnanswered;
}

}  // namespace boragecroft::review
