#include "servers/scheduling/job.h"

namespace boragecroft {

auto Resources::operator+=(const Resources& it) -> Resources& {
  cpu_millis += it.cpu_millis;
  memory_mb += it.memory_mb;
  accelerators += it.accelerators;
  return *this;
}

auto Resources::operator-=(const Resources& it) -> Resources& {
  cpu_millis -= it.cpu_millis;
  memory_mb -= it.memory_mb;
  accelerators -= it.accelerators;
  return *this;
}

auto Fits(const Resources& capacity,
          const Resources& used,
          const Resources& needs) -> bool {
  // Differences cannot overflow, whatever a caller asks for.
  return needs.cpu_millis <= capacity.cpu_millis - used.cpu_millis &&
         needs.memory_mb <= capacity.memory_mb - used.memory_mb &&
         needs.accelerators <= capacity.accelerators - used.accelerators;
}

}  // namespace boragecroft
