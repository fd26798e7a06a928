#include "bench/load/submissions.h"

#include <boost/json/serialize.hpp>
#include <stdexcept>

#include "tests/lab/sync_client.h"

namespace boragecroft::bench {
namespace {

constexpr int kIdsPerRequest = 1000;

}  // namespace

auto TakeId(IdSource& source, const Address& server, const std::string& partner)
    -> std::string {
  auto& unused = source.unused[{server, partner}];
  if (unused.empty()) {
    const auto reply = lab::Post(server, "/v1/ids",
                                 {{"schema_version", 2},
                                  {"partner", partner},
                                  {"count", kIdsPerRequest}});
    if (reply.status != 200) {
      throw std::runtime_error("no ids minted by " + ToString(server));
    }
    for (const auto& it : reply.body.at("ids").as_array()) {
      unused.emplace_back(it.as_string());
    }
  }
  auto id = std::move(unused.back());
  unused.pop_back();
  return id;
}

auto SubmissionBody(const JobShape& shape, const std::string& id)
    -> std::string {
  boost::json::object payload;
  payload["run_ms"] = shape.run.count();
  if (shape.fails) {
    payload["fail"] = true;
  }
  boost::json::array tasks;
  for (uint32_t i = 0; i < shape.tasks; ++i) {
    tasks.push_back(payload);
  }
  boost::json::object body;
  body["schema_version"] = 2;
  body["id"] = id;
  body["partner"] = shape.partner;
  body["service"] = shape.service;
  body["kind"] = shape.kind;
  body["class"] = shape.urgency_class;
  body["deadline_ms"] = shape.deadline.count();
  if (shape.run_hint.count() > 0) {
    body["run_time_ms"] = shape.run_hint.count();
  }
  body["repeatable"] = shape.repeatable;
  body["tasks"] = std::move(tasks);
  return boost::json::serialize(body);
}

}  // namespace boragecroft::bench
