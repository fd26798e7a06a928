// The metrics page in the text format of Prometheus, generated with
// prometheus-cpp from the dispatcher's counters.
#ifndef PEERS_OPERATOR_METRICS_PAGE_H_
#define PEERS_OPERATOR_METRICS_PAGE_H_

#include <boost/json/object.hpp>
#include <memory>
#include <string>

namespace boragecroft {

namespace detail {
struct MetricsState;
}

class MetricsPage {
 public:
  MetricsPage();
  ~MetricsPage();

  // Updates the metrics to the values in `counters`, which has the form in
  // which the dispatcher reports them, and returns the page.
  auto Render(const boost::json::object& counters) -> std::string;

 private:
  std::unique_ptr<detail::MetricsState> state_;
};

}  // namespace boragecroft

#endif  // PEERS_OPERATOR_METRICS_PAGE_H_
