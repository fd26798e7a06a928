#include "servers/dispatcher/configuration_flow.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "core/json/text.h"
#include "core/log/log.h"
#include "servers/configuration/apply_attempt.h"
#include "servers/configuration/configuration_row.h"
#include "servers/dispatcher/record_flow.h"

namespace boragecroft {
namespace {

constexpr std::string_view kConfigurationKey = "configuration";
constexpr milliseconds kApplyTimeout{8000};

auto PlatformSource() -> ConfigurationSource {
  return ConfigurationSource{.kind = ConfigurationSource::Kind::kPlatform,
                             .instance = {}};
}

auto PeerSource(const Address& address) -> ConfigurationSource {
  return ConfigurationSource{.kind = ConfigurationSource::Kind::kInstance,
                             .instance = ToString(address)};
}

auto ZoneSources(const Membership& membership) -> std::vector<std::string> {
  std::vector<std::string> sources;
  for (const auto& it : membership.peers) {
    if (it.zone.empty() || it.zone == membership.zone) {
      sources.push_back(ToString(it.address));
    }
  }
  return sources;
}

// Brings everything that depends on the declarations in line with them.
auto PutInForce(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  const auto& configuration = *InForce(dispatcher);
  std::vector<QueueClass> classes;
  for (const auto& it : configuration.classes) {
    classes.push_back(
        QueueClass{.name = it.name, .floor_percent = it.floor_percent});
  }
  const auto order = configuration.policy == DispatchPolicy::kFair
                         ? QueueOrder::kFair
                         : QueueOrder::kFifo;
  for (const auto& it : configuration.services) {
    Configure(dispatcher.services[it.name].queue, classes, order);
  }
  dispatcher.mint.term = configuration.limits.id_term;
  dispatcher.mint.retention =
      configuration.limits.max_deadline + configuration.limits.answer_retention;
  dispatcher.budget.percent = configuration.limits.retry_budget_percent;
  dispatcher.judge.max_ejected_percent =
      configuration.limits.max_ejected_percent;
  dispatcher.view_changed = true;
  // Peers learn of the new version at once instead of with the next heartbeat.
  for (auto& it : dispatcher.membership.peers) {
    it.next_heartbeat = step.now.boot;
  }
}

auto OfferDocument(Step& step,
                   int64_t version,
                   const json::value& document,
                   const ConfigurationSource& source) -> void {
  auto& dispatcher = step.dispatcher;
  const auto verdict =
      Offer(dispatcher.configuration, version, document, source, step.now);
  if (verdict.outcome == OfferOutcome::kAdopted) {
    ++dispatcher.counters.configurations_adopted;
    Log(LogLevel::kInfo, "configuration_adopted", {{"version", version}});
    PutInForce(step);
  } else if (verdict.outcome == OfferOutcome::kConflict) {
    ++dispatcher.counters.configuration_conflicts;
    Log(LogLevel::kError, "configuration_conflict", {{"version", version}});
  } else if (verdict.outcome == OfferOutcome::kInvalid) {
    const auto fault = verdict.errors.empty()
                           ? std::string()
                           : ToString(verdict.errors.front());
    Log(LogLevel::kError, "configuration_invalid",
        {{"version", version}, {"fault", fault}});
  }
}

auto ParseRow(const TableRow& row) -> std::optional<ConfigurationRow> {
  if (row.version == 0) {
    return ConfigurationRow{};
  }
  const auto value = ParseJson(row.value);
  if (value.has_error()) {
    return std::nullopt;
  }
  auto parsed =
      ReadConfigurationRow(static_cast<int64_t>(row.version), value.value());
  return parsed.has_value() ? std::optional(std::move(parsed).value())
                            : std::nullopt;
}

auto Poll(Step& step) -> void {
  CallPlatform(
      step, ReadRow{.key = std::string(kConfigurationKey)},
      [](Step& then, PlatformOutcome& outcome) {
        const auto* row = std::get_if<TableRow>(&outcome.result);
        const auto parsed = row == nullptr ? std::nullopt : ParseRow(*row);
        if (!parsed) {
          return;
        }
        if (parsed->version == 0) {
          RecordAnswer(then.dispatcher.configuration, PlatformSource());
          return;
        }
        OfferDocument(then, parsed->version, parsed->document,
                      PlatformSource());
      });
}

auto AskPeer(Step& step, const Address& address) -> void {
  PeerMessage message;
  message.from = step.dispatcher.self;
  message.body =
      ConfigurationRequest{.known_version = static_cast<uint64_t>(
                               VersionInForce(step.dispatcher.configuration))};
  step.out.peers.emplace_back(
      SendToPeer{.to = address, .message = std::move(message)});
}

auto AskZone(Step& step) -> void {
  for (const auto& it : step.dispatcher.membership.peers) {
    if (it.zone.empty() || it.zone == step.dispatcher.membership.zone) {
      AskPeer(step, it.address);
    }
  }
}

auto HeardZone(const Step& step) -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto* it :
       ReachableZonePeers(step.dispatcher.membership, step.now.boot)) {
    names.push_back(it->name);
  }
  return names;
}

