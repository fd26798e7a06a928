// Lists the differences between two configurations for people.
#ifndef SERVERS_CONFIGURATION_CONFIGURATION_DIFF_H_
#define SERVERS_CONFIGURATION_CONFIGURATION_DIFF_H_

#include <string>
#include <vector>

#include "servers/configuration/configuration.h"

namespace boragecroft {

enum class ChangeKind : uint8_t { kAdded, kRemoved, kChanged, kMoved };

// One difference. Values are JSON texts, empty when there is none.
struct ConfigurationChange {
  ChangeKind kind = ChangeKind::kChanged;
  std::string field;  // for example "partners[banco-norte].weight"
  std::string before;
  std::string after;

  auto operator==(const ConfigurationChange&) const -> bool = default;
};

auto ToString(ChangeKind kind) -> std::string_view;
// Returns a text such as "changed partners[banco-norte].weight: 1 -> 3".
auto ToString(const ConfigurationChange& change) -> std::string;

// Returns the differences. Members are compared by value, list elements by
// name. A class whose rank among the classes in both configurations changed is
// reported as moved, with its positions.
auto DiffConfigurations(const Configuration& before, const Configuration& after)
    -> std::vector<ConfigurationChange>;

}  // namespace boragecroft

#endif  // SERVERS_CONFIGURATION_CONFIGURATION_DIFF_H_
