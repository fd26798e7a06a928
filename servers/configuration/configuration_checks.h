// Checks that span several fields of a declarations document.
#ifndef SERVERS_CONFIGURATION_CONFIGURATION_CHECKS_H_
#define SERVERS_CONFIGURATION_CONFIGURATION_CHECKS_H_

#include <vector>

#include "servers/configuration/configuration.h"

namespace boragecroft::detail {

// Names, floors, limits and time relations, the same in each schema version.
// Positions in the errors are those of the lists in `configuration`.
auto CheckDeclarations(const Configuration& configuration,
                       std::vector<FieldError>& errors) -> void;
// Each partner's team is declared, and team names are sound.
auto CheckTeams(const Configuration& configuration,
                std::vector<FieldError>& errors) -> void;

}  // namespace boragecroft::detail

#endif  // SERVERS_CONFIGURATION_CONFIGURATION_CHECKS_H_
