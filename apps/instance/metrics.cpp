#include "apps/instance/metrics.hpp"

namespace galenastage {
namespace {

constexpr const char *Requests = "galenastage_client_requests_total";
constexpr const char *RequestSeconds = "galenastage_client_request_seconds";
constexpr const char *Orders = "galenastage_executor_orders_total";
constexpr const char *OrderSeconds = "galenastage_executor_order_seconds";
constexpr const char *SchedulerEvents = "galenastage_scheduler_events_total";
constexpr const char *UnitWaits = "galenastage_unit_wait_seconds";
constexpr const char *Saves = "galenastage_progress_saves_total";
constexpr const char *SaveSeconds = "galenastage_progress_save_seconds";
constexpr const char *StoreCallsMade = "galenastage_store_calls";
constexpr const char *ExecutorCallsMade = "galenastage_executor_calls";
constexpr const char *OpenConnections = "galenastage_connections_open";
constexpr const char *HeldBytes = "galenastage_connections_bytes";
constexpr const char *TurnedAway = "galenastage_connections_turned_away";
constexpr const char *DroppedLines = "galenastage_log_lines_dropped";
constexpr const char *LeaderToken = "galenastage_leader_token";
constexpr const char *ConfigVersion = "galenastage_configuration_version";
constexpr const char *ConfigAge = "galenastage_configuration_age_seconds";
constexpr const char *ConfigFailures =
    "galenastage_configuration_call_failures_total";

} // namespace

instance_metrics::instance_metrics() {
  Registry.describe(Requests, "counter",
                    "Requests of clients, by method and status.");
  Registry.describe(RequestSeconds, "histogram",
                    "Time from the whole request to its answer.");
  Registry.describe(Orders, "counter", "Orders to executors, by outcome.");
  Registry.describe(OrderSeconds, "histogram",
                    "Time until an executor answered an order.");
  Registry.describe(SchedulerEvents, "counter",
                    "Log events of the scheduler, by name.");
  Registry.describe(UnitWaits, "histogram",
                    "Time from when a task or gang could start until it did, "
                    "by organisation and priority.");
  Registry.describe(Saves, "counter", "Writes of jobs' progress, by outcome.");
  Registry.describe(SaveSeconds, "histogram",
                    "Time until progress was stored.");
  Registry.describe(StoreCallsMade, "gauge",
                    "Calls to the metadata store since the start.");
  Registry.describe(ExecutorCallsMade, "gauge",
                    "Calls to executors since the start.");
  Registry.describe(OpenConnections, "gauge",
                    "Connections to a server of this instance.");
  Registry.describe(HeldBytes, "gauge",
                    "Memory that connections to a server hold.");
  Registry.describe(TurnedAway, "gauge",
                    "Connections closed since the start: displaced by others "
                    "or refused on arrival.");
  Registry.describe(DroppedLines, "gauge",
                    "Log lines left out since the start.");
  Registry.describe(LeaderToken, "gauge",
                    "Fencing token while this instance leads, else 0.");
  Registry.describe(ConfigVersion, "gauge",
                    "Version of the configuration in force.");
  Registry.describe(ConfigAge, "gauge",
                    "Time since the store last confirmed the configuration.");
  Registry.describe(ConfigFailures, "counter",
                    "Watches and reads of the configuration that failed.");
}

void instance_metrics::noteRequest(const std::string &Method, unsigned Status,
                                   milliseconds Took) {
  const bool IsKnown =
      Method == "POST" || Method == "GET" || Method == "DELETE";
  const std::string Label = IsKnown ? Method : "other";
  Registry.count(Requests,
                 {{"method", Label}, {"status", std::to_string(Status)}});
  Registry.observe(RequestSeconds, {{"method", Label}}, Took);
}

void instance_metrics::noteOrder(std::string_view Kind,
                                 std::string_view Outcome, milliseconds Took) {
  Registry.count(Orders, {{"order", std::string(Kind)},
                          {"outcome", std::string(Outcome)}});
  Registry.observe(OrderSeconds, {{"order", std::string(Kind)}}, Took);
}

void instance_metrics::noteSchedulerEvent(std::string_view Event) {
  Registry.count(SchedulerEvents, {{"event", std::string(Event)}});
}

void instance_metrics::noteWait(const std::string &Organisation, int Priority,
                                milliseconds Waited) {
  const bool IsListed =
      !Organisation.empty() && (Organisations.contains(Organisation) ||
                                (Organisations.size() < MaxOrganisations &&
                                 Organisations.insert(Organisation).second));
  Registry.observe(UnitWaits,
                   {{"organisation", IsListed ? Organisation : "other"},
                    {"priority", std::to_string(Priority)}},
                   Waited);
}

void instance_metrics::noteSave(bool IsSaved, milliseconds Took) {
  Registry.count(Saves, {{"outcome", IsSaved ? "saved" : "failed"}});
  Registry.observe(SaveSeconds, {}, Took);
}

void instance_metrics::noteCalls(std::uint64_t StoreCalls,
                                 std::uint64_t ExecutorCalls) {
  Registry.set(StoreCallsMade, {}, static_cast<double>(StoreCalls));
  Registry.set(ExecutorCallsMade, {}, static_cast<double>(ExecutorCalls));
}

void instance_metrics::noteConnections(const std::string &Server,
                                       const http_server &Of) {
  Registry.set(OpenConnections, {{"server", Server}}, Of.openConnections());
  Registry.set(HeldBytes, {{"server", Server}},
               static_cast<double>(Of.heldBytes()));
  Registry.set(TurnedAway, {{"server", Server}, {"reason", "displaced"}},
               Of.displacedConnections());
  Registry.set(TurnedAway, {{"server", Server}, {"reason", "refused"}},
               Of.refusedConnections());
}

void instance_metrics::noteDroppedLines(std::uint64_t Dropped) {
  Registry.set(DroppedLines, {}, static_cast<double>(Dropped));
}

void instance_metrics::noteLeadership(std::uint64_t Token) {
  Registry.set(LeaderToken, {}, static_cast<double>(Token));
}

void instance_metrics::noteConfiguration(std::int64_t Version) {
  Registry.set(ConfigVersion, {}, static_cast<double>(Version));
}

void instance_metrics::noteConfigurationAge(milliseconds Age) {
  Registry.set(ConfigAge, {}, std::chrono::duration<double>(Age).count());
}

void instance_metrics::noteFailedConfigurationCall(std::string_view Call) {
  Registry.count(ConfigFailures, {{"call", std::string(Call)}});
}

} // namespace galenastage
