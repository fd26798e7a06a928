#include "tests/lab/platform_fleet.h"

#include <stdlib.h>

#include <boost/json/parse.hpp>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "core/http/http_connection.h"
#include "core/json/text.h"
#include "platform/ingress.h"

namespace boragecroft::lab {
namespace {

constexpr milliseconds kStartTimeout{20000};
constexpr auto kHost = "letters.example";
constexpr auto kOperatorTable = "op";
constexpr auto kEvacuationPrefix = "evacuate/";
constexpr auto kStoreName = "store";
constexpr auto kProgram = BORAGECROFT_BIN "/boragecroft_entryd";
constexpr auto kStandin = BORAGECROFT_BIN "/fleet_standin";

auto Loopback(int64_t port) -> Address {
  return Address{.ip = "127.0.0.1", .port = static_cast<uint16_t>(port)};
}

auto ParsePort(const std::string& line) -> int64_t {
  return std::stoll(line.substr(line.find(' ') + 1));
}

auto MakeFolder() -> std::string {
  std::string name = "/tmp/boragecroft-fleet-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a folder in /tmp");
  }
  return name;
}

// Sends a request that has a Host header of its own, which selects the route,
// and returns the reply.
auto Exchange(const Address& server, HttpRequest request, milliseconds timeout)
    -> JsonReply {
  boost::asio::io_context context;
  HttpConnection connection(context, server);
  JsonReply reply;
  connection.Send(std::move(request), timeout, timeout,
                  [&](const Result<HttpResponse, HttpError>& result) {
                    if (result.has_error()) {
                      return;
                    }
                    reply.status = result.value().status;
                    const auto body = ParseJson(result.value().body);
                    if (body.has_value()) {
                      reply.body = body.value();
                    }
                  });
  context.run();
  return reply;
}

}  // namespace

PlatformFleet::PlatformFleet(const std::vector<std::string>& zones,
                             int instances_per_zone,
                             int workers_per_zone,
                             FleetNetwork network,
                             int max_descriptors)
    : folder_(MakeFolder()), zones_(zones), max_descriptors_(max_descriptors) {
  if (network == FleetNetwork::kRelayed) {
    network_ = std::make_unique<PartitionedNetwork>();
  }
  std::vector<std::string> command = {kStandin,
                                      std::to_string(workers_per_zone)};
  command.insert(command.end(), zones.begin(), zones.end());
  standin_ = std::make_unique<ChildProcess>(command, folder_ + "/fleet.log");
  if (standin_->WaitForLine("ready", kStartTimeout).empty()) {
    throw std::runtime_error("fleet_standin did not start");
  }
  store_ = Loopback(ParsePort(standin_->WaitForLine("store", seconds(1))));
  control_ = Loopback(ParsePort(standin_->WaitForLine("control", seconds(1))));
  for (const auto& zone : zones) {
    for (auto i = 1; i <= instances_per_zone; ++i) {
      EntryProcess instance;
      instance.zone = zone;
      instance.name = zone + "-" + std::to_string(i);
      instance.store = store_;
      if (network_) {
        instance.store = network_->AddRelay(instance.name, kStoreName);
        network_->SetTarget(instance.store, store_);
        instance.advertised = network_->AddRelay("", instance.name);
      }
      instances_.push_back(std::move(instance));
      Start(instances_.back());
    }
  }
}

