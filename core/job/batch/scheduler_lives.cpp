// Lives of executors: one may start again under its id, also as another kind.
// Its entry in the list and its answers to holds tell of the new life at
// different times.

#include "core/job/batch/scheduler_internal.hpp"

namespace galenastage::batch::detail {
namespace {

constexpr std::int64_t ClockRoundingMs = 2; // of two readings

/// The lowest time that the clock of the executor's present life can have shown
/// at Sent or later, in milliseconds.
std::int64_t lowestClock(const executor_state &Executor, instant Sent) {
  const auto Since =
      std::chrono::duration_cast<milliseconds>(Sent - Executor.ClockReadAt);
  const auto Passed =
      Since.count() > 0
          ? std::chrono::duration_cast<milliseconds>(Since / ClockDrift)
          : Since;
  return Executor.ClockMs + Passed.count() - ClockRoundingMs;
}

/// The highest time that it can show now.
std::int64_t highestClock(const executor_state &Executor, instant Now) {
  const auto Since = std::chrono::duration_cast<milliseconds>(
      (Now - Executor.ClockAskedAt) * ClockDrift);
  return Executor.ClockMs + Since.count() + ClockRoundingMs;
}

std::string print(const std::optional<std::int64_t> &Value) {
  return Value ? std::to_string(*Value) : "unknown";
}

/// Whether the entry is of the life that the executor answers holds in.
bool isOfPresentLife(const executor_state &Executor, instant Now,
                     const scheduler_settings &Settings) {
  if (Executor.Incarnation == 0)
    return true; // unknown: nothing starts before it has answered a hold
  if (Executor.Report.Incarnation != 0)
    return Executor.Report.Incarnation == Executor.Incarnation;
  // The entry names no life. It may be of one that has ended for as long as an
  // executor's entry outlives it.
  return Executor.LostAt == instant{} ||
         Now - Executor.LostAt >= Settings.EntryLifetime;
}

} // namespace

void event_handler::updateLife(executor_state &Executor) {
  const bool IsOutdated = !isOfPresentLife(Executor, Now, State.Settings);
  if (std::exchange(Executor.IsEntryOutdated, IsOutdated) == IsOutdated)
    return;
  touch(Executor);
  State.NeedsPlacement = true;
  log(events::ExecutorEntryOutdated,
      {{"executor", Executor.Report.Id.Value},
       {"outdated", IsOutdated ? "yes" : "no"},
       {"listed", std::to_string(Executor.Report.Incarnation)},
       {"answered", std::to_string(Executor.Incarnation)}});
}

answering_life event_handler::lifeOf(const executor_state &Executor,
                                     const answer_source &From) const {
  if (From.Meant == 0)
    return answering_life::Meant; // no life was known when it was sent
  if (From.Born != 0)
    return From.Born == From.Meant ? answering_life::Meant
                                   : answering_life::Other;
  if (!From.ClockMs || Executor.Incarnation != From.Meant)
    return answering_life::Unknown;
  const bool IsOther = *From.ClockMs < lowestClock(Executor, From.Sent) ||
                       *From.ClockMs > highestClock(Executor, Now);
  if (IsOther)
    return answering_life::Other;
  // A clock may begin at any value; one that began at 0 since the clock was
  // read shows less than that time.
  const auto Youngest =
      std::chrono::duration_cast<milliseconds>(Now - Executor.ClockAskedAt);
  return *From.ClockMs > Youngest.count() ? answering_life::Meant
                                          : answering_life::Unknown;
}

answering_life event_handler::noteAnswer(const executor_state &Executor,
                                         std::string_view Call,
                                         const std::string &Task,
                                         const answer_source &From) {
  if (!From.Fault.empty())
    log(events::AnswerWithoutLife, {{"executor", Executor.Report.Id.Value},
                                    {"call", std::string(Call)},
                                    {"task", Task},
                                    {"reason", From.Fault}});
  const answering_life Life = lifeOf(Executor, From);
  if (Life != answering_life::Other)
    return Life;
  const bool IsClockKnown = Executor.Incarnation == From.Meant;
  log(events::AnswerOfOtherLife,
      {{"executor", Executor.Report.Id.Value},
       {"call", std::string(Call)},
       {"task", Task},
       {"meant", std::to_string(From.Meant)},
       {"answered", From.Born == 0 ? "unknown" : std::to_string(From.Born)},
       {"clock_ms", print(From.ClockMs)},
       {"expected_ms", IsClockKnown
                           ? std::to_string(lowestClock(Executor, From.Sent))
                           : "unknown"},
       {"since_ms", ago(From.Sent)}});
  return Life;
}

std::uint64_t event_handler::tokenFor(const executor_state &Executor) const {
  return std::max(State.Token, Executor.Token);
}

std::string event_handler::ago(instant Then) const {
  if (Then == instant{})
    return "unknown";
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(Now - Then).count());
}

