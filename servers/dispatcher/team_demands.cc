#include "servers/dispatcher/team_demands.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <string>

namespace boragecroft {
namespace {

auto TasksOf(const std::vector<TeamTasks>& demands, const std::string& team)
    -> uint32_t {
  const auto it = std::find_if(
      demands.begin(), demands.end(),
      [&](const TeamTasks& demand) { return demand.team == team; });
  return it == demands.end() ? 0 : it->tasks;
}

}  // namespace

auto TeamsDigest(const Configuration& configuration) -> uint32_t {
  std::string names;
  for (const auto& it : configuration.teams) {
    names += it.name;
    names += '\n';
  }
  return XXH32(names.data(), names.size(), /*seed=*/0);
}

auto EncodeTeamDemands(const Configuration& configuration,
                       const std::vector<TeamTasks>& demands,
                       uint32_t receiver_digest,
                       Heartbeat& heartbeat) -> void {
  heartbeat.teams_digest = TeamsDigest(configuration);
  if (receiver_digest == heartbeat.teams_digest) {
    for (const auto& it : configuration.teams) {
      heartbeat.team_tasks.push_back(TasksOf(demands, it.name));
    }
    return;
  }
  for (const auto& it : demands) {
    if (it.tasks > 0) {
      heartbeat.team_demands.push_back(
          Demand{.name = it.team, .tasks = it.tasks});
    }
  }
}

auto DecodeTeamDemands(const Configuration& configuration,
                       const Heartbeat& heartbeat) -> std::vector<TeamTasks> {
  std::vector<TeamTasks> demands;
  for (const auto& it : heartbeat.team_demands) {
    demands.push_back(TeamTasks{.team = it.name, .tasks = it.tasks});
  }
  const auto& teams = configuration.teams;
  if (heartbeat.teams_digest != TeamsDigest(configuration) ||
      heartbeat.team_tasks.size() != teams.size()) {
    return demands;
  }
  for (size_t i = 0; i < teams.size(); ++i) {
    demands.push_back(
        TeamTasks{.team = teams[i].name, .tasks = heartbeat.team_tasks[i]});
  }
  return demands;
}

}  // namespace boragecroft
