#include "servers/ledger/unknown_members.h"

namespace boragecroft {

auto UnknownMembersOf(const ObjectReader& reader) -> std::string {
  const auto unknown = reader.Unknown();
  return unknown.empty() ? std::string() : ToJsonText(json::value(unknown));
}

auto AddUnknownMembers(json::object& object, const std::string& text) -> void {
  const auto parsed = ParseJson(text);
  if (!parsed || !parsed.value().is_object()) {
    return;
  }
  for (const auto& it : parsed.value().get_object()) {
    object.emplace(it.key(), it.value());
  }
}

}  // namespace boragecroft
