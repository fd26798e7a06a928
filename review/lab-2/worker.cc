// A worker: runs tasks under leases, refuses orders with older fencing tokens,
// and reports itself to the store.
#include <algorithm>
#include <charconv>
#include <chrono>
#include <stdexcept>

#include "core/json/text.h"
#include "review/lab-2/fleet.h"
#include "tests/standins/common/json_reply.h"

namespace boragecroft::review {
namespace {

using standins::JsonBody;
using standins::JsonReply;
using standins::NumberOr;
using standins::TextOr;

constexpr int64_t kMaxLeaseMs = 1000;       // hold_max_ms
constexpr milliseconds kReportEvery{1500};  // heartbeat_ms
constexpr milliseconds kStopTime{20};       // stop_timeout_ms is 50

auto ClockOf(const Worker& worker) -> int64_t {
  return std::chrono::duration_cast<milliseconds>(BootClock::now() -
                                                  worker.clock_origin)
      .count();
}

auto Answer(const Worker& worker, int status, json::object body = {})
    -> HttpResponse {
  body["clock_ms"] = ClockOf(worker);
  body["born"] = worker.born;
  return JsonReply(status, body);
}

auto Refusal(const Worker& worker, std::string_view reason) -> HttpResponse {
  return Answer(worker, 409, {{"reason", reason}});
}

auto RunLists(const Worker& worker) -> HttpResponse {
  json::array running;
  for (const auto& it : worker.runs) {
    running.push_back(json::array{it->task, it->attempt, "", 0});
  }
  return Answer(
      worker, 200,
      {{"running", std::move(running)}, {"finished", worker.finished}});
}

// Answers the renewals that wait for an end.
auto AnswerHolds(Worker& worker) -> void {
  auto holds = std::move(worker.holds);
  worker.holds.clear();
  for (auto& it : holds) {
    it->timer->cancel();
    it->respond(RunLists(worker));
  }
}

auto EndRun(Fleet& fleet, Worker& worker, Run* run, const std::string& how)
    -> void {
  const auto it =
      std::find_if(worker.runs.begin(), worker.runs.end(),
                   [&](const auto& other) { return other.get() == run; });
  if (it == worker.runs.end()) {
    return;
  }
  const auto ended = std::move(*it);
  worker.runs.erase(it);
  ended->timer->cancel();
  auto& highest = worker.ended_attempts[ended->task];
  highest = std::max(highest, ended->attempt);
  worker.finished.push_back(
      json::array{++worker.sequence, ended->task, ended->attempt, how, ""});
  Note(fleet, worker.id + " end " + ended->task + " run " +
                  std::to_string(ended->attempt) + " " + how);
  if (fleet.on_end) {
    fleet.on_end(worker, *ended, how);
  }
  AnswerHolds(worker);
}

auto ArmRun(Fleet& fleet,
            Worker& worker,
            Run& run,
            milliseconds time,
            const std::string& how) -> void {
  run.timer->expires_after(time);
  run.timer->async_wait(
      [&fleet, &worker, raw = &run, how](boost::system::error_code ec) {
        if (!ec) {
          EndRun(fleet, worker, raw, how);
        }
      });
}

auto ExtendLease(Fleet& fleet, Worker& worker, int64_t until) -> void {
  const auto clock = ClockOf(worker);
  worker.lease_until =
      std::max(worker.lease_until, std::min(until, clock + kMaxLeaseMs));
  worker.lease_timer.expires_after(milliseconds(worker.lease_until - clock));
  worker.lease_timer.async_wait(
      [&fleet, &worker](boost::system::error_code ec) {
        while (!ec && !worker.runs.empty()) {
          EndRun(fleet, worker, worker.runs.front().get(), "lapsed");
        }
      });
}

// Reads "name=NUMBER" from a job's spec.
auto NumberIn(const std::string& spec, const std::string& name) -> int64_t {
  const auto at = spec.find(name + "=");
  int64_t n = 0;
  if (at != std::string::npos) {
    std::from_chars(spec.data() + at + name.size() + 1,
                    spec.data() + spec.size(), n);
  }
  return n;
}

auto Begin(Fleet& fleet,
           Worker& worker,
           const std::string& task,
           uint64_t attempt,
           const std::string& spec) -> void {
  auto run = std::make_unique<Run>();
  run->task = task;
  run->attempt = attempt;
  run->cpu = NumberIn(spec, "cpu");
  run->timer = std::make_unique<asio::steady_timer>(fleet.io);
  ArmRun(fleet, worker, *run, milliseconds(NumberIn(spec, "work_ms")), "done");
  const auto others = CountRuns(fleet, task);
  worker.runs.push_back(std::move(run));
  Note(fleet, worker.id + " begin " + task + " run " + std::to_string(attempt));
  if (others > 0) {
    Break(fleet, "TWICE",
          task + " begins on " + worker.id + " while it runs elsewhere");
  }
  int64_t used = 0;
  for (const auto& it : worker.runs) {
    used += it->cpu;
  }
  if (used > worker.capacity) {
    Break(fleet, "LIMIT", task + " brings " + worker.id + " over its capacity");
  }
  if (fleet.on_start) {
    fleet.on_start(worker, *worker.runs.back());
  }
}

auto Start(Fleet& fleet, Worker& worker, const json::object& body)
    -> HttpResponse {
  const auto task = TextOr(body, "task", "");
  const auto attempt = static_cast<uint64_t>(NumberOr(body, "attempt", 0));
  const auto until = NumberOr(body, "expires_ms", 0);
  if (until <= ClockOf(worker)) {
    return Refusal(worker, "late");
  }
  ExtendLease(fleet, worker, until);
  for (const auto& it : worker.runs) {
    if (it->task == task && it->attempt == attempt) {
      return Answer(worker, 200);
    }
  }
  const auto ended = worker.ended_attempts.find(task);
  if (ended != worker.ended_attempts.end() && attempt <= ended->second) {
    return Refusal(worker, "old");
  }
  Begin(fleet, worker, task, attempt, TextOr(body, "spec", ""));
  return Answer(worker, 200);
}

auto Stop(Fleet& fleet, Worker& worker, const json::object& body)
    -> HttpResponse {
  const auto task = TextOr(body, "task", "");
  const auto attempt = static_cast<uint64_t>(NumberOr(body, "attempt", 0));
  auto& highest = worker.ended_attempts[task];
  highest = std::max(highest, attempt);
  for (auto& it : worker.runs) {
    if (it->task == task && it->attempt <= attempt && !it->stopping) {
      it->stopping = true;
      ArmRun(fleet, worker, *it, kStopTime, "stopped");
    }
  }
  return Answer(worker, 200);
}

auto Renew(Fleet& fleet,
           Worker& worker,
           const json::object& body,
           HttpResponder respond) -> void {
  const auto acked = NumberOr(body, "ack_seq", 0);
  auto& finished = worker.finished;
  while (!finished.empty() &&
         finished.front().at(0).to_number<int64_t>() <= acked) {
    finished.erase(finished.begin());
  }
  const auto until = NumberOr(body, "expires_ms", 0);
  if (until > ClockOf(worker)) {
    ExtendLease(fleet, worker, until);
  }
  const milliseconds wait(NumberOr(body, "wait_ms", 0));
  if (!finished.empty() || wait == milliseconds{0}) {
    respond(RunLists(worker));
    return;
  }
  auto hold = std::make_unique<Hold>();
  hold->respond = std::move(respond);
  hold->timer = std::make_unique<asio::steady_timer>(fleet.io, wait);
  hold->timer->async_wait([&worker](boost::system::error_code ec) {
    if (!ec) {
      AnswerHolds(worker);
    }
  });
  worker.holds.push_back(std::move(hold));
}

auto CarryOut(Fleet& fleet,
              Worker& worker,
              const std::string& path,
              const json::object& body,
              const HttpResponder& respond) -> void {
  const auto token = static_cast<uint64_t>(NumberOr(body, "fencing_token", 0));
  if (token < worker.token) {
    Note(fleet, worker.id + " refuses token " + std::to_string(token) +
                    " for " + path + ", has seen " +
                    std::to_string(worker.token));
    respond(Refusal(worker, "fence"));
    return;
  }
  worker.token = token;
  if (path == "/hold") {
    Renew(fleet, worker, body, respond);
    return;
  }
  auto answer = path == "/run-start" ? Start(fleet, worker, body)
                                     : Stop(fleet, worker, body);
  Note(fleet, worker.id + " " + path + " " + TextOr(body, "task", "") +
                  " run " + std::to_string(NumberOr(body, "attempt", 0)) +
                  " token " + std::to_string(token) + " -> " +
                  std::to_string(answer.status) + " " + answer.body);
  respond(std::move(answer));
}

auto Serve(Fleet& fleet,
           Worker& worker,
           const HttpRequest& request,
           HttpResponder respond) -> void {
  if (!worker.up) {
    worker.unanswered.push_back(std::move(respond));
    return;
  }
  if (FindHeader(request.headers, "Expect-Instance") != worker.id) {
    respond(JsonReply(421, json::object{}));
    return;
  }
  const auto body = JsonBody(request);
  const auto path = std::string(TargetPath(request.target));
  const auto fate = fleet.fate ? fleet.fate(worker, path, body) : Fate{};
  ++worker.orders;
  if (fate.answer && fate.delay == milliseconds{0}) {
    CarryOut(fleet, worker, path, body, respond);
    return;
  }
  if (!fate.answer) {
    ++worker.orders_unanswered;
    Note(fleet, worker.id + " " + path + " " + TextOr(body, "task", "") +
                    " run " + std::to_string(NumberOr(body, "attempt", 0)) +
                    " gets no answer, is carried out in " +
                    std::to_string(fate.delay.count()) + " ms");
    worker.unanswered.push_back(std::move(respond));
    respond = [](const HttpResponse&) {};
  }
  const auto born = worker.born;
  After(fleet, fate.delay, [&fleet, &worker, path, body, respond, born] {
    if (worker.up && worker.born == born) {
      CarryOut(fleet, worker, path, body, respond);
    }
  });
}

auto Listen(Fleet& fleet, Worker& worker) -> void {
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&fleet, &worker](const HttpRequest& request,
                                           HttpResponder respond) {
    Serve(fleet, worker, request, std::move(respond));
  };
  auto server =
      HttpServer::Listen(fleet.io, HttpServerOptions{.listen = worker.address},
                         std::move(callbacks));
  if (server.has_error()) {
    throw std::runtime_error(server.error());
  }
  worker.server = std::move(server).value();
}

auto ReportAgain(Fleet& fleet, Worker& worker) -> void {
  Report(fleet, worker);
  worker.report_timer.expires_after(kReportEvery);
  worker.report_timer.async_wait(
      [&fleet, &worker](boost::system::error_code ec) {
        if (!ec && worker.up) {
          ReportAgain(fleet, worker);
        }
      });
}

auto StartLife(Worker& worker) -> void {
  worker.up = true;
  worker.token = 0;
  worker.lease_until = 0;
  worker.sequence = 0;
  worker.finished.clear();
  worker.ended_attempts.clear();
  worker.clock_origin = BootClock::now();
  worker.born =
      std::max(worker.born + 1, ReadClocks().wall.time_since_epoch().count());
}

}  // namespace

