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

// Updates everything that depends on the declarations in the configuration.
auto PutInForce(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
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
  dispatcher.outlier_detector.max_ejected_percent =
      configuration.limits.max_ejected_percent;
  dispatcher.view_changed = true;
  // Peers are informed of the new version immediately instead of with their
  // next regular heartbeat.
  for (auto& it : dispatcher.membership.peers) {
    it.next_heartbeat = context.now.boot;
  }
}

auto OfferDocument(EventContext& context,
                   int64_t version,
                   const json::value& document,
                   const ConfigurationSource& source) -> void {
  auto& dispatcher = context.dispatcher;
  const auto result =
      Offer(dispatcher.configuration, version, document, source, context.now);
  if (result.outcome == OfferOutcome::kAdopted) {
    ++dispatcher.counters.configurations_adopted;
    Log(LogLevel::kInfo, "configuration_adopted", {{"version", version}});
    PutInForce(context);
  } else if (result.outcome == OfferOutcome::kConflict) {
    ++dispatcher.counters.configuration_conflicts;
    Log(LogLevel::kError, "configuration_conflict", {{"version", version}});
  } else if (result.outcome == OfferOutcome::kInvalid) {
    const auto fault =
        result.errors.empty() ? std::string() : ToString(result.errors.front());
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

auto Poll(EventContext& context) -> void {
  CallPlatform(context, ReadRow{.key = std::string(kConfigurationKey)},
               [](EventContext& callback_context, PlatformOutcome& outcome) {
                 const auto* row = std::get_if<TableRow>(&outcome.result);
                 const auto parsed =
                     row == nullptr ? std::nullopt : ParseRow(*row);
                 if (!parsed) {
                   return;
                 }
                 if (parsed->version == 0) {
                   RecordAnswer(callback_context.dispatcher.configuration,
                                PlatformSource());
                   return;
                 }
                 OfferDocument(callback_context, parsed->version,
                               parsed->document, PlatformSource());
               });
}

auto RequestConfiguration(EventContext& context, const Address& address)
    -> void {
  PeerMessage message;
  message.from = context.dispatcher.self;
  message.body = ConfigurationRequest{
      .known_version = static_cast<uint64_t>(
          VersionInForce(context.dispatcher.configuration))};
  context.out.peers.emplace_back(
      SendToPeer{.to = address, .message = std::move(message)});
}

auto RequestConfigurationFromZone(EventContext& context) -> void {
  for (const auto& it : context.dispatcher.membership.peers) {
    if (it.zone.empty() || it.zone == context.dispatcher.membership.zone) {
      RequestConfiguration(context, it.address);
    }
  }
}

auto ReachableZoneNames(const EventContext& context)
    -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto* it :
       ReachableZonePeers(context.dispatcher.membership, context.now.boot)) {
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

auto ReplyInvalid(EventContext& context,
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
  context.out.operators.push_back(std::move(reply));
}

auto ReplyApplied(EventContext& context, const OpenApply& apply) -> void {
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
      ReplyInvalid(context, apply.number, apply.attempt.errors);
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
  context.out.operators.push_back(std::move(reply));
}

auto ContinueApply(EventContext& context,
                   const std::shared_ptr<OpenApply>& apply) -> void;

auto ReadForApply(EventContext& context,
                  const std::shared_ptr<OpenApply>& apply) -> void {
  CallPlatform(
      context, ReadRow{.key = std::string(kConfigurationKey)},
      [apply](EventContext& callback_context, PlatformOutcome& outcome) {
        const auto* row = std::get_if<TableRow>(&outcome.result);
        if (const auto parsed =
                row == nullptr ? std::nullopt : ParseRow(*row)) {
          OnRowRead(apply->attempt, *parsed);
        }
        ContinueApply(callback_context, apply);
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

auto WriteForApply(EventContext& context,
                   const std::shared_ptr<OpenApply>& apply) -> void {
  TableTransaction transaction;
  transaction.operation_id = apply->attempt.operation_id;
  const auto key = std::string(kConfigurationKey);
  transaction.checks.push_back(TableCheck{
      .key = key,
      .version = static_cast<uint64_t>(apply->attempt.expected_version)});
  transaction.puts.push_back(
      TablePut{.key = key,
               .value = json::serialize(ToJson(RowToWrite(apply->attempt)))});
  CallPlatform(
      context, std::move(transaction),
      [apply](EventContext& callback_context, PlatformOutcome& outcome) {
        OnWriteAnswer(apply->attempt,
                      ToWriteAnswer(std::get<TableOutcome>(outcome.result)));
        ContinueApply(callback_context, apply);
      });
}

auto ContinueApply(EventContext& context,
                   const std::shared_ptr<OpenApply>& apply) -> void {
  if (apply->attempt.step != ApplyStep::kDone &&
      context.now.boot >= apply->expires) {
    GiveUp(apply->attempt);
  }
  if (apply->attempt.step == ApplyStep::kDone) {
    ReplyApplied(context, *apply);
    Poll(context);
  } else if (apply->attempt.step == ApplyStep::kRead) {
    ReadForApply(context, apply);
  } else {
    WriteForApply(context, apply);
  }
}

}  // namespace

auto AdvanceConfiguration(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  if (TickConfiguration(dispatcher.configuration,
                        ZoneSources(dispatcher.membership), context.now)) {
    ++dispatcher.counters.pauses;
    Log(LogLevel::kWarning, "pause_noticed", {});
    dispatcher.next_configuration_poll = context.now.boot;
    dispatcher.next_list_poll = context.now.boot;
    RequestConfigurationFromZone(context);
  }
  if (context.now.boot >= dispatcher.next_configuration_poll) {
    const auto interval = dispatcher.settings.configuration_poll_interval;
    dispatcher.next_configuration_poll = context.now.boot + interval;
    // An instance that may not serve yet polls at each interval. The other
    // instances take turns.
    if (!ReadyToServe(dispatcher.configuration, context.now) ||
        IsPollTurn(dispatcher.settings.instance, ReachableZoneNames(context),
                   interval, context.now)) {
      Poll(context);
    }
    if (VersionInForce(dispatcher.configuration) == 0) {
      RequestConfigurationFromZone(context);
    }
  }
}

auto OnPeerVersion(EventContext& context,
                   const PeerInstance& peer,
                   uint64_t version) -> void {
  auto& state = context.dispatcher.configuration;
  if (NeedsFetch(state, static_cast<int64_t>(version))) {
    RequestConfiguration(context, peer.address);
  } else {
    RecordAnswer(state, PeerSource(peer.address));
  }
}

auto OnConfigurationRequest(EventContext& context,
                            Incarnation from,
                            const ConfigurationRequest& request) -> void {
  const auto& dispatcher = context.dispatcher;
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
  context.out.peers.emplace_back(
      SendToPeer{.to = peer->address, .message = std::move(message)});
}

auto OnConfigurationTransfer(EventContext& context,
                             Incarnation from,
                             const ConfigurationTransfer& transfer) -> void {
  const auto* peer = FindPeer(context.dispatcher.membership, from);
  const auto document = ParseJson(transfer.document);
  if (peer == nullptr || document.has_error()) {
    return;
  }
  OfferDocument(context, static_cast<int64_t>(transfer.version),
                document.value(), PeerSource(peer->address));
}

auto OnApplyConfiguration(EventContext& context,
                          uint64_t number,
                          ApplyConfiguration apply) -> void {
  auto open = std::make_shared<OpenApply>();
  open->number = number;
  open->expires = context.now.boot + kApplyTimeout;
  open->attempt =
      BeginApply(static_cast<int64_t>(apply.expected_version),
                 std::move(apply.operation_id), std::move(apply.document));
  ContinueApply(context, open);
}

}  // namespace boragecroft
