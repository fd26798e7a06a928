// Mints job ids and decides whether an id may still start its job. Only the
// incarnation that an id names asks this module about it, so the answer needs
// neither a lease nor the table.
#ifndef SERVERS_IDENTITY_ID_MINT_H_
#define SERVERS_IDENTITY_ID_MINT_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "servers/identity/sequence_ranges.h"

namespace boragecroft {

// Consecutive ids that one partner fetched in a single request.
struct IdBatch {
  std::string partner;
  uint64_t first = 0;
  uint64_t count = 0;
  WallTime minted;
  // Fixed at minting: a changed setting makes no expired id valid again.
  WallTime expires;
  // Time of the last MarkUsed call; `minted` before the first one.
  WallTime last_used;
  SequenceRanges used;
};

// All ids of one incarnation. Times are record times, see record_clock.h.
struct IdMint {
  Incarnation incarnation;
  Now started;
  // An id that is unused for longer than this after its minting is refused.
  milliseconds term{};
  milliseconds retention{};  // settled batches are retained for this long
  uint64_t next_sequence = 0;
  // Ids with a lower sequence belong to dropped batches.
  uint64_t first_retained = 0;
  WallTime newest_minted;
  // Ordered by sequence, which is also the order of minted times.
  std::deque<IdBatch> batches;
};

enum class IdStatus : uint8_t {
  kFresh,  // never used: the job may start after MarkUsed
  kUsed,   // its job was accepted before: answer from memory or the ledger
  // Its term passed while it was unused; nothing of it ran or ever will.
  kExpired,
  kWrongPartner,  // minted for another partner
  kNotMinted,     // this incarnation never minted it
  // No longer retained: look it up in the ledger, never start it.
  kBelowRetained,
};

// Mints `count` ids (at least one) for `partner` and returns the first. The
// others differ from it only in their sequence, which rises by one.
auto Mint(IdMint& mint,
          std::string_view partner,
          uint64_t count,
          const Now& now) -> JobId;
auto CheckId(const IdMint& mint,
             const JobId& id,
             std::string_view partner,
             const Now& now) -> IdStatus;
// Records permanently that the id's job was accepted. Returns true for exactly
// one call per id; after false the job must not start.
[[nodiscard]] auto MarkUsed(IdMint& mint, const JobId& id, const Now& now)
    -> bool;
// Drops batches of which every id was used or expired longer ago than the
// retention, and returns how many were dropped. Every record of a dropped batch
// must be durable, which holds for records collected before `recorded_through`.
// The retention must exceed the longest deadline of a job.
auto DropSettled(IdMint& mint, WallTime recorded_through, const Now& now)
    -> size_t;

}  // namespace boragecroft

#endif  // SERVERS_IDENTITY_ID_MINT_H_
