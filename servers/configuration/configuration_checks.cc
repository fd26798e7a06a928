#include "servers/configuration/configuration_checks.h"

#include <algorithm>
#include <set>
#include <string>

namespace boragecroft::detail {
namespace {

constexpr size_t kMaxNameBytes = 64;
constexpr auto kNameRule =
    "1 to 64 letters, digits, dots, dashes or underscores";

auto IsNameByte(char c) -> bool {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
}

auto IsName(std::string_view text) -> bool {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), IsNameByte);
}

auto Quoted(std::string_view text) -> std::string {
  return ToJsonText(json::value(json::string(text)));
}

auto Element(std::string_view list, size_t i, std::string_view field)
    -> std::string {
  return std::string(list) + "[" + std::to_string(i) + "]." +
         std::string(field);
}

auto Milliseconds(milliseconds value) -> std::string {
  return std::to_string(value.count());
}

auto CheckName(std::string field,
               std::string_view name,
               std::vector<FieldError>& errors) -> void {
  if (!IsName(name)) {
    errors.push_back(FieldError{.field = std::move(field),
                                .found = Quoted(name),
                                .allowed = kNameRule});
  }
}

template <class T>
auto CheckNames(std::string_view list,
                const std::vector<T>& items,
                std::vector<FieldError>& errors) -> void {
  std::set<std::string_view> seen;
  for (size_t i = 0; i < items.size(); ++i) {
    const std::string_view name = items[i].name;
    CheckName(Element(list, i, "name"), name, errors);
    if (!seen.insert(name).second) {
      errors.push_back(FieldError{.field = Element(list, i, "name"),
                                  .found = Quoted(name) + " a second time",
                                  .allowed = "a name used once in this list"});
    }
  }
}

template <class T>
auto CheckNotEmpty(std::string_view list,
                   const std::vector<T>& items,
                   std::vector<FieldError>& errors) -> void {
  if (items.empty()) {
    errors.push_back(FieldError{.field = std::string(list),
                                .found = "nothing",
                                .allowed = "at least one"});
  }
}

auto CheckFloors(const std::vector<ClassDeclaration>& classes,
                 std::vector<FieldError>& errors) -> void {
  constexpr auto kMaxSum = 100 - kFloorReservePercent;
  uint32_t sum = 0;
  for (const auto& it : classes) {
    sum += it.floor_percent;
  }
  if (sum > kMaxSum) {
    errors.push_back(
        FieldError{.field = "classes",
                   .found = "floor_percent " + std::to_string(sum) + " in all",
                   .allowed = "at most " + std::to_string(kMaxSum) +
                              " in all; the rest is reserved"});
  }
}

auto CheckServices(const std::vector<ServiceDeclaration>& services,
                   std::vector<FieldError>& errors) -> void {
  for (size_t i = 0; i < services.size(); ++i) {
    const auto& it = services[i];
    if (it.lease > it.task_timeout) {
      errors.push_back(FieldError{
          .field = Element("services", i, "lease_ms"),
          .found = Milliseconds(it.lease),
          .allowed = "at most task_timeout_ms " +
                     Milliseconds(it.task_timeout) +
                     ": a lease must not outlive the wait for the answer"});
    }
    if (it.connections_per_worker < it.slots_per_worker) {
      errors.push_back(
          FieldError{.field = Element("services", i, "connections_per_worker"),
                     .found = std::to_string(it.connections_per_worker),
                     .allowed = "at least slots_per_worker " +
                                std::to_string(it.slots_per_worker)});
    }
  }
}

auto CheckDeadlines(const Configuration& configuration,
                    std::vector<FieldError>& errors) -> void {
  const auto longest = configuration.limits.max_deadline;
  for (size_t i = 0; i < configuration.classes.size(); ++i) {
    const auto deadline = configuration.classes[i].default_deadline;
    if (deadline > longest) {
      errors.push_back(FieldError{
          .field = Element("classes", i, "default_deadline_ms"),
          .found = Milliseconds(deadline),
          .allowed =
              "at most limits.max_deadline_ms " + Milliseconds(longest)});
    }
  }
}

auto CheckLimits(const Limits& limits, std::vector<FieldError>& errors)
    -> void {
  if (limits.max_payload_bytes > limits.max_body_bytes) {
    errors.push_back(
        FieldError{.field = "limits.max_payload_bytes",
                   .found = std::to_string(limits.max_payload_bytes),
                   .allowed = "at most limits.max_body_bytes " +
                              std::to_string(limits.max_body_bytes)});
  }
}

}  // namespace

auto CheckDeclarations(const Configuration& configuration,
                       std::vector<FieldError>& errors) -> void {
  CheckName("deployment", configuration.deployment, errors);
  CheckNotEmpty("zones", configuration.zones, errors);
  CheckNotEmpty("services", configuration.services, errors);
  CheckNotEmpty("classes", configuration.classes, errors);
  CheckNames("zones", configuration.zones, errors);
  CheckNames("services", configuration.services, errors);
  CheckNames("classes", configuration.classes, errors);
  CheckNames("partners", configuration.partners, errors);
  for (size_t i = 0; i < configuration.zones.size(); ++i) {
    CheckName(Element("zones", i, "region"), configuration.zones[i].region,
              errors);
  }
  CheckServices(configuration.services, errors);
  CheckFloors(configuration.classes, errors);
  CheckDeadlines(configuration, errors);
  CheckLimits(configuration.limits, errors);
}

auto CheckTeams(const Configuration& configuration,
                std::vector<FieldError>& errors) -> void {
  CheckNames("teams", configuration.teams, errors);
  for (size_t i = 0; i < configuration.partners.size(); ++i) {
    const auto& team = configuration.partners[i].team;
    if (FindTeam(configuration, team) == nullptr) {
      errors.push_back(FieldError{.field = Element("partners", i, "team"),
                                  .found = Quoted(team),
                                  .allowed = "the name of a declared team"});
    }
  }
}

}  // namespace boragecroft::detail
