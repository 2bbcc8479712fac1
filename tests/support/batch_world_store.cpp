// The simulation's store.

#include "tests/support/batch_world_internal.hpp"

namespace galenastage::batch::test::detail {
namespace {

constexpr milliseconds LengthsBound{4'000}; // until the lengths must be right

} // namespace

bool world::refusesWrite() {
  const double Failing = Settings.Faults.FailingWrites;
  return Now < WritesRefusedUntil || (Failing > 0 && chance(Failing));
}

void world::publish(const std::shared_ptr<fake_leader> &Leader,
                    std::uint64_t Term, published_record Record,
                    std::function<void()> Apply) {
  const bool IsAway = Leader->IsCutOff || Now < StoreDownUntil;
  const bool IsRefused = refusesWrite();
  const double Lost = Settings.Faults.LostWrites;
  const bool IsLost = Lost > 0 && chance(Lost);
  after(IsAway || IsLost ? CallTimeout : StoreLatency,
        [=, this, Apply = std::move(Apply)] {
          const bool IsStored = !IsAway && !IsRefused && CurrentToken == Term;
          if (IsStored)
            Apply();
          post(Leader, Term,
               record_published{Record, IsStored && !IsLost
                                            ? write_outcome::Stored
                                            : write_outcome::Failed});
        });
}

void world::carryOut(const std::shared_ptr<fake_leader> &Leader,
                     forget_job &Forget) {
  const forget_job Order = Forget;
  const bool IsForgotten = !Leader->IsCutOff && Now >= StoreDownUntil &&
                           !refusesWrite() && CurrentToken == Order.Token;
  after(StoreLatency, [=, this] {
    post(Leader, Order.Token, job_forgotten{Order.Job, IsForgotten});
  });
}

void world::carryOut(const std::shared_ptr<fake_leader> &Leader,
                     save_speeds &Save) {
  publish(Leader, Save.Token, published_record::Speeds,
          [this, Speeds = Save.Speeds] { StoredSpeeds = Speeds; });
}

void world::carryOut(const std::shared_ptr<fake_leader> &Leader,
                     publish_queue_lengths &Publish) {
  publish(Leader, Publish.Token, published_record::QueueLengths,
          [this, Lengths = Publish.Queues] { StoredLengths = Lengths; });
}

void world::carryOut(const std::shared_ptr<fake_leader> &Leader,
                     publish_backlog &Publish) {
  publish(Leader, Publish.Token, published_record::Backlog, [] {});
}

// Checks

void world::checkLengths() {
  // Several writes in a row may fail by chance.
  const bool IsRandom =
      Settings.Faults.FailingWrites > 0 || Settings.Faults.LostWrites > 0;
  if (!Settings.Loads.empty() || IsRandom)
    return;
  // A leader that hears of no job publishes what it knows.
  const time_point Quiet = std::max({LoadedAt, StoreDownUntil, StoreSlowUntil,
                                     WritesRefusedUntil, SilentUntil});
  if (!Current || !Current->IsLoaded || Now < Quiet + LengthsBound)
    return;
  std::map<route_id, int> Waiting;
  for (const auto &[Id, Job] : Jobs)
    if (!Job.StartedAt && !Job.IsCancelled &&
        wall() - Job.Spec.Submitted >= LengthsBound &&
        parseSummary(Job.Progress).Record.Phase == job_phase::Queued)
      ++Waiting[Job.Spec.Queue.Name];
  for (const auto &[Queue, Count] : Waiting) {
    const auto Found =
        std::ranges::find(StoredLengths, Queue, &queue_length::Queue);
    const int Published = Found == StoredLengths.end() ? 0 : Found->Waiting;
    if (2 * Published < Count)
      violate(Queue.Value + " is said to have " + std::to_string(Published) +
              " waiting jobs, it has " + std::to_string(Count));
  }
}

} // namespace galenastage::batch::test::detail
