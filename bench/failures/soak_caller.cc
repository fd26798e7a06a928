#include "bench/failures/soak_caller.h"

#include <array>
#include <thread>

#include "core/base/random.h"

namespace boragecroft::bench {
namespace {

constexpr milliseconds kAnswerTimeout{1500};
constexpr milliseconds kPause{10};
constexpr uint64_t kRecentJobs = 40;

struct SoakCaller {
  const std::vector<Address>& servers;
  Random random;
  std::vector<TrackedJob> jobs;
};

auto AnyServer(SoakCaller& caller) -> const Address& {
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

auto Mint(const Address& server) -> std::string {
  const auto reply = lab::Post(server, "/v1/ids",
                               {{"schema_version", 2},
                                {"partner", lab::JobSpec().partner},
                                {"count", 1}},
                               kAnswerTimeout);
  return reply.status == 200
             ? std::string(reply.body.at("ids").at(0).as_string())
             : std::string();
}

auto SubmitTo(const Address& server, TrackedJob& tracked) -> void {
  tracked.submitted = true;
  tracked.unknown = false;
  Note(tracked, lab::Post(server, "/v1/jobs?wait_ms=200",
                          lab::ToBody(tracked.job), kAnswerTimeout));
}

auto SubmitNew(SoakCaller& caller) -> void {
  const auto& minter = AnyServer(caller);
  auto id = Mint(minter);
  if (id.empty()) {
    return;
  }
  auto& tracked = caller.jobs.emplace_back();
  tracked.job = DrawJob(caller, std::move(id));
  SubmitTo(DrawBelow(caller.random, 3) == 0 ? AnyServer(caller) : minter,
           tracked);
}

// Asks again about a job of late, or now and then about any.
auto PickJob(SoakCaller& caller) -> TrackedJob& {
  const auto n = caller.jobs.size();
  const auto recent = DrawBelow(caller.random, 5) != 0;
  const auto back =
      DrawBelow(caller.random, recent ? std::min<uint64_t>(n, kRecentJobs) : n);
  return caller.jobs[n - 1 - back];
}

auto AskAgain(SoakCaller& caller) -> void {
  auto& tracked = PickJob(caller);
  const auto& server = AnyServer(caller);
  const auto kind = DrawBelow(caller.random, 10);
  if (kind < 5) {
    SubmitTo(server, tracked);
    return;
  }
  const auto query = "?partner=" + tracked.job.partner;
  const auto path = "/v1/jobs/" + tracked.job.id;
  Note(tracked, kind < 9 ? lab::Get(server, path + query + "&wait_ms=100",
                                    kAnswerTimeout)
                         : lab::Send(server, "POST", path + "/cancel" + query,
                                     "", kAnswerTimeout));
}

}  // namespace

auto RunSoakCaller(const std::vector<Address>& servers,
                   uint64_t seed,
                   const std::atomic<bool>& stopping)
    -> std::vector<TrackedJob> {
  SoakCaller caller{.servers = servers, .random = Random(seed), .jobs = {}};
  while (!stopping) {
    if (caller.jobs.empty() || DrawBelow(caller.random, 2) == 0) {
      SubmitNew(caller);
    } else {
      AskAgain(caller);
    }
    std::this_thread::sleep_for(kPause);
  }
  return std::move(caller.jobs);
}

}  // namespace boragecroft::bench