PlatformFleet::~PlatformFleet() {
  instances_.clear();
  standin_.reset();
  std::error_code ec;
  if (getenv("BORAGECROFT_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_, ec);
  }
}

auto PlatformFleet::Start(EntryProcess& instance) -> void {
  const auto number = std::to_string(++instance.starts);
  const auto settings = folder_ + "/" + instance.name + ".conf";
  std::ofstream out(settings);
  out << "node_name=" << instance.name << "\nzone=" << instance.zone << "\n";
  for (const auto& it : zones_) {
    out << "zones." << it << "=here\n";
  }
  out << "listen.frontend=127.0.0.1:0\nlisten.readiness=127.0.0.1:0\n"
      << "listen.control=127.0.0.1:0\nplatform.addr="
      << ToString(instance.store) << "\nlimits.max_fds=" << max_descriptors_
      << "\nbounds.evacuate_ms=5000\n";
  out.close();
  std::vector<std::string> command = {kProgram, "--settings", settings,
                                      "--metrics-port", "0"};
  if (instance.advertised) {
    command.insert(command.end(),
                   {"--advertise", ToString(*instance.advertised)});
  }
  instance.process = std::make_unique<ChildProcess>(
      WithDescriptorLimit(command, max_descriptors_),
      folder_ + "/" + instance.name + "-" + number + ".log");
  const auto line =
      instance.process->WaitForLine("\"event\":\"started\"", kStartTimeout);
  if (line.empty()) {
    throw std::runtime_error(instance.name + " did not start");
  }
  const auto started = boost::json::parse(line).as_object();
  if (network_) {
    network_->SetTarget(*instance.advertised,
                        Loopback(started.at("instances").to_number<int64_t>()));
  }
  instance.instances = Loopback(started.at("instances").to_number<int64_t>());
  instance.callers = Loopback(started.at("callers").to_number<int64_t>());
  instance.readiness = Loopback(started.at("readiness").to_number<int64_t>());
  instance.metrics = Loopback(started.at("metrics").to_number<int64_t>());
}

auto PlatformFleet::CutOff(const EntryProcess& instance) -> void {
  network_->CutOff(instance.name);
}

auto PlatformFleet::Reconnect(const EntryProcess& instance) -> void {
  network_->Reconnect(instance.name);
}

auto PlatformFleet::CutOffFromStore(const EntryProcess& instance) -> void {
  network_->CutLink(instance.name, kStoreName);
}

auto PlatformFleet::ReconnectToStore(const EntryProcess& instance) -> void {
  network_->RestoreLink(instance.name, kStoreName);
}

auto PlatformFleet::HeldTerms() const -> std::vector<HeldTerm> {
  std::vector<HeldTerm> terms;
  for (const auto& it : instances_) {
    for (auto i = 1; i <= it.starts; ++i) {
      const auto process = it.name + "-" + std::to_string(i);
      std::ifstream in(folder_ + "/" + process + ".log");
      std::string line;
      while (std::getline(in, line)) {
        if (line.find("\"event\":\"group_held\"") == std::string::npos) {
          continue;
        }
        const auto entry = boost::json::parse(line).as_object();
        terms.push_back({.instance = process,
                         .group = std::string(entry.at("group").as_string()),
                         .token = entry.at("token").to_number<uint64_t>()});
      }
    }
  }
  return terms;
}

auto PlatformFleet::FindHolder(const std::string& group) const -> size_t {
  HeldTerm newest;
  for (const auto& it : HeldTerms()) {
    if (it.group == group && it.token >= newest.token) {
      newest = it;
    }
  }
  for (size_t i = 0; i < instances_.size(); ++i) {
    if (newest.instance.starts_with(instances_[i].name + "-")) {
      return i;
    }
  }
  throw std::runtime_error("no instance holds " + group);
}

auto PlatformFleet::AwaitService() -> bool {
  constexpr int kMaxSubmissions = 400;
  uint64_t name = 0xffff'0000'0000'0000ULL;
  for (const auto& instance : instances_) {
    auto served = false;
    for (auto i = 0; i < kMaxSubmissions && !served; ++i) {
      served = Submit(instance, ++name, 1).status == 200;
      if (!served) {
        std::this_thread::sleep_for(milliseconds(50));
      }
    }
    if (!served) {
      return false;
    }
  }
  return true;
}

auto PlatformFleet::Submit(const EntryProcess& instance,
                           uint64_t name,
                           int count,
                           milliseconds deadline) -> JsonReply {
  HttpRequest request;
  request.method = "POST";
  request.target = "/reminders/" + platform::ToString(JobName{name});
  request.headers.push_back({"Host", kHost});
  request.headers.push_back({"Deadline-Ms", std::to_string(deadline.count())});
  const json::object step{
      {"count", count}, {"cpu", 14000}, {"mem_mb", 64}, {"est_runtime_ms", 60}};
  request.body = ToJsonText(json::object{
      {"spec", "letter"}, {"best_effort", true}, {"steps", json::array{step}}});
  return Exchange(instance.callers, std::move(request), seconds(6));
}

auto PlatformFleet::Cancel(const EntryProcess& instance, uint64_t name)
    -> JsonReply {
  HttpRequest request;
  request.method = "DELETE";
  request.target = "/reminders/" + platform::ToString(JobName{name});
  request.headers.push_back({"Host", kHost});
  return Exchange(instance.callers, std::move(request), seconds(6));
}

auto PlatformFleet::Control(const std::string& path,
                            const boost::json::object& body) -> void {
  Post(control_, path, body);
}

auto PlatformFleet::Evacuate(const std::string& zone) -> WriteTime {
  return WriteRow("/row-put", {{"table", kOperatorTable},
                               {"key", std::string(kEvacuationPrefix) + zone},
                               {"value", "{}"}});
}

auto PlatformFleet::EndEvacuation(const std::string& zone) -> WriteTime {
  return WriteRow("/row-drop",
                  {{"table", kOperatorTable},
                   {"key", std::string(kEvacuationPrefix) + zone}});
}

auto PlatformFleet::WriteRow(const std::string& path,
                             const boost::json::object& body) -> WriteTime {
  const auto reply = Post(control_, path, body);
  if (reply.status != 200) {
    throw std::runtime_error("the stand-in did not acknowledge a write");
  }
  return WriteTime{.version = static_cast<uint64_t>(reply.Number("ver")),
                   .now_ms = reply.Number("now_ms")};
}

auto PlatformFleet::FetchRunStatistics() -> boost::json::object {
  const auto reply = Get(control_, "/account");
  return reply.body.is_object() ? reply.body.get_object()
                                : boost::json::object();
}

auto PlatformFleet::CountStartsInZone(const std::string& zone)
    -> ZoneStartCount {
  const auto statistics = FetchRunStatistics();
  const auto& zones = statistics.at("zones").as_object();
  const auto* found = zones.if_contains(zone);
  if (found == nullptr) {
    return {};
  }
  return ZoneStartCount{
      .starts = found->at("starts").to_number<int64_t>(),
      .last_start_ms = found->at("last_start_ms").to_number<int64_t>()};
}

}  // namespace boragecroft::lab
