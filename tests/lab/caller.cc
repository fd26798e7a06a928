#include "tests/lab/caller.h"

#include <boost/json/array.hpp>
#include <thread>

namespace boragecroft::lab {
namespace {

namespace json = boost::json;

constexpr milliseconds kPollInterval{20};
constexpr milliseconds kAnswerTimeout{10000};
constexpr milliseconds kLongPoll{1000};

auto ArrayOf(const JsonReply& reply, std::string_view key)
    -> const json::array* {
  const auto* object = reply.body.if_object();
  const auto* value = object == nullptr ? nullptr : object->if_contains(key);
  return value == nullptr ? nullptr : value->if_array();
}

auto WaitQuery(milliseconds wait) -> std::string {
  return "wait_ms=" + std::to_string(wait.count());
}

}  // namespace

auto MintIds(const Address& server, const std::string& partner, int count)
    -> std::vector<std::string> {
  const auto reply =
      Post(server, "/v1/ids",
           {{"schema_version", 2}, {"partner", partner}, {"count", count}});
  std::vector<std::string> ids;
  if (const auto* minted = ArrayOf(reply, "ids")) {
    for (const auto& it : *minted) {
      ids.emplace_back(it.as_string());
    }
  }
  return ids;
}

auto ToBody(const JobSpec& job) -> json::object {
  json::array payloads;
  for (auto i = 0; i < job.tasks; ++i) {
    json::object payload;
    payload["run_ms"] = job.run_ms;
    payloads.emplace_back(std::move(payload));
  }
  json::object body;
  body["schema_version"] = 2;
  body["id"] = job.id;
  body["partner"] = job.partner;
  body["service"] = job.service;
  body["kind"] = job.urgency_class;
  body["class"] = job.urgency_class;
  body["deadline_ms"] = job.deadline.count();
  body["tasks"] = std::move(payloads);
  return body;
}

auto Submit(const Address& server, const JobSpec& job, milliseconds wait)
    -> JsonReply {
  return Post(server, "/v1/jobs?" + WaitQuery(wait), ToBody(job),
              wait + kAnswerTimeout);
}

auto Fetch(const Address& server,
           const std::string& id,
           const std::string& partner,
           milliseconds wait) -> JsonReply {
  return Get(server,
             "/v1/jobs/" + id + "?partner=" + partner + "&" + WaitQuery(wait),
             wait + kAnswerTimeout);
}

auto Cancel(const Address& server,
            const std::string& id,
            const std::string& partner) -> JsonReply {
  return Send(server, "POST", "/v1/jobs/" + id + "/cancel?partner=" + partner,
              "", kAnswerTimeout);
}

auto IsFinal(const JsonReply& reply) -> bool {
  const auto state = reply.Text("state");
  return state == "done" || state == "failed" || state == "refused";
}

auto AwaitFinal(const Address& server,
                const std::string& id,
                const std::string& partner,
                milliseconds timeout) -> JsonReply {
  JsonReply reply;
  Eventually(timeout, [&] {
    reply = Fetch(server, id, partner, kLongPoll);
    return IsFinal(reply);
  });
  return reply;
}

auto IsComplete(const JsonReply& reply, int tasks) -> bool {
  const auto* results = ArrayOf(reply, "results");
  if (reply.Text("state") == "done") {
    return results != nullptr && results->size() == static_cast<size_t>(tasks);
  }
  return results == nullptr;
}

auto CountTasks(const JsonReply& reply, std::string_view state) -> int {
  auto n = 0;
  if (const auto* states = ArrayOf(reply, "task_states")) {
    for (const auto& it : *states) {
      n += it.as_string() == state ? 1 : 0;
    }
  }
  return n;
}

auto TaskStateOf(const JsonReply& reply, size_t index) -> std::string {
  const auto* states = ArrayOf(reply, "task_states");
  return states != nullptr && index < states->size()
             ? std::string((*states)[index].as_string())
             : std::string();
}

auto Eventually(milliseconds timeout, const std::function<bool()>& condition)
    -> bool {
  const auto end = BootClock::now() + timeout;
  while (!condition()) {
    if (BootClock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace boragecroft::lab
