// Defines the declarations that operators keep under version control, as one
// document that is in force everywhere. Two schema versions are supported:
// version 1 (a quota on each partner, classes ordered by `priority`) and
// version 2 (teams with quotas, classes in list order).
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
  // Members that a newer writer added, kept when rewriting.
  json::object unknown;
};

struct ServiceDeclaration {
  std::string name;
  uint32_t slots_per_worker = 8;
  uint32_t connections_per_worker = 64;
  // An endpoint that has not answered by then counts as giving no response.
  milliseconds task_timeout = seconds(30);
  // A worker stops a task whose lease was not renewed for this long.
  milliseconds lease = seconds(10);
  // Members that a newer writer added, kept when rewriting.
  json::object unknown;
};

// A class of urgency. Classes are listed from the most to the least urgent.
struct ClassDeclaration {
  std::string name;
  // Share of the slots that the class keeps while more urgent work takes all
  // others.
  uint32_t floor_percent = 0;
  milliseconds default_deadline = seconds(30);
  uint32_t max_queued_tasks = 20000;  // for each instance
  // A task is started only once a watermark that covers it is durable.
  bool record_before_start = false;
  // The final record is durable before the caller gets its answer.
  bool record_before_answer = false;
  // Members that a newer writer added, kept when rewriting.
  json::object unknown;
};

struct TeamDeclaration {
  std::string name;
  // Largest number of the team's tasks in progress on all instances together.
  uint32_t quota_tasks = 0;
  // Members that a newer writer added, kept when rewriting.
  json::object unknown;
};

struct PartnerDeclaration {
  std::string name;
  std::string team;
  uint32_t weight = 1;  // share relative to other partners in the same class
  // Members that a newer writer added, kept when rewriting.
  json::object unknown;
};

enum class DispatchPolicy : uint8_t { kFair, kRoundRobin, kTwoChoices };

// Returns the names of the policies in documents, in the order of
// `DispatchPolicy`.
auto PolicyNames() -> const std::vector<std::string>&;

struct Limits {
  uint32_t max_tasks_per_job = 2000;
  uint32_t max_body_bytes = 8U << 20U;
  uint32_t max_payload_bytes = 64U << 10U;
  milliseconds max_deadline = std::chrono::minutes(10);
  // An id that is unused for longer is refused.
  milliseconds id_term = std::chrono::minutes(10);
  // The owner keeps answers in memory for this long.
  milliseconds answer_retention = std::chrono::minutes(10);
  // Additional starts of repeatable tasks, as a share of first starts.
  uint32_t retry_budget_percent = 10;
  // Share of workers that may be ejected at the same time.
  uint32_t max_ejected_percent = 30;
  json::object unknown;
};

// The schema versions that this build writes. A document of a newer version is
// read like one of the current version, and its unknown members are kept.
constexpr int kOldestSchemaVersion = 1;
constexpr int kCurrentSchemaVersion = 2;

// Share of the slots that floors can't reserve, so that the most urgent work
// always finds free slots.
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

// Whether members that this build does not know are errors: strict for
// documents that people write, lenient for documents that other processes send.
enum class Strictness : uint8_t { kStrict, kLenient };

// Reads and checks a declarations document that a person wrote. The errors name
// each faulty field.
auto ParseConfiguration(std::string_view text)
    -> Result<Configuration, std::vector<FieldError>>;
// Reads and checks a document of either schema version. A document of version 1
// is converted to the current shape: one team for each partner, and classes in
// the order of their priority.
auto ReadConfiguration(const json::value& document, Strictness strictness)
    -> Result<Configuration, std::vector<FieldError>>;
// Returns the document in the shape of `schema_version`, including the members
// that this build does not know. In version 1, each partner has its team's
// quota.
auto ToJson(const Configuration& configuration, int schema_version)
    -> json::value;

// Returns the declaration with this name, or null.
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
