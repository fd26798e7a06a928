// The cases of the second review that are scripts.
#include "review/lab-2/cases.h"

#include <iomanip>
#include <sstream>

namespace boragecroft::review {
namespace {

// Figures of the small deployment's pages.
constexpr milliseconds kRetransmit{1300};  // retransmit_ms
constexpr int64_t kCancelMs = 3000;        // cancel_ms
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

auto UnansweredShare(Fleet& fleet) -> double {
  uint64_t orders = 0;
  uint64_t unanswered = 0;
  for (const auto& [id, worker] : fleet.workers) {
    orders += worker->orders;
    unanswered += worker->orders_unanswered;
  }
  Note(fleet, "orders to workers: " + std::to_string(orders) +
                  ", of these unanswered: " + std::to_string(unanswered));
  return orders == 0
             ? 0
             : static_cast<double>(unanswered) / static_cast<double>(orders);
}

}  // namespace

auto RunCancelCase(Fleet& fleet, bool trouble) -> bool {
  if (!StartFleet(fleet, {"bilbao", "santander", "oviedo"}, 2, 2, 8000)) {
    return false;
  }
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
  return RunUntil(fleet, milliseconds(12000), [&] { return answered; });
}

auto RunLateStopsCase(Fleet& fleet, bool trouble) -> bool {
  constexpr milliseconds kLate{4000};
  if (!StartFleet(fleet, {"bilbao", "santander", "oviedo"}, 2, 6, 1500)) {
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
  if (trouble) {
    fleet.fate = [&](Worker& worker, const std::string& path,
                     const json::object& body) {
      const auto* task = body.if_contains("task");
      const auto of_job =
          task != nullptr && task->as_string().starts_with(job.id);
      return of_job && path == "/run-stop" && &worker == first
                 ? Fate{.answer = false, .delay = kLate}
                 : Fate{};
    };
  }
  SubmitOthers(fleet, 1, milliseconds(60));
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
  return ended && UnansweredShare(fleet) <= kMaxUnanswered;
}

}  // namespace boragecroft::review
