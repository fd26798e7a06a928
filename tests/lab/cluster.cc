#include "tests/lab/cluster.h"

#include <signal.h>

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "core/json/text.h"

namespace boragecroft::lab {
namespace {

constexpr milliseconds kStartTimeout{15000};
constexpr milliseconds kPollInterval{20};

auto Program(const std::string& name) -> std::string {
  return std::string(BORAGECROFT_BIN) + "/" + name;
}

auto Loopback(int64_t port) -> Address {
  return Address{.ip = "127.0.0.1", .port = static_cast<uint16_t>(port)};
}

auto MakeFolder() -> std::string {
  auto pattern =
      (std::filesystem::temp_directory_path() / "boragecroft-lab-XXXXXX")
          .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot make a temporary folder");
  }
  return pattern;
}

auto LastNumber(const std::string& line) -> int64_t {
  return std::stoll(line.substr(line.rfind(' ') + 1));
}

auto RequireStartLine(const std::string& line, const std::string& what)
    -> std::string {
  if (line.empty()) {
    throw std::runtime_error("did not print its start line in time: " + what);
  }
  return line;
}

auto SettingsText(const Instance& instance,
                  const std::string& deployment,
                  const Address& platform,
                  const std::vector<Address>& seeds,
                  const std::string& extra) -> std::string {
  std::stringstream out;
  out << "{\"instance\": \"" << instance.name << "\", \"availability_zone\": \""
      << instance.zone << "\", \"deployment\": \"" << deployment
      << "\",\n \"listen_callers\": \"" << ToString(instance.callers)
      << "\", \"listen_instances\": \"" << ToString(instance.instances)
      << "\", \"listen_operators\": \"" << ToString(instance.operators)
      << "\",\n \"platform\": \"" << ToString(platform) << "\"";
  out << ",\n \"seed_instances\": [";
  for (size_t i = 0; i < seeds.size(); ++i) {
    out << (i == 0 ? "" : ", ") << "\"" << ToString(seeds[i]) << "\"";
  }
  out << "]" << (extra.empty() ? "" : ",\n " + extra) << "}\n";
  return out.str();
}

auto Contains(const std::vector<std::string>& names, const std::string& name)
    -> bool {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Reports whether an instance is allotted slots on any worker.
auto HasAllottedSlots(const JsonReply& reply) -> bool {
  if (reply.status != 200) {
    return false;
  }
  const auto& workers = reply.body.at("workers").as_array();
  return std::any_of(workers.begin(), workers.end(), [](const auto& it) {
    return it.at("allotted_slots").template to_number<int64_t>() > 0;
  });
}

auto StripAttempt(const std::string& attempt) -> std::string {
  return attempt.substr(0, attempt.find('#'));
}

}  // namespace

Cluster::Cluster(ClusterOptions options)
    : options_(std::move(options)), folder_(MakeFolder()) {
  StartPlatform();
  StartEndpoints();
  if (options_.links) {
    StartLinks();
  }
  for (const auto& zone : options_.zones) {
    for (auto i = 0; i < options_.instances_per_zone; ++i) {
      auto& instance = instances_.emplace_back();
      instance.name = zone + "-" + std::to_string(i + 1);
      instance.zone = zone;
      instance.callers = instance.instances = instance.operators = Loopback(0);
      StartInstance(instance);
    }
  }
  PublishList();
  const auto declarations = options_.declarations_file.empty()
                                ? std::string(BORAGECROFT_DEPLOY) + "/" +
                                      options_.deployment +
                                      "/declarations.jsonc"
                                : options_.declarations_file;
  if (Apply(declarations) != 0) {
    throw std::runtime_error("the declarations were not applied");
  }
  for (size_t i = 0; i < instances_.size(); ++i) {
    if (!WaitUntilReady(i) || !WaitForWorkers(i)) {
      throw std::runtime_error("not ready: " + instances_[i].name);
    }
  }
}

Cluster::~Cluster() {
  for (auto& it : instances_) {
    it.process->Signal(SIGCONT);
    it.process->Kill();
  }
  std::error_code ec;
  if (!options_.keep_folder) {
    std::filesystem::remove_all(folder_, ec);
  }
}

auto Cluster::Instances() -> std::vector<Instance>& {
  return instances_;
}

auto Cluster::Endpoints() -> std::vector<EndpointZone>& {
  return endpoints_;
}

auto Cluster::Platform(const std::string& zone) const -> Address {
  return platform_addresses_.at(zone);
}

auto Cluster::ControlPlatform(const boost::json::object& control) -> void {
  Post(platform_addresses_.begin()->second, "/control", control);
}

auto Cluster::ControlWorker(size_t zone, const boost::json::object& control)
    -> void {
  Post(endpoints_.at(zone).control, "/control", control);
}

auto Cluster::Restart(size_t index, bool wait_until_ready) -> void {
  auto& instance = instances_.at(index);
  instance.process->Kill();
  StartInstance(instance);
  if (wait_until_ready && !(WaitUntilReady(index) && WaitForWorkers(index))) {
    throw std::runtime_error("not ready after its restart: " + instance.name);
  }
}

auto Cluster::WaitUntilReady(size_t index, milliseconds timeout) -> bool {
  const auto end = BootClock::now() + timeout;
  while (BootClock::now() < end) {
    if (Get(instances_.at(index).callers, "/readyz", seconds(1)).status ==
        200) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

auto Cluster::WaitForWorkers(size_t index, milliseconds timeout) -> bool {
  const auto end = BootClock::now() + timeout;
  while (BootClock::now() < end) {
    const auto reply =
        Get(instances_.at(index).operators, "/v1/instances", seconds(1));
    if (HasAllottedSlots(reply)) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

auto Cluster::BuildListFor(const std::string& zone,
                           const std::vector<std::string>& leaving,
                           const std::vector<std::string>& absent) const
    -> boost::json::array {
  const auto state = [&](const std::string& name) {
    return Contains(leaving, name) ? "leaving" : "live";
  };
  boost::json::array list;
  for (const auto& it : instances_) {
    if (Contains(absent, it.name)) {
      continue;
    }
    list.push_back({{"kind", "entry"},
                    {"name", it.name},
                    {"zone", it.zone},
                    {"state", state(it.name)},
                    {"address", ToString(AddressSeenFrom(zone, it))}});
  }
  for (const auto& endpoints : endpoints_) {
    for (const auto& it : endpoints.list_entries) {
      auto entry = it.as_object();
      entry["state"] = state(std::string(entry.at("name").as_string()));
      list.push_back(std::move(entry));
    }
  }
  return list;
}

auto Cluster::PublishList(const std::vector<std::string>& leaving,
                          const std::vector<std::string>& absent) -> void {
  for (const auto& zone : options_.zones) {
    boost::json::object body;
    body["zone"] = zone;
    body["instances"] = BuildListFor(zone, leaving, absent);
    Post(platform_addresses_.begin()->second, "/list", body);
  }
}

auto Cluster::Apply(const std::string& file,
                    size_t index,
                    const std::vector<std::string>& options) -> int {
  std::vector<std::string> command = {Program("boragecroftctl"), "--instance",
                                      ToString(instances_.at(index).operators)};
  command.insert(command.end(), options.begin(), options.end());
  command.insert(command.end(), {"apply", file});
  ChildProcess ctl(command, folder_ + "/ctl-" + std::to_string(index) + ".log");
  return ctl.Wait(kStartTimeout).value_or(-1);
}

auto Cluster::CountStarts() -> StartCounts {
  StartCounts counts;
  for (const auto& zone : endpoints_) {
    const auto reply = Get(zone.control, "/starts", seconds(60));
    if (!reply.body.is_object()) {
      throw std::runtime_error("the endpoints of " + zone.zone +
                               " do not answer");
    }
    for (const auto& it : reply.body.at("tasks").as_array()) {
      const auto starts = it.at("starts").to_number<int>();
      if (starts == 0) {
        continue;
      }
      const auto task = StripAttempt(std::string(it.at("task").as_string()));
      const Instant started(
          microseconds(it.at("first_start_us").to_number<int64_t>()));
      const auto first = counts.first_start.try_emplace(task, started).first;
      first->second = std::min(first->second, started);
      counts.starts[task] += starts;
      counts.state[task] = it.at("state").as_string();
      counts.total += starts;
    }
  }
  for (const auto& it : counts.starts) {
    counts.double_starts += it.second > 1 ? 1 : 0;
  }
  return counts;
}

auto Cluster::Folder() const -> const std::string& {
  return folder_;
}

auto Cluster::StartPlatform() -> void {
  std::vector<std::string> command = {Program("platform_standin")};
  command.insert(command.end(), options_.zones.begin(), options_.zones.end());
  platform_ =
      std::make_unique<ChildProcess>(command, folder_ + "/platform.log");
  RequireStartLine(platform_->WaitForLine("ready", kStartTimeout),
                   "platform stand-in");
  for (const auto& it : options_.zones) {
    platform_addresses_[it] =
        Loopback(LastNumber(platform_->WaitForLine(it + " ", kStartTimeout)));
  }
}

auto Cluster::StartEndpoints() -> void {
  for (const auto& zone : options_.zones) {
    EndpointZone endpoints;
    endpoints.zone = zone;
    endpoints.process = std::make_unique<ChildProcess>(
        std::vector<std::string>{Program("endpoint_standin"), zone,
                                 options_.service,
                                 std::to_string(options_.workers_per_zone),
                                 std::to_string(options_.slots)},
        folder_ + "/endpoints-" + zone + ".log");
    RequireStartLine(endpoints.process->WaitForLine("ready", kStartTimeout),
                     "endpoint stand-in");
    endpoints.control = Loopback(
        LastNumber(endpoints.process->WaitForLine("control", kStartTimeout)));
    endpoints.list_entries =
        ParseJson(endpoints.process->WaitForLine("[{", kStartTimeout))
            .value()
            .as_array();
    endpoints_.push_back(std::move(endpoints));
  }
}

auto Cluster::StartLinks() -> void {
  links_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{Program("link_standin")},
      folder_ + "/links.log");
  RequireStartLine(links_->WaitForLine("ready", kStartTimeout),
                   "link stand-in");
  links_control_ =
      Loopback(LastNumber(links_->WaitForLine("control", kStartTimeout)));
}

auto Cluster::AddLinksTo(const Instance& instance) -> void {
  for (const auto& zone : options_.zones) {
    const auto key = std::pair(zone, instance.name);
    if (zone == instance.zone || link_addresses_.contains(key)) {
      continue;
    }
    const auto reply = Post(links_control_, "/links",
                            {{"from", zone},
                             {"to", instance.zone},
                             {"target", ToString(instance.instances)}});
    link_addresses_[key] = ParseAddress(reply.Text("address")).value();
  }
}

auto Cluster::AddressSeenFrom(const std::string& zone,
                              const Instance& instance) const -> Address {
  const auto it = link_addresses_.find({zone, instance.name});
  return it == link_addresses_.end() ? instance.instances : it->second;
}

auto Cluster::ControlLinks(const std::string& from,
                           const std::string& to,
                           const std::string& mode) -> void {
  Post(links_control_, "/control",
       {{"from", from}, {"to", to}, {"mode", mode}});
}

auto Cluster::StartInstance(Instance& instance) -> void {
  const auto base = folder_ + "/" + instance.name;
  std::vector<Address> seeds;
  for (const auto& it : instances_) {
    if (it.instances.port != 0 && it.name != instance.name) {
      seeds.push_back(AddressSeenFrom(instance.zone, it));
    }
  }
  std::ofstream(base + ".json") << SettingsText(
      instance, options_.deployment, platform_addresses_.at(instance.zone),
      seeds, options_.extra_settings);
  instance.process = std::make_unique<ChildProcess>(
      WithDescriptorLimit(
          {Program("boragecroftd"), "--settings", base + ".json"},
          options_.max_descriptors),
      base + "-" + std::to_string(++instance.starts) + ".log");
  const auto line = RequireStartLine(
      instance.process->WaitForLine("\"listening\"", kStartTimeout),
      instance.name);
  const auto listening = ParseJson(line).value();
  instance.callers = Loopback(listening.at("callers").to_number<int64_t>());
  instance.instances = Loopback(listening.at("instances").to_number<int64_t>());
  instance.operators = Loopback(listening.at("operators").to_number<int64_t>());
  if (options_.links) {
    AddLinksTo(instance);
  }
}

}  // namespace boragecroft::lab
