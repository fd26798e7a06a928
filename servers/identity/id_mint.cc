#include "servers/identity/id_mint.h"

#include <algorithm>

#include "servers/identity/record_clock.h"

namespace boragecroft {
namespace {

auto EndOf(const IdBatch& batch) -> uint64_t {
  return batch.first + batch.count;
}

// Returns the batch that minted exactly this id, or null. `AnyMint` is IdMint,
// const or not.
template <class AnyMint>
auto FindBatch(AnyMint& mint, const JobId& id) -> decltype(&mint.batches[0]) {
  const auto it = std::partition_point(
      mint.batches.begin(), mint.batches.end(),
      [&](const IdBatch& batch) { return EndOf(batch) <= id.sequence; });
  if (it == mint.batches.end() || it->first > id.sequence ||
      it->minted != id.minted || id.incarnation != mint.incarnation) {
    return nullptr;
  }
  return &*it;
}

auto IsExpired(const IdBatch& batch, WallTime time) -> bool {
  return time > batch.expires;
}

// Reports whether an id of this age may belong to a dropped batch.
auto MayBeDropped(const IdMint& mint, const JobId& id) -> bool {
  const auto newest_dropped =
      mint.batches.empty() ? mint.newest_minted : mint.batches.front().minted;
  return id.sequence < mint.first_retained && id.minted <= newest_dropped;
}

// Returns the time at which the last id of the batch was used or expired; it is
// in the future for a batch that still has unused, unexpired ids.
auto SettledAt(const IdBatch& batch) -> WallTime {
  return CountOf(batch.used) == batch.count ? batch.last_used : batch.expires;
}

}  // namespace

auto Mint(IdMint& mint,
          std::string_view partner,
          uint64_t count,
          const Now& now) -> JobId {
  const auto minted =
      std::max(RecordTime(mint.started, now), mint.newest_minted);
  mint.batches.push_back(IdBatch{.partner = std::string(partner),
                                 .first = mint.next_sequence,
                                 .count = count,
                                 .minted = minted,
                                 .expires = minted + mint.term,
                                 .last_used = minted});
  mint.newest_minted = minted;
  mint.next_sequence += count;
  return JobId{.incarnation = mint.incarnation,
               .sequence = mint.batches.back().first,
               .minted = minted};
}

auto CheckId(const IdMint& mint,
             const JobId& id,
             std::string_view partner,
             const Now& now) -> IdStatus {
  if (id.incarnation != mint.incarnation) {
    return IdStatus::kNotMinted;
  }
  if (MayBeDropped(mint, id)) {
    return IdStatus::kBelowRetained;
  }
  const auto* batch = FindBatch(mint, id);
  if (batch == nullptr) {
    return IdStatus::kNotMinted;
  }
  if (batch->partner != partner) {
    return IdStatus::kWrongPartner;
  }
  if (Contains(batch->used, id.sequence)) {
    return IdStatus::kUsed;
  }
  return IsExpired(*batch, RecordTime(mint.started, now)) ? IdStatus::kExpired
                                                          : IdStatus::kFresh;
}

auto MarkUsed(IdMint& mint, const JobId& id, const Now& now) -> bool {
  const auto time = RecordTime(mint.started, now);
  auto* batch = FindBatch(mint, id);
  if (batch == nullptr || IsExpired(*batch, time)) {
    return false;
  }
  if (Insert(batch->used, SequenceRange{id.sequence, id.sequence}) == 0) {
    return false;
  }
  batch->last_used = std::max(batch->last_used, time);
  return true;
}

auto DropSettled(IdMint& mint, WallTime recorded_through, const Now& now)
    -> size_t {
  const auto time = std::min(RecordTime(mint.started, now), recorded_through);
  size_t dropped = 0;
  while (!mint.batches.empty() &&
         time - SettledAt(mint.batches.front()) > mint.retention) {
    mint.first_retained = EndOf(mint.batches.front());
    mint.batches.pop_front();
    ++dropped;
  }
  return dropped;
}

}  // namespace boragecroft
