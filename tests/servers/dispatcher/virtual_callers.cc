#include "tests/servers/dispatcher/virtual_callers.h"

namespace boragecroft {

auto FetchId(VirtualFleet& fleet, size_t node) -> std::optional<JobId> {
  const auto number =
      Ask(fleet, node, MintRequest{.partner = "banco", .count = 1});
  const auto& replies = fleet.requests[number].replies;
  const auto* mint =
      replies.empty() ? nullptr : std::get_if<MintReply>(&replies.front());
  return mint == nullptr ? std::nullopt : std::optional(mint->first);
}

auto MakeJob(const JobId& id,
             uint32_t tasks,
             const std::string& urgency_class,
             bool repeatable) -> std::shared_ptr<Submission> {
  auto out = std::make_shared<Submission>();
  out->id = id;
  out->partner = "banco";
  out->team = "banks";
  out->service = "cartas";
  out->kind = "letter";
  out->urgency_class = urgency_class;
  out->deadline = seconds(20);
  out->repeatable = repeatable;
  for (uint32_t i = 0; i < tasks; ++i) {
    out->payloads.push_back('"' + ToString(TaskId{.job = id, .index = i}) +
                            '"');
  }
  return out;
}

auto MakeKeyedJob(const std::string& key, uint32_t tasks)
    -> std::shared_ptr<Submission> {
  auto out = MakeJob({}, tasks);
  for (uint32_t i = 0; i < tasks; ++i) {
    out->payloads[i] = '"' + key + "/" + std::to_string(i) + '"';
  }
  return out;
}

auto Ask(VirtualFleet& fleet, size_t node, const CallerCall& call) -> uint64_t {
  const auto number = fleet.next_number++;
  auto& request = fleet.requests[number];
  request.node = node;
  if (!std::holds_alternative<MintRequest>(call)) {
    request.id = IdOf(call);
  }
  const auto* submit = std::get_if<SubmitRequest>(&call);
  request.submits = submit != nullptr;
  if (submit != nullptr) {
    request.key = submit->caller_key;
    request.submission = submit->submission;
  } else if (const auto known = fleet.submissions.find(request.id);
             known != fleet.submissions.end()) {
    request.submission = known->second;
  }
  Deliver(fleet, node, {}, [number, call](EventContext& context) {
    OnCallerRequest(context, {.reply_to = {.number = number}, .call = call});
  });
  return number;
}

auto Submit(VirtualFleet& fleet,
            size_t node,
            const std::shared_ptr<const Submission>& submission) -> uint64_t {
  fleet.submissions[submission->id] = submission;
  return Ask(fleet, node,
             SubmitRequest{.submission = submission, .wait = seconds(25)});
}

auto SubmitKeyed(VirtualFleet& fleet,
                 size_t node,
                 const std::string& key,
                 const std::shared_ptr<const Submission>& submission)
    -> uint64_t {
  return Ask(
      fleet, node,
      SubmitRequest{
          .submission = submission, .caller_key = key, .wait = seconds(25)});
}

auto Fetch(VirtualFleet& fleet, size_t node, const JobId& id) -> uint64_t {
  return Ask(fleet, node,
             FetchRequest{.id = id, .partner = "banco", .wait = seconds(5)});
}

auto ReportedState(const VirtualFleet& fleet, uint64_t number) -> JobState {
  const auto& replies = fleet.requests.at(number).replies;
  if (replies.empty()) {
    return JobState::kActive;
  }
  if (const auto* answer = std::get_if<AnswerReply>(&replies.back())) {
    return answer->answer->state;
  }
  return std::holds_alternative<RefusalReply>(replies.back())
             ? JobState::kRefused
             : JobState::kActive;
}

}  // namespace boragecroft
