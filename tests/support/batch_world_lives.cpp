// Lives of the simulation's executors: restarts while calls wait, calls that
// reach a later life, and clocks that are slow.

#include "tests/support/batch_world_internal.hpp"

namespace galenastage::batch::test::detail {

void world::recut(fake_executor &Executor) {
  if (chance(0.5))
    Executor.IsRecutByHold = true;
  else
    beginRecut(Executor);
}

void world::beginRecut(fake_executor &Executor) {
  Executor.IsRecutByHold = false;
  const time_point Free =
      std::max({Executor.WaitsUntil, Executor.DownUntil, Executor.CutUntil});
  if (Executor.IsGone || Now < Free)
    return;
  const milliseconds Pause(draw(0, 500));
  const milliseconds Dark(draw(200, 2'000));
  const milliseconds Gap(draw(500, 4'000));
  const milliseconds Cut(draw(4'000, 12'000));
  const executor_id Id = Executor.Report.Id;
  const time_point Back = Now + Pause + Dark;
  trace(Id.Value + " lets calls wait until " + std::to_string(Back.count()));
  Executor.ListedLife = Executor.Report.Incarnation;
  Executor.WaitsUntil = Back;
  Executor.TroubledUntil = std::max(Executor.TroubledUntil, Back);
  after(Pause, [this, Id] { restartQuietly(Executors[Id]); });
  at(Back, [this] { ++Revision; }); // it is listed in its new life
  at(Back + Gap, [this, Id, Cut] {
    time_point &Until = Executors[Id].CutUntil;
    Until = std::max(Until, Now + Cut);
    trace(Id.Value + " is cut off until " + std::to_string(Until.count()));
  });
}

void world::restartQuietly(fake_executor &Executor) {
  if (Executor.IsGone || Now < Executor.DownUntil)
    return;
  const auto Waiting = std::exchange(Executor.Waiting, {});
  Executor.IsBreaking = chance(0.5);
  if (Executor.IsBreaking)
    for (const auto &Reply : Waiting)
      Reply();
  Executor.IsBreaking = false;
  restartExecutor(Executor);
  Executor.QuietLife = Executor.Report.Incarnation;
}

void world::holdLate(const hold_executor &Hold) {
  const time_point Latest = Now + LongestDelay;
  const auto Arrive = [this, Hold] {
    fake_executor &Executor = Executors[Hold.To.Id];
    const bool IsReached = !Executor.IsGone && Now >= Executor.DownUntil &&
                           Now >= Executor.RefusesUntil;
    if (!IsReached || Hold.To.Token < Executor.Token)
      return;
    acknowledge(Executor, Hold);
    traceHold(Executor, Hold);
  };
  after(milliseconds(draw(1'000, static_cast<int>(LongestDelay.count()))),
        [this, Hold, Latest, Arrive] {
          const time_point Handled =
              std::max(Now, Executors[Hold.To.Id].WaitsUntil);
          if (Handled == Now)
            Arrive();
          else if (Handled <= Latest)
            at(Handled, Arrive);
        });
}

void world::traceHold(const fake_executor &Executor,
                      const hold_executor &Hold) const {
  if (Hold.To.Incarnation == Executor.Report.Incarnation)
    return;
  trace(Hold.To.Id.Value + " receives a hold of " +
        std::to_string(Hold.To.Token) + " for life " +
        std::to_string(Hold.To.Incarnation) + " in life " +
        std::to_string(Executor.Report.Incarnation) + ", ends up to " +
        std::to_string(Hold.LastSeen) + " are seen, leases until " +
        std::to_string(Executor.LeaseEnd.count()));
}

double world::anySlowness() {
  constexpr int Steps = 1'000;
  const double Most = Settings.Faults.SlowClocks;
  return Most > 0 ? Most * draw(0, Steps) / Steps : 0;
}

std::int64_t world::clockOf(const fake_executor &Executor) const {
  return static_cast<std::int64_t>(
      static_cast<double>((Now - Executor.BornAt).count()) /
      (1 + Executor.Slowness));
}

executor_report world::reportOf(const fake_executor &Executor) const {
  executor_report Listed = Executor.Report;
  Listed.Incarnation = lifeOf(Executor);
  return Listed;
}

std::int64_t world::lifeOf(const fake_executor &Executor) const {
  return Now < Executor.WaitsUntil ? Executor.ListedLife
                                   : Executor.Report.Incarnation;
}

void world::noteToken(fake_executor &Executor, const executor_target &To) {
  Executor.Token = To.Token;
  Executor.Term = std::max(Executor.Term, To.Term);
}

void world::checkToken(const executor_target &To) {
  if (To.Token < To.Term || To.Token > static_cast<std::uint64_t>(Revision))
    violate("an order of term " + std::to_string(To.Term) + " has the token " +
            std::to_string(To.Token) + " at revision " +
            std::to_string(Revision));
}

} // namespace galenastage::batch::test::detail
