#include "standin/run_ledger.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace galenastage::standin {
namespace {

using json = nlohmann::json;

std::optional<double_run> compareRuns(const run_record &First,
                                      const run_record &Second, instant Now) {
  const instant FirstEnd = First.Ended.value_or(Now);
  const instant SecondEnd = Second.Ended.value_or(Now);
  const milliseconds Overlap = std::min(FirstEnd, SecondEnd) - Second.Began;
  if (Overlap > milliseconds(0))
    return double_run{First, Second, Overlap};
  if (First.How == "done" && First.Seen)
    return double_run{First, Second, milliseconds(0)};
  return std::nullopt;
}

class row_printer {
public:
  row_printer(instant Now, std::int64_t NowUnixMs)
      : Now(Now), NowUnixMs(NowUnixMs) {}

  [[nodiscard]] json print(const run_record &Record) const {
    json Row = {{"executor", Record.Executor},
                {"life", Record.Life},
                {"task", Record.Task},
                {"attempt", Record.Attempt},
                {"token", Record.Token},
                {"began_ms", unixMs(Record.Began)},
                {"start_waited_ms", Record.Waited.count()},
                {"start_of_former_life", Record.IsOfFormerLife},
                {"how", Record.How}};
    if (!Record.Ended)
      return Row;
    Row["ended_ms"] = unixMs(*Record.Ended);
    if (Record.Seen)
      Row["seen_ms"] = unixMs(*Record.Seen);
    Row["lease_by"] = {{"call", Record.Lease.Path},
                       {"handled_ms", unixMs(Record.Lease.Handled)},
                       {"waited_ms", Record.Lease.Waited.count()},
                       {"of_former_life", Record.Lease.IsOfFormerLife}};
    return Row;
  }

private:
  [[nodiscard]] std::int64_t unixMs(instant Time) const {
    return NowUnixMs - (Now - Time).count();
  }

  instant Now;
  std::int64_t NowUnixMs;
};

} // namespace

std::vector<double_run> findDoubleRuns(std::vector<run_record> Records,
                                       instant Now) {
  std::stable_sort(Records.begin(), Records.end(),
                   [](const run_record &A, const run_record &B) {
                     return A.Began < B.Began;
                   });
  std::map<std::string, std::vector<run_record>> OfTask;
  std::vector<double_run> Found;
  for (run_record &Record : Records) {
    std::vector<run_record> &Earlier = OfTask[Record.Task];
    for (const run_record &First : Earlier)
      if (auto Double = compareRuns(First, Record, Now))
        Found.push_back(std::move(*Double));
    Earlier.push_back(std::move(Record));
  }
  return Found;
}

json printLedger(const std::vector<run_record> &Records, instant Now,
                 std::int64_t NowUnixMs) {
  const row_printer Printer(Now, NowUnixMs);
  json Runs = json::array();
  for (const run_record &Record : Records)
    Runs.push_back(Printer.print(Record));
  json Twice = json::array();
  for (const double_run &Double : findDoubleRuns(Records, Now))
    Twice.push_back({{"task", Double.First.Task},
                     {"overlap_ms", Double.Overlap.count()},
                     {"first", Printer.print(Double.First)},
                     {"second", Printer.print(Double.Second)}});
  return {{"runs", std::move(Runs)}, {"twice", std::move(Twice)}};
}

} // namespace galenastage::standin
