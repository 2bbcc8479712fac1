#pragma once

// The policy experiment: the reducers of a deployment's data centres in virtual
// time, against workers that answer at once. Seeded; the same seed gives the
// same output, byte for byte.
//
// Index of this file
// [1] Deployments
// [2] Arrivals
// [3] Results
// [4] Running and printing

#include "core/job/scheduler.hpp"

#include <CLI/CLI.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace galenastage::measure {

// [1] Deployments

/// Jobs of one kind that an organisation sends.
struct job_kind {
  organisation_id Organisation;
  pool_id Pool;
  work_class Class = work_class::Ordinary;
  int Weight = 1;                // share of the arrivals
  std::vector<int> Tasks;        // one of these
  int AcceleratorsPerTask = 1;   //
  seconds MedianRunTime{600};    // of a log-normal distribution
  bool IsCheckpointable = false; //
  bool IsIdempotent = true;      //
};

/// Fleet, tables and workload of one deployment.
struct deployment {
  std::string Name;
  int DataCentres = 2;
  int RacksPerDataCentre = 2;
  int WorkersPerRack = 8;
  int AcceleratorsPerWorker = 8;
  double Load = 0.85; // offered work over the capacity of the fleet
  tables Tables;
  std::vector<job_kind> Kinds;
};

/// "bayanat", "filo" or "letter"; the last is two of the seven data centres of
/// the two-year size.
deployment makeDeployment(const std::string &Name);

// [2] Arrivals

/// A future arrival, with the job's actual run time.
struct arrival {
  seconds At{0};
  job_spec Spec;
  milliseconds RealRunTime{0};
  std::size_t Entry = 0; // index of the data centre that accepts it
};

/// Random numbers with hand-written distributions: those of the standard
/// library differ between implementations.
class random_source {
public:
  explicit random_source(std::uint64_t Seed) : Engine(Seed) {}
  double uniform(); // in [0, 1)
  std::size_t below(std::size_t Count);
  double exponential(double Mean);
  double logNormal(double Median, double Sigma);

private:
  std::mt19937_64 Engine;
};

inline constexpr seconds ArrivalSpan{10 * 3'600}; // jobs arrive in this time
inline constexpr seconds Horizon{16 * 3'600};     // the run ends here
inline constexpr seconds DepartureAt{4 * 3'600};  // taken out of service
inline constexpr seconds PowerOffAfter{900};      // from then to lost power
inline constexpr seconds DepartureLength{2 * 3'600};

/// Poisson arrivals with bursts of small and of large jobs.
std::vector<arrival> drawArrivals(const deployment &Deployment,
                                  std::uint64_t Seed);

// [3] Results

struct completion_key {
  work_class Class = work_class::Ordinary;
  organisation_id Organisation;

  friend auto operator<=>(const completion_key &,
                          const completion_key &) = default;
};

/// Results of one strategy with one seed.
struct policy_result {
  std::map<completion_key, std::vector<double>> Completion; // s, sorted
  std::vector<double> AllCompletions; // s, sorted, of what finished
  std::vector<double> WithFailures;   // s, sorted; a failed job never completes
                                      // and counts as done at the horizon
  std::vector<double> UrgentStarts;   // s from submission to running, sorted
  std::vector<double> Reclaims;       // s from eviction to running, sorted
  double Fragmentation = 0; // share of the fleet: waiting work would fit there
                            // if the free accelerators weren't scattered
  double IdleWhileWanted = 0; // share of the fleet: free while work waits
  double DepartureWork = 0;   // accelerator hours
  double LostWork = 0;        // accelerator hours
  int Finished = 0;
  int Failed = 0;
  int Cancelled = 0;
  int Unfinished = 0; // at the horizon; they count as completed then
  int Evictions = 0;
};

/// The value below which this share of the sorted values lies; 0 for none.
double quantile(const std::vector<double> &Sorted, double Share);
double mean(const std::vector<double> &Values);

// [4] Running and printing

policy_result runPolicy(const deployment &Deployment, std::uint64_t Seed,
                        const placement_strategy &Strategy);

/// Registers "policy" with the command line.
void addPolicyCommand(CLI::App &App);

} // namespace galenastage::measure
