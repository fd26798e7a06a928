// The examples in docs/API.md and the declarations that they assume.
#ifndef TESTS_PEERS_CALLER_API_DOC_EXAMPLES_H_
#define TESTS_PEERS_CALLER_API_DOC_EXAMPLES_H_

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "servers/configuration/configuration.h"
#include "tests/main/source_files.h"

namespace boragecroft {

// Returns the JSON blocks of docs/API.md that follow the mark
// "<!-- example: NAME -->", by name.
inline auto ApiDocExamples() -> std::map<std::string, std::string> {
  const std::string mark = "<!-- example: ";
  const std::string fence = "```json\n";
  const auto page = ReadSource("docs/API.md");
  std::map<std::string, std::string> examples;
  for (auto at = page.find(mark); at != std::string::npos;
       at = page.find(mark, at + 1)) {
    const auto name_at = at + mark.size();
    const auto name = page.substr(name_at, page.find(" -->", at) - name_at);
    const auto body_at = page.find(fence, at) + fence.size();
    const auto body = page.substr(body_at, page.find("```", body_at) - body_at);
    EXPECT_TRUE(examples.emplace(name, body).second) << name;
  }
  return examples;
}

inline auto ExampleConfiguration() -> Configuration {
  return ParseConfiguration(ReadSource("deploy/cartas/declarations.jsonc"))
      .value();
}

}  // namespace boragecroft

#endif  // TESTS_PEERS_CALLER_API_DOC_EXAMPLES_H_
