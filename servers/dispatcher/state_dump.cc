#include <algorithm>

#include "servers/dispatcher/operator_flow.h"

namespace boragecroft {
namespace {

namespace json = boost::json;

constexpr size_t kMaxListed = 200;

auto Age(Instant since, Instant now) -> int64_t {
  return std::chrono::duration_cast<milliseconds>(now - since).count();
}

auto QueueOf(const ServiceState& service, const Configuration* configuration)
    -> json::object {
  json::object queue;
  queue["queued_tasks"] = service.queue.backlog.tasks;
  queue["backlog_ms"] = service.queue.backlog.cost.count() / 1000;
  queue["reported_demand"] = service.demand.reported;
  json::array classes;
  for (uint32_t i = 0; i < service.queue.classes.size(); ++i) {
    json::object it;
    const auto named =
        configuration != nullptr && i < configuration->classes.size();
    it["class"] = named ? configuration->classes[i].name : std::to_string(i);
    it["queued_tasks"] = ClassBacklog(service.queue, i).tasks;
    it["in_progress"] = InProgress(service.queue, i);
    it["floor_millis"] = FloorMillis(service.queue, i);
    classes.push_back(std::move(it));
  }
  queue["classes"] = std::move(classes);
  return queue;
}

auto StateName(WorkerState state) -> std::string_view {
  switch (state) {
    case WorkerState::kLive:
      return "live";
    case WorkerState::kLeaving:
      return "leaving";
    case WorkerState::kRemoved:
      return "gone";
  }
  return "gone";
}

auto WorkerOf(const Dispatcher& dispatcher,
              const FleetWorker& worker,
              const Now& now) -> json::object {
  const auto& ejections = dispatcher.outlier_detector.ejections;
  json::object it;
  it["worker"] = worker.listed.name;
  it["service"] = worker.listed.service;
  it["address"] = ToString(worker.listed.address);
  it["state"] = StateName(worker.state);
  it["draining"] = worker.draining;
  it["usable"] = IsUsable(worker, now);
  it["put_aside"] = std::any_of(
      ejections.begin(), ejections.end(),
      [&](const Ejection& entry) { return entry.subject.worker == worker.id; });
  it["in_progress"] = worker.in_progress;
  it["allotted_slots"] = worker.allotted_slots;
  it["speed"] = worker.speed;
  return it;
}

auto PeerStateName(const Membership& membership,
                   const PeerInstance& peer,
                   Instant now) -> std::string_view {
  if (peer.stopped) {
    return "stopped";
  }
  if (peer.leaving) {
    return "leaving";
  }
  return IsReachable(membership, peer, now) ? "reachable" : "silent";
}

auto PeerOf(const Membership& membership,
            const PeerInstance& peer,
            const Now& now) -> json::object {
  json::object it;
  it["instance"] = peer.name;
  it["zone"] = peer.zone;
  it["address"] = ToString(peer.address);
  it["incarnation"] = ToString(peer.incarnation);
  it["state"] = PeerStateName(membership, peer, now.boot);
  it["configuration_version"] = peer.configuration_version;
  it["last_heard_ms"] =
      peer.last_received_at ? Age(*peer.last_received_at, now.boot) : -1;
  return it;
}

auto SelfOf(const Dispatcher& dispatcher) -> json::object {
  json::object it;
  it["instance"] = dispatcher.settings.instance;
  it["zone"] = dispatcher.settings.zone;
  it["address"] = ToString(dispatcher.settings.peer_address);
  it["incarnation"] = ToString(dispatcher.self);
  it["state"] = dispatcher.fenced                          ? "deposed"
                : dispatcher.drain == DrainPhase::kServing ? "serving"
                                                           : "leaving";
  it["configuration_version"] = VersionInForce(dispatcher.configuration);
  it["last_heard_ms"] = 0;
  return it;
}

auto LedgerOf(const LedgerWriter& ledger, const Now& now) -> json::object {
  constexpr std::string_view kPhases[] = {"opening", "open", "closing",
                                          "closed", "deposed"};
  json::object it;
  it["phase"] = kPhases[static_cast<size_t>(ledger.phase)];
  it["pending_entries"] = ledger.pending.entries.size();
  it["pending_bytes"] = ledger.pending.bytes;
  it["write_in_flight"] = ledger.in_flight.has_value();
  it["platform_suspect"] = IsPlatformSuspect(ledger, now);
  it["dropped_results"] = ledger.dropped_results;
  it["segments"] = ledger.times.segments;
  it["writing_us"] = ledger.times.writing.count();
  it["urgent_entries"] = ledger.times.urgent_entries;
  it["urgent_waiting_us"] = ledger.times.urgent_waiting.count();
  return it;
}

auto QuotasOf(const Dispatcher& dispatcher) -> json::array {
  json::array quotas;
  for (const auto& [team, usage] : dispatcher.quota.teams) {
    quotas.push_back({{"team", team},
                      {"share", usage.share},
                      {"in_progress", usage.in_progress}});
  }
  return quotas;
}

auto SizesOf(const Dispatcher& dispatcher) -> json::object {
  json::object sizes;
  sizes["jobs"] = dispatcher.jobs.size();
  sizes["kept_answer_bytes"] = dispatcher.kept_answer_bytes;
  sizes["active_jobs"] = dispatcher.active_jobs;
  sizes["tasks_in_progress"] = dispatcher.in_progress.size();
  sizes["delayed_tasks"] = dispatcher.delayed.size();
  sizes["id_batches"] = dispatcher.mint.batches.size();
  sizes["open_relays"] = dispatcher.relays.size();
  sizes["open_lookups"] = dispatcher.lookups.size();
  sizes["open_platform_calls"] = dispatcher.platform_calls.size();
  sizes["remembered_refusals"] = dispatcher.refused.size();
  return sizes;
}

}  // namespace

auto JobSummary(const Job& job, const Now& now) -> json::object {
  const auto count = [&](TaskState state) {
    return std::count(job.tasks.begin(), job.tasks.end(), state);
  };
  json::object it;
  it["id"] = ToString(job.submission->id);
  it["partner"] = job.submission->partner;
  it["service"] = job.submission->service;
  it["class"] = job.submission->urgency_class;
  it["state"] = ToString(job.state);
  it["reason"] = job.reason;
  it["recorded"] = job.final_durable;
  it["tasks"] = job.tasks.size();
  it["done"] = count(TaskState::kDone);
  it["failed"] = count(TaskState::kFailed);
  it["started"] = count(TaskState::kStarted);
  it["queued"] = count(TaskState::kQueued);
  it["not_run"] = count(TaskState::kNotRun);
  it["may_have_run"] = count(TaskState::kMayHaveRun);
  it["age_ms"] = Age(job.accepted, now.boot);
  return it;
}

auto InstancesOf(const Dispatcher& dispatcher, const Now& now) -> json::object {
  json::array instances;
  instances.push_back(SelfOf(dispatcher));
  for (const auto& it : dispatcher.membership.peers) {
    instances.push_back(PeerOf(dispatcher.membership, it, now));
  }
  json::array workers;
  for (const auto& it : dispatcher.fleet.workers) {
    workers.push_back(WorkerOf(dispatcher, it, now));
  }
  json::object body;
  body["instances"] = std::move(instances);
  body["workers"] = std::move(workers);
  return body;
}

auto DumpOf(const Dispatcher& dispatcher, const Now& now) -> json::object {
  auto body = InstancesOf(dispatcher, now);
  body["self"] = SelfOf(dispatcher);
  body["uptime_ms"] = Age(dispatcher.started.boot, now.boot);
  body["ready"] = ReadyToServe(dispatcher.configuration, now);
  body["ledger"] = LedgerOf(dispatcher.ledger, now);
  body["quotas"] = QuotasOf(dispatcher);
  body["counters"] = CountersOf(dispatcher);
  json::object services;
  for (const auto& [name, service] : dispatcher.services) {
    services[name] = QueueOf(service, InForce(dispatcher));
  }
  body["services"] = std::move(services);
  body["sizes"] = SizesOf(dispatcher);
  json::array jobs;
  for (const auto& it : dispatcher.deadlines) {
    if (jobs.size() >= kMaxListed) {
      break;
    }
    jobs.push_back(JobSummary(dispatcher.jobs.at(it.second), now));
  }
  body["active_jobs"] = std::move(jobs);
  return body;
}

auto CountersOf(const Dispatcher& dispatcher) -> json::object {
  const auto& counters = dispatcher.counters;
  json::object body;
  VisitCounters(counters, [&](const CounterInfo& info, uint64_t value) {
    body[info.name] = value;
  });
  json::object refused;
  for (size_t i = 0; i < kRefusalKinds; ++i) {
    refused[ToString(static_cast<Refusal>(i))] = counters.jobs_refused[i];
  }
  body["jobs_refused"] = std::move(refused);
  body["sizes"] = SizesOf(dispatcher);
  return body;
}

}  // namespace boragecroft
