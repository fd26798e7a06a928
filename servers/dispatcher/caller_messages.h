// Defines the requests of callers to the dispatcher, and the replies.
#ifndef SERVERS_DISPATCHER_CALLER_MESSAGES_H_
#define SERVERS_DISPATCHER_CALLER_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "servers/model/submission.h"

namespace boragecroft {

// Receiver of a reply: a caller connected to this instance, or a caller at
// another instance that relayed the request.
struct ReplyTo {
  uint64_t number = 0;
  Incarnation relay;  // zero for a caller of this instance

  auto IsLocal() const -> bool { return relay.value == 0; }
};

// A request for `count` new ids for a partner.
struct MintRequest {
  std::string partner;
  uint32_t count = 0;
};

// A submission or resubmission of a job. The reply is sent when the job ends,
// or after `wait` at the latest.
struct SubmitRequest {
  std::shared_ptr<const Submission> submission;
  std::string caller_key;  // the caller's own key in place of an id; empty when
                           // the submission has an id
  milliseconds wait{};
};

struct FetchRequest {
  JobId id;
  std::string partner;
  milliseconds wait{};
};

struct CancelRequest {
  JobId id;
  std::string partner;
};

using CallerCall =
    std::variant<MintRequest, SubmitRequest, FetchRequest, CancelRequest>;

struct CallerRequest {
  ReplyTo reply_to;
  CallerCall call;
};

// Minted ids: `count` ids with consecutive sequence numbers, beginning with
// `first`.
struct MintReply {
  JobId first;
  uint32_t count = 0;
  milliseconds term{};  // an id unused for longer is refused
};

// State of a job. Shared, because many callers may wait for the same job.
struct CallerAnswer {
  JobId id;
  int schema_version = 2;
  std::string partner;
  JobState state = JobState::kActive;
  bool recorded = false;  // the final record is durable
  std::string reason;     // cause of the failure
  std::vector<TaskState> tasks;
  std::vector<std::string> results;  // JSON text by task; only when done
};

struct AnswerReply {
  std::shared_ptr<const CallerAnswer> answer;
};

// Refusal of a request of which nothing ran.
struct RefusalReply {
  Refusal refusal = Refusal::kInvalid;
  std::string reason;
  milliseconds retry_after{};  // zero: a retry does not help
};

// Reply when it is unknown whether anything ran, because the owner or the
// platform cannot be reached. The caller should retry.
struct UndecidedReply {
  std::string reason;
  milliseconds retry_after{};
};

using CallerReplyBody =
    std::variant<MintReply, AnswerReply, RefusalReply, UndecidedReply>;

struct CallerReply {
  ReplyTo reply_to;
  CallerReplyBody body;
};

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_CALLER_MESSAGES_H_
