#include "review/lab-3/worker.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "core/json/text.h"
#include "tests/standins/common/json_reply.h"

namespace boragecroft::review {
namespace {

using standins::JsonBody;
using standins::JsonReply;
using standins::NumberOr;
using standins::TextOr;

// `hold_max_ms` and a part of `stop_timeout_ms` of the deployment.
constexpr int64_t kMaxLeaseMs = 1000;
constexpr milliseconds kStopTime{10};
constexpr milliseconds kHeartbeat{1500};
constexpr size_t kMaxListedEnds = 500;

auto ClockOf(const Worker& worker) -> int64_t {
  return std::chrono::duration_cast<milliseconds>(BootClock::now() -
                                                  worker.life_began)
      .count();
}

auto Answer(const Worker& worker, int status, json::object body = {})
    -> HttpResponse {
  body["clock_ms"] = ClockOf(worker);
  return JsonReply(status, body);
}

auto Refuse(const Worker& worker, std::string_view reason) -> HttpResponse {
  return Answer(worker, 409, {{"reason", reason}});
}

auto ListRuns(const Worker& worker) -> HttpResponse {
  json::array running;
  for (const auto& it : worker.runs) {
    running.push_back(json::array{it.task, it.attempt, "", 100, it.cpu});
  }
  json::array finished;
  for (const auto& it : worker.finished) {
    if (finished.size() < kMaxListedEnds) {
      finished.push_back(it);
    }
  }
  return Answer(worker, 200,
                {{"born", worker.born},
                 {"running", std::move(running)},
                 {"finished", std::move(finished)}});
}

auto AnswerHold(Worker& worker) -> void {
  if (worker.pending) {
    const auto pending = std::exchange(worker.pending, std::nullopt);
    pending->respond(ListRuns(worker));
  }
}

auto ForgetRun(Worker& worker, const std::string& task) -> void {
  auto& on = worker.ledger.running[task];
  on.erase(std::remove(on.begin(), on.end(), worker.id), on.end());
  if (on.empty()) {
    worker.ledger.running.erase(task);
  }
}

auto EndRun(Worker& worker, const std::string& task, std::string_view how)
    -> void {
  const auto it =
      std::find_if(worker.runs.begin(), worker.runs.end(),
                   [&](const WorkerRun& run) { return run.task == task; });
  if (it == worker.runs.end()) {
    return;
  }
  const auto attempt = it->attempt;
  worker.runs.erase(it);
  ForgetRun(worker, task);
  auto& highest = worker.ended_attempts[task];
  highest = std::max(highest, attempt);
  worker.ledger.done += how == "done" ? 1 : 0;
  worker.finished.push_back(
      json::array{++worker.sequence, task, attempt, how, ""});
  worker.recorder.Write("end " + worker.id + " " + task + " attempt " +
                        std::to_string(attempt) + " " + std::string(how));
  AnswerHold(worker);
}

auto ExtendLease(Worker& worker, int64_t until) -> void {
  const auto clock = ClockOf(worker);
  worker.lease_until =
      std::max(worker.lease_until, std::min(until, clock + kMaxLeaseMs));
  worker.lapse.expires_after(milliseconds(worker.lease_until - clock));
  worker.lapse.async_wait([&worker](boost::system::error_code ec) {
    while (!ec && !worker.runs.empty()) {
      EndRun(worker, std::string(worker.runs.front().task), "lapsed");
    }
  });
}

auto PassesFence(Worker& worker, const json::object& body) -> bool {
  const auto token = static_cast<uint64_t>(NumberOr(body, "fencing_token", 0));
  if (token < worker.token) {
    return false;
  }
  worker.token = token;
  return true;
}

auto CheckStart(Worker& worker, const WorkerRun& run) -> void {
  auto& ledger = worker.ledger;
  ++ledger.starts;
  ledger.start_times.push_back(worker.recorder.ElapsedMs());
  ledger.start_tokens.push_back(worker.token);
  auto& on = ledger.running[run.task];
  if (!on.empty()) {
    ++ledger.twice;
    worker.recorder.Write("VIOLATION TWICE " + run.task + " starts on " +
                          worker.id + " while it runs on " + on.front());
  }
  on.push_back(worker.id);
  int64_t used = run.cpu;
  for (const auto& it : worker.runs) {
    used += it.cpu;
  }
  if (used > worker.cpu) {
    ++ledger.over_capacity;
    worker.recorder.Write("VIOLATION LIMIT " + worker.id + " has capacity " +
                          std::to_string(worker.cpu) + ", with " + run.task +
                          " it runs " + std::to_string(used));
  }
}

auto BeginRun(Worker& worker, const json::object& body) -> void {
  WorkerRun run;
  run.task = TextOr(body, "task", "");
  run.attempt = static_cast<uint64_t>(NumberOr(body, "attempt", 0));
  const auto spec = ParseJson(TextOr(body, "spec", ""));
  const auto task = spec.has_value() && spec.value().is_object()
                        ? spec.value().get_object()
                        : json::object();
  run.cpu = NumberOr(task, "cpu", 0);
  CheckStart(worker, run);
  worker.recorder.Write("start " + worker.id + " " + run.task + " attempt " +
                        std::to_string(run.attempt) + " token " +
                        std::to_string(worker.token));
  const auto work = static_cast<double>(NumberOr(task, "work_ms", 0));
  run.end = std::make_unique<boost::asio::steady_timer>(
      worker.context, milliseconds(static_cast<int64_t>(work / worker.speed)));
  run.end->async_wait([&worker, name = run.task](boost::system::error_code ec) {
    if (!ec) {
      EndRun(worker, name, "done");
    }
  });
  worker.runs.push_back(std::move(run));
}

auto Start(Worker& worker, const json::object& body) -> HttpResponse {
  const auto task = TextOr(body, "task", "");
  const auto attempt = static_cast<uint64_t>(NumberOr(body, "attempt", 0));
  const auto until = NumberOr(body, "expires_ms", 0);
  if (until <= ClockOf(worker)) {
    return Refuse(worker, "late");
  }
  ExtendLease(worker, until);
  const auto it =
      std::find_if(worker.runs.begin(), worker.runs.end(),
                   [&](const WorkerRun& run) { return run.task == task; });
  if (it != worker.runs.end()) {
    return it->attempt == attempt ? Answer(worker, 200) : Refuse(worker, "old");
  }
  const auto ended = worker.ended_attempts.find(task);
  if (ended != worker.ended_attempts.end() && attempt <= ended->second) {
    return Refuse(worker, "old");
  }
  BeginRun(worker, body);
  return Answer(worker, 200);
}

auto Stop(Worker& worker, const json::object& body) -> HttpResponse {
  const auto task = TextOr(body, "task", "");
  const auto attempt = static_cast<uint64_t>(NumberOr(body, "attempt", 0));
  auto& highest = worker.ended_attempts[task];
  highest = std::max(highest, attempt);
  for (auto& it : worker.runs) {
    if (it.task == task && it.attempt <= attempt) {
      it.end->expires_after(kStopTime);
      it.end->async_wait([&worker, task](boost::system::error_code ec) {
        if (!ec) {
          EndRun(worker, task, "stopped");
        }
      });
    }
  }
  return Answer(worker, 200);
}

auto Hold(Worker& worker, const json::object& body, HttpResponder respond)
    -> void {
  const auto seen = NumberOr(body, "ack_seq", 0);
  auto& finished = worker.finished;
  while (!finished.empty() &&
         finished.front().at(0).to_number<int64_t>() <= seen) {
    finished.erase(finished.begin());
  }
  if (const auto until = NumberOr(body, "expires_ms", 0);
      until > ClockOf(worker)) {
    ExtendLease(worker, until);
  }
  const milliseconds wait(NumberOr(body, "wait_ms", 0));
  AnswerHold(worker);
  if (!finished.empty() || wait == milliseconds{0}) {
    respond(ListRuns(worker));
    return;
  }
  worker.pending = PendingHold{
      .respond = std::move(respond),
      .end = std::make_unique<boost::asio::steady_timer>(worker.context, wait)};
  worker.pending->end->async_wait([&worker](boost::system::error_code ec) {
    if (!ec) {
      AnswerHold(worker);
    }
  });
}

auto Serve(Worker& worker, const HttpRequest& request, HttpResponder respond)
    -> void {
  if (FindHeader(request.headers, "Expect-Instance") != worker.id) {
    respond(Answer(worker, 421));
    return;
  }
  const auto body = JsonBody(request);
  if (!PassesFence(worker, body)) {
    respond(Refuse(worker, "fence"));
  } else if (request.target == "/run-start") {
    respond(Start(worker, body));
  } else if (request.target == "/run-stop") {
    respond(Stop(worker, body));
  } else if (request.target == "/hold") {
    Hold(worker, body, std::move(respond));
  } else {
    respond(Answer(worker, 404));
  }
}

auto Listen(Worker& worker) -> void {
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&worker](const HttpRequest& request,
                                   HttpResponder respond) {
    Serve(worker, request, std::move(respond));
  };
  auto server = HttpServer::Listen(worker.context,
                                   HttpServerOptions{.listen = worker.address},
                                   std::move(callbacks));
  if (server.has_error()) {
    throw std::runtime_error(server.error());
  }
  worker.server = std::move(server).value();
  worker.address.port = worker.server->Port();
}

auto CloseConnections(Worker& worker) -> void {
  // Ends the request in progress without an answer.
  worker.pending.reset();
  worker.server.reset();
}

auto WriteRow(Worker& worker) -> void {
  const json::object row{
      {"service", "cartas"},
      {"addr", ToString(worker.address)},
      {"zone", worker.zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_left_ms", 0},
      {"born", worker.born},
      {"capacity",
       json::object{{"cpu", worker.cpu}, {"mem_mb", 131072}, {"gpu", 0}}},
      {"labels", json::array{worker.kind, worker.rack}},
      {"clock_ms", ClockOf(worker)},
      {"seq", 1}};
  PutRow(worker.store, "servers", "", worker.id, ToJsonText(row));
}

// Writes the row of this life, with a later heartbeat if the worker is cut off.
auto Register(Worker& worker) -> void {
  if (!worker.cut) {
    WriteRow(worker);
    return;
  }
  auto timer =
      std::make_shared<boost::asio::steady_timer>(worker.context, kHeartbeat);
  timer->async_wait(
      [&worker, timer, born = worker.born](boost::system::error_code ec) {
        if (!ec && worker.born == born) {
          Register(worker);
        }
      });
}

}  // namespace

Recorder::Recorder(const std::string& file) : out_(file) {}

auto Recorder::Write(const std::string& line) -> void {
  out_ << ElapsedMs() << " ms  " << line << std::endl;
}

auto Recorder::ElapsedMs() const -> int64_t {
  return std::chrono::duration_cast<milliseconds>(BootClock::now() - started_)
      .count();
}

auto StartWorker(Worker& worker) -> void {
  worker.life_began = BootClock::now();
  worker.born =
      std::max(worker.born + 1, ReadClocks().wall.time_since_epoch().count());
  worker.token = 0;
  worker.lease_until = 0;
  worker.sequence = 0;
  worker.finished.clear();
  worker.ended_attempts.clear();
  if (!worker.cut) {
    Listen(worker);
  }
  worker.recorder.Write("life " + worker.id + " born " +
                        std::to_string(worker.born) + " cpu " +
                        std::to_string(worker.cpu));
  Register(worker);
}

auto CrashWorker(Worker& worker) -> void {
  worker.recorder.Write("crash " + worker.id + " with " +
                        std::to_string(worker.runs.size()) + " runs");
  CloseConnections(worker);
  worker.lapse.cancel();
  for (const auto& it : worker.runs) {
    ForgetRun(worker, it.task);
  }
  worker.runs.clear();
}

auto CutOffWorker(Worker& worker) -> void {
  worker.recorder.Write("cut " + worker.id + " with " +
                        std::to_string(worker.runs.size()) + " runs");
  worker.cut = true;
  CloseConnections(worker);
}

auto ReconnectWorker(Worker& worker) -> void {
  worker.recorder.Write("reconnect " + worker.id);
  worker.cut = false;
  Listen(worker);
}

}  // namespace boragecroft::review
