// Converts a document that an operator sends into the one to write, so that a
// client of an older version or build does not remove parts of the
// configuration in force.
#ifndef SERVERS_CONFIGURATION_CONFIGURATION_UPDATE_H_
#define SERVERS_CONFIGURATION_CONFIGURATION_UPDATE_H_

#include "servers/configuration/configuration.h"

namespace boragecroft {

// Reads `document` strictly and returns the configuration to write over
// `in_force`, which is the configuration of the row that is replaced, or null
// when there is none. Teams that version 1 can't express stay as they are in
// force. A quota of version 1 that would change a team with other partners is
// an error. Members of `in_force` that this build does not know are kept.
auto PrepareUpdate(const Configuration* in_force, const json::value& document)
    -> Result<Configuration, std::vector<FieldError>>;

}  // namespace boragecroft

#endif  // SERVERS_CONFIGURATION_CONFIGURATION_UPDATE_H_