struct OpenApply {
  uint64_t number = 0;
  ApplyAttempt attempt;
  Instant expires;
};

auto ErrorBody(std::string_view code) -> json::object {
  json::object error;
  error["code"] = code;
  json::object body;
  body["error"] = std::move(error);
  return body;
}

auto ReplyInvalid(Step& step,
                  uint64_t number,
                  const std::vector<FieldError>& errors) -> void {
  json::array fields;
  for (const auto& it : errors) {
    fields.push_back(
        {{"field", it.field}, {"found", it.found}, {"allowed", it.allowed}});
  }
  auto body = ErrorBody("invalid");
  body["error"].as_object()["fields"] = std::move(fields);
  OperatorReply reply;
  reply.number = number;
  reply.status = 422;
  reply.body = std::move(body);
  step.out.operators.push_back(std::move(reply));
}

auto ReplyApplied(Step& step, const OpenApply& apply) -> void {
  OperatorReply reply;
  reply.number = apply.number;
  switch (apply.attempt.outcome) {
    case ApplyOutcome::kApplied:
      reply.body = {{"version", apply.attempt.version}};
      break;
    case ApplyOutcome::kLostRace: {
      reply.status = 409;
      auto body = ErrorBody("version_conflict");
      body["error"].as_object()["version"] = apply.attempt.version;
      reply.body = std::move(body);
      break;
    }
    case ApplyOutcome::kInvalid:
      ReplyInvalid(step, apply.number, apply.attempt.errors);
      return;
    case ApplyOutcome::kNotApplied:
      reply.status = 503;
      reply.body = ErrorBody("unavailable");
      break;
    case ApplyOutcome::kUndecided:
      reply.status = 503;
      reply.body = ErrorBody("undecided");
      break;
  }
  step.out.operators.push_back(std::move(reply));
}

auto ContinueApply(Step& step, const std::shared_ptr<OpenApply>& apply) -> void;

auto ReadForApply(Step& step, const std::shared_ptr<OpenApply>& apply) -> void {
  CallPlatform(step, ReadRow{.key = std::string(kConfigurationKey)},
               [apply](Step& then, PlatformOutcome& outcome) {
                 const auto* row = std::get_if<TableRow>(&outcome.result);
                 if (const auto parsed =
                         row == nullptr ? std::nullopt : ParseRow(*row)) {
                   OnRowRead(apply->attempt, *parsed);
                 }
                 ContinueApply(then, apply);
               });
}

auto ToWriteAnswer(const TableOutcome& outcome) -> WriteAnswer {
  WriteAnswer answer;
  switch (outcome.kind) {
    case TableOutcomeKind::kApplied:
      answer.kind = WriteAnswer::Kind::kWritten;
      answer.version =
          outcome.versions.empty()
              ? 0
              : static_cast<int64_t>(outcome.versions.front().version);
      break;
    case TableOutcomeKind::kConflict:
      answer.kind = WriteAnswer::Kind::kConflict;
      break;
    case TableOutcomeKind::kUnavailable:
      answer.kind = WriteAnswer::Kind::kNotSent;
      break;
    case TableOutcomeKind::kUnknown:
      answer.kind = WriteAnswer::Kind::kLost;
      break;
  }
  return answer;
}

