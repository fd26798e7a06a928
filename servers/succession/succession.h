// Which instance holds a group of workers, and who comes after it.
//
// The platform's store keeps one row a group: its holder with a fencing token,
// and successors, each with a higher token reserved for it. A change of holder
// is a conditional write. While the store is away, a successor that has lost
// the holder takes over with its reserved token: workers then refuse the old
// one. No two instances ever use the same token.
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

// One process of an instance.
struct InstanceRef {
  std::string name;
  std::string zone;
  Address address;
  Incarnation incarnation;

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
  std::vector<Successor> successors;  // the first takes over first
  uint64_t version = 0;               // of the row; 0: there is none yet
};

// What an instance sees of a group's holder.
enum class HolderStatus : uint8_t {
  kUnknown,  // not tried yet
  kReachable,
  kUnresponsive,  // no message, no reset
  kTerminated,    // its process ended: refused, or another process answers
};

struct GroupTerm {
  std::optional<GroupRow> row;
  // The holder with the highest token heard of: the row's, an announced one or
  // this instance.
  std::optional<Successor> holder;
  HolderStatus status = HolderStatus::kUnknown;
  Instant status_since;
  bool held = false;  // by this instance
  bool write_in_flight = false;
  Instant next_write;
  Instant not_before;  // after a loss to another holder
};

struct Succession {
  InstanceRef self;
  bool leaving = false;
  bool rows_known = false;  // the store or a peer told the rows
  Instant started;
  std::map<std::string, GroupTerm> groups;
  // Instances connected to this one, by address.
  std::map<Address, InstanceRef> connected;
  uint64_t jitter = 0;  // random, fixed for this process
};

// Write the row if the present one has the version in `row.version`.
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
using SuccessionCommand = std::variant<WriteGroupRow, BeginHolding, EndHolding>;
using SuccessionCommands = std::vector<SuccessionCommand>;

enum class RowWrite : uint8_t {
  kWritten,
  kConflict,  // another row is there; its feed tells which
  kUnknown,   // no answer, or the store could not be reached
};

auto OnGroupRow(Succession& state,
                const GroupRow& row,
                Instant now,
                SuccessionCommands& out) -> void;
// A peer says that it holds the group with `token`.
auto OnAnnounced(Succession& state,
                 const std::string& group,
                 const Successor& holder,
                 Instant now,
                 SuccessionCommands& out) -> void;
auto OnHolderStatus(Succession& state,
                    const Address& holder,
                    HolderStatus status,
                    Instant now) -> void;
auto OnRowWritten(Succession& state,
                  const GroupRow& row,
                  RowWrite result,
                  uint64_t version,
                  Instant now,
                  SuccessionCommands& out) -> void;
// A worker refused the token: another instance holds the group.
auto OnFenced(Succession& state,
              const std::string& group,
              Instant now,
              SuccessionCommands& out) -> void;
auto OnTime(Succession& state, Instant now, SuccessionCommands& out) -> void;
// When OnTime is next needed; empty when all groups have a holder in sight.
auto NextDue(const Succession& state) -> std::optional<Instant>;

}  // namespace boragecroft

#endif  // SERVERS_SUCCESSION_SUCCESSION_H_
