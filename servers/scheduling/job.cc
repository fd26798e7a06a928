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
  return used.cpu_millis + needs.cpu_millis <= capacity.cpu_millis &&
         used.memory_mb + needs.memory_mb <= capacity.memory_mb &&
         used.accelerators + needs.accelerators <= capacity.accelerators;
}

}  // namespace boragecroft