auto WriteForApply(Step& step, const std::shared_ptr<OpenApply>& apply)
    -> void {
  TableTransaction transaction;
  transaction.operation_id = apply->attempt.operation_id;
  const auto key = std::string(kConfigurationKey);
  transaction.checks.push_back(TableCheck{
      .key = key,
      .version = static_cast<uint64_t>(apply->attempt.expected_version)});
  transaction.puts.push_back(
      TablePut{.key = key,
               .value = json::serialize(ToJson(RowToWrite(apply->attempt)))});
  CallPlatform(step, std::move(transaction),
               [apply](Step& then, PlatformOutcome& outcome) {
                 OnWriteAnswer(
                     apply->attempt,
                     ToWriteAnswer(std::get<TableOutcome>(outcome.result)));
                 ContinueApply(then, apply);
               });
}

auto ContinueApply(Step& step, const std::shared_ptr<OpenApply>& apply)
    -> void {
  if (apply->attempt.step != ApplyStep::kDone &&
      step.now.boot >= apply->expires) {
    GiveUp(apply->attempt);
  }
  if (apply->attempt.step == ApplyStep::kDone) {
    ReplyApplied(step, *apply);
    Poll(step);
  } else if (apply->attempt.step == ApplyStep::kRead) {
    ReadForApply(step, apply);
  } else {
    WriteForApply(step, apply);
  }
}

}  // namespace

auto TendConfiguration(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  if (TickConfiguration(dispatcher.configuration,
                        ZoneSources(dispatcher.membership), step.now)) {
    ++dispatcher.counters.pauses;
    Log(LogLevel::kWarning, "pause_noticed", {});
    dispatcher.next_configuration_poll = step.now.boot;
    dispatcher.next_list_poll = step.now.boot;
    AskZone(step);
  }
  if (step.now.boot >= dispatcher.next_configuration_poll) {
    const auto interval = dispatcher.settings.configuration_poll_interval;
    dispatcher.next_configuration_poll = step.now.boot + interval;
    // An instance that may not serve yet reads each time; others take turns.
    if (!ReadyToServe(dispatcher.configuration, step.now) ||
        IsPollTurn(dispatcher.settings.instance, HeardZone(step), interval,
                   step.now)) {
      Poll(step);
    }
    if (VersionInForce(dispatcher.configuration) == 0) {
      AskZone(step);
    }
  }
}

auto NotePeerVersion(Step& step, const PeerInstance& peer, uint64_t version)
    -> void {
  auto& state = step.dispatcher.configuration;
  if (NeedsFetch(state, static_cast<int64_t>(version))) {
    AskPeer(step, peer.address);
  } else {
    RecordAnswer(state, PeerSource(peer.address));
  }
}

auto OnConfigurationRequest(Step& step,
                            Incarnation from,
                            const ConfigurationRequest& request) -> void {
  const auto& dispatcher = step.dispatcher;
  const auto* peer = FindPeer(dispatcher.membership, from);
  const auto& in_force = dispatcher.configuration.in_force;
  if (peer == nullptr || in_force == nullptr ||
      static_cast<uint64_t>(in_force->version) <= request.known_version) {
    return;
  }
  PeerMessage message;
  message.from = dispatcher.self;
  message.body =
      ConfigurationTransfer{.version = static_cast<uint64_t>(in_force->version),
                            .document = json::serialize(in_force->document)};
  step.out.peers.emplace_back(
      SendToPeer{.to = peer->address, .message = std::move(message)});
}

auto OnConfigurationTransfer(Step& step,
                             Incarnation from,
                             const ConfigurationTransfer& transfer) -> void {
  const auto* peer = FindPeer(step.dispatcher.membership, from);
  const auto document = ParseJson(transfer.document);
  if (peer == nullptr || document.has_error()) {
    return;
  }
  OfferDocument(step, static_cast<int64_t>(transfer.version), document.value(),
                PeerSource(peer->address));
}

auto OnApplyConfiguration(Step& step, uint64_t number, ApplyConfiguration apply)
    -> void {
  auto open = std::make_shared<OpenApply>();
  open->number = number;
  open->expires = step.now.boot + kApplyTimeout;
  open->attempt =
      BeginApply(static_cast<int64_t>(apply.expected_version),
                 std::move(apply.operation_id), std::move(apply.document));
  ContinueApply(step, open);
}

}  // namespace boragecroft
