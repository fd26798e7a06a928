// Provides the ids and bodies of callers' requests.
#ifndef BENCH_LOAD_SUBMISSIONS_H_
#define BENCH_LOAD_SUBMISSIONS_H_

#include <map>
#include <string>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"

namespace boragecroft::bench {

// Unused ids by instance and partner. They are fetched in batches, as a caller
// on a persistent connection does.
struct IdSource {
  std::map<std::pair<Address, std::string>, std::vector<std::string>> unused;
};

// Returns an unused id that `server` minted for the partner. Throws
// std::runtime_error when the server returns no ids.
auto TakeId(IdSource& source, const Address& server, const std::string& partner)
    -> std::string;

struct JobShape {
  std::string service;
  std::string partner;
  std::string urgency_class;
  std::string kind = "default";
  uint32_t tasks = 1;
  milliseconds run{};  // run time of each task
  milliseconds deadline{};
  milliseconds run_hint{};  // declared run time; 0: none
  bool repeatable = false;
  bool fails = false;
};

auto SubmissionBody(const JobShape& shape, const std::string& id)
    -> std::string;

}  // namespace boragecroft::bench

#endif  // BENCH_LOAD_SUBMISSIONS_H_
