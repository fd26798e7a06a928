// What callers ask of the dispatcher and what they are told.
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

// Who waits for a reply: a caller's connection here, or a caller at another
// instance that relayed the request.
struct ReplyTo {
  uint64_t number = 0;
  Incarnation relay;  // zero for a caller of this instance

  auto IsLocal() const -> bool { return relay.value == 0; }
};

// Mints `count` ids for a partner.
struct MintRequest {
  std::string partner;
  uint32_t count = 0;
};

// Submits a job, or submits it again. Waits up to `wait` for its end.
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

// Ids minted.first .. minted.first + count - 1 by sequence number.
struct MintReply {
  JobId first;
  uint32_t count = 0;
  milliseconds term{};  // an id unused for longer is refused
};

// How a job stands. Shared, since many callers may wait for the same one.
struct CallerAnswer {
  JobId id;
  int schema_version = 2;
  std::string partner;
  JobState state = JobState::kActive;
  bool recorded = false;  // the final record is durable
  std::string reason;     // why it failed
  std::vector<TaskState> tasks;
  std::vector<std::string> results;  // JSON text of each task; only when done
};

struct AnswerReply {
  std::shared_ptr<const CallerAnswer> answer;
};

// Nothing of the request ran.
struct RefusalReply {
  Refusal refusal = Refusal::kInvalid;
  std::string reason;
  milliseconds retry_after{};  // zero: trying again does not help
};

// It can't be said now whether anything ran: the owner or the platform is out
// of reach. Ask again.
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
