#include "peers/operator/metrics_page.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

#include "servers/dispatcher/counters.h"

namespace boragecroft {

namespace detail {

struct MetricsState {
  prometheus::Registry registry;
  std::map<std::string, prometheus::Counter*> counters;
  prometheus::Family<prometheus::Counter>* refused = nullptr;
  prometheus::Family<prometheus::Gauge>* sizes = nullptr;
};

static auto ToDouble(const boost::json::value& value) -> double {
  boost::json::error_code ec;
  const auto number = value.to_number<double>(ec);
  return ec ? 0 : number;
}

// Increases `counter` to `value`. Counters never decrease, so the difference
// from the value shown before is added.
static auto IncreaseTo(prometheus::Counter& counter,
                       const boost::json::value& value) -> void {
  const auto added = ToDouble(value) - counter.Value();
  if (added > 0) {
    counter.Increment(added);
  }
}

static auto AddCounter(MetricsState& state, const CounterInfo& info) -> void {
  auto& family = prometheus::BuildCounter()
                     .Name(std::string("boragecroft_") + info.name + "_total")
                     .Help(info.help)
                     .Register(state.registry);
  state.counters[info.name] = &family.Add({});
}

}  // namespace detail

MetricsPage::MetricsPage() : state_(std::make_unique<detail::MetricsState>()) {
  VisitCounters(Counters(), [&](const CounterInfo& info, uint64_t) {
    detail::AddCounter(*state_, info);
  });
  state_->refused =
      &prometheus::BuildCounter()
           .Name("boragecroft_jobs_refused_total")
           .Help("Submissions refused, by reason; nothing of them ran")
           .Register(state_->registry);
  state_->sizes = &prometheus::BuildGauge()
                       .Name("boragecroft_size")
                       .Help(
                           "Sizes of the state that this instance holds, by "
                           "what is counted")
                       .Register(state_->registry);
}

MetricsPage::~MetricsPage() = default;

auto MetricsPage::Render(const boost::json::object& counters) -> std::string {
  for (const auto& it : counters) {
    const auto found = state_->counters.find(std::string(it.key()));
    if (found != state_->counters.end()) {
      detail::IncreaseTo(*found->second, it.value());
    }
  }
  if (const auto* refused = counters.if_contains("jobs_refused")) {
    for (const auto& it : refused->as_object()) {
      detail::IncreaseTo(
          state_->refused->Add({{"reason", std::string(it.key())}}),
          it.value());
    }
  }
  if (const auto* sizes = counters.if_contains("sizes")) {
    for (const auto& it : sizes->as_object()) {
      state_->sizes->Add({{"of", std::string(it.key())}})
          .Set(detail::ToDouble(it.value()));
    }
  }
  return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}  // namespace boragecroft
