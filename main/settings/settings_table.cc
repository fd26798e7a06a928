#include "main/settings/settings_table.h"

#include <array>

namespace boragecroft::detail {
namespace {

using S = DaemonSettings;

constexpr Range kInterval{.low = 10, .high = 60'000};
constexpr Range kTimeout{.low = 10, .high = 600'000};
constexpr Range kRingSize{.low = 16, .high = 1 << 20};

constexpr std::array kTextKeys = {
    TextKey{"instance", &S::instance,
            "Name of this instance, unique in the deployment."},
    TextKey{"availability_zone", &S::availability_zone,
            "Zone of this instance, as declared."},
    TextKey{"deployment", &S::deployment,
            "Deployment that this instance belongs to, as declared."},
};

constexpr std::array kAddressKeys = {
    AddressKey{"listen_callers", &S::listen_callers, true,
               "Where callers and the balancer connect (HTTP)."},
    AddressKey{"listen_instances", &S::listen_instances, true,
               "Where other instances connect (Thrift); they are told this "
               "address, so not 0.0.0.0."},
    AddressKey{"listen_operators", &S::listen_operators, true,
               "Where boragecroftctl connects (HTTP)."},
    AddressKey{"platform", &S::platform, false,
               "The platform's service: table, object store, list."},
};

constexpr std::array kDurationKeys = {
    DurationKey{"heartbeat_interval_ms", &S::heartbeat_interval, kInterval,
                "Time between heartbeats to the instances of the zone."},
    DurationKey{"configuration_poll_interval_ms",
                &S::configuration_poll_interval, kInterval,
                "Time between reads of the configuration row."},
    DurationKey{"configuration_max_wait_ms", &S::configuration_max_wait,
                kTimeout,
                "Longest wait for the zone's instances and the platform "
                "before serving, at the start and after a pause."},
    DurationKey{"list_poll_interval_ms", &S::list_poll_interval, kInterval,
                "Time between reads of the platform's list of instances."},
    DurationKey{"ledger_flush_interval_ms",
                &S::ledger_flush_interval,
                {.low = 1, .high = 10'000},
                "Time for which ledger entries are collected into one write."},
    DurationKey{"platform_timeout_ms", &S::platform_timeout, kTimeout,
                "Longest wait for an answer of the platform."},
    DurationKey{"peer_timeout_ms", &S::peer_timeout, kTimeout,
                "Longest wait for an answer of another instance."},
    DurationKey{"query_timeout_ms", &S::query_timeout, kTimeout,
                "Longest wait for an endpoint's answer to a status query or a "
                "stop."},
    DurationKey{"dead_after_ms", &S::dead_after, kTimeout,
                "Silence after which an incarnation counts as dead for the "
                "record; at least 3 heartbeat intervals."},
    DurationKey{"pause_threshold_ms", &S::pause_threshold, kTimeout,
                "Gap between ticks that counts as a pause of this process; "
                "below dead_after_ms."},
    DurationKey{"drain_timeout_ms", &S::drain_timeout, kTimeout,
                "Longest time that a planned stop gives its jobs."},
    DurationKey{"balancer_grace_ms",
                &S::balancer_grace,
                {.low = 0, .high = 600'000},
                "Time in which the balancer notices that this instance leaves; "
                "below drain_timeout_ms."},
};

constexpr std::array kCountKeys = {
    CountKey{"answer_memory_mb",
             &S::answer_memory_mb,
             {.low = 1, .high = 65'536},
             " MB",
             "Memory for the answers of ended jobs; over it, the oldest that "
             "are recorded come from the record."},
    CountKey{"caller_ring_size", &S::caller_ring_size, kRingSize, " messages",
             "Requests of callers that wait for the dispatching thread."},
    CountKey{"endpoint_ring_size", &S::endpoint_ring_size, kRingSize,
             " messages",
             "Starts and answers between the dispatching and endpoint "
             "threads."},
    CountKey{"instance_ring_size", &S::instance_ring_size, kRingSize,
             " messages", "Messages from and to other instances."},
    CountKey{"platform_ring_size", &S::platform_ring_size, kRingSize,
             " messages",
             "Reads and writes that wait for the platform's thread."},
    CountKey{"operator_ring_size", &S::operator_ring_size, kRingSize,
             " messages", "Requests of operators that wait for an answer."},
};

}  // namespace

auto TextKeys() -> std::span<const TextKey> {
  return kTextKeys;
}

auto AddressKeys() -> std::span<const AddressKey> {
  return kAddressKeys;
}

auto DurationKeys() -> std::span<const DurationKey> {
  return kDurationKeys;
}

auto CountKeys() -> std::span<const CountKey> {
  return kCountKeys;
}

auto LogLevelNames() -> const std::vector<std::string>& {
  static const std::vector<std::string> names = {"debug", "info", "warning",
                                                 "error"};
  return names;
}

}  // namespace boragecroft::detail
