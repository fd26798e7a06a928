#include "servers/dispatcher/operator_flow.h"

#include <utility>

#include "servers/dispatcher/configuration_flow.h"
#include "servers/dispatcher/dispatcher.h"
#include "servers/dispatcher/job_table.h"

namespace boragecroft {
namespace {

namespace json = boost::json;

auto ReplyJson(Step& step, uint64_t number, int status, json::object body)
    -> void {
  OperatorReply reply;
  reply.number = number;
  reply.status = status;
  reply.body = std::move(body);
  step.out.operators.push_back(std::move(reply));
}

auto NotFoundBody() -> json::object {
  return {{"error", {{"code", "no_such_job"}}}};
}

auto Serve(Step& step, uint64_t number, const ShowConfiguration& call) -> void {
  const auto& in_force = step.dispatcher.configuration.in_force;
  json::object body;
  body["version"] = VersionInForce(step.dispatcher.configuration);
  body["document"] = in_force == nullptr
                         ? json::value()
                         : ToJson(in_force->configuration, call.schema_version);
  ReplyJson(step, number, 200, std::move(body));
}

auto Serve(Step& step, uint64_t number, ApplyConfiguration& call) -> void {
  OnApplyConfiguration(step, number, std::move(call));
}

auto Serve(Step& step, uint64_t number, const ListJobs& call) -> void {
  json::array jobs;
  for (const auto& it : step.dispatcher.jobs) {
    const auto& job = it.second;
    const auto wanted =
        (call.state.empty() || call.state == ToString(job.state)) &&
        (call.partner.empty() || call.partner == job.submission->partner);
    if (wanted && jobs.size() < call.limit) {
      jobs.push_back(JobSummary(job, step.now));
    }
  }
  json::object body;
  body["jobs"] = std::move(jobs);
  ReplyJson(step, number, 200, std::move(body));
}

auto Serve(Step& step, uint64_t number, const ShowJob& call) -> void {
  const auto found = step.dispatcher.jobs.find(call.id);
  if (found == step.dispatcher.jobs.end()) {
    ReplyJson(step, number, 404, NotFoundBody());
    return;
  }
  auto body = JobSummary(found->second, step.now);
  json::array states;
  for (const auto it : found->second.tasks) {
    states.emplace_back(ToString(it));
  }
  body["task_states"] = std::move(states);
  ReplyJson(step, number, 200, std::move(body));
}

auto Serve(Step& step, uint64_t number, const CancelJob& call) -> void {
  const auto found = step.dispatcher.jobs.find(call.id);
  if (found == step.dispatcher.jobs.end()) {
    ReplyJson(step, number, 404, NotFoundBody());
    return;
  }
  ++step.dispatcher.counters.jobs_cancelled;
  StopJob(step, call.id, kReasonCancelled);
  ReplyJson(step, number, 200, JobSummary(found->second, step.now));
}

auto Serve(Step& step, uint64_t number, const ShowAccount& call) -> void {
  OnShowAccount(step, number, call);
}

auto Serve(Step& step, uint64_t number, const DumpState& /*call*/) -> void {
  ReplyJson(step, number, 200, DumpOf(step.dispatcher, step.now));
}

auto Serve(Step& step, uint64_t number, const ShowInstances& /*call*/) -> void {
  ReplyJson(step, number, 200, InstancesOf(step.dispatcher, step.now));
}

auto Serve(Step& step, uint64_t number, const ShowCounters& /*call*/) -> void {
  ReplyJson(step, number, 200, CountersOf(step.dispatcher));
}

auto PhaseName(DrainPhase phase) -> std::string_view {
  switch (phase) {
    case DrainPhase::kServing:
      return "serving";
    case DrainPhase::kLeaving:
      return "leaving";
    case DrainPhase::kFinishing:
      return "finishing";
    case DrainPhase::kFlushing:
      return "flushing";
    case DrainPhase::kStopped:
      return "stopped";
  }
  return "stopped";
}

auto Serve(Step& step, uint64_t number, const StartDrain& /*call*/) -> void {
  BeginDrain(step);
  ReplyJson(step, number, 202, {{"state", PhaseName(step.dispatcher.drain)}});
}

}  // namespace

auto OnOperatorRequest(Step& step, OperatorRequest request) -> void {
  std::visit([&](auto& call) { Serve(step, request.number, call); },
             request.call);
}

}  // namespace boragecroft
