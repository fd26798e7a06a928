// Reads files of the source tree for tests.
#ifndef TESTS_MAIN_SOURCE_FILES_H_
#define TESTS_MAIN_SOURCE_FILES_H_

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>

namespace boragecroft {

inline auto SourcePath(const std::string& name) -> std::string {
  return std::string(BORAGECROFT_SOURCE_DIR) + "/" + name;
}

inline auto ReadSource(const std::string& name) -> std::string {
  std::ifstream file(SourcePath(name), std::ios::binary);
  EXPECT_TRUE(file) << name;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace boragecroft

#endif  // TESTS_MAIN_SOURCE_FILES_H_
