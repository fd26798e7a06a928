// Computes a digest that shows whether two submissions ask for the same work.
#ifndef SERVERS_MODEL_SUBMISSION_DIGEST_H_
#define SERVERS_MODEL_SUBMISSION_DIGEST_H_

#include <cstdint>

#include "servers/model/submission.h"

namespace boragecroft {

// Returns the 64-bit XXH3 hash of the work to run: service, kind, needs,
// whether it is repeatable, and the payloads in order. Urgency and the schema
// version of the body are not included. The result is never 0, which means "not
// known".
auto DigestOf(const Submission& submission) -> uint64_t;

}  // namespace boragecroft

#endif  // SERVERS_MODEL_SUBMISSION_DIGEST_H_
