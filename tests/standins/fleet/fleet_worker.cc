#include "tests/standins/fleet/fleet_worker.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "core/json/text.h"
#include "tests/standins/common/json_reply.h"

namespace boragecroft::standins {
namespace {

// The longest lease that workers grant, which is also the time that a stop may
// take.
constexpr int64_t kMaxLeaseMs = 1000;

auto ClockOf(const FleetWorker& worker) -> int64_t {
  return std::chrono::duration_cast<milliseconds>(BootClock::now() -
                                                  worker.clock_origin)
      .count();
}

auto Answer(const FleetWorker& worker, int status, json::object body = {})
    -> HttpResponse {
  body["clock_ms"] = ClockOf(worker);
  return JsonReply(status, body);
}

auto Refusal(const FleetWorker& worker, std::string_view reason)
    -> HttpResponse {
  return Answer(worker, 409, {{"reason", reason}});
}

auto RunReportResponse(const FleetWorker& worker) -> HttpResponse {
  json::array running;
  for (const auto& it : worker.runs) {
    running.push_back(json::array{it.task, it.attempt, "", 0});
  }
  return Answer(worker, 200,
                {{"born", worker.started_at},
                 {"running", std::move(running)},
                 {"finished", worker.finished}});
}

auto AnswerRenewal(FleetWorker& worker) -> void {
  if (worker.pending_renewal) {
    const auto pending_renewal =
        std::exchange(worker.pending_renewal, std::nullopt);
    pending_renewal->respond(RunReportResponse(worker));
  }
}

auto EndRun(FleetWorker& worker,
            const std::string& task,
            std::string_view outcome) -> void {
  const auto it =
      std::find_if(worker.runs.begin(), worker.runs.end(),
                   [&](const FleetRun& run) { return run.task == task; });
  if (it == worker.runs.end()) {
    return;
  }
  const auto attempt = it->attempt;
  worker.runs.erase(it);
  --worker.statistics.running[task];
  worker.ended_attempts[task] = std::max(worker.ended_attempts[task], attempt);
  worker.statistics.done[task] += outcome == "done" ? 1 : 0;
  worker.statistics.expired += outcome == "lapsed" ? 1 : 0;
  worker.statistics.stopped += outcome == "stopped" ? 1 : 0;
  worker.finished.push_back(
      json::array{++worker.sequence, task, attempt, outcome, ""});
  AnswerRenewal(worker);
}

auto EndAll(FleetWorker& worker, std::string_view outcome) -> void {
  while (!worker.runs.empty()) {
    EndRun(worker, std::string(worker.runs.front().task), outcome);
  }
}

auto ExtendLease(FleetWorker& worker, int64_t lease_expires) -> void {
  const auto clock = ClockOf(worker);
  worker.lease_expires = std::max(worker.lease_expires,
                                  std::min(lease_expires, clock + kMaxLeaseMs));
  worker.lease_timer.expires_after(milliseconds(worker.lease_expires - clock));
  worker.lease_timer.async_wait([&worker](boost::system::error_code ec) {
    if (!ec) {
      EndAll(worker, "lapsed");
    }
  });
}

// Reports whether the order's fencing token is at least as high as all tokens
// before it, and records such a token.
auto PassesFence(FleetWorker& worker, const json::object& body) -> bool {
  const auto token = static_cast<uint64_t>(NumberOr(body, "fencing_token", 0));
  if (token < worker.token) {
    ++worker.statistics.fenced;
    return false;
  }
  worker.token = token;
  return true;
}

auto BeginRun(FleetWorker& worker, const std::string& task, uint64_t attempt)
    -> void {
  ++worker.statistics.starts;
  worker.statistics.zones[worker.zone].times.push_back(BootClock::now());
  if (++worker.statistics.running[task] > 1) {
    worker.statistics.overlapping_tasks.push_back(task);
  }
  if (worker.runs.size() >= worker.slots) {
    ++worker.statistics.over_capacity;
  }
  FleetRun run;
  run.task = task;
  run.attempt = attempt;
  run.timer = std::make_unique<boost::asio::steady_timer>(worker.context,
                                                          worker.run_time);
  run.timer->async_wait([&worker, task](boost::system::error_code ec) {
    if (!ec) {
      EndRun(worker, task, "done");
    }
  });
  worker.runs.push_back(std::move(run));
}

auto Start(FleetWorker& worker, const json::object& body) -> HttpResponse {
  const auto task = TextOr(body, "task", "");
  const auto attempt = static_cast<uint64_t>(NumberOr(body, "attempt", 0));
  const auto lease_expires = NumberOr(body, "expires_ms", 0);
  if (lease_expires <= ClockOf(worker)) {
    return Refusal(worker, "late");
  }
  const auto it =
      std::find_if(worker.runs.begin(), worker.runs.end(),
                   [&](const FleetRun& run) { return run.task == task; });
  ExtendLease(worker, lease_expires);
  if (it != worker.runs.end()) {
    return it->attempt == attempt ? Answer(worker, 200)
                                  : Refusal(worker, "old");
  }
  const auto ended = worker.ended_attempts.find(task);
  if (ended != worker.ended_attempts.end() && attempt <= ended->second) {
    return Refusal(worker, "old");
  }
  BeginRun(worker, task, attempt);
  return Answer(worker, 200);
}

auto Stop(FleetWorker& worker, const json::object& body) -> HttpResponse {
  const auto task = TextOr(body, "task", "");
  const auto attempt = static_cast<uint64_t>(NumberOr(body, "attempt", 0));
  auto& ended = worker.ended_attempts[task];
  ended = std::max(ended, attempt);
  EndRun(worker, task, "stopped");
  return Answer(worker, 200);
}

auto Renew(FleetWorker& worker, const json::object& body, HttpResponder respond)
    -> void {
  const auto acked = NumberOr(body, "ack_seq", 0);
  auto& finished = worker.finished;
  while (!finished.empty() &&
         finished.front().at(0).to_number<int64_t>() <= acked) {
    finished.erase(finished.begin());
  }
  const auto lease_expires = NumberOr(body, "expires_ms", 0);
  if (lease_expires > ClockOf(worker)) {
    ExtendLease(worker, lease_expires);
  }
  const milliseconds wait(NumberOr(body, "wait_ms", 0));
  if (!worker.finished.empty() || wait == milliseconds{0}) {
    respond(RunReportResponse(worker));
    return;
  }
  AnswerRenewal(worker);
  worker.pending_renewal.emplace();
  worker.pending_renewal->respond = std::move(respond);
  worker.pending_renewal->timer =
      std::make_unique<boost::asio::steady_timer>(worker.context, wait);
  worker.pending_renewal->timer->async_wait(
      [&worker](boost::system::error_code ec) {
        if (!ec) {
          AnswerRenewal(worker);
        }
      });
}

auto Serve(FleetWorker& worker,
           const HttpRequest& request,
           HttpResponder respond) -> void {
  if (worker.mode == WorkerMode::kNoResponse) {
    worker.unanswered.push_back(std::move(respond));
    return;
  }
  if (FindHeader(request.headers, "Expect-Instance") != worker.id) {
    respond(JsonReply(421, json::object{}));
    return;
  }
  const auto body = JsonBody(request);
  if (!PassesFence(worker, body)) {
    respond(Refusal(worker, "fence"));
    return;
  }
  if (request.target == "/run-start") {
    respond(Start(worker, body));
  } else if (request.target == "/run-stop") {
    respond(Stop(worker, body));
  } else if (request.target == "/hold") {
    Renew(worker, body, std::move(respond));
  } else {
    respond(JsonReply(404, json::object{}));
  }
}

auto Listen(FleetWorker& worker, uint16_t port) -> std::unique_ptr<HttpServer> {
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&worker](const HttpRequest& request,
                                   HttpResponder respond) {
    Serve(worker, request, std::move(respond));
  };
  auto server = HttpServer::Listen(
      worker.context,
      HttpServerOptions{.listen = {.ip = "127.0.0.1", .port = port}},
      std::move(callbacks));
  if (server.has_error()) {
    throw std::runtime_error(server.error());
  }
  return std::move(server).value();
}

}  // namespace

