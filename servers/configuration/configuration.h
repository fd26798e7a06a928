// The declarations that operators keep under version control: one document that
// is in force everywhere. Two schema versions stand side by side: version 1
// (quota on each partner, classes ordered by `priority`) and version 2 (teams
// with quotas, classes in list order).
#ifndef SERVERS_CONFIGURATION_CONFIGURATION_H_
#define SERVERS_CONFIGURATION_CONFIGURATION_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"
#include "core/base/result.h"
#include "core/json/object_reader.h"

namespace boragecroft {

struct ZoneDeclaration {
  std::string name;
  std::string region;
  json::object unknown;  // members of a newer writer, kept for a rewrite
};

struct ServiceDeclaration {
  std::string name;
  uint32_t slots_per_worker = 8;
  uint32_t connections_per_worker = 64;
  milliseconds task_timeout = seconds(
      30);  // an endpoint that has not answered by then counts as silent
  milliseconds lease = seconds(
      10);  // a worker stops a task whose lease was not renewed for this long
  json::object unknown;  // members of a newer writer, kept for a rewrite
};

// A class of urgency. Classes are listed from the most to the least urgent.
struct ClassDeclaration {
  std::string name;
  uint32_t floor_percent = 0;  // share of the slots that the class keeps while
                               // more urgent work floods
  milliseconds default_deadline = seconds(30);
  uint32_t max_queued_tasks = 20000;  // per instance
  bool record_before_start =
      false;  // the watermark is durable before dispatch goes past it
  bool record_before_answer =
      false;  // the final record is durable before the caller gets its answer
  json::object unknown;  // members of a newer writer, kept for a rewrite
};

struct TeamDeclaration {
  std::string name;
  uint32_t quota_tasks = 0;  // tasks of the team in progress over all instances
  json::object unknown;      // members of a newer writer, kept for a rewrite
};

struct PartnerDeclaration {
  std::string name;
  std::string team;
  uint32_t weight = 1;   // share relative to other partners of the same class
  json::object unknown;  // members of a newer writer, kept for a rewrite
};

enum class DispatchPolicy : uint8_t { kFair, kRoundRobin, kTwoChoices };

// Names of the policies in documents, in the order of `DispatchPolicy`.
auto PolicyNames() -> const std::vector<std::string>&;

struct Limits {
  uint32_t max_tasks_per_job = 2000;
  uint32_t max_body_bytes = 8U << 20U;
  uint32_t max_payload_bytes = 64U << 10U;
  milliseconds max_deadline = std::chrono::minutes(10);
  milliseconds id_term =
      std::chrono::minutes(10);  // an id unused for longer is refused
  milliseconds answer_retention = std::chrono::minutes(
      10);  // the owner keeps answers in memory for this long
  uint32_t retry_budget_percent =
      10;  // extra starts of repeatable tasks, as a share of first starts
  uint32_t max_ejected_percent =
      30;  // share of workers that may be put aside at once
  json::object unknown;
};

// Schema versions that this build writes; a newer one is read as the current
// one, its unknown members kept.
constexpr int kOldestSchemaVersion = 1;
constexpr int kCurrentSchemaVersion = 2;

// Share of the slots that no floor may claim, so that the most urgent work
// always finds some.
constexpr uint32_t kFloorReservePercent = 10;

struct Configuration {
  int schema_version = kCurrentSchemaVersion;
  std::string deployment;
  std::vector<ZoneDeclaration> zones;
  std::vector<ServiceDeclaration> services;
  std::vector<ClassDeclaration> classes;
  std::vector<TeamDeclaration> teams;
  std::vector<PartnerDeclaration> partners;
  DispatchPolicy policy = DispatchPolicy::kFair;
  Limits limits;
  json::object unknown;
};

// Whether members that this build does not know are errors: strict for what
// people write, lenient for what other processes pass on.
enum class Strictness : uint8_t { kStrict, kLenient };

// Reads and checks a declarations document that a person wrote; errors name
// each faulty field.
auto ParseConfiguration(std::string_view text)
    -> Result<Configuration, std::vector<FieldError>>;
// Reads and checks a document of either schema version. A document of version 1
// comes out in the current shape: a team of its own for each partner, classes
// in the order of their priority.
auto ReadConfiguration(const json::value& document, Strictness strictness)
    -> Result<Configuration, std::vector<FieldError>>;
// The document in the shape of `schema_version`, with the members that this
// build does not know. In version 1 each partner states its team's quota.
auto ToJson(const Configuration& configuration, int schema_version)
    -> json::value;

// The declaration with this name, or null.
auto FindService(const Configuration& configuration, std::string_view name)
    -> const ServiceDeclaration*;
auto FindClass(const Configuration& configuration, std::string_view name)
    -> const ClassDeclaration*;
auto FindPartner(const Configuration& configuration, std::string_view name)
    -> const PartnerDeclaration*;
auto FindTeam(const Configuration& configuration, std::string_view name)
    -> const TeamDeclaration*;

}  // namespace boragecroft

#endif  // SERVERS_CONFIGURATION_CONFIGURATION_H_
