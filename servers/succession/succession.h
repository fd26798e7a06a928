// Decides which instance holds a group of workers, and which instance takes
// over from it.
//
// The platform's store keeps one row for each group: its holder with a fencing
// token, and its successors, each with a higher token that is reserved for it.
// The holder is changed by a conditional write. While the store is unreachable,
// a successor that has lost the holder takes over with its reserved token, and
// the workers then refuse the former holder.
//
// No two processes ever use the same token. The tokens that a row names are
// above a bound that follows from the store's version when the former row was
// read. Versions of the store only increase, so the bound does not depend on
// what earlier rows say, on who wrote them, or on whether they still exist.
#ifndef SERVERS_SUCCESSION_SUCCESSION_H_
#define SERVERS_SUCCESSION_SUCCESSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"
#include "core/base/ids.h"

namespace boragecroft {

// Identifies one process of an instance.
struct InstanceRef {
  std::string name;
  std::string zone;
  Address address;
  Incarnation incarnation;
  uint32_t processor_millis = 0;  // thousandths of a core; 0: not known

  auto operator==(const InstanceRef&) const -> bool = default;
};

struct Successor {
  InstanceRef instance;
  uint64_t token = 0;

  auto operator==(const Successor&) const -> bool = default;
};

struct GroupRow {
  std::string group;
  InstanceRef holder;
  uint64_t token = 0;
  std::vector<Successor> successors;  // in the order in which they take over
  // Highest token that this row or an earlier one has named. Earlier versions
  // of the program derive the next token from it.
  uint64_t highest_token = 0;
  uint64_t version = 0;  // version of the row; 0 when there is none yet
};

// Status of a group's holder as seen by this instance.
enum class HolderStatus : uint8_t {
  kUnknown,  // no connection has been tried yet
  kReachable,
  kUnresponsive,  // no message arrives, but the connection was not reset
  kTerminated,    // its process has terminated: the connection was refused, or
                  // another process answers; or this instance was the holder
                  // and has given the group up
};

struct GroupTerm {
  std::optional<GroupRow> row;
  bool row_deleted = false;  // the store no longer has `row`
  // The known holder with the highest token: from the row, from an
  // announcement, or this instance.
  std::optional<Successor> holder;
  // Another process that uses the holder's token. The workers can't tell the
  // two apart, so the holder must claim a higher token.
  std::optional<InstanceRef> rival;
  HolderStatus status = HolderStatus::kUnknown;
  Instant status_since;
  bool held = false;  // set when this instance is the holder
  Instant held_since;
  bool write_in_flight = false;
  Instant next_write;
  Instant not_before;  // earliest takeover after this instance lost the group
                       // to another holder
};

struct Succession {
  InstanceRef self;
  bool leaving = false;
  bool rows_known = false;  // the store or a peer has reported the rows
  // Version of the store at which all rows were last read; 0: not read yet.
  uint64_t store_version = 0;
  Instant started;
  std::map<std::string, GroupTerm> groups;
  // Instances that are connected to this one, by address.
  std::map<Address, InstanceRef> connected;
  uint64_t jitter = 0;  // random, constant for this process
};

// Requests a conditional write of the row: it is written only if the current
// row has the version `row.version`.
struct WriteGroupRow {
  GroupRow row;
};
struct BeginHolding {
  std::string group;
  uint64_t token = 0;
};
struct EndHolding {
  std::string group;
};
// Requests a planned release of a group, in favour of its first successor.
struct YieldGroup {
  std::string group;
};
// Reports that two processes use one token. They may not be connected to each
// other, so both are announced to all peers.
struct ReportSharedToken {
  std::string group;
  Successor known;
  InstanceRef rival;
};
using SuccessionCommand = std::variant<WriteGroupRow,
                                       BeginHolding,
                                       EndHolding,
                                       YieldGroup,
                                       ReportSharedToken>;
using SuccessionCommands = std::vector<SuccessionCommand>;

enum class RowWrite : uint8_t {
  kWritten,
  kConflict,  // the store has another row, which its feed will report
  kUnknown,   // no answer arrived, or the store could not be reached
};

auto OnGroupRow(Succession& state,
                const GroupRow& row,
                Instant now,
                SuccessionCommands& out) -> void;
// Handles that the store no longer has the group's row. `version` is that of
// the deletion, or of the row when the deletion itself was not reported.
auto OnGroupRowDeleted(Succession& state,
                       const std::string& group,
                       uint64_t version) -> void;
// Handles that all rows that the store had at `version` have been reported.
auto OnRowsRead(Succession& state, uint64_t version) -> void;
// Handles the announcement of a peer that it holds the group with a token.
auto OnAnnounced(Succession& state,
                 const std::string& group,
                 const Successor& holder,
                 Instant now,
                 SuccessionCommands& out) -> void;
auto OnHolderStatus(Succession& state,
                    const Address& holder,
                    HolderStatus status,
                    Instant now) -> void;
// Handles that this process was suspended: what it knows of the holders is too
// old to take over a group.
auto OnSuspended(Succession& state, Instant now) -> void;
auto OnRowWritten(Succession& state,
                  const GroupRow& row,
                  RowWrite result,
                  uint64_t version,
                  Instant now,
                  SuccessionCommands& out) -> void;
// Ends a planned release: the group is not held any more.
auto OnReleased(Succession& state, const std::string& group, Instant now)
    -> void;
// Returns whether this instance must know the workers of a group: it holds one,
// or it is among the first successors of one.
auto NeedsWorkers(const Succession& state) -> bool;
// Handles a worker's refusal of the token: another instance holds the group.
auto OnFenced(Succession& state,
              const std::string& group,
              Instant now,
              SuccessionCommands& out) -> void;
auto OnTime(Succession& state, Instant now, SuccessionCommands& out) -> void;
// Returns when OnTime must be called next; empty when no group needs a takeover
// or a write of its row.
auto NextDue(const Succession& state) -> std::optional<Instant>;

}  // namespace boragecroft

#endif  // SERVERS_SUCCESSION_SUCCESSION_H_
