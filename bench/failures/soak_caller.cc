#include "bench/failures/soak_caller.h"

#include <array>
#include <boost/json/array.hpp>
#include <thread>

#include "core/base/random.h"

namespace boragecroft::bench {
namespace {

constexpr milliseconds kAnswerTimeout{1500};
constexpr milliseconds kRequestInterval{10};
constexpr uint64_t kRecentJobs = 40;
constexpr uint64_t kMaxIdsPerFetch = 4;

// An unused id and the instance that minted it.
struct MintedId {
  std::string id;
  Address minter;
};

struct SoakCaller {
  const std::vector<Address>& servers;
  Random random;
  std::vector<MintedId> unused_ids;
  std::vector<TrackedJob> jobs;
};

auto DrawServer(SoakCaller& caller) -> const Address& {
  return caller.servers[DrawBelow(caller.random, caller.servers.size())];
}

auto DrawJob(SoakCaller& caller, std::string id) -> lab::JobSpec {
  constexpr std::array<const char*, 4> kClasses = {"confirmations", "reminders",
                                                   "demands", "bulk"};
  lab::JobSpec job;
  job.id = std::move(id);
  job.urgency_class = kClasses[DrawBelow(caller.random, kClasses.size())];
  const auto large = DrawBelow(caller.random, 40) == 0;
  job.tasks = 1 + static_cast<int>(DrawBelow(caller.random, large ? 600 : 12));
  job.run_ms =
      10 + static_cast<int>(DrawBelow(caller.random, large ? 20 : 150));
  job.deadline = seconds(15);
  return job;
}

// Fetches one to kMaxIdsPerFetch ids. Only one is used immediately, so that an
// unused id sometimes outlives the instance that minted it.
auto FetchIds(SoakCaller& caller) -> void {
  const auto& server = DrawServer(caller);
  const auto count = 1 + DrawBelow(caller.random, kMaxIdsPerFetch);
  const auto reply = lab::Post(server, "/v1/ids",
                               {{"schema_version", 2},
                                {"partner", lab::JobSpec().partner},
                                {"count", count}},
                               kAnswerTimeout);
  if (reply.status != 200) {
    return;
  }
  for (const auto& it : reply.body.at("ids").as_array()) {
    caller.unused_ids.push_back(
        MintedId{.id = std::string(it.as_string()), .minter = server});
  }
}

auto MakeSubmissionBody(const lab::JobSpec& job) -> boost::json::object {
  auto body = lab::ToBody(job);
  auto& tasks = body["tasks"].as_array();
  for (size_t i = 0; i < tasks.size(); ++i) {
    tasks[i].as_object()["bytes"] = ResultBytes(job, i);
  }
  return body;
}

auto SubmitTo(const Address& server, TrackedJob& tracked) -> void {
  tracked.submitted = true;
  const auto sent = BootClock::now();
  RecordAnswer(tracked,
               lab::Post(server, "/v1/jobs?wait_ms=200",
                         MakeSubmissionBody(tracked.job), kAnswerTimeout),
               sent);
}

auto SubmitNew(SoakCaller& caller) -> void {
  if (caller.unused_ids.empty()) {
    FetchIds(caller);
  }
  if (caller.unused_ids.empty()) {
    return;
  }
  const auto minted = std::move(caller.unused_ids.back());
  caller.unused_ids.pop_back();
  auto& tracked = caller.jobs.emplace_back();
  tracked.job = DrawJob(caller, minted.id);
  SubmitTo(
      DrawBelow(caller.random, 3) == 0 ? DrawServer(caller) : minted.minter,
      tracked);
}

// Returns one of the latest kRecentJobs jobs in four of five cases, else any
// job.
auto PickJob(SoakCaller& caller) -> TrackedJob& {
  const auto n = caller.jobs.size();
  const auto recent = DrawBelow(caller.random, 5) != 0;
  const auto back =
      DrawBelow(caller.random, recent ? std::min<uint64_t>(n, kRecentJobs) : n);
  return caller.jobs[n - 1 - back];
}

auto RepeatRequest(SoakCaller& caller) -> void {
  auto& tracked = PickJob(caller);
  const auto& server = DrawServer(caller);
  const auto kind = DrawBelow(caller.random, 10);
  if (kind < 5) {
    SubmitTo(server, tracked);
    return;
  }
  const auto query = "?partner=" + tracked.job.partner;
  const auto path = "/v1/jobs/" + tracked.job.id;
  const auto sent = BootClock::now();
  const auto reply =
      kind < 9 ? lab::Get(server, path + query + "&wait_ms=100", kAnswerTimeout)
               : lab::Send(server, "POST", path + "/cancel" + query, "",
                           kAnswerTimeout);
  RecordAnswer(tracked, reply, sent);
}

}  // namespace

auto RunSoakCaller(const std::vector<Address>& servers,
                   uint64_t seed,
                   const std::atomic<bool>& stopping)
    -> std::vector<TrackedJob> {
  SoakCaller caller{
      .servers = servers, .random = Random(seed), .unused_ids = {}, .jobs = {}};
  while (!stopping) {
    if (caller.jobs.empty() || DrawBelow(caller.random, 2) == 0) {
      SubmitNew(caller);
    } else {
      RepeatRequest(caller);
    }
    std::this_thread::sleep_for(kRequestInterval);
  }
  return std::move(caller.jobs);
}

auto SettleJobs(const std::vector<Address>& servers,
                std::vector<TrackedJob>& jobs,
                milliseconds timeout) -> void {
  const auto end = BootClock::now() + timeout;
  ForEachJob(jobs, [&](TrackedJob& tracked) {
    for (size_t i = 0; !tracked.durable && BootClock::now() < end; ++i) {
      SubmitTo(servers[i % servers.size()], tracked);
      std::this_thread::sleep_for(kRequestInterval);
    }
  });
}

}  // namespace boragecroft::bench
