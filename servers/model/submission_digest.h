// Tells whether two submissions ask for the same work.
#ifndef SERVERS_MODEL_SUBMISSION_DIGEST_H_
#define SERVERS_MODEL_SUBMISSION_DIGEST_H_

#include <cstdint>

#include "servers/model/submission.h"

namespace boragecroft {

// 64-bit XXH3 of what is to be run: service, kind, needs, whether it may be
// repeated, and the payloads in order. How urgent it is and the version of the
// body do not count. Never 0, which stands for "not known".
auto DigestOf(const Submission& submission) -> uint64_t;

}  // namespace boragecroft

#endif  // SERVERS_MODEL_SUBMISSION_DIGEST_H_
