#include "servers/routing/routes.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <utility>

namespace boragecroft {

auto FindRoute(const RouteTable& table,
               std::string_view host,
               std::string_view path) -> std::optional<RoutedPath> {
  const auto name = host.substr(0, host.rfind(':'));
  const Route* best = nullptr;
  for (const auto& it : table.routes) {
    const auto longer =
        best == nullptr || it.prefix.size() > best->prefix.size();
    if (longer && path.starts_with(it.prefix) &&
        boost::algorithm::iequals(it.host, name)) {
      best = &it;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return RoutedPath{.route = best, .rest = path.substr(best->prefix.size())};
}

auto AdoptRoutes(RouteTable& current, RouteTable candidate) -> bool {
  if (candidate.version <= current.version) {
    return false;
  }
  current = std::move(candidate);
  return true;
}

}  // namespace boragecroft
