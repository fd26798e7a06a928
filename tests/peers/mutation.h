// Damages messages for the property-based tests of codecs.
#ifndef TESTS_PEERS_MUTATION_H_
#define TESTS_PEERS_MUTATION_H_

#include <gtest/gtest.h>
// RapidCheck's header must follow GoogleTest's.
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace boragecroft {

// Returns `bytes` after one to four random edits, each of which replaces,
// inserts, removes or repeats a short piece.
inline auto Mutate(std::string bytes) -> std::string {
  const auto n = *rc::gen::inRange(1, 5);
  for (auto i = 0; i < n; ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, bytes.size() + 1);
    const auto length = *rc::gen::inRange<size_t>(0, 20);
    const auto piece =
        *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                        rc::gen::elementOf(std::vector<std::string>{
                            "{", "}", "[", "]", ",", ":", "\"", "null", "-1",
                            "1e999", "0.5", "0", "99999999999999999999",
                            "\xff\xff\xff\xff\x0f", "\\ud800", "\"\""}),
                        rc::gen::just(bytes.substr(at, length)));
    bytes.replace(at, *rc::gen::elementOf(std::vector<size_t>{0, length}),
                  piece);
  }
  return bytes;
}

}  // namespace boragecroft

#endif  // TESTS_PEERS_MUTATION_H_
