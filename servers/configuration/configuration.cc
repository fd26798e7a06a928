#include "servers/configuration/configuration.h"

#include <algorithm>
#include <utility>

namespace boragecroft {
namespace {

constexpr Range kAnyCount{.low = 0, .high = 1'000'000'000};
constexpr Range kPercent{.low = 0, .high = 100};
constexpr Range kTimeout{.low = 1, .high = 3'600'000};
constexpr Range kSchemaVersions{.low = 1, .high = 2};

template <class T>
auto FindByName(const std::vector<T>& items, std::string_view name)
    -> const T* {
  const auto it = std::find_if(items.begin(), items.end(), [&](const T& item) {
    return item.name == name;
  });
  return it == items.end() ? nullptr : &*it;
}

auto ReadService(ObjectReader& reader) -> ServiceDeclaration {
  ServiceDeclaration out;
  out.name = reader.Text("name");
  out.slots_per_worker =
      reader.WholeOr("slots_per_worker", {1, 1024}, out.slots_per_worker);
  out.connections_per_worker = reader.WholeOr(
      "connections_per_worker", {1, 65536}, out.connections_per_worker);
  out.task_timeout =
      reader.MillisecondsOr("task_timeout_ms", kTimeout, out.task_timeout);
  out.lease = reader.MillisecondsOr("lease_ms", kTimeout, out.lease);
  reader.RejectUnknown();
  return out;
}

auto ReadClass(ObjectReader& reader) -> ClassDeclaration {
  ClassDeclaration out;
  out.name = reader.Text("name");
  out.floor_percent =
      reader.WholeOr("floor_percent", kPercent, out.floor_percent);
  out.default_deadline = reader.MillisecondsOr("default_deadline_ms", kTimeout,
                                               out.default_deadline);
  out.max_queued_tasks =
      reader.WholeOr("max_queued_tasks", kAnyCount, out.max_queued_tasks);
  out.record_before_start = reader.FlagOr("record_before_start", false);
  out.record_before_answer = reader.FlagOr("record_before_answer", false);
  reader.RejectUnknown();
  return out;
}

auto ReadLimits(ObjectReader& reader) -> Limits {
  Limits out;
  out.max_tasks_per_job =
      reader.WholeOr("max_tasks_per_job", {1, 2000}, out.max_tasks_per_job);
  out.max_body_bytes =
      reader.WholeOr("max_body_bytes", {1024, 64 << 20}, out.max_body_bytes);
  out.max_payload_bytes =
      reader.WholeOr("max_payload_bytes", {1, 8 << 20}, out.max_payload_bytes);
  out.max_deadline =
      reader.MillisecondsOr("max_deadline_ms", kTimeout, out.max_deadline);
  out.id_term = reader.MillisecondsOr("id_term_ms", kTimeout, out.id_term);
  out.answer_retention = reader.MillisecondsOr("answer_retention_ms", kTimeout,
                                               out.answer_retention);
  out.retry_budget_percent = reader.WholeOr("retry_budget_percent", kPercent,
                                            out.retry_budget_percent);
  out.max_ejected_percent =
      reader.WholeOr("max_ejected_percent", kPercent, out.max_ejected_percent);
  reader.RejectUnknown();
  return out;
}

auto ReadDeclarations(ObjectReader& reader, Configuration& out) -> void {
  reader.Each("zones", [&](ObjectReader& it) {
    out.zones.push_back(
        ZoneDeclaration{.name = it.Text("name"), .region = it.Text("region")});
    it.RejectUnknown();
  });
  reader.Each("services", [&](ObjectReader& it) {
    out.services.push_back(ReadService(it));
  });
  reader.Each("classes",
              [&](ObjectReader& it) { out.classes.push_back(ReadClass(it)); });
  reader.Each("teams", [&](ObjectReader& it) {
    out.teams.push_back(TeamDeclaration{
        .name = it.Text("name"),
        .quota_tasks =
            static_cast<uint32_t>(it.Whole("quota_tasks", kAnyCount))});
    it.RejectUnknown();
  });
  reader.Each("partners", [&](ObjectReader& it) {
    out.partners.push_back(PartnerDeclaration{
        .name = it.Text("name"),
        .team = it.Text("team"),
        .weight = static_cast<uint32_t>(it.WholeOr("weight", {1, 1000}, 1))});
    it.RejectUnknown();
  });
}

auto ReadDocument(const json::value& document, std::vector<FieldError>& errors)
    -> Configuration {
  ObjectReader reader(document, "", errors);
  Configuration out;
  out.schema_version =
      static_cast<int>(reader.Whole("schema_version", kSchemaVersions));
  out.deployment = reader.Text("deployment");
  ReadDeclarations(reader, out);
  out.policy = static_cast<DispatchPolicy>(
      reader.ChoiceOr("policy", {"fair", "round_robin", "two_choices"}, 0));
  if (const auto* limits = reader.Raw("limits")) {
    ObjectReader limits_reader(*limits, "limits", errors);
    out.limits = ReadLimits(limits_reader);
  }
  return out;
}

}  // namespace

auto ParseConfiguration(std::string_view text)
    -> Result<Configuration, std::vector<FieldError>> {
  const auto document = ParseJsonWithComments(text);
  if (document.has_error()) {
    const auto& error = document.error();
    return std::vector{FieldError{
        .field = "",
        .found = error.reason + " at byte " + std::to_string(error.offset),
        .allowed = "JSON, comments allowed"}};
  }
  std::vector<FieldError> errors;
  auto configuration = ReadDocument(document.value(), errors);
  if (!errors.empty()) {
    return errors;
  }
  return configuration;
}

auto FindService(const Configuration& configuration, std::string_view name)
    -> const ServiceDeclaration* {
  return FindByName(configuration.services, name);
}

auto FindClass(const Configuration& configuration, std::string_view name)
    -> const ClassDeclaration* {
  return FindByName(configuration.classes, name);
}

auto FindPartner(const Configuration& configuration, std::string_view name)
    -> const PartnerDeclaration* {
  return FindByName(configuration.partners, name);
}

auto FindTeam(const Configuration& configuration, std::string_view name)
    -> const TeamDeclaration* {
  return FindByName(configuration.teams, name);
}

}  // namespace boragecroft
