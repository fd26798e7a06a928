#include "servers/dispatcher/admitting.h"

#include <algorithm>

#include "servers/admission/admission.h"
#include "servers/admission/queue_state.h"

namespace boragecroft {
namespace {

constexpr uint32_t kObservationsForCertainty = 50;
// Refusals are kept in memory until it is certain that their records can be
// read instead.
constexpr milliseconds kRefusalRetention = seconds(30);

auto ClassIndexOf(const Configuration& configuration, const std::string& name)
    -> std::optional<uint32_t> {
  for (size_t i = 0; i < configuration.classes.size(); ++i) {
    if (configuration.classes[i].name == name) {
      return static_cast<uint32_t>(i);
    }
  }
  return std::nullopt;
}

auto Refuse(Refusal refusal, std::string reason, milliseconds retry_after = {})
    -> SubmissionDecision {
  SubmissionDecision decision;
  decision.refusal = refusal;
  decision.reason = std::move(reason);
  decision.retry_after = retry_after;
  return decision;
}

auto MakeRunTime(const RunTimeEstimate& estimate) -> RunTimeForecast {
  RunTimeForecast forecast;
  forecast.expected = estimate.mean;
  const auto known = static_cast<double>(
      std::min(estimate.observations, kObservationsForCertainty));
  forecast.uncertainty = 1.0 - known / kObservationsForCertainty;
  return forecast;
}

auto MakeInput(EventContext& context,
               const Submission& submission,
               uint32_t class_index) -> AdmissionInput {
  auto& dispatcher = context.dispatcher;
  const auto& configuration = *InForce(dispatcher);
  const auto& service = dispatcher.services[submission.service];
  const WorkKind kind{.service = submission.service, .kind = submission.kind};
  const auto* partner = FindPartner(configuration, submission.partner);
  AdmissionInput input;
  input.task_count = static_cast<uint32_t>(submission.payloads.size());
  input.deadline = submission.deadline;
  input.run_time = MakeRunTime(
      EstimateRunTime(dispatcher.estimates, kind, submission.run_time_hint));
  input.slots = AllottedSlots(dispatcher.fleet, submission.service);
  input.partner_weight = partner == nullptr ? 1 : partner->weight;
  input.max_queued_tasks = configuration.classes[class_index].max_queued_tasks;
  DescribeQueue(service.queue, service.loads, class_index, submission.partner,
                input);
  return input;
}

}  // namespace

auto AllottedSlots(const Fleet& fleet, const std::string& service) -> uint32_t {
  const auto found = fleet.by_service.find(service);
  uint32_t slots = 0;
  if (found != fleet.by_service.end()) {
    for (const auto index : found->second) {
      slots += fleet.workers[index].allotted_slots;
    }
  }
  return slots;
}

auto AdmitSubmission(EventContext& context, const Submission& submission)
    -> SubmissionDecision {
  auto& dispatcher = context.dispatcher;
  const auto& configuration = *InForce(dispatcher);
  const auto class_index =
      ClassIndexOf(configuration, submission.urgency_class);
  if (!class_index ||
      FindPartner(configuration, submission.partner) == nullptr ||
      FindService(configuration, submission.service) == nullptr) {
    return Refuse(Refusal::kUnknownPartner,
                  "partner, service or class is not declared any more");
  }
  if (submission.payloads.size() > configuration.limits.max_tasks_per_job) {
    return Refuse(Refusal::kInvalid, "more tasks than a job may have");
  }
  if (!CanEverRun(dispatcher.fleet, submission.service, submission.needs)) {
    return Refuse(Refusal::kCanNeverRun,
                  "no worker of the service has what one task needs");
  }
  const auto input = MakeInput(context, submission, *class_index);
  const auto admission = Admit(input);
  if (!admission.Accepted()) {
    return Refuse(*admission.refusal,
                  "the queue ahead is too long for the deadline or its bound",
                  admission.retry_after.value_or(milliseconds(0)));
  }
  SubmissionDecision decision;
  decision.class_index = *class_index;
  return decision;
}

auto CacheRefusal(EventContext& context,
                  const JobId& id,
                  const std::string& partner,
                  Refusal refusal) -> void {
  auto& dispatcher = context.dispatcher;
  dispatcher.refused.emplace(
      id, CachedRefusal{.partner = partner, .refusal = refusal});
  dispatcher.refused_until.emplace_back(context.now.boot + kRefusalRetention,
                                        id);
}

auto DropExpiredRefusals(EventContext& context) -> void {
  auto& until = context.dispatcher.refused_until;
  while (!until.empty() && until.front().first <= context.now.boot) {
    context.dispatcher.refused.erase(until.front().second);
    until.pop_front();
  }
}

}  // namespace boragecroft
