// Checks the rules of a declarations document that involve several fields.
#ifndef SERVERS_CONFIGURATION_CONFIGURATION_CHECKS_H_
#define SERVERS_CONFIGURATION_CONFIGURATION_CHECKS_H_

#include <vector>

#include "servers/configuration/configuration.h"

namespace boragecroft::detail {

// Checks names, floors, limits and time relations, which are the same in each
// schema version. Positions in the errors refer to the lists in
// `configuration`.
auto CheckDeclarations(const Configuration& configuration,
                       std::vector<FieldError>& errors) -> void;
// Checks that each partner's team is declared and that team names are valid.
auto CheckTeams(const Configuration& configuration,
                std::vector<FieldError>& errors) -> void;

}  // namespace boragecroft::detail

#endif  // SERVERS_CONFIGURATION_CONFIGURATION_CHECKS_H_
