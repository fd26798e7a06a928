// Provides declarations documents that several tests share.
#ifndef TESTS_SERVERS_CONFIGURATION_DOCUMENTS_H_
#define TESTS_SERVERS_CONFIGURATION_DOCUMENTS_H_

#include <string>

#include "servers/configuration/configuration.h"

namespace boragecroft {

constexpr auto kCurrentDocument = R"({
  "schema_version": 2, // teams with quotas
  "deployment": "cartas",
  "zones": [{"name": "bilbao", "region": "norte"}],
  "services": [{"name": "cartas", "task_timeout_ms": 9000, "lease_ms": 3000}],
  "classes": [{"name": "confirmations", "floor_percent": 30},
              {"name": "reminders", "floor_percent": 40}],
  "teams": [{"name": "banks", "quota_tasks": 500},
            {"name": "water", "quota_tasks": 100}],
  "partners": [{"name": "banco", "team": "banks", "weight": 3},
               {"name": "caja", "team": "banks"},
               {"name": "aguas", "team": "water"}]
})";

constexpr auto kOlderDocument = R"({
  "schema_version": 1,
  "deployment": "cartas",
  "zones": [{"name": "bilbao", "region": "norte"}],
  "services": [{"name": "cartas"}],
  "classes": [{"name": "reminders", "priority": 20},
              {"name": "confirmations", "priority": 10}],
  "partners": [{"name": "banco", "quota_tasks": 500}]
})";

// Returns the current document with another deployment name, so that documents
// differ.
inline auto DocumentNamed(const std::string& deployment) -> json::value {
  auto out = ParseJsonWithComments(kCurrentDocument).value();
  out.as_object()["deployment"] = deployment;
  return out;
}

// Returns the document that tests write as `version`.
inline auto DocumentOfVersion(int64_t version) -> json::value {
  auto name = std::to_string(version);
  name.insert(name.begin(), 'v');
  return DocumentNamed(name);
}

}  // namespace boragecroft

#endif  // TESTS_SERVERS_CONFIGURATION_DOCUMENTS_H_