auto ListenAsWorker(FleetWorker& worker) -> void {
  RestartWorker(worker);
}

auto RestartWorker(FleetWorker& worker) -> void {
  for (const auto& it : worker.runs) {
    --worker.statistics.running[it.task];
  }
  worker.runs.clear();
  worker.finished.clear();
  worker.ended_attempts.clear();
  worker.token = 0;
  worker.lease_expires = 0;
  worker.sequence = 0;
  worker.clock_origin = BootClock::now();
  worker.started_at = std::max(worker.started_at + 1,
                               ReadClocks().wall.time_since_epoch().count());
  const auto port = worker.server ? worker.server->Port() : uint16_t{0};
  worker.server.reset();
  worker.server = Listen(worker, port);
}

auto ReportOf(const FleetWorker& worker, bool draining) -> std::string {
  constexpr int64_t kCpuMillisPerSlot = 16'000;
  const json::object report{
      {"service", "letters"},
      {"addr", "127.0.0.1:" + std::to_string(worker.server->Port())},
      {"zone", worker.zone},
      {"version", "v1"},
      {"slots", worker.slots},
      {"state", draining ? "draining" : "ready"},
      {"born", worker.started_at},
      {"capacity", json::object{{"cpu", static_cast<int64_t>(worker.slots) *
                                            kCpuMillisPerSlot},
                                {"mem_mb", 65536},
                                {"gpu", 0}}},
      {"labels", json::array{"a", "r1"}},
      {"seq", 1}};
  return ToJsonText(report);
}

}  // namespace boragecroft::standins
