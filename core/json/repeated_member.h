// Finds a member that occurs twice in one JSON object. JSON parsers keep the
// last one and report no error.
#ifndef CORE_JSON_REPEATED_MEMBER_H_
#define CORE_JSON_REPEATED_MEMBER_H_

#include <optional>
#include <string>
#include <string_view>

namespace boragecroft {

// Returns the path of the first repeated member, such as "tasks[3].letter", or
// nullopt when no member is repeated before the end of the text or its first
// syntax error.
auto FindRepeatedMember(std::string_view text) -> std::optional<std::string>;

}  // namespace boragecroft

#endif  // CORE_JSON_REPEATED_MEMBER_H_
