#pragma once

// What the load generator saw, and the check against the executors' ledger.
//
// Index of this file
// [1] Latencies
// [2] Requests
// [3] Ledger
// [4] Report

#include "core/types.hpp"

#include <boost/histogram.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace galenastage::measure {

// [1] Latencies

/// Latencies in milliseconds, in bins that each span 2%.
class latency_histogram {
public:
  void add(std::chrono::microseconds Latency);
  [[nodiscard]] std::size_t count() const { return Count; }
  /// Upper edge of the bin that holds this quantile; 0 when empty.
  [[nodiscard]] double quantile(double Share) const;

private:
  using axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using histogram = decltype(boost::histogram::make_histogram(axis()));

  histogram Bins = boost::histogram::make_histogram(axis(930, 0.001, 1e5));
  std::size_t Count = 0;
};

// [2] Requests

/// A kind of request to send.
struct load_kind {
  std::string Name;
  std::string Path;      // with its query
  int Weight = 1;        // share of the requests
  bool IsOnce = false;   // runs at most once
  bool IsDirect = false; // sent to an executor, not through the entry
};

/// The outcome of one request.
struct load_outcome {
  std::size_t Kind = 0;
  std::string Key; // unique to the request
  unsigned Status = 0;
  bool IsAnswered = false; // a whole answer of entry or executor came
  bool IsMixed = false;    // the answer of another request, or a cut one
  std::string Verdict;     // "ran", "not-run" or "unknown"
};

// [3] Ledger

/// Runs and peak use of limits as the executors report them.
struct load_ledger {
  std::map<std::string, int> Runs; // by key
  int RefusedOverSlots = 0;
  int MostAtOnce = 0;
  int RefusedConnections = 0;
  int MostConnections = 0;
};

/// Reads the answer of /ledger. Throws on malformed text.
load_ledger parseLedger(const std::string &Text);

/// Each count must be 0.
struct ledger_check {
  int NotRunButRan = 0; // told not-run, and it ran
  int RanTwice = 0;     // at most once, and it ran twice
  int Lost = 0;         // told ran, and nothing ran
  int Mixed = 0;        // got an answer that wasn't its own
  int OverLimit = 0;    // requests or connections above an executor's limit

  friend bool operator==(const ledger_check &, const ledger_check &) = default;
};

ledger_check checkLedger(const std::vector<load_kind> &Kinds,
                         const std::vector<load_outcome> &Outcomes,
                         const load_ledger &Before, const load_ledger &After);

// [4] Report

struct kind_report {
  latency_histogram Latency; // of requests that were answered with 200
  std::map<std::string, int> Verdicts;
  std::map<unsigned, int> Statuses; // 0: no answer
  int Sent = 0;
};

std::string printReport(const std::vector<load_kind> &Kinds,
                        const std::vector<kind_report> &Reports, double Seconds,
                        const ledger_check &Check, const load_ledger &After);

} // namespace galenastage::measure
