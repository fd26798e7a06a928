# The messages that instances send to each other about jobs and groups of workers, framed, in the compact protocol.
# Fields are never removed or renumbered; new fields get new numbers.
namespace cpp boragecroft.handover_wire

struct WireInstance {
  1: string name
  2: string zone
  3: string address
  4: i64 incarnation
  5: i32 processor_millis
}

# The first message that each side sends on a connection.
struct WireHello {
  1: WireInstance sender
}

struct WireGroupStatus {
  1: string group
  2: i64 token
  3: bool leaving
  4: i32 free_places
  5: i32 waiting
  6: i32 jobs
  7: bool ready
  8: i32 fast_places
}

# The state of one availability zone as of a version of the store.
struct WireEvacuation {
  1: string zone
  2: i64 version
  3: bool active
}

# Sent by both sides while a connection is open. The heartbeat of a group holder lists the groups that it holds. The
# evacuations are absent when the sender knows none.
struct WireHeartbeat {
  1: i64 configuration_version
  2: list<WireGroupStatus> groups
  3: bool reply
  4: optional list<WireEvacuation> evacuations
}

struct WireOffer {
  1: i64 job
  2: string spec
  3: string kind
  4: string service_name
  5: i32 count
  6: i64 cpu_millis
  7: i64 memory_mb
  8: i64 accelerators
  9: i64 run_estimate_ms
  10: i64 target_ms
  11: double slack_factor
  12: i32 max_attempts
  13: i64 age_ms
  14: i64 remaining_ms
  15: i32 submission
  16: bool may_run_elsewhere
  17: string group
  18: bool at_once
  19: i32 priority
}

struct WireCancel {
  1: i64 job
  2: string group
}

struct WireResult {
  1: i64 job
  2: i8 outcome
  3: i64 retry_after_ms
  4: WireGroupStatus status
  5: i32 submission
  # Present when a job was given back because its group is evacuated.
  6: optional bool evacuated
}

struct WireConfigurationRequest {
  1: i64 known_version
}

struct WireConfiguration {
  1: i64 version
  2: binary document
}

# Asks a peer for the rows that it knows. Sent by a process that starts while the store is unavailable.
struct WireSnapshotRequest {
}

struct WireRow {
  1: string table_name
  2: string part
  3: string key
  4: binary value
  5: i64 version
}

struct WireSnapshot {
  1: list<WireRow> rows
}

# Announces which instance holds a group, so that the receiver learns it from a peer and not only from the store.
struct WireTenure {
  1: string group
  2: i64 token
  3: WireInstance holder
}

# Tells the holder of groups that a caller cancelled a job, and asks for a confirmation.
struct WireCancelRequest {
  1: i64 job
  2: i64 number
}

struct WireCancelReply {
  1: i64 number
  2: bool found
}

# The content of one frame. Exactly one field is set.
struct WireHandover {
  1: optional WireHello hello
  2: optional WireHeartbeat heartbeat
  3: optional WireOffer offer
  4: optional WireCancel cancel
  5: optional WireResult result
  6: optional WireConfigurationRequest configuration_request
  7: optional WireConfiguration configuration
  8: optional WireSnapshotRequest snapshot_request
  9: optional WireSnapshot snapshot
  10: optional WireTenure tenure
  11: optional WireCancelRequest cancel_request
  12: optional WireCancelReply cancel_reply
}