auto CountRuns(const Fleet& fleet, const std::string& task) -> int {
  auto n = 0;
  for (const auto& [id, worker] : fleet.workers) {
    for (const auto& it : worker->runs) {
      n += worker->up && it->task == task ? 1 : 0;
    }
  }
  return n;
}

auto Report(Fleet& fleet, Worker& worker) -> void {
  const json::object report{
      {"service", "cartas"},
      {"addr", ToString(worker.address)},
      {"zone", worker.zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", worker.draining ? "draining" : "ready"},
      {"cold_left_ms", 0},
      {"born", worker.born},
      {"capacity",
       json::object{{"cpu", worker.capacity}, {"mem_mb", 131072}, {"gpu", 0}}},
      {"labels", json::array{"a", "r1"}},
      {"clock_ms", ClockOf(worker)},
      {"seq", ++worker.reports}};
  PutRow(fleet, "servers", worker.id, ToJsonText(report));
}

auto AddWorker(Fleet& fleet, const std::string& zone, int number) -> Worker& {
  auto worker = std::make_unique<Worker>(fleet.io);
  auto& out = *worker;
  out.id = "i-" + zone + "-" + std::to_string(number);
  out.zone = zone;
  out.address = Address{
      .ip = fleet.net + ".100." + std::to_string(fleet.workers.size() + 1),
      .port = 8080};
  fleet.workers[out.id] = std::move(worker);
  StartLife(out);
  Listen(fleet, out);
  ReportAgain(fleet, out);
  return out;
}

auto Crash(Fleet& fleet, Worker& worker) -> void {
  Note(fleet, worker.id + " crashes");
  worker.up = false;
  worker.runs.clear();
  worker.holds.clear();
  worker.unanswered.clear();
  worker.lease_timer.cancel();
  worker.report_timer.cancel();
  worker.server.reset();
}

auto Rebirth(Fleet& fleet, Worker& worker) -> void {
  Note(fleet, worker.id + " starts again");
  worker.draining = false;
  StartLife(worker);
  Listen(fleet, worker);
  ReportAgain(fleet, worker);
}

}  // namespace boragecroft::review
