// Demonstrates the product on a simulation of the users' platform: jobs of the
// sizes that both deployments use are submitted through three instances, one of
// which is restarted gracefully meanwhile. Then the answers are compared with
// the account of what the workers ran.
#include <signal.h>

#include <atomic>
#include <iostream>
#include <thread>

#include "tests/lab/platform_fleet.h"

namespace boragecroft::lab {
namespace {

constexpr int kJobsPerCaller = 40;

struct JobShape {
  const char* name;
  int tasks;
};

// The kinds of job of both deployments, with their number of tasks.
constexpr JobShape kShapes[] = {{"reminder / damage note", 8},
                                {"demand / fault summary", 4},
                                {"confirmation / certificate", 2}};

struct Answers {
  std::atomic<int> done{0};
  std::atomic<int> tasks_done{0};
  std::atomic<int> refused{0};
  std::atomic<int> unsettled{0};
};

auto RunCaller(PlatformFleet& fleet, size_t number, Answers& answers) -> void {
  // The second instance is stopped during the run, so its caller uses the
  // third.
  for (auto i = 0; i < kJobsPerCaller; ++i) {
    const auto& shape = kShapes[static_cast<size_t>(i) % 3];
    const auto via = number == 1 ? 2 : number;
    const auto name = ((number + 1) << 32U) + static_cast<uint64_t>(i);
    const auto reply = fleet.Submit(fleet.Instances()[via], name, shape.tasks);
    if (reply.status == 200 && reply.Text("state") == "completed") {
      ++answers.done;
      answers.tasks_done += shape.tasks;
    } else if (reply.status == 503) {
      ++answers.refused;
    } else {
      ++answers.unsettled;
    }
  }
}

auto RunDemonstration() -> int {
  std::cout << "starting the simulated platform and three entry instances\n";
  PlatformFleet fleet({"bilbao", "santander", "oviedo"}, 1, 6);
  if (!fleet.AwaitService()) {
    std::cout << "the instances did not start to serve jobs in time\n";
    return 1;
  }
  const auto before =
      fleet.FetchRunStatistics().at("tasks_done").to_number<int64_t>();
  Answers answers;
  std::vector<std::thread> callers;
  for (size_t n = 0; n < 3; ++n) {
    callers.emplace_back([&, n] { RunCaller(fleet, n, answers); });
  }
  auto& stopped = fleet.Instances()[1];
  std::cout << "stopping " << stopped.name << " gracefully\n";
  stopped.process->Signal(SIGTERM);
  const auto clean = stopped.process->Wait(seconds(10)) == 0;
  fleet.Start(stopped);
  for (auto& it : callers) {
    it.join();
  }
  const auto account = fleet.FetchRunStatistics();
  const auto ran = account.at("tasks_done").to_number<int64_t>() - before;
  const auto twice = account.at("twice").as_array().size();
  const auto over = account.at("over_room").to_number<int64_t>();
  // An unsettled job may have run in part, which its answer reports, so the
  // workers may then have run more tasks than the answers of done jobs count.
  const auto agree = clean && twice == 0 && over == 0 &&
                     ran >= answers.tasks_done && answers.done > 0 &&
                     (answers.unsettled > 0 || ran == answers.tasks_done);
  std::cout << "tasks done: answers " << answers.tasks_done << ", workers "
            << ran << "; jobs done=" << answers.done
            << " refused=" << answers.refused
            << " unsettled=" << answers.unsettled << " twice=" << twice
            << " over_room=" << over
            << (agree ? ": they agree\n" : ": THEY DISAGREE\n");
  return agree ? 0 : 1;
}

}  // namespace
}  // namespace boragecroft::lab

auto main() -> int {
  return boragecroft::lab::RunDemonstration();
}
