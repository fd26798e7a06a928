// Demonstrates the product's own interface: three instances in three
// availability zones serve a letter run and a burst of small requests. One
// instance is restarted meanwhile. Then the account is compared with the starts
// that the endpoints counted.
#include <signal.h>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <mutex>
#include <thread>

#include "tests/lab/cluster.h"

namespace boragecroft::lab {
namespace {

namespace json = boost::json;

constexpr int kLetterRunTasks = 2000;
constexpr int kCallers = 6;
constexpr int kRequestsPerCaller = 50;
constexpr milliseconds kLongPoll{5000};
constexpr int kMaxPolls = 24;

struct Totals {
  std::mutex mutex;
  int submissions = 0;
  int done = 0;
  int failed = 0;
  int refused = 0;
  int tasks_done = 0;
};

auto MintId(const Address& server, const std::string& partner) -> std::string {
  const auto reply =
      Post(server, "/v1/ids",
           {{"schema_version", 2}, {"partner", partner}, {"count", 1}});
  return reply.status == 200
             ? std::string(reply.body.at("ids").at(0).as_string())
             : std::string();
}

auto MakeSubmission(const std::string& id,
                    const std::string& partner,
                    const std::string& urgency_class,
                    int tasks) -> json::object {
  json::array payloads;
  for (auto i = 0; i < tasks; ++i) {
    payloads.push_back({{"run_ms", 20 + i % 60}, {"letter", i}});
  }
  json::object body;
  body["schema_version"] = 2;
  body["id"] = id;
  body["partner"] = partner;
  body["service"] = "cartas";
  body["kind"] = urgency_class;
  body["class"] = urgency_class;
  body["deadline_ms"] = 60000;
  body["tasks"] = std::move(payloads);
  return body;
}

// Polls an instance until the job is final or kMaxPolls polls were made. Any
// instance answers about any job.
auto AwaitAnswer(const Address& server,
                 const std::string& id,
                 const std::string& partner) -> JsonReply {
  const auto target = "/v1/jobs/" + id + "?partner=" + partner +
                      "&wait_ms=" + std::to_string(kLongPoll.count());
  JsonReply reply;
  for (auto i = 0; i < kMaxPolls; ++i) {
    reply = Get(server, target, kLongPoll * 2);
    const auto state = reply.Text("state");
    if (state == "done" || state == "failed" || state == "refused") {
      return reply;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return reply;
}

auto RecordAnswer(Totals& totals, const JsonReply& reply, int tasks) -> void {
  const std::lock_guard lock(totals.mutex);
  ++totals.submissions;
  const auto state = reply.Text("state");
  totals.done += state == "done" ? 1 : 0;
  totals.failed += state == "failed" ? 1 : 0;
  totals.refused += state == "refused" ? 1 : 0;
  totals.tasks_done += state == "done" ? tasks : 0;
  if (state != "done") {
    std::cout << "  a submission ended as \"" << state << "\" "
              << reply.Text("reason") << "\n";
  }
}

auto RunCaller(Cluster& cluster, int number, Totals& totals) -> void {
  const auto& servers = cluster.Instances();
  for (auto i = 0; i < kRequestsPerCaller; ++i) {
    const auto& server = servers[(number + i) % 2 == 0 ? 0 : 2].callers;
    const auto id = MintId(server, "agents");
    auto reply = Post(server, "/v1/jobs?wait_ms=5000",
                      MakeSubmission(id, "agents", "confirmations", 1));
    if (reply.Text("state") == "active") {
      reply = AwaitAnswer(server, id, "agents");
    }
    RecordAnswer(totals, reply, 1);
  }
}

auto DescribeProgress(Cluster& cluster, const std::string& id) -> std::string {
  const auto reply = Get(cluster.Instances()[0].operators, "/v1/jobs/" + id);
  return std::to_string(reply.Number("done")) + " of " +
         std::to_string(reply.Number("tasks")) + " letters done";
}

auto PrintAccount(Cluster& cluster) -> bool {
  const auto reply =
      Get(cluster.Instances()[0].operators, "/v1/account", seconds(30));
  if (reply.status != 200) {
    return false;
  }
  std::cout << "account by partner:\n";
  for (const auto& it : reply.body.at("rows").as_array()) {
    std::cout << "  " << json::serialize(it) << "\n";
  }
  return true;
}

// Returns the sum of a column of the account over all partners.
auto AccountSum(Cluster& cluster, std::string_view column) -> int64_t {
  const auto reply =
      Get(cluster.Instances()[0].operators, "/v1/account", seconds(30));
  int64_t sum = 0;
  if (reply.status == 200) {
    for (const auto& it : reply.body.at("rows").as_array()) {
      sum += it.at(column).to_number<int64_t>();
    }
  }
  return sum;
}

auto RestartGracefully(Cluster& cluster, size_t index) -> void {
  auto& instance = cluster.Instances()[index];
  std::cout << "restarting " << instance.name << " gracefully\n";
  instance.process->Signal(SIGTERM);
  if (instance.process->Wait(seconds(30)) != 0) {
    std::cout << "  the instance did not stop cleanly within 30 s\n";
  }
  cluster.Restart(index);
}

auto RunWorkload(Cluster& cluster, Totals& totals) -> void {
  auto& instances = cluster.Instances();
  const auto id = MintId(instances[0].callers, "banco-cantabrico");
  const auto letters =
      MakeSubmission(id, "banco-cantabrico", "bulk", kLetterRunTasks);
  std::cout << "submitting a letter run of " << kLetterRunTasks << " tasks as "
            << id << "\n";
  Post(instances[0].callers, "/v1/jobs", letters);
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (auto i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] { RunCaller(cluster, i, totals); });
  }
  std::cout << "resubmitting the letter run through " << instances[2].name
            << "\n";
  const auto again = Post(instances[2].callers, "/v1/jobs", letters);
  std::cout << "  answer: " << again.status << " " << again.Text("state")
            << "; " << DescribeProgress(cluster, id) << "\n";
  RestartGracefully(cluster, 1);
  std::cout << "  " << DescribeProgress(cluster, id) << "\n";
  for (auto& it : callers) {
    it.join();
  }
  const auto answer = AwaitAnswer(instances[2].callers, id, "banco-cantabrico");
  RecordAnswer(totals, answer, kLetterRunTasks);
  const auto* results = answer.body.is_object()
                            ? answer.body.get_object().if_contains("results")
                            : nullptr;
  std::cout << "the letter run is " << answer.Text("state") << " with "
            << (results == nullptr ? 0 : results->as_array().size())
            << " results\n";
}

auto RunDemonstration() -> int {
  ClusterOptions options;
  options.extra_settings =
      "\"balancer_grace_ms\": 500, \"drain_timeout_ms\": 20000";
  std::cout
      << "starting the simulated platform, endpoints and three instances\n";
  Cluster cluster(options);
  Totals totals;
  RunWorkload(cluster, totals);
  // Records are written in batches, so the last ones take a moment to appear.
  std::this_thread::sleep_for(seconds(1));
  const auto printed = PrintAccount(cluster);
  const auto counts = cluster.CountStarts();
  const auto recorded_done = AccountSum(cluster, "tasks_done");
  const auto agree = printed && counts.double_starts == 0 &&
                     counts.total == totals.tasks_done &&
                     recorded_done == totals.tasks_done &&
                     totals.done == totals.submissions;
  std::cout << "tasks done: answers " << totals.tasks_done << ", records "
            << recorded_done << ", starts at endpoints " << counts.total
            << (agree ? ": they agree\n" : ": THEY DISAGREE\n");
  std::cout << "demo: submissions=" << totals.submissions
            << " done=" << totals.done << " failed=" << totals.failed
            << " refused=" << totals.refused << " starts=" << counts.total
            << " double_starts=" << counts.double_starts << std::endl;
  return agree ? 0 : 1;
}

}  // namespace
}  // namespace boragecroft::lab

auto main() -> int {
  return boragecroft::lab::RunDemonstration();
}
