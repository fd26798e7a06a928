#include "tests/servers/dispatcher/virtual_platform.h"

#include <boost/json/serialize.hpp>

#include "core/json/text.h"
#include "servers/configuration/configuration_row.h"

namespace boragecroft {
namespace {

constexpr auto kDocument = R"({
  "schema_version": 2, "deployment": "cartas",
  "zones": [{"name": "bilbao", "region": "norte"},
            {"name": "santander", "region": "norte"}],
  "services": [{"name": "cartas", "task_timeout_ms": 4000, "lease_ms": 3000}],
  "classes": [{"name": "confirmations", "floor_percent": 30,
               "record_before_start": true, "record_before_answer": true},
              {"name": "reminders", "floor_percent": 40}],
  "teams": [{"name": "banks", "quota_tasks": 500}],
  "partners": [{"name": "banco", "team": "banks"},
               {"name": "cobros", "team": "banks"}],
  "limits": {"id_term_ms": 40000}})";

auto ToList(const VirtualFleet& fleet) -> InstanceList {
  InstanceList list;
  list.as_of = fleet.now.wall;
  for (const auto& it : fleet.nodes) {
    list.instances.push_back({.name = it.settings.instance,
                              .zone = it.settings.zone,
                              .address = it.settings.peer_address});
  }
  for (const auto& it : fleet.endpoints) {
    list.workers.push_back({.name = "worker-" + std::to_string(it.first.port),
                            .zone = it.second.zone,
                            .service = "cartas",
                            .address = it.first,
                            .slots = it.second.slots,
                            .leaving = fleet.leaving.contains(it.first)});
  }
  return list;
}

auto AnswerList(VirtualFleet& fleet, const ListInstances& call)
    -> decltype(PlatformOutcome::result) {
  auto list = ToList(fleet);
  for (const auto& it : list.workers) {
    list.tag += ToString(it.address) + (it.leaving ? "-" : "+");
  }
  if (list.tag == call.known_tag) {
    return ListUnchanged{};
  }
  ++fleet.full_lists_sent;
  return list;
}

auto Transact(VirtualFleet& fleet,
              const TableTransaction& transaction,
              bool unavailable) -> TableOutcome {
  auto outcome = Delivery::kAnswered;
  if (unavailable) {
    outcome = Chance(fleet, 50) ? Delivery::kRefused : Delivery::kLost;
  } else if (Chance(fleet, fleet.rates.table_answer_lost)) {
    outcome = Delivery::kAnswerLost;
  } else if (Chance(fleet, fleet.rates.table_late)) {
    outcome = Delivery::kLate;
    Schedule(fleet, milliseconds(200 + DrawBelow(fleet.random, 4000)),
             [&fleet] {
               if (!fleet.table.late.empty()) {
                 Release(fleet.table, 0);
               }
             });
  } else if (Chance(fleet, fleet.rates.table_lost)) {
    outcome = Delivery::kLost;
  }
  if (outcome != Delivery::kAnswered) {
    fleet.last_fault = fleet.now.boot;
  }
  return Send(fleet.table, transaction, outcome);
}

auto Call(VirtualFleet& fleet,
          const VirtualNode& node,
          const PlatformCommand& command) -> PlatformOutcome {
  const auto unavailable = IsPlatformUnavailable(fleet, node);
  PlatformOutcome outcome{.token = command.token};
  if (const auto* write = std::get_if<TableTransaction>(&command.call)) {
    outcome.result = Transact(fleet, *write, unavailable);
  } else if (unavailable) {
    outcome.result = PlatformError::kUnavailable;
  } else if (const auto* read = std::get_if<ReadRow>(&command.call)) {
    const auto& old = fleet.old_configurations;
    outcome.result = read->key == "configuration" && !old.empty() &&
                             Chance(fleet, fleet.rates.stale_read)
                         ? old[DrawBelow(fleet.random, old.size())]
                         : Read(fleet.table, read->key);
  } else if (const auto* scan = std::get_if<TableScan>(&command.call)) {
    outcome.result = ScannedRows{.rows = Scan(fleet.table, *scan)};
  } else {
    outcome.result = AnswerList(fleet, std::get<ListInstances>(command.call));
  }
  return outcome;
}

}  // namespace

auto ServePlatform(VirtualFleet& fleet,
                   size_t node,
                   const PlatformCommand& command) -> void {
  const auto self = fleet.nodes[node].dispatcher->self;
  Schedule(fleet, milliseconds(2), [&fleet, node, self, command] {
    const auto outcome = Call(fleet, fleet.nodes[node], command);
    const auto* table = std::get_if<TableOutcome>(&outcome.result);
    const auto no_response =
        table != nullptr && table->kind == TableOutcomeKind::kUnknown;
    Schedule(fleet, milliseconds(no_response ? 1000 : 3),
             [&fleet, node, self, outcome] {
               Deliver(fleet, node, self, [outcome](EventContext& context) {
                 OnPlatformOutcome(context, outcome);
               });
             });
  });
}

auto WriteConfiguration(VirtualFleet& fleet) -> void {
  const auto old = Read(fleet.table, "configuration");
  ConfigurationRow row;
  row.document = ParseJson(kDocument).value();
  row.document.as_object()["deployment"] =
      "cartas-" + std::to_string(old.version + 1);
  Decide(fleet.table, {.operation_id = "operator",
                       .checks = {},
                       .puts = {{.key = "configuration",
                                 .value = json::serialize(ToJson(row))}}});
  fleet.old_configurations.push_back(Read(fleet.table, "configuration"));
}

}  // namespace boragecroft
