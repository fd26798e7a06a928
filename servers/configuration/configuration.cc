#include "servers/configuration/configuration.h"

#include <algorithm>

namespace boragecroft {
namespace {

template <class T>
auto FindByName(const std::vector<T>& items, std::string_view name)
    -> const T* {
  const auto it = std::find_if(items.begin(), items.end(), [&](const T& item) {
    return item.name == name;
  });
  return it == items.end() ? nullptr : &*it;
}

}  // namespace

auto ParseConfiguration(std::string_view text)
    -> Result<Configuration, std::vector<FieldError>> {
  const auto document = ParseJsonWithComments(text);
  if (document.has_error()) {
    const auto& error = document.error();
    return std::vector{FieldError{
        .field = "",
        .found = error.reason + " at byte " + std::to_string(error.offset),
        .allowed = "JSON, comments allowed"}};
  }
  return ReadConfiguration(document.value(), Strictness::kStrict);
}

auto PolicyNames() -> const std::vector<std::string>& {
  static const std::vector<std::string> names = {"fair", "round_robin",
                                                 "two_choices"};
  return names;
}

auto FindService(const Configuration& configuration, std::string_view name)
    -> const ServiceDeclaration* {
  return FindByName(configuration.services, name);
}

auto FindClass(const Configuration& configuration, std::string_view name)
    -> const ClassDeclaration* {
  return FindByName(configuration.classes, name);
}

auto FindPartner(const Configuration& configuration, std::string_view name)
    -> const PartnerDeclaration* {
  return FindByName(configuration.partners, name);
}

auto FindTeam(const Configuration& configuration, std::string_view name)
    -> const TeamDeclaration* {
  return FindByName(configuration.teams, name);
}

}  // namespace boragecroft
