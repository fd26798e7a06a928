// Serves the requests of operators: jobs, account, instances and a dump of the
// complete state.
#ifndef SERVERS_DISPATCHER_OPERATOR_FLOW_H_
#define SERVERS_DISPATCHER_OPERATOR_FLOW_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Adds up the records of all incarnations and replies with the totals.
auto OnShowAccount(EventContext& context,
                   uint64_t number,
                   const ShowAccount& show) -> void;

// Returns the complete state of this instance as counts and bounded lists.
auto DumpOf(const Dispatcher& dispatcher, const Now& now)
    -> boost::json::object;
auto InstancesOf(const Dispatcher& dispatcher, const Now& now)
    -> boost::json::object;
auto CountersOf(const Dispatcher& dispatcher) -> boost::json::object;
auto JobSummary(const Job& job, const Now& now) -> boost::json::object;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_OPERATOR_FLOW_H_
