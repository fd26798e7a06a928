#include "servers/configuration/configuration_diff.h"

#include <algorithm>
#include <utility>

namespace boragecroft {
namespace {

using Changes = std::vector<ConfigurationChange>;

auto Added(std::string field, const json::value& value) -> ConfigurationChange {
  return {.kind = ChangeKind::kAdded,
          .field = std::move(field),
          .before = {},
          .after = ToJsonText(value)};
}

auto Removed(std::string field, const json::value& value)
    -> ConfigurationChange {
  return {.kind = ChangeKind::kRemoved,
          .field = std::move(field),
          .before = ToJsonText(value),
          .after = {}};
}

auto NameOf(const json::value& element) -> std::string {
  return std::string(element.at("name").as_string());
}

auto FindNamed(const json::array& list, const std::string& name)
    -> const json::value* {
  for (const auto& it : list) {
    if (NameOf(it) == name) {
      return &it;
    }
  }
  return nullptr;
}

auto DiffObjects(const std::string& path,
                 const json::object& before,
                 const json::object& after,
                 Changes& out) -> void {
  for (const auto& it : before) {
    const auto field = path + std::string(it.key());
    const auto* other = after.if_contains(it.key());
    if (other == nullptr) {
      out.push_back(Removed(field, it.value()));
    } else if (*other != it.value()) {
      out.push_back({.kind = ChangeKind::kChanged,
                     .field = field,
                     .before = ToJsonText(it.value()),
                     .after = ToJsonText(*other)});
    }
  }
  for (const auto& it : after) {
    if (!before.contains(it.key())) {
      out.push_back(Added(path + std::string(it.key()), it.value()));
    }
  }
}

auto DiffLists(const std::string& list,
               const json::array& before,
               const json::array& after,
               Changes& out) -> void {
  for (const auto& it : before) {
    const auto field = list + "[" + NameOf(it) + "]";
    if (const auto* other = FindNamed(after, NameOf(it))) {
      DiffObjects(field + ".", it.get_object(), other->get_object(), out);
    } else {
      out.push_back(Removed(field, it));
    }
  }
  for (const auto& it : after) {
    if (FindNamed(before, NameOf(it)) == nullptr) {
      out.push_back(Added(list + "[" + NameOf(it) + "]", it));
    }
  }
}

// Returns the names of the classes of `from` that are also in `other`, in
// order.
auto SharedClasses(const Configuration& from, const Configuration& other)
    -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& it : from.classes) {
    if (FindClass(other, it.name) != nullptr) {
      out.push_back(it.name);
    }
  }
  return out;
}

auto PositionOf(const Configuration& configuration, const std::string& name)
    -> std::string {
  const auto& classes = configuration.classes;
  const auto it =
      std::find_if(classes.begin(), classes.end(),
                   [&](const auto& item) { return item.name == name; });
  return std::to_string(it - classes.begin());
}

auto DiffClassOrder(const Configuration& before,
                    const Configuration& after,
                    Changes& out) -> void {
  const auto old_order = SharedClasses(before, after);
  const auto new_order = SharedClasses(after, before);
  for (size_t i = 0; i < old_order.size(); ++i) {
    if (old_order[i] != new_order[i]) {
      out.push_back({.kind = ChangeKind::kMoved,
                     .field = "classes[" + new_order[i] + "]",
                     .before = PositionOf(before, new_order[i]),
                     .after = PositionOf(after, new_order[i])});
    }
  }
}

}  // namespace

auto ToString(ChangeKind kind) -> std::string_view {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
    case ChangeKind::kMoved:
      return "moved";
  }
  return "unknown";
}

auto ToString(const ConfigurationChange& change) -> std::string {
  auto out = std::string(ToString(change.kind)) + " " + change.field + ": ";
  if (change.before.empty() || change.after.empty()) {
    return out + change.before + change.after;
  }
  return out + change.before + " -> " + change.after;
}

auto DiffConfigurations(const Configuration& before, const Configuration& after)
    -> std::vector<ConfigurationChange> {
  auto old_document = ToJson(before, kCurrentSchemaVersion).as_object();
  auto new_document = ToJson(after, kCurrentSchemaVersion).as_object();
  Changes out;
  for (const auto* list :
       {"zones", "services", "classes", "teams", "partners"}) {
    DiffLists(list, old_document[list].as_array(),
              new_document[list].as_array(), out);
    old_document.erase(list);
    new_document.erase(list);
  }
  DiffClassOrder(before, after, out);
  DiffObjects("limits.", old_document["limits"].as_object(),
              new_document["limits"].as_object(), out);
  old_document.erase("limits");
  new_document.erase("limits");
  DiffObjects("", old_document, new_document, out);
  return out;
}

}  // namespace boragecroft
