#include "bench/failures/tracked_job.h"

#include <algorithm>
#include <boost/json/array.hpp>

namespace boragecroft::bench {
namespace {

auto IsRecorded(const lab::JsonReply& reply) -> bool {
  const auto* object = reply.body.if_object();
  const auto* recorded =
      object == nullptr ? nullptr : object->if_contains("recorded");
  return recorded != nullptr && recorded->is_bool() && recorded->get_bool();
}

auto ErrorCode(const lab::JsonReply& reply) -> std::string {
  const auto& error = reply.body.at("error");
  return std::string(error.at("code").as_string());
}

auto NoteNotRun(TrackedJob& tracked, const lab::JsonReply& reply) -> void {
  for (size_t i = 0; i < static_cast<size_t>(tracked.job.tasks); ++i) {
    const auto known = std::find(tracked.not_run.begin(), tracked.not_run.end(),
                                 i) != tracked.not_run.end();
    if (!known && lab::TaskStateOf(reply, i) == "not_run") {
      tracked.not_run.push_back(i);
    }
  }
}

}  // namespace

auto IsSettled(const lab::JsonReply& reply) -> bool {
  return lab::IsFinal(reply) && reply.Number("retry_after_ms") == 0;
}

auto Note(TrackedJob& tracked, const lab::JsonReply& reply) -> void {
  const auto state = reply.Text("state");
  if (state == "refused") {
    tracked.false_refusals += tracked.accepted ? 1 : 0;
    // What nobody submitted may still be submitted; any other refusal stands.
    const auto unknown = ErrorCode(reply) == "id_not_minted";
    tracked.unknown = tracked.unknown || unknown;
    tracked.refused_for_good =
        tracked.refused_for_good || (IsSettled(reply) && !unknown);
    return;
  }
  if (state != "active" && state != "done" && state != "failed") {
    return;
  }
  tracked.accepted = true;
  tracked.partial += lab::IsWhole(reply, tracked.job.tasks) ? 0 : 1;
  if (state == "active") {
    tracked.contradictions += tracked.recorded.empty() ? 0 : 1;
    return;
  }
  NoteNotRun(tracked, reply);
  if (!tracked.recorded.empty() && tracked.recorded != state) {
    ++tracked.contradictions;
  }
  if (IsRecorded(reply)) {
    tracked.recorded = state;
  }
}

}  // namespace boragecroft::bench
