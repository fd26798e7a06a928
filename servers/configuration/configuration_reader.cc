#include <algorithm>
#include <limits>
#include <numeric>
#include <set>
#include <utility>

#include "servers/configuration/configuration.h"
#include "servers/configuration/configuration_checks.h"

namespace boragecroft {
namespace {

constexpr Range kAnyCount{.low = 0, .high = 1'000'000'000};
constexpr Range kPercent{.low = 0, .high = 100};
constexpr Range kTimeout{.low = 1, .high = 3'600'000};
constexpr Range kPriority{.low = 0, .high = 1000};

// The data that reading collects in addition to the configuration itself.
struct ReadContext {
  Strictness strictness = Strictness::kStrict;
  int schema_version = kCurrentSchemaVersion;
  std::vector<int64_t> priorities;  // version 1: one for each class
  std::vector<uint32_t> quotas;     // version 1: one for each partner
};

// Reports the members that the reader was not asked for as errors, or returns
// them to be kept.
auto RejectOrKeepUnknown(ObjectReader& reader, const ReadContext& context)
    -> json::object {
  if (context.strictness == Strictness::kStrict) {
    reader.RejectUnknown();
    return {};
  }
  return reader.Unknown();
}

auto ReadZone(ObjectReader& reader, const ReadContext& context)
    -> ZoneDeclaration {
  ZoneDeclaration out;
  out.name = reader.Text("name");
  out.region = reader.Text("region");
  out.unknown = RejectOrKeepUnknown(reader, context);
  return out;
}

auto ReadService(ObjectReader& reader, const ReadContext& context)
    -> ServiceDeclaration {
  ServiceDeclaration out;
  out.name = reader.Text("name");
  out.slots_per_worker =
      reader.IntegerOr("slots_per_worker", {1, 1024}, out.slots_per_worker);
  out.connections_per_worker = reader.IntegerOr(
      "connections_per_worker", {1, 65536}, out.connections_per_worker);
  out.task_timeout =
      reader.MillisecondsOr("task_timeout_ms", kTimeout, out.task_timeout);
  out.lease = reader.MillisecondsOr("lease_ms", kTimeout, out.lease);
  out.unknown = RejectOrKeepUnknown(reader, context);
  return out;
}

auto ReadClass(ObjectReader& reader, ReadContext& context) -> ClassDeclaration {
  ClassDeclaration out;
  out.name = reader.Text("name");
  if (context.schema_version == 1) {
    const auto priority = reader.Integer("priority", kPriority);
    const auto& seen = context.priorities;
    if (reader.Has("priority") &&
        std::find(seen.begin(), seen.end(), priority) != seen.end()) {
      reader.Fail("priority", std::to_string(priority) + " a second time",
                  "a number that no other class has");
    }
    context.priorities.push_back(priority);
  }
  out.floor_percent =
      reader.IntegerOr("floor_percent", kPercent, out.floor_percent);
  out.default_deadline = reader.MillisecondsOr("default_deadline_ms", kTimeout,
                                               out.default_deadline);
  out.max_queued_tasks =
      reader.IntegerOr("max_queued_tasks", kAnyCount, out.max_queued_tasks);
  out.record_before_start = reader.FlagOr("record_before_start", false);
  out.record_before_answer = reader.FlagOr("record_before_answer", false);
  out.unknown = RejectOrKeepUnknown(reader, context);
  return out;
}

auto ReadTeam(ObjectReader& reader, const ReadContext& context)
    -> TeamDeclaration {
  TeamDeclaration out;
  out.name = reader.Text("name");
  out.quota_tasks = reader.Integer("quota_tasks", kAnyCount);
  out.unknown = RejectOrKeepUnknown(reader, context);
  return out;
}

auto ReadPartner(ObjectReader& reader, ReadContext& context)
    -> PartnerDeclaration {
  PartnerDeclaration out;
  out.name = reader.Text("name");
  if (context.schema_version == 1) {
    context.quotas.push_back(reader.Integer("quota_tasks", kAnyCount));
    out.team = out.name;
  } else {
    out.team = reader.Text("team");
  }
  out.weight = reader.IntegerOr("weight", {1, 1000}, out.weight);
  out.unknown = RejectOrKeepUnknown(reader, context);
  return out;
}

auto ReadLimits(ObjectReader& reader, const ReadContext& context) -> Limits {
  Limits out;
  out.max_tasks_per_job =
      reader.IntegerOr("max_tasks_per_job", {1, 2000}, out.max_tasks_per_job);
  out.max_body_bytes =
      reader.IntegerOr("max_body_bytes", {1024, 64 << 20}, out.max_body_bytes);
  out.max_payload_bytes = reader.IntegerOr("max_payload_bytes", {1, 8 << 20},
                                           out.max_payload_bytes);
  out.max_deadline =
      reader.MillisecondsOr("max_deadline_ms", kTimeout, out.max_deadline);
  out.id_term = reader.MillisecondsOr("id_term_ms", kTimeout, out.id_term);
  out.answer_retention = reader.MillisecondsOr("answer_retention_ms", kTimeout,
                                               out.answer_retention);
  out.retry_budget_percent = reader.IntegerOr("retry_budget_percent", kPercent,
                                              out.retry_budget_percent);
  out.max_ejected_percent = reader.IntegerOr("max_ejected_percent", kPercent,
                                             out.max_ejected_percent);
  out.unknown = RejectOrKeepUnknown(reader, context);
  return out;
}

auto ReadLists(ObjectReader& reader, ReadContext& context, Configuration& out)
    -> void {
  reader.Each("zones", [&](ObjectReader& it) {
    out.zones.push_back(ReadZone(it, context));
  });
  reader.Each("services", [&](ObjectReader& it) {
    out.services.push_back(ReadService(it, context));
  });
  reader.Each("classes", [&](ObjectReader& it) {
    out.classes.push_back(ReadClass(it, context));
  });
  if (context.schema_version != 1) {
    reader.Each("teams", [&](ObjectReader& it) {
      out.teams.push_back(ReadTeam(it, context));
    });
  }
  reader.Each("partners", [&](ObjectReader& it) {
    out.partners.push_back(ReadPartner(it, context));
  });
}

// Reads a faulty version as the current one, so that the rest of the document
// is checked too.
auto ReadSchemaVersion(ObjectReader& reader,
                       Strictness strictness,
                       const std::vector<FieldError>& errors) -> int {
  const auto newest = strictness == Strictness::kStrict
                          ? kCurrentSchemaVersion
                          : std::numeric_limits<int>::max();
  const auto version =
      reader.Integer("schema_version", {kOldestSchemaVersion, newest});
  return errors.empty() ? static_cast<int>(version) : kCurrentSchemaVersion;
}

auto ReadDocument(const json::value& document,
                  ReadContext& context,
                  std::vector<FieldError>& errors) -> Configuration {
  ObjectReader reader(document, "", errors);
  Configuration out;
  out.schema_version = ReadSchemaVersion(reader, context.strictness, errors);
  context.schema_version = out.schema_version;
  out.deployment = reader.Text("deployment");
  ReadLists(reader, context, out);
  out.policy =
      static_cast<DispatchPolicy>(reader.ChoiceOr("policy", PolicyNames(), 0));
  if (const auto* limits = reader.Raw("limits")) {
    ObjectReader limits_reader(*limits, "limits", errors);
    out.limits = ReadLimits(limits_reader, context);
  }
  out.unknown = RejectOrKeepUnknown(reader, context);
  return out;
}

auto OrderClassesByPriority(Configuration& configuration,
                            const std::vector<int64_t>& priorities) -> void {
  std::vector<size_t> order(priorities.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&](size_t a, size_t b) { return priorities[a] < priorities[b]; });
  std::vector<ClassDeclaration> classes;
  classes.reserve(order.size());
  for (const auto i : order) {
    classes.push_back(std::move(configuration.classes[i]));
  }
  configuration.classes = std::move(classes);
}

// Converts a document of version 1 to the current shape.
auto UpgradeFromVersion1(Configuration& configuration,
                         const ReadContext& context) -> void {
  OrderClassesByPriority(configuration, context.priorities);
  for (size_t i = 0; i < configuration.partners.size(); ++i) {
    TeamDeclaration team;
    team.name = configuration.partners[i].name;
    team.quota_tasks = context.quotas[i];
    configuration.teams.push_back(std::move(team));
  }
}

// Runs the checks that involve several fields. A field that already has an
// error is not reported again.
auto CheckAcrossFields(const Configuration& configuration,
                       const ReadContext& context,
                       std::vector<FieldError>& errors) -> void {
  std::set<std::string> reported;
  for (const auto& it : errors) {
    reported.insert(it.field);
  }
  std::vector<FieldError> found;
  detail::CheckDeclarations(configuration, found);
  if (context.schema_version != 1) {
    detail::CheckTeams(configuration, found);
  }
  for (auto& it : found) {
    if (!reported.contains(it.field)) {
      errors.push_back(std::move(it));
    }
  }
}

}  // namespace

auto ReadConfiguration(const json::value& document, Strictness strictness)
    -> Result<Configuration, std::vector<FieldError>> {
  std::vector<FieldError> errors;
  ReadContext context;
  context.strictness = strictness;
  auto configuration = ReadDocument(document, context, errors);
  CheckAcrossFields(configuration, context, errors);
  if (!errors.empty()) {
    return errors;
  }
  if (context.schema_version == 1) {
    UpgradeFromVersion1(configuration, context);
  }
  return configuration;
}

}  // namespace boragecroft
