// Keeps the members of a JSON object that this version does not know as text,
// so that rewriting the object does not lose them.
#ifndef SERVERS_LEDGER_UNKNOWN_MEMBERS_H_
#define SERVERS_LEDGER_UNKNOWN_MEMBERS_H_

#include <boost/json/object.hpp>
#include <string>

#include "core/json/object_reader.h"

namespace boragecroft {

// Returns the members that `reader` was not asked for as the text of a JSON
// object, empty when there are none.
auto UnknownMembersOf(const ObjectReader& reader) -> std::string;
// Adds the members in `text` that `object` does not have yet.
auto AddUnknownMembers(json::object& object, const std::string& text) -> void;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_UNKNOWN_MEMBERS_H_
