// The open connections to the store go silent. No instance reads a new
// configuration for seconds: requests on a new route get 404, and a dropped
// route still runs.
#include <algorithm>
#include <iostream>

#include "review/lab/lab.h"

namespace review {
namespace {

enum Exit { kHeld = 0, kBroken = 1, kNotRun = 2 };

// The bounds of the site.
constexpr int64_t kContactMs = 3000;
constexpr int64_t kApplyMs = 2000;

struct Sent {
  std::string instance;
  bool dropped_route = false;
  std::shared_ptr<Reply> reply;
};

// Writes each request that was handled by an older version into the record.
auto Judge(Lab& lab, const std::vector<Sent>& sent, int64_t accepted_at)
    -> int {
  auto broken = 0;
  auto right = 0;
  for (const auto& it : sent) {
    const auto old =
        it.dropped_route ? it.reply->status == 200 : it.reply->status == 404;
    const auto as_new =
        it.dropped_route ? it.reply->status == 404 : it.reply->status == 200;
    right += as_new ? 1 : 0;
    if (old) {
      ++broken;
      lab.GetRecord().Line("CONFIG: a request sent to " + it.instance + " " +
                           std::to_string(it.reply->sent - accepted_at) +
                           " ms after the acknowledgement " +
                           (it.dropped_route
                                ? "ran with the dropped route"
                                : "got 404 though the route is there"));
    }
  }
  lab.GetRecord().Line(std::to_string(broken) + " of " +
                       std::to_string(sent.size()) +
                       " requests were handled by an older version, " +
                       std::to_string(right) + " by the new one");
  if (broken > 0) {
    return kBroken;
  }
  return right > 0 ? kHeld : kNotRun;
}

auto Play(const std::string& folder) -> int {
  Lab lab(folder);
  auto& store = lab.GetStore();
  store.Put("op", "config", Configuration(7, {"/letters/", "/old/"}));
  for (const auto* id : {"i-10", "i-11", "i-12", "i-13"}) {
    lab.Register(lab.AddWorker(id));
  }
  for (const auto* name : {"north-1", "north-2", "north-3"}) {
    lab.Spawn(lab.AddInstance(name, "north", true));
  }
  if (!lab.AwaitService()) {
    lab.GetRecord().Line("not served");
    return kNotRun;
  }
  lab.RunFor(milliseconds(4000));
  lab.RunFor(milliseconds(1200));
  const auto silent_at = lab.GetRecord().Now();
  if (Trouble()) {
    lab.SilenceStoreConnections();
  }
  lab.RunFor(milliseconds(300));
  store.Put("op", "config",
            Configuration(12, {"/letters/", "/notices/"}, 1400));
  const auto accepted_at = lab.GetRecord().Now();
  lab.GetRecord().Line("store: accepted configuration 12");
  const auto from = std::max(accepted_at + kApplyMs, silent_at + kContactMs);
  while (lab.GetRecord().Now() <= from) {
    lab.RunFor(milliseconds(20));
  }
  std::vector<Sent> sent;
  for (auto i = 0; i < 30; ++i) {
    for (auto& it : lab.Instances()) {
      const auto dropped = i % 3 == 2;
      sent.push_back(
          Sent{.instance = it.name,
               .dropped_route = dropped,
               .reply = lab.Submit(it, lab.NextId(), 1, 60, milliseconds(1500),
                                   dropped ? "/old/" : "/notices/")});
    }
    lab.RunFor(milliseconds(100));
  }
  lab.RunFor(milliseconds(1500));
  return Judge(lab, sent, accepted_at);
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  try {
    return review::Play(argc > 1 ? argv[1] : ".");
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return review::kNotRun;
  }
}
