// What a caller does, in blocking calls: fetch ids, submit, fetch and cancel.
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

// Ids fetched from one instance; empty when it gives none.
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

// Done, failed or refused: the state that every instance has to repeat.
auto IsFinal(const JsonReply& reply) -> bool;
// Fetches until the answer is final or `timeout` has passed; the last answer.
auto AwaitFinal(const Address& server,
                const std::string& id,
                const std::string& partner,
                milliseconds timeout) -> JsonReply;

// A complete answer has a result for each task or none at all.
auto IsComplete(const JsonReply& reply, int tasks) -> bool;
// How many of the answer's tasks are in `state`.
auto CountTasks(const JsonReply& reply, std::string_view state) -> int;
// The state of one task in a failed answer; empty when it has none.
auto TaskStateOf(const JsonReply& reply, size_t index) -> std::string;

// Polls until `holds` or `timeout` has passed; whether it held.
auto Eventually(milliseconds timeout, const std::function<bool()>& condition)
    -> bool;

}  // namespace boragecroft::lab

#endif  // TESTS_LAB_CALLER_H_
