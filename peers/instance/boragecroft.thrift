// The messages that instances send to each other, framed, in the compact protocol. Fields are never removed or
// renumbered; new fields get new numbers.
namespace cpp boragecroft.wire

struct WireSubmission {
  1: i32 schema_version
  2: string id
  3: string partner
  4: string team
  5: string service_name
  6: string kind
  7: string urgency_class
  8: i64 deadline_ms
  9: i64 run_time_hint_ms
  10: bool repeatable
  11: i32 cpu_millis
  12: i32 memory_mb
  13: i32 accelerators
  14: list<string> payloads
}

struct WireAnswer {
  1: string id
  2: byte state
  3: bool recorded
  4: string reason
  5: binary task_states
  6: list<string> results
  7: string partner
  8: i64 tasks
}

// The request of a caller about a job that another instance owns.
struct WireRelayRequest {
  1: i64 number
  2: byte call
  3: string id
  4: string partner
  5: i64 wait_ms
  6: optional WireSubmission submission
}

struct WireRelayReply {
  1: i64 number
  2: byte outcome
  3: string reason
  4: byte refusal
  5: i64 retry_after_ms
  6: optional WireAnswer answer
}

struct WireDemand {
  1: string name
  2: i32 tasks
}

struct WireVerdict {
  1: string worker
  2: string incarnation
  3: string service_name
  4: string kind
  5: i64 sequence
}

struct WireHeartbeat {
  1: string instance
  2: string zone
  3: string address
  4: i64 sequence
  5: i64 configuration_version
  6: bool leaving
  7: list<WireDemand> service_demands
  8: list<WireDemand> team_demands
  9: i64 echo_incarnation
  10: i64 echo_sequence
  11: i64 roster_digest
  12: bool quota_claims
  13: list<WireDemand> quota_leases
  14: list<WireVerdict> verdicts
  15: i64 started_ms
  16: bool stopped
  17: i32 teams_digest
  18: list<i32> team_tasks
}

struct WireConfigurationRequest {
  1: i64 known_version
}

struct WireConfiguration {
  1: i64 version
  2: string document
}

// The content of one frame. Exactly one of the optional fields is set.
struct WireMessage {
  1: i64 from_incarnation
  2: optional WireHeartbeat heartbeat
  3: optional WireRelayRequest relay_request
  4: optional WireRelayReply relay_reply
  5: optional WireConfigurationRequest configuration_request
  6: optional WireConfiguration configuration
}
