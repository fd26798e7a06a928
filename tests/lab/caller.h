// Blocking calls of a caller: fetch ids, submit a job, fetch its answer and
// cancel it.
#ifndef TESTS_LAB_CALLER_H_
#define TESTS_LAB_CALLER_H_

#include <boost/json/object.hpp>
#include <functional>
#include <string>
#include <vector>

#include "tests/lab/sync_client.h"

namespace boragecroft::lab {

struct JobSpec {
  std::string id;
  std::string partner = "agents";
  std::string urgency_class = "demands";
  std::string service = "cartas";
  int tasks = 1;
  int run_ms = 50;
  milliseconds deadline{60000};
};

// Returns ids fetched from one instance; empty when it returns none.
auto MintIds(const Address& server, const std::string& partner, int count)
    -> std::vector<std::string>;
auto ToBody(const JobSpec& job) -> boost::json::object;
auto Submit(const Address& server,
            const JobSpec& job,
            milliseconds wait = milliseconds(0)) -> JsonReply;
auto Fetch(const Address& server,
           const std::string& id,
           const std::string& partner,
           milliseconds wait = milliseconds(0)) -> JsonReply;
auto Cancel(const Address& server,
            const std::string& id,
            const std::string& partner) -> JsonReply;

// Reports whether the state is done, failed or refused. Every instance has to
// give the same final state.
auto IsFinal(const JsonReply& reply) -> bool;
// Fetches until the answer is final or `timeout` has passed, and returns the
// last answer.
auto AwaitFinal(const Address& server,
                const std::string& id,
                const std::string& partner,
                milliseconds timeout) -> JsonReply;

// Reports whether an answer is complete: a done job has a result for each task,
// any other job has no results at all.
auto IsComplete(const JsonReply& reply, int tasks) -> bool;
// Returns how many of the answer's tasks are in `state`.
auto CountTasks(const JsonReply& reply, std::string_view state) -> int;
// Returns the state of one task in the answer of a failed job; empty when the
// answer has none.
auto TaskStateOf(const JsonReply& reply, size_t index) -> std::string;

// Polls until `condition` returns true or `timeout` has passed, and reports
// whether the condition became true.
auto Eventually(milliseconds timeout, const std::function<bool()>& condition)
    -> bool;

}  // namespace boragecroft::lab

#endif  // TESTS_LAB_CALLER_H_
