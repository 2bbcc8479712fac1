#include "measure/load_report.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace galenastage::measure {
namespace {

std::string format(const char *Pattern, auto... Values) {
  std::array<char, 256> Text{};
  std::snprintf(Text.data(), Text.size(), Pattern, Values...);
  return Text.data();
}

template <typename Key>
std::string printCounts(const std::map<Key, int> &Counts) {
  std::string Text;
  for (const auto &[Name, Count] : Counts) {
    if constexpr (std::is_same_v<Key, std::string>)
      Text += " " + Name;
    else
      Text += " " + std::to_string(Name);
    Text += "=" + std::to_string(Count);
  }
  return Text;
}

std::string printKind(const load_kind &Kind, const kind_report &Report,
                      double Seconds) {
  std::string Text =
      format("%-18s sent %d (%.0f/s)  answered 200: %zu  ms p50 %.2f p90 %.2f "
             "p99 %.2f p99.9 %.2f\n",
             Kind.Name.c_str(), Report.Sent, Report.Sent / Seconds,
             Report.Latency.count(), Report.Latency.quantile(0.5),
             Report.Latency.quantile(0.9), Report.Latency.quantile(0.99),
             Report.Latency.quantile(0.999));
  Text += format("%-18s verdicts", "") + printCounts(Report.Verdicts) +
          "  statuses" + printCounts(Report.Statuses) + "\n";
  return Text;
}

} // namespace

void latency_histogram::add(std::chrono::microseconds Latency) {
  Bins(std::max(0.001, static_cast<double>(Latency.count()) / 1'000));
  ++Count;
}

double latency_histogram::quantile(double Share) const {
  const double Wanted = Share * static_cast<double>(Count);
  double Sum = 0;
  for (const auto &Bin : boost::histogram::indexed(Bins)) {
    Sum += static_cast<double>(*Bin);
    if (Sum >= Wanted && Sum > 0)
      return Bin.bin().upper();
  }
  return 0;
}

load_ledger parseLedger(const std::string &Text) {
  load_ledger Ledger;
  const auto Json = nlohmann::json::parse(Text);
  for (const auto &Executor : Json.at("executors")) {
    Ledger.RefusedOverSlots += Executor.at("refused_over_slots").get<int>();
    Ledger.RefusedConnections += Executor.at("refused_connections").get<int>();
    Ledger.MostAtOnce =
        std::max(Ledger.MostAtOnce, Executor.at("most_at_once").get<int>());
    Ledger.MostConnections = std::max(
        Ledger.MostConnections, Executor.at("most_connections").get<int>());
    for (const auto &[Id, Entry] : Executor.at("requests").items()) {
      const auto Key = Entry.at("idempotency_key").get<std::string>();
      Ledger.Runs[Key] += Entry.at("runs").get<int>();
    }
  }
  return Ledger;
}

ledger_check checkLedger(const std::vector<load_kind> &Kinds,
                         const std::vector<load_outcome> &Outcomes,
                         const load_ledger &Before, const load_ledger &After) {
  ledger_check Check;
  for (const load_outcome &Outcome : Outcomes) {
    const auto Found = After.Runs.find(Outcome.Key);
    const int Runs = Found == After.Runs.end() ? 0 : Found->second;
    Check.NotRunButRan += Outcome.Verdict == "not-run" && Runs > 0 ? 1 : 0;
    Check.RanTwice += Kinds[Outcome.Kind].IsOnce && Runs > 1 ? 1 : 0;
    Check.Lost += Outcome.Verdict == "ran" && Runs == 0 ? 1 : 0;
    Check.Mixed += Outcome.IsMixed ? 1 : 0;
  }
  Check.OverLimit = After.RefusedOverSlots - Before.RefusedOverSlots +
                    After.RefusedConnections - Before.RefusedConnections;
  return Check;
}

std::string printReport(const std::vector<load_kind> &Kinds,
                        const std::vector<kind_report> &Reports, double Seconds,
                        const ledger_check &Check, const load_ledger &After) {
  std::string Text;
  for (std::size_t I = 0; I < Kinds.size(); ++I)
    Text += printKind(Kinds[I], Reports[I], Seconds);
  Text += format("executors          most requests at once %d, most "
                 "connections %d\n",
                 After.MostAtOnce, After.MostConnections);
  Text += format("ledger check       not-run-but-ran %d, ran-twice %d, lost "
                 "%d, mixed %d, over-limit %d: %s\n",
                 Check.NotRunButRan, Check.RanTwice, Check.Lost, Check.Mixed,
                 Check.OverLimit, Check == ledger_check{} ? "ok" : "FAILED");
  return Text;
}

} // namespace galenastage::measure
