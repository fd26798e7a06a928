// Defines the requests of operators to the dispatcher, and the replies.
#ifndef SERVERS_DISPATCHER_OPERATOR_MESSAGES_H_
#define SERVERS_DISPATCHER_OPERATOR_MESSAGES_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <variant>

#include "core/base/clock.h"
#include "core/base/ids.h"

namespace boragecroft {

struct ShowConfiguration {
  int schema_version = 2;
};

struct ApplyConfiguration {
  uint64_t expected_version = 0;
  std::string operation_id;
  boost::json::value document;
};

struct ListJobs {
  std::string state;    // empty: any
  std::string partner;  // empty: any
  uint32_t limit = 100;
};

struct ShowJob {
  JobId id;
};

struct CancelJob {
  JobId id;
};

// A request for the totals by partner of all submissions whose records fall
// into the period.
struct ShowAccount {
  std::string partner;  // empty: all
  WallTime from;
  WallTime to;
};

struct DumpState {};
struct ShowInstances {};
struct ShowCounters {};
struct StartDrain {};

using OperatorCall = std::variant<ShowConfiguration,
                                  ApplyConfiguration,
                                  ListJobs,
                                  ShowJob,
                                  CancelJob,
                                  ShowAccount,
                                  DumpState,
                                  ShowInstances,
                                  ShowCounters,
                                  StartDrain>;

struct OperatorRequest {
  uint64_t number = 0;
  OperatorCall call;
};

// Reply to an operator; `status` is the HTTP status code.
struct OperatorReply {
  uint64_t number = 0;
  int status = 200;
  boost::json::value body;
};

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_OPERATOR_MESSAGES_H_
