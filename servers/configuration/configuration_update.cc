#include "servers/configuration/configuration_update.h"

#include <algorithm>
#include <utility>

namespace boragecroft {
namespace {

template <class T>
auto KeepUnknown(const std::vector<T>& from, std::vector<T>& to) -> void {
  for (auto& it : to) {
    const auto old = std::find_if(from.begin(), from.end(), [&](const T& item) {
      return item.name == it.name;
    });
    if (old != from.end()) {
      it.unknown = old->unknown;
    }
  }
}

auto KeepAllUnknown(const Configuration& from, Configuration& to) -> void {
  KeepUnknown(from.zones, to.zones);
  KeepUnknown(from.services, to.services);
  KeepUnknown(from.classes, to.classes);
  KeepUnknown(from.teams, to.teams);
  KeepUnknown(from.partners, to.partners);
  to.limits.unknown = from.limits.unknown;
  to.unknown = from.unknown;
}

auto CountPartners(const Configuration& configuration, std::string_view team)
    -> size_t {
  const auto& partners = configuration.partners;
  return std::count_if(partners.begin(), partners.end(),
                       [&](const auto& it) { return it.team == team; });
}

// Assigns the partners of a document of version 1 to their teams in force.
auto RestoreTeams(const Configuration& in_force,
                  Configuration& update,
                  std::vector<FieldError>& errors) -> void {
  auto stated = std::exchange(update.teams, in_force.teams);
  for (size_t i = 0; i < update.partners.size(); ++i) {
    auto& partner = update.partners[i];
    const auto* old = FindPartner(in_force, partner.name);
    if (old == nullptr) {
      if (FindTeam(in_force, partner.name) == nullptr) {
        update.teams.push_back(stated[i]);
        continue;
      }
      errors.push_back(
          FieldError{.field = "partners[" + std::to_string(i) + "].name",
                     .found = "the name of a team in force",
                     .allowed = "another name, or schema version 2"});
      continue;
    }
    partner.team = old->team;
    const auto team = std::find_if(
        update.teams.begin(), update.teams.end(),
        [&](const TeamDeclaration& it) { return it.name == old->team; });
    if (team->quota_tasks == stated[i].quota_tasks) {
      continue;
    }
    if (CountPartners(in_force, old->team) == 1) {
      team->quota_tasks = stated[i].quota_tasks;
      continue;
    }
    errors.push_back(
        FieldError{.field = "partners[" + std::to_string(i) + "].quota_tasks",
                   .found = std::to_string(stated[i].quota_tasks),
                   .allowed = std::to_string(team->quota_tasks) +
                              ", the quota of a team with other partners; "
                              "schema version 2 can change it"});
  }
}

// Removes the teams that lost their last partner. Version 1 can't declare
// teams, so a team that had no partner before stays.
auto DropEmptiedTeams(const Configuration& in_force, Configuration& update)
    -> void {
  std::erase_if(update.teams, [&](const TeamDeclaration& it) {
    return CountPartners(in_force, it.name) > 0 &&
           CountPartners(update, it.name) == 0;
  });
}

}  // namespace

auto PrepareUpdate(const Configuration* in_force, const json::value& document)
    -> Result<Configuration, std::vector<FieldError>> {
  BOOST_OUTCOME_TRY(auto update,
                    ReadConfiguration(document, Strictness::kStrict));
  const auto stated_version = update.schema_version;
  update.schema_version = kCurrentSchemaVersion;
  if (in_force == nullptr) {
    return update;
  }
  if (stated_version == 1) {
    std::vector<FieldError> errors;
    RestoreTeams(*in_force, update, errors);
    if (!errors.empty()) {
      return errors;
    }
    DropEmptiedTeams(*in_force, update);
  }
  KeepAllUnknown(*in_force, update);
  update.schema_version =
      std::max(kCurrentSchemaVersion, in_force->schema_version);
  return update;
}

}  // namespace boragecroft
