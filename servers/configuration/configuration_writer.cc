#include <utility>

#include "servers/configuration/configuration.h"

namespace boragecroft {
namespace {

// Adds the members that this build does not know. A known member takes
// precedence over an unknown one of the same name.
auto WithUnknown(json::object known, const json::object& unknown)
    -> json::object {
  for (const auto& it : unknown) {
    known.emplace(it.key(), it.value());
  }
  return known;
}

auto ZoneToJson(const ZoneDeclaration& it) -> json::object {
  return WithUnknown({{"name", it.name}, {"region", it.region}}, it.unknown);
}

auto ServiceToJson(const ServiceDeclaration& it) -> json::object {
  return WithUnknown({{"name", it.name},
                      {"slots_per_worker", it.slots_per_worker},
                      {"connections_per_worker", it.connections_per_worker},
                      {"task_timeout_ms", it.task_timeout.count()},
                      {"lease_ms", it.lease.count()}},
                     it.unknown);
}

auto ClassToJson(const ClassDeclaration& it, size_t position, int version)
    -> json::object {
  json::object out{{"name", it.name}};
  if (version == 1) {
    out["priority"] = position;
  }
  out["floor_percent"] = it.floor_percent;
  out["default_deadline_ms"] = it.default_deadline.count();
  out["max_queued_tasks"] = it.max_queued_tasks;
  out["record_before_start"] = it.record_before_start;
  out["record_before_answer"] = it.record_before_answer;
  return WithUnknown(std::move(out), it.unknown);
}

auto TeamToJson(const TeamDeclaration& it) -> json::object {
  return WithUnknown({{"name", it.name}, {"quota_tasks", it.quota_tasks}},
                     it.unknown);
}

auto PartnerToJson(const PartnerDeclaration& it,
                   const Configuration& configuration,
                   int version) -> json::object {
  json::object out{{"name", it.name}};
  if (version == 1) {
    const auto* team = FindTeam(configuration, it.team);
    out["quota_tasks"] = team == nullptr ? 0 : team->quota_tasks;
  } else {
    out["team"] = it.team;
  }
  out["weight"] = it.weight;
  return WithUnknown(std::move(out), it.unknown);
}

auto LimitsToJson(const Limits& it) -> json::object {
  return WithUnknown({{"max_tasks_per_job", it.max_tasks_per_job},
                      {"max_body_bytes", it.max_body_bytes},
                      {"max_payload_bytes", it.max_payload_bytes},
                      {"max_deadline_ms", it.max_deadline.count()},
                      {"id_term_ms", it.id_term.count()},
                      {"answer_retention_ms", it.answer_retention.count()},
                      {"retry_budget_percent", it.retry_budget_percent},
                      {"max_ejected_percent", it.max_ejected_percent}},
                     it.unknown);
}

template <class T, class Convert>
auto ListToJson(const std::vector<T>& items, Convert convert) -> json::array {
  json::array out;
  for (const auto& it : items) {
    out.push_back(convert(it));
  }
  return out;
}

}  // namespace

auto ToJson(const Configuration& configuration, int schema_version)
    -> json::value {
  json::object out{{"schema_version", schema_version},
                   {"deployment", configuration.deployment}};
  out["zones"] = ListToJson(configuration.zones, ZoneToJson);
  out["services"] = ListToJson(configuration.services, ServiceToJson);
  size_t position = 0;
  out["classes"] = ListToJson(configuration.classes, [&](const auto& it) {
    return ClassToJson(it, position++, schema_version);
  });
  if (schema_version != 1) {
    out["teams"] = ListToJson(configuration.teams, TeamToJson);
  }
  out["partners"] = ListToJson(configuration.partners, [&](const auto& it) {
    return PartnerToJson(it, configuration, schema_version);
  });
  out["policy"] = PolicyNames().at(static_cast<size_t>(configuration.policy));
  out["limits"] = LimitsToJson(configuration.limits);
  return WithUnknown(std::move(out), configuration.unknown);
}

}  // namespace boragecroft
