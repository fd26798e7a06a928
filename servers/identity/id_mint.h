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

// Consecutive ids that one partner fetched at once.
struct IdBatch {
  std::string partner;
  uint64_t first = 0;
  uint64_t count = 0;
  WallTime minted;
  WallTime expires;    // fixed at minting: a new setting revives no id
  WallTime last_used;  // the last call of MarkUsed; `minted` before the first
  SequenceRanges used;
};

// All ids of one incarnation. Times are record times (see record_clock.h).
struct IdMint {
  Incarnation incarnation;
  Now started;
  milliseconds term{};  // an id minted now and unused for longer is refused
  milliseconds retention{};  // settled batches are remembered for this long
  uint64_t next_sequence = 0;
  uint64_t first_retained = 0;  // ids below belong to dropped batches
  WallTime newest_minted;
  std::deque<IdBatch> batches;  // by rising sequence and rising minted time
};

enum class IdStatus : uint8_t {
  kFresh,          // never used: MarkUsed, then the job may start
  kUsed,           // its job was taken before: answer from memory or ledger
  kExpired,        // outlived its term unused; nothing of it ran or ever will
  kWrongPartner,   // minted for another partner
  kNotMinted,      // this incarnation never minted it
  kBelowRetained,  // too old to remember: look it up in the ledger, never start
};

// Mints `count` ids (at least one) for `partner` and returns the first; the
// rest differ from it by rising sequence only.
auto Mint(IdMint& mint,
          std::string_view partner,
          uint64_t count,
          const Now& now) -> JobId;
auto CheckId(const IdMint& mint,
             const JobId& id,
             std::string_view partner,
             const Now& now) -> IdStatus;
// Notes for good that the id's job was taken. True for exactly one call per id;
// after false the job must not start.
[[nodiscard]] auto MarkUsed(IdMint& mint, const JobId& id, const Now& now)
    -> bool;
// Forgets batches whose ids have all been used or expired for longer than the
// retention. Every record of a dropped batch must be durable: records collected
// before `recorded_through` are. The retention must exceed the longest deadline
// of a job. Returns how many batches were dropped.
auto DropSettled(IdMint& mint, WallTime recorded_through, const Now& now)
    -> size_t;

}  // namespace boragecroft

#endif  // SERVERS_IDENTITY_ID_MINT_H_
