#include "servers/dispatcher/operator_flow.h"

#include <utility>

#include "servers/dispatcher/configuration_flow.h"
#include "servers/dispatcher/dispatcher.h"
#include "servers/dispatcher/job_table.h"

namespace boragecroft {
namespace {

namespace json = boost::json;

auto ReplyJson(EventContext& context,
               uint64_t number,
               int status,
               json::object body) -> void {
  OperatorReply reply;
  reply.number = number;
  reply.status = status;
  reply.body = std::move(body);
  context.out.operators.push_back(std::move(reply));
}

auto NotFoundBody() -> json::object {
  return {{"error", {{"code", "no_such_job"}}}};
}

auto Serve(EventContext& context,
           uint64_t number,
           const ShowConfiguration& call) -> void {
  const auto& in_force = context.dispatcher.configuration.in_force;
  json::object body;
  body["version"] = VersionInForce(context.dispatcher.configuration);
  body["document"] = in_force == nullptr
                         ? json::value()
                         : ToJson(in_force->configuration, call.schema_version);
  ReplyJson(context, number, 200, std::move(body));
}

auto Serve(EventContext& context, uint64_t number, ApplyConfiguration& call)
    -> void {
  OnApplyConfiguration(context, number, std::move(call));
}

auto Serve(EventContext& context, uint64_t number, const ListJobs& call)
    -> void {
  json::array jobs;
  for (const auto& it : context.dispatcher.jobs) {
    const auto& job = it.second;
    const auto wanted =
        (call.state.empty() || call.state == ToString(job.state)) &&
        (call.partner.empty() || call.partner == job.submission->partner);
    if (wanted && jobs.size() < call.limit) {
      jobs.push_back(JobSummary(job, context.now));
    }
  }
  json::object body;
  body["jobs"] = std::move(jobs);
  ReplyJson(context, number, 200, std::move(body));
}

auto Serve(EventContext& context, uint64_t number, const ShowJob& call)
    -> void {
  const auto found = context.dispatcher.jobs.find(call.id);
  if (found == context.dispatcher.jobs.end()) {
    ReplyJson(context, number, 404, NotFoundBody());
    return;
  }
  auto body = JobSummary(found->second, context.now);
  json::array states;
  for (const auto it : found->second.tasks) {
    states.emplace_back(ToString(it));
  }
  body["task_states"] = std::move(states);
  ReplyJson(context, number, 200, std::move(body));
}

auto Serve(EventContext& context, uint64_t number, const CancelJob& call)
    -> void {
  const auto found = context.dispatcher.jobs.find(call.id);
  if (found == context.dispatcher.jobs.end()) {
    ReplyJson(context, number, 404, NotFoundBody());
    return;
  }
  ++context.dispatcher.counters.jobs_cancelled;
  StopJob(context, call.id, kReasonCancelled);
  ReplyJson(context, number, 200, JobSummary(found->second, context.now));
}

auto Serve(EventContext& context, uint64_t number, const ShowAccount& call)
    -> void {
  OnShowAccount(context, number, call);
}

auto Serve(EventContext& context, uint64_t number, const DumpState& /*call*/)
    -> void {
  ReplyJson(context, number, 200, DumpOf(context.dispatcher, context.now));
}

auto Serve(EventContext& context,
           uint64_t number,
           const ShowInstances& /*call*/) -> void {
  ReplyJson(context, number, 200, InstancesOf(context.dispatcher, context.now));
}

auto Serve(EventContext& context, uint64_t number, const ShowCounters& /*call*/)
    -> void {
  ReplyJson(context, number, 200, CountersOf(context.dispatcher));
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

auto Serve(EventContext& context, uint64_t number, const StartDrain& /*call*/)
    -> void {
  BeginDrain(context);
  ReplyJson(context, number, 202,
            {{"state", PhaseName(context.dispatcher.drain)}});
}

}  // namespace

auto OnOperatorRequest(EventContext& context, OperatorRequest request) -> void {
  std::visit([&](auto& call) { Serve(context, request.number, call); },
             request.call);
}

}  // namespace boragecroft
