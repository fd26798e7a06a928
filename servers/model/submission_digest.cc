#include "servers/model/submission_digest.h"

#include <string_view>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace boragecroft {
namespace {

auto Add(XXH3_state_t& state, uint64_t number) -> void {
  XXH3_64bits_update(&state, &number, sizeof(number));
}

// Hashes the length too, so that the boundaries between texts affect the
// digest.
auto Add(XXH3_state_t& state, std::string_view text) -> void {
  Add(state, text.size());
  XXH3_64bits_update(&state, text.data(), text.size());
}

}  // namespace

auto DigestOf(const Submission& submission) -> uint64_t {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  Add(state, submission.service);
  Add(state, submission.kind);
  Add(state, submission.needs.cpu_millis);
  Add(state, submission.needs.memory_mb);
  Add(state, submission.needs.accelerators);
  Add(state, submission.repeatable ? 1 : 0);
  for (const auto& it : submission.payloads) {
    Add(state, it);
  }
  const auto digest = XXH3_64bits_digest(&state);
  return digest == 0 ? 1 : digest;
}

}  // namespace boragecroft
