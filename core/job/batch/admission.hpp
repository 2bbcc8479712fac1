#pragma once

// Decides whether a new job could still end in time. Pure functions: the
// leader's backlog, its age and the job are arguments.
//
// Index of this file
// [1] Backlog
// [2] Admission

#include "core/job/batch/model.hpp"

#include <chrono>

namespace galenastage::batch {

// [1] Backlog

/// Work of one organisation and priority that isn't done, by its estimates.
/// Work of long-running steps isn't counted.
struct backlog_entry {
  organisation_id Organisation; // empty: of public queues
  int Priority = 0;
  double Waiting = 0;   // weighted core-seconds of units without a run
  double Running = 0;   // of units with a run, from their beginning
  int Accelerators = 0; // that priority 0 uses, has reserved or waits for

  friend bool operator==(const backlog_entry &,
                         const backlog_entry &) = default;
};

struct service_backlog {
  service_id Service;
  double Capacity = 0;  // weighted cores of its listed executors
  int Accelerators = 0; // of these executors
  double Rate = 0;      // estimated weighted core-seconds that end in a second
  std::vector<backlog_entry> Entries;
  std::vector<backlog_entry> Others; // sums over further organisations, by
                                     // priority; no Organisation

  friend bool operator==(const service_backlog &,
                         const service_backlog &) = default;
};

/// What the leader publishes.
struct backlog {
  std::vector<service_backlog> Services;

  friend bool operator==(const backlog &, const backlog &) = default;
};

/// Organisations that are listed for a service, and services. With them the
/// record has at most 50 kB.
inline constexpr int MaxBacklogOrganisations = 64;
inline constexpr int MaxBacklogServices = 4;

/// Leaves out what exceeds the limits above: of organisations those with the
/// least work are summed, of services those with the least are dropped.
void limitSize(backlog &Backlog);

/// Whether the difference could change a decision: some entry, capacity or rate
/// differs by a twentieth, and an entry by more than the service does in 0.1 s.
bool differsNotably(const backlog &Left, const backlog &Right);

// [2] Admission

struct admission_settings {
  bool IsEnabled = true;
  // A job that ends later than this many objectives after its submission earns
  // nothing.
  double MaxObjectives = 3;
  // Estimates are off by up to a half, so work may end this much faster.
  double Optimism = 1.5;
  milliseconds MaxRetryDelay{60'000}; // before its spread

  friend bool operator==(const admission_settings &,
                         const admission_settings &) = default;
};

/// A job that can't end in time, with the figures that say so.
struct admission_refusal {
  milliseconds Expected{0};   // until it ends, by an optimistic estimate
  milliseconds Limit{0};      // after which it earns nothing
  milliseconds RetryAfter{0}; // spread by the job's id
  double Ahead = 0;      // weighted core-seconds that go first or beside it
  double Own = 0;        // of these, its organisation's
  double Throughput = 0; // weighted core-seconds per second

  friend bool operator==(const admission_refusal &,
                         const admission_refusal &) = default;
};

/// Refuses a job that can't end within MaxObjectives although the service works
/// at full capacity on nothing but work of its priority or a higher one, and
/// its organisation gets a fair share. Nullopt: accepted. Accepted are also
/// jobs of priority 0 within the Guarantee of their organisation
/// (accelerators), jobs of a service that the backlog doesn't list, and jobs
/// that repeat, have long-running steps or steps without an estimate.
std::optional<admission_refusal>
findRefusal(const backlog &Backlog, const job_spec &Job, int Guarantee,
            const admission_settings &Settings);

} // namespace galenastage::batch
