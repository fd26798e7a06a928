// Finds a member that an object has twice. Parsers keep the last one without a
// word.
#ifndef CORE_JSON_REPEATED_MEMBER_H_
#define CORE_JSON_REPEATED_MEMBER_H_

#include <optional>
#include <string>
#include <string_view>

namespace boragecroft {

// The path of the first repetition, such as "tasks[3].letter"; empty when there
// is none or the text is no JSON.
auto FindRepeatedMember(std::string_view text) -> std::optional<std::string>;

}  // namespace boragecroft

#endif  // CORE_JSON_REPEATED_MEMBER_H_