lease_limits event_handler::leaseLimits() const {
  return {State.Settings.MaxLease, State.Settings.LateStarts};
}

void event_handler::requireLaterToken(executor_state &Executor) {
  Executor.TokenNeeded = Executor.LeasedToken + 1;
  if (Executor.IsHolding && Executor.LeasedHoldSent != instant{})
    Executor.Leases = addUnanswered(Executor.Leases, Executor.LeasedHoldSent);
  for (const auto &[Name, Run] : Executor.Runs)
    if (Run.Phase != run_phase::Recording && !Run.IsListed && !Run.IsAccepted &&
        !Run.IsInherited)
      Executor.Leases = addUnanswered(Executor.Leases, Run.Ordered);
}

void event_handler::raiseToken(executor_state &Executor) {
  const auto Known = static_cast<std::uint64_t>(State.StoreRevision);
  const bool MayRaise = tokenFor(Executor) < Executor.TokenNeeded &&
                        Known >= Executor.TokenNeeded;
  if (!MayRaise)
    return;
  Executor.Token = Known;
  State.HighestToken = std::max(State.HighestToken, Known);
}

void event_handler::suspectRestart(executor_state &Executor,
                                   const answer_source &From) {
  const bool IsKnown =
      !Executor.HasAnsweredHold || From.Meant != Executor.Incarnation;
  if (IsKnown)
    return;
  requireLaterToken(Executor);
  Executor.Leases =
      expectLateCalls(Executor.Leases, leaseLimits(), State.TakenOver);
  Executor.HasAnsweredHold = false;
  touch(Executor);
  State.NeedsPlacement = true;
  abandonHold(Executor);
  Executor.NextHold = Now;
  hold(Executor);
}

void event_handler::abandonHold(executor_state &Executor) {
  Executor.IsHolding = false;
  Executor.HoldNumber = 0;
}

void event_handler::openAnswered(executor_state &Executor) {
  if (Executor.HasAnsweredHold)
    return;
  Executor.Leases =
      expectLateCalls(Executor.Leases, leaseLimits(), State.TakenOver);
  const bool IsClosed = Executor.HoldToken >= Executor.TokenNeeded;
  if (IsClosed) {
    Executor.Leases = closeLateCalls(Executor.Leases, leaseLimits(), Now);
    if (Executor.TokenNeeded != 0)
      log(events::EarlierCallsClosed,
          {{"executor", Executor.Report.Id.Value},
           {"life", std::to_string(Executor.Incarnation)},
           {"token", std::to_string(Executor.HoldToken)},
           {"lost_ms", ago(Executor.LostAt)}});
    Executor.TokenNeeded = 0;
  }
  // Without a later revision of the store there is no later token.
  Executor.HasAnsweredHold = IsClosed || State.StoreRevision == 0;
  if (Executor.HasAnsweredHold)
    State.NeedsPlacement = true;
}

void event_handler::forgetOtherMachine(executor_state &Executor,
                                       const executor_report &Next) {
  const executor_report &Known = Executor.Report;
  const bool IsSame = Known.Service == Next.Service &&
                      Known.Kind == Next.Kind && Known.Rack == Next.Rack;
  if (IsSame)
    return;
  Executor.Health = {};
  Executor.ProvenAt = {};
}

} // namespace galenastage::batch::detail
