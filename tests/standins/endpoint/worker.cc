#include "tests/standins/endpoint/worker.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "core/base/random.h"
#include "tests/standins/common/json_reply.h"

namespace boragecroft::standins {
namespace {

namespace json = boost::json;

auto RefusalBody(const Worker& worker,
                 const std::string& task,
                 std::string_view reason) -> json::object {
  json::object body;
  body["task"] = task;
  body["incarnation"] = worker.incarnation;
  body["state"] = "refused";
  body["reason"] = reason;
  return body;
}

auto AttemptResponse(const Worker& worker,
                     const std::string& task,
                     const Attempt& attempt) -> HttpResponse {
  HttpResponse response;
  response.body = "{\"task\":\"" + task + "\",\"incarnation\":\"" +
                  worker.incarnation + "\",\"state\":\"" + attempt.state + "\"";
  response.body +=
      ",\"free_slots\":" + std::to_string(worker.slots - worker.running);
  response.body += attempt.state == "done"
                       ? ",\"result\":" + attempt.result + "}"
                       : ",\"reason\":\"as told\"}";
  return response;
}

auto SendAttemptResponse(Worker& worker,
                         const std::string& task,
                         const Attempt& attempt,
                         const HttpResponder& respond) -> void {
  switch (worker.mode) {
    case WorkerMode::kNoResponse:
      worker.unanswered.push_back(respond);
      return;
    case WorkerMode::kWrongTask:
      respond(AttemptResponse(worker, task + "9", attempt));
      return;
    case WorkerMode::kTruncated: {
      auto response = AttemptResponse(worker, task, attempt);
      response.body.resize(response.body.size() / 2);
      respond(std::move(response));
      return;
    }
    default:
      respond(AttemptResponse(worker, task, attempt));
  }
}

auto EndAttempt(Worker& worker, const std::string& task, std::string state)
    -> void {
  const auto it = worker.attempts.find(task);
  if (it == worker.attempts.end() || it->second.state != "running") {
    return;
  }
  auto& attempt = it->second;
  attempt.state = std::move(state);
  attempt.timer->cancel();
  attempt.lease_timer->cancel();
  --worker.running;
  const auto respond = std::exchange(attempt.respond, nullptr);
  if (worker.mode != WorkerMode::kDelayed) {
    SendAttemptResponse(worker, task, attempt, respond);
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(
      worker.context, worker.response_delay);
  timer->async_wait([&worker, task, respond, timer](auto) {
    SendAttemptResponse(worker, task, worker.attempts[task], respond);
  });
}

auto SetLeaseTimer(Worker& worker, const std::string& task, milliseconds lease)
    -> void {
  auto& attempt = worker.attempts[task];
  attempt.lease_timer->expires_after(lease);
  attempt.lease_timer->async_wait(
      [&worker, task](boost::system::error_code ec) {
        if (!ec) {
          EndAttempt(worker, task, "failed");
        }
      });
}

auto RunTime(const Worker& worker, const json::object& payload)
    -> std::chrono::microseconds {
  const auto run = std::chrono::milliseconds(NumberOr(payload, "run_ms", 1));
  const auto scaled = std::chrono::duration<double, std::milli>(
      static_cast<double>(run.count()) * worker.slowdown);
  return std::chrono::duration_cast<std::chrono::microseconds>(scaled);
}

auto Start(Worker& worker, const json::object& body, HttpResponder respond)
    -> void {
  const auto task = TextOr(body, "task", "");
  const auto* payload = body.if_contains("payload");
  const auto options = payload != nullptr && payload->is_object()
                           ? payload->get_object()
                           : json::object();
  auto& attempt = worker.attempts[task];
  attempt.first_start =
      attempt.starts == 0 ? BootClock::now() : attempt.first_start;
  ++attempt.starts;
  ++worker.starts;
  ++worker.running;
  attempt.state = "running";
  attempt.respond = std::move(respond);
  attempt.result =
      "{\"bytes\":\"" + std::string(NumberOr(options, "bytes", 0), 'x') + "\"}";
  attempt.timer = std::make_shared<boost::asio::steady_timer>(worker.context);
  attempt.lease_timer =
      std::make_shared<boost::asio::steady_timer>(worker.context);
  SetLeaseTimer(worker, task, milliseconds(NumberOr(body, "lease_ms", 10000)));
  const auto* fail = options.if_contains("fail");
  const auto fails = worker.mode == WorkerMode::kFail ||
                     (fail != nullptr && fail->is_bool() && fail->get_bool());
  attempt.timer->expires_after(worker.mode == WorkerMode::kFail
                                   ? microseconds(200)
                                   : RunTime(worker, options));
  attempt.timer->async_wait(
      [&worker, task, fails](boost::system::error_code ec) {
        if (!ec) {
          EndAttempt(worker, task, fails ? "failed" : "done");
        }
      });
}

auto IsForOtherIncarnation(const Worker& worker, const json::object& body)
    -> bool {
  return TextOr(body, "incarnation", "") != worker.incarnation;
}

auto OnStart(Worker& worker, const json::object& body, HttpResponder respond)
    -> void {
  const auto task = TextOr(body, "task", "");
  const auto it = worker.attempts.find(task);
  if (IsForOtherIncarnation(worker, body)) {
    respond(JsonReply(409, RefusalBody(worker, task, "other_incarnation")));
  } else if (worker.mode == WorkerMode::kDraining) {
    respond(JsonReply(503, RefusalBody(worker, task, "draining")));
  } else if (it != worker.attempts.end() && it->second.state == "not_started") {
    respond(JsonReply(409, RefusalBody(worker, task, "stopped")));
  } else if (worker.running >= worker.slots) {
    ++worker.refused_busy;
    respond(JsonReply(429, RefusalBody(worker, task, "busy")));
  } else {
    Start(worker, body, std::move(respond));
  }
}

auto OnLeases(Worker& worker, const json::object& body) -> void {
  const auto lease = milliseconds(NumberOr(body, "lease_ms", 10000));
  for (const auto& it : body.at("tasks").as_array()) {
    const auto task = std::string(it.as_string());
    const auto found = worker.attempts.find(task);
    if (found != worker.attempts.end() && found->second.state == "running") {
      SetLeaseTimer(worker, task, lease);
    }
  }
}

auto OnStop(Worker& worker, const json::object& body) -> HttpResponse {
  const auto task = TextOr(body, "task", "");
  if (IsForOtherIncarnation(worker, body)) {
    return JsonReply(409, RefusalBody(worker, task, "other_incarnation"));
  }
  const auto [it, inserted] = worker.attempts.try_emplace(task);
  if (inserted) {
    it->second.state = "not_started";
  }
  EndAttempt(worker, task, "stopped");
  return AttemptResponse(worker, task, worker.attempts[task]);
}

auto OnStatus(const Worker& worker, const json::object& body) -> HttpResponse {
  const auto task = TextOr(body, "task", "");
  if (IsForOtherIncarnation(worker, body)) {
    return JsonReply(409, RefusalBody(worker, task, "other_incarnation"));
  }
  const auto it = worker.attempts.find(task);
  if (it != worker.attempts.end()) {
    return AttemptResponse(worker, task, it->second);
  }
  Attempt unknown;
  unknown.state = "unknown";
  return AttemptResponse(worker, task, unknown);
}

}  // namespace

auto OnWorkerRequest(Worker& worker,
                     const HttpRequest& request,
                     HttpResponder respond) -> void {
  ++worker.requests;
  const auto path = TargetPath(request.target);
  if (path == "/v1/tasks") {
    OnStart(worker, JsonBody(request), std::move(respond));
  } else if (path == "/v1/leases") {
    OnLeases(worker, JsonBody(request));
    respond(JsonReply(200, json::object()));
  } else if (path == "/v1/stop") {
    respond(OnStop(worker, JsonBody(request)));
  } else if (path == "/v1/status") {
    respond(OnStatus(worker, JsonBody(request)));
  } else if (path == "/v1/health") {
    json::object body;
    body["state"] = worker.mode == WorkerMode::kDraining ? "draining" : "live";
    respond(JsonReply(200, body));
  } else {
    respond(JsonReply(404, json::object()));
  }
}

auto Restart(Worker& worker) -> void {
  for (auto& it : worker.attempts) {
    auto& attempt = it.second;
    if (attempt.timer != nullptr) {
      attempt.timer->cancel();
      attempt.lease_timer->cancel();
    }
    if (attempt.respond != nullptr) {
      worker.unanswered.push_back(std::exchange(attempt.respond, nullptr));
    }
    worker.previous_attempts.emplace_back(it.first, std::move(attempt));
  }
  worker.attempts.clear();
  worker.running = 0;
  worker.incarnation = std::to_string(DrawEntropy());
}

auto ParseWorkerMode(std::string_view text) -> WorkerMode {
  constexpr std::pair<std::string_view, WorkerMode> kModes[] = {
      {"normal", WorkerMode::kNormal},     {"silent", WorkerMode::kNoResponse},
      {"fail", WorkerMode::kFail},         {"draining", WorkerMode::kDraining},
      {"crossed", WorkerMode::kWrongTask}, {"garbled", WorkerMode::kTruncated},
      {"late", WorkerMode::kDelayed},
  };
  for (const auto& it : kModes) {
    if (it.first == text) {
      return it.second;
    }
  }
  return WorkerMode::kNormal;
}

}  // namespace boragecroft::standins
