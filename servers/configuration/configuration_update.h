// Turns a document that an operator sends into the one to be written, so that
// a client of an older version or build loses nothing of what is in force.
#ifndef SERVERS_CONFIGURATION_CONFIGURATION_UPDATE_H_
#define SERVERS_CONFIGURATION_CONFIGURATION_UPDATE_H_

#include "servers/configuration/configuration.h"

namespace boragecroft {

// Reads `document` strictly and returns what to write over `in_force`, the
// configuration of the very row that is replaced (null: there is none). Teams
// that version 1 cannot express stay as they are in force; a quota of version 1
// that would change a team with other partners is an error. Members of
// `in_force` that this build does not know stay.
auto PrepareUpdate(const Configuration* in_force, const json::value& document)
    -> Result<Configuration, std::vector<FieldError>>;

}  // namespace boragecroft

#endif  // SERVERS_CONFIGURATION_CONFIGURATION_UPDATE_H_
