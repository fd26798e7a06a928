// Identifies a kind of work, for which run times and failure rates are
// estimated.
#ifndef SERVERS_ESTIMATES_WORK_KIND_H_
#define SERVERS_ESTIMATES_WORK_KIND_H_

#include <compare>
#include <functional>
#include <string>

namespace boragecroft {

struct WorkKind {
  std::string service;
  std::string kind;

  auto operator<=>(const WorkKind&) const = default;
};

}  // namespace boragecroft

template <>
struct std::hash<boragecroft::WorkKind> {
  auto operator()(const boragecroft::WorkKind& it) const noexcept -> size_t {
    return std::hash<std::string>()(it.service) * 31 +
           std::hash<std::string>()(it.kind);
  }
};

#endif  // SERVERS_ESTIMATES_WORK_KIND_H_
