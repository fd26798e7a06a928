// The one instance that is left is killed and started again: it never takes
// back the group of workers that its former process held.
#include <iostream>

#include "review/lab/lab.h"

namespace review {
namespace {

enum Exit { kHeld = 0, kBroken = 1, kNotRun = 2 };

// The bound of the site, `recovery_s`.
constexpr milliseconds kRecovery{12000};

// Sends 60 jobs, five a second. Returns how many were served.
auto ServedOf60(Lab& lab, Instance& instance) -> int {
  std::vector<std::shared_ptr<Reply>> replies;
  for (auto i = 0; i < 60; ++i) {
    replies.push_back(lab.Submit(instance, lab.NextId(), 2, 60));
    lab.RunFor(milliseconds(200));
  }
  lab.RunFor(milliseconds(2000));
  auto served = 0;
  for (const auto& it : replies) {
    served += it->status == 200 ? 1 : 0;
  }
  lab.GetRecord().Line(std::to_string(served) + " of 60 jobs were served");
  return served;
}

auto Play(const std::string& folder) -> int {
  Lab lab(folder);
  lab.GetStore().Put("op", "config", Configuration(7, {"/letters/"}));
  for (const auto* id : {"i-10", "i-11", "i-12", "i-13"}) {
    lab.Register(lab.AddWorker(id));
  }
  auto& instance = lab.AddInstance("north-1", "north");
  auto& leaving = lab.AddInstance("north-2", "north");
  lab.Spawn(instance);
  lab.Spawn(leaving);
  if (!lab.AwaitService()) {
    lab.GetRecord().Line("not served");
    return kNotRun;
  }
  // Planned work: one of the two instances is removed for good.
  lab.Terminate(leaving);
  if (ServedOf60(lab, instance) < 15) {
    lab.GetRecord().Line("under a quarter served before the final fault");
    return kNotRun;
  }
  if (Trouble()) {
    // The final fault: all processes are killed right after a configuration
    // was acknowledged. The platform starts them again.
    lab.GetStore().Put("op", "config", Configuration(9, {"/letters/"}));
    lab.Kill(instance);
    lab.RunFor(milliseconds(1000));
    lab.Spawn(instance);
  }
  // Traffic goes on meanwhile.
  const auto back = lab.GetRecord().Now();
  while (lab.GetRecord().Now() - back <= kRecovery.count() + 1000) {
    lab.Submit(instance, lab.NextId(), 2, 60);
    lab.RunFor(milliseconds(1000));
  }
  lab.GetRecord().Line("later than recovery_s after the instance is back");
  return ServedOf60(lab, instance) < 15 ? kBroken : kHeld;
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
