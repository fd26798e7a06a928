// review_fleet CASE RECORD: runs one case of the second review and writes its
// record. Exits with 0 if the rule held, 1 if it was broken, and 2 if the case
// could not run. TROUBLE=0 leaves the disruption out.
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string_view>

#include "review/lab-2/cases.h"

namespace {

auto Run(std::string_view name, boragecroft::review::Fleet& fleet) -> bool {
  using namespace boragecroft::review;
  const auto* text = std::getenv("TROUBLE");
  const auto trouble = text == nullptr || std::string_view(text) != "0";
  if (name == "cancel") {
    return RunCancelCase(fleet, trouble);
  }
  if (name == "resend") {
    return RunResendTrial(fleet, trouble);
  }
  if (name == "drain") {
    return RunDrainTrial(fleet, trouble);
  }
  if (name == "odd") {
    return RunOddEntryTrial(fleet, trouble);
  }
  if (name == "early-freeze") {
    return RunEarlyFreezeCase(fleet, trouble);
  }
  if (name == "late-stops") {
    return RunLateStopsCase(fleet, trouble);
  }
  if (name.starts_with("soak-")) {
    return RunSoak(fleet, std::stoull(std::string(name.substr(5))),
                   boragecroft::seconds(40));
  }
  std::cerr << "unknown case\n";
  return false;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 3) {
    std::cerr << "usage: review_fleet CASE RECORD\n";
    return 2;
  }
  boragecroft::review::Fleet fleet;
  fleet.record.open(argv[2]);
  auto ran = false;
  try {
    ran = Run(argv[1], fleet);
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
  }
  EndFleet(fleet);
  for (const auto& it : fleet.broken) {
    std::cout << it << "\n";
  }
  if (!ran) {
    return 2;
  }
  return fleet.broken.empty() ? 0 : 1;
}
