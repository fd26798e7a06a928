#include "bench/scenarios/streams.h"

#include <algorithm>

namespace boragecroft::bench {
namespace {

constexpr milliseconds kUrgentDeadline{2000};
constexpr milliseconds kMiddleDeadline{5000};
constexpr milliseconds kBulkDeadline{10000};
constexpr uint32_t kMiddleTasks = 5;
constexpr uint32_t kBulkTasks = 20;
constexpr milliseconds kWaitBeyondDeadline{2000};

auto JobsPerSecond(double share, uint32_t slots, const JobShape& shape)
    -> double {
  const auto run = std::chrono::duration<double>(shape.run).count();
  return share * slots / run / shape.tasks;
}

auto MakeStream(const std::string& name,
                JobShape shape,
                double share,
                uint32_t slots,
                microseconds to) -> Stream {
  Stream stream;
  stream.name = name;
  stream.jobs_per_second = JobsPerSecond(share, slots, shape);
  stream.shape = std::move(shape);
  stream.to = to;
  return stream;
}

auto PickServer(const PlanContext& context, microseconds at, double drawn)
    -> const Address& {
  const std::vector<double>* weights = nullptr;
  for (const auto& it : context.balancer_weights) {
    if (it.from <= at) {
      weights = &it.weights;
    }
  }
  if (weights == nullptr) {
    const auto count = context.servers.size();
    return context.servers[std::min(
        static_cast<size_t>(drawn * static_cast<double>(count)), count - 1)];
  }
  for (size_t i = 0; i < weights->size(); ++i) {
    drawn -= (*weights)[i];
    if (drawn < 0) {
      return context.servers[i];
    }
  }
  return context.servers[0];
}

auto MakeRequest(PlanContext& context,
                 const Stream& stream,
                 microseconds at,
                 double drawn) -> PlannedRequest {
  const auto& shape = stream.shape;
  const auto wait =
      stream.wait ? shape.deadline + kWaitBeyondDeadline : milliseconds(0);
  PlannedRequest request;
  request.at = at;
  request.server = PickServer(context, at, drawn);
  const auto id = TakeId(context.ids, request.server, shape.partner);
  request.target = "/v1/jobs?wait_ms=" + std::to_string(wait.count());
  request.body = SubmissionBody(shape, id);
  request.stream = stream.name;
  request.urgency_class = shape.urgency_class;
  request.tasks = shape.tasks;
  request.ideal_response = shape.run + context.endpoint_overhead;
  request.deadline = shape.deadline;
  return request;
}

}  // namespace

auto Cartas() -> Deployment {
  return Deployment{.name = "cartas",
                    .zone = "bilbao",
                    .service = "cartas",
                    .urgent_class = "confirmations",
                    .middle_class = "reminders",
                    .bulk_class = "bulk",
                    .urgent_partner = "agents",
                    .middle_partner = "aguas-de-oviedo",
                    .bulk_partner = "banco-cantabrico",
                    .flooding_urgent_partner = "client-portal",
                    .flooding_bulk_partner = "electra-bilbao"};
}

auto Logbook() -> Deployment {
  return Deployment{.name = "logbook",
                    .zone = "tt-north-arima",
                    .service = "logbook",
                    .urgent_class = "damage-notes",
                    .middle_class = "certificates",
                    .bulk_class = "history-checks",
                    .urgent_partner = "caretakers-huts",
                    .middle_partner = "insurers-bothies",
                    .bulk_partner = "insurers-huts",
                    .flooding_urgent_partner = "caretakers-bothies",
                    .flooding_bulk_partner = "insurers-shelters"};
}

auto OrdinaryLoad(const Deployment& deployment,
                  const LoadMix& mix,
                  uint32_t slots,
                  microseconds to) -> std::vector<Stream> {
  JobShape urgent;
  urgent.service = deployment.service;
  urgent.partner = deployment.urgent_partner;
  urgent.urgency_class = deployment.urgent_class;
  urgent.kind = "urgent";
  urgent.run = kUrgentRun;
  urgent.deadline = kUrgentDeadline;
  auto middle = urgent;
  middle.partner = deployment.middle_partner;
  middle.urgency_class = deployment.middle_class;
  middle.kind = "middle";
  middle.tasks = kMiddleTasks;
  middle.run = kBulkRun;
  middle.deadline = kMiddleDeadline;
  auto bulk = middle;
  bulk.partner = deployment.bulk_partner;
  bulk.urgency_class = deployment.bulk_class;
  bulk.kind = "bulk";
  bulk.tasks = kBulkTasks;
  bulk.deadline = kBulkDeadline;
  return {MakeStream("urgent", urgent, mix.urgent, slots, to),
          MakeStream("middle", middle, mix.middle, slots, to),
          MakeStream("bulk", bulk, mix.bulk, slots, to)};
}

auto AddStream(PlanContext& context,
               const Stream& stream,
               std::vector<PlannedRequest>& plan) -> void {
  if (stream.jobs_per_second <= 0) {
    return;
  }
  std::exponential_distribution<double> gap(stream.jobs_per_second / 1e6);
  std::uniform_real_distribution<double> draw(0, 1);
  auto at =
      stream.from + microseconds(static_cast<int64_t>(gap(context.random)));
  while (at < stream.to) {
    plan.push_back(MakeRequest(context, stream, at, draw(context.random)));
    at += microseconds(static_cast<int64_t>(gap(context.random)));
  }
}

}  // namespace boragecroft::bench
