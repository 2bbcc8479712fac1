// Executors of the simulation: they take runs, end them and fail.

#include "tests/support/batch_world_internal.hpp"

#include <cmath>

namespace galenastage::batch::test::detail {

std::string world::begin(fake_executor &Executor, const start_run &Order,
                         bool IsStray) {
  if (Order.To.Token < Executor.Token)
    return "fence";
  noteToken(Executor, Order.To);
  if (Executor.Runs.contains(Order.Run))
    return "";
  const time_point LeaseEnd = leaseEnd(Executor, Order.LeaseEndMs);
  if (Executor.Closed[Order.Run.Task] >= Order.Run.Attempt) {
    if (Settings.Faults.hasLives())
      Executor.LeaseEnd = std::max(Executor.LeaseEnd, LeaseEnd);
    return "old";
  }
  if (LeaseEnd <= Now)
    return "late";
  Executor.LeaseEnd = std::max(Executor.LeaseEnd, LeaseEnd);
  ++Report.Starts;
  trace(Executor.Report.Id.Value + " begins " + print(Order.Run) + " under " +
        std::to_string(Order.To.Token) + " in life " +
        std::to_string(Executor.Report.Incarnation) + " meant for " +
        std::to_string(Order.To.Incarnation) + ", leases until " +
        std::to_string(Executor.LeaseEnd.count()));
  const bool WasClosed = IsStray && wasClosed(Executor, Order);
  if (!WasClosed || Settings.JudgesClosedStarts) {
    checkStart(Executor, Order);
    LastStarts[Order.Run.Task] = Now;
  }
  stored_job &Stored = Jobs[Order.Run.Task.Job];
  const job_spec &Job = Stored.Spec;
  if (!Stored.StartedAt) {
    Stored.StartedAt = Now;
    const milliseconds Waited = Now - Job.Submitted.time_since_epoch();
    Report.Times[Job.Queue.Priority].Starts.push_back(Waited);
    Report.TimesOf[Job.Organisation][Job.Queue.Priority].Starts.push_back(
        Waited);
  }
  const step_spec &Step = Job.Steps[Order.Run.Task.Step];
  const bool Crashes = Stored.IsCrashing && Order.Run.Task.Step == 0 &&
                       Order.Run.Task.Index == 0;
  if (Crashes) {
    if (++Stored.CrashingStarts > MaxStartsOfCrashing)
      violate(print(Order.Run) + " starts though it has crashed " +
              std::to_string(Stored.CrashingStarts - 1) + " executors");
    after(CrashDelay, [this, Id = Executor.Report.Id, Name = Order.Run] {
      if (Executors[Id].Runs.contains(Name))
        crashExecutor(Executors[Id]);
    });
  }
  fake_run Run;
  Run.Name = Order.Run;
  Run.Needs = Step.Needs;
  Run.Begun = Now;
  Run.IsStray = IsStray;
  Run.WasClosed = WasClosed;
  Run.EndsAt = time_point::max();
  Run.Works = time_point::max();
  if (!Order.Checkpoint.empty())
    Run.Resumed = std::stod(Order.Checkpoint);
  Executor.Runs[Order.Run] = Run;
  checkCapacity(Executor);
  const std::int64_t ExpectedIncarnation = Executor.Report.Incarnation;
  const executor_id Id = Executor.Report.Id;
  if (!Step.IsGang) {
    finishLater(Id, ExpectedIncarnation, Order.Run,
                durationOn(Id, Order.Run, Step));
    return "";
  }
  after(GangTimeout, [this, Id, ExpectedIncarnation, Name = Order.Run] {
    const auto &Runs = Executors[Id].Runs;
    const auto Found = Runs.find(Name);
    if (Executors[Id].Report.Incarnation == ExpectedIncarnation &&
        Found != Runs.end() && Found->second.EndsAt == time_point::max())
      finish(Executors[Id], Name, run_end::GangIncomplete);
  });
  beginGang(Order.Run, Step);
  return "";
}

void world::beginGang(const run_name &Any, const step_spec &Step) {
  std::vector<std::pair<executor_id, run_name>> Members;
  for (const auto &[Id, Executor] : Executors)
    for (const auto &[Name, Run] : Executor.Runs)
      if (Name.Attempt == Any.Attempt && Name.Task.Job == Any.Task.Job &&
          Name.Task.Step == Any.Task.Step &&
          Name.Task.Occurrence == Any.Task.Occurrence)
        Members.emplace_back(Id, Name);
  if (static_cast<int>(Members.size()) != Step.Count)
    return;
  const bool FailsSoon = std::ranges::any_of(Members, [&](const auto &Item) {
    return failsAll(Executors[Item.first]);
  });
  milliseconds Work{0}; // of the slowest member
  for (const auto &[Id, Name] : Members)
    Work = std::max(Work, durationOn(Id, Name, Step));
  if (FailsSoon)
    Work = FailureDelay;
  for (const auto &[Id, Name] : Members) {
    Executors[Id].Runs[Name].EndsAt = Now + Work;
    Executors[Id].Runs[Name].Works = Now;
  }
  const bool Fails = chance(Settings.Faults.FailingRuns);
  after(Work, [this, Members, Fails] {
    bool IsWhole = true;
    for (const auto &[Id, Name] : Members)
      IsWhole = IsWhole && Executors[Id].Runs.contains(Name) &&
                !Executors[Id].Runs[Name].IsStopping;
    if (!IsWhole)
      return;
    const bool IsBroken = std::ranges::any_of(Members, [&](const auto &Item) {
      return failsAll(Executors[Item.first]);
    });
    for (const auto &[Id, Name] : Members) {
      run_end End = Fails ? run_end::Failed : run_end::Done;
      if (IsBroken)
        End = failsAll(Executors[Id]) ? run_end::Failed : run_end::Broken;
      finish(Executors[Id], Name, End);
    }
  });
}

milliseconds world::durationOn(const executor_id &Id, const run_name &Run,
                               const step_spec &Step) {
  double Work = static_cast<double>(Step.Estimate.count()) *
                Jobs[Run.Task.Job].ActualWork / Executors[Id].Speed;
  if (Settings.TaskDeviation > 0)
    Work *= std::exp(
        std::normal_distribution<double>(0, Settings.TaskDeviation)(Random));
  const double Resumed = Executors[Id].Runs[Run].Resumed;
  const milliseconds Restore =
      Resumed > 0 ? Settings.Scheduler.RestoreTime : milliseconds(0);
  return Restore +
         milliseconds(static_cast<std::int64_t>(Work * (1 - Resumed)));
}

int world::percentOf(const fake_run &Run) const {
  constexpr double WholePercent = 100;
  if (Run.EndsAt == time_point::max())
    return 0;
  const time_point Until = Run.IsStopping ? Run.StoppedAt : Now;
  return static_cast<int>(WholePercent * doneShare(Run, Until - Run.Works));
}

void world::finishLater(const executor_id &Id, std::int64_t ExpectedIncarnation,
                        const run_name &Name, milliseconds Work) {
  const bool Fails = chance(Settings.Faults.FailingRuns);
  if (failsAll(Executors[Id]))
    Work = FailureDelay;
  fake_run &Begun = Executors[Id].Runs[Name];
  Begun.Works = Now;
  Begun.EndsAt = Now + Work;
  after(Work, [this, Id, ExpectedIncarnation, Name, Fails] {
    fake_executor &Executor = Executors[Id];
    const auto Found = Executor.Runs.find(Name);
    if (Executor.Report.Incarnation == ExpectedIncarnation &&
        Found != Executor.Runs.end() && !Found->second.IsStopping)
      finish(Executor, Name,
             Fails || failsAll(Executor) ? run_end::Failed : run_end::Done);
  });
}

bool world::failsAll(const fake_executor &Executor) const {
  return Executor.IsFaulty && Now >= Settings.Faults.FailingFrom &&
         Now < Settings.Faults.FailingUntil;
}

void world::finish(fake_executor &Executor, const run_name &Name, run_end End) {
  const auto Ending = Executor.Runs.find(Name);
  if (Ending == Executor.Runs.end())
    return;
  noteWork(Ending->second, End);
  const std::string Checkpoint = checkpointOf(Ending->second, End);
  Executor.Runs.erase(Ending);
  trace(Executor.Report.Id.Value + " ends " + print(Name) + " " +
        std::string(name(End)));
  int &Closed = Executor.Closed[Name.Task];
  Closed = std::max(Closed, Name.Attempt);
  History.noteEnd(Name, End);
  Executor.Ends.push_back({++Executor.LastNumber, Name, End, Now, Checkpoint});
  if (End == run_end::Done)
    DoneEnds[Name.Task].push_back(
        {Executor.Report.Id, Executor.Report.Incarnation, Executor.LastNumber});
  const auto Waiting = std::exchange(Executor.Waiting, {});
  for (const auto &Reply : Waiting)
    Reply();
  const step_spec &Step = Jobs[Name.Task.Job].Spec.Steps[Name.Task.Step];
  const bool BreaksGang = Step.IsGang && End != run_end::Done &&
                          End != run_end::Failed && End != run_end::Broken;
  if (!BreaksGang)
    return;
  for (auto &[Id, Other] : Executors) {
    std::vector<run_name> Broken;
    for (const auto &[OtherName, Run] : Other.Runs)
      if (OtherName.Attempt == Name.Attempt &&
          OtherName.Task.Job == Name.Task.Job &&
          OtherName.Task.Step == Name.Task.Step &&
          Run.EndsAt != time_point::max())
        Broken.push_back(OtherName);
    for (const run_name &Member : Broken)
      finish(Other, Member, run_end::Broken);
  }
}

void world::noteWork(const fake_run &Run, run_end End) {
  const milliseconds Restore =
      Run.Resumed > 0 ? Settings.Scheduler.RestoreTime : milliseconds(0);
  const milliseconds Saved =
      std::max(milliseconds(0), savedTime(Run, End) - Restore);
  const milliseconds Time = Now - Run.Begun - Saved;
  const double Work =
      weightedCores(Run.Needs) * std::chrono::duration<double>(Time).count();
  (End == run_end::Done ? Report.CompletedWork : Report.LostWork) += Work;
  const milliseconds Counted = std::min(Now, Settings.CountedUntil) -
                               std::max(Run.Begun, Settings.CountedFrom);
  if (Counted.count() > 0)
    Report.RoomOf[Jobs[Run.Name.Task.Job].Spec.Organisation] +=
        weightedCores(Run.Needs) *
        std::chrono::duration<double>(Counted).count();
}

milliseconds world::savedTime(const fake_run &Run, run_end End) const {
  const task_name &Task = Run.Name.Task;
  const bool Saves = Jobs.at(Task.Job).Spec.Steps[Task.Step].IsCheckpointing &&
                     End != run_end::Done && Run.EndsAt != time_point::max();
  if (!Saves)
    return milliseconds(0);
  const milliseconds Worked =
      (Run.IsStopping ? Run.StoppedAt : Now) - Run.Works;
  return End == run_end::Stopped
             ? Worked
             : Worked - Worked % Settings.Scheduler.CheckpointInterval;
}

double world::doneShare(const fake_run &Run, milliseconds Worked) {
  const milliseconds Whole = std::max(milliseconds(1), Run.EndsAt - Run.Works);
  return Run.Resumed +
         (1 - Run.Resumed) *
             (Worked / std::chrono::duration<double, std::milli>(Whole));
}

std::string world::checkpointOf(const fake_run &Run, run_end End) const {
  const milliseconds Saved = savedTime(Run, End);
  if (Saved.count() > 0)
    return std::to_string(doneShare(Run, Saved));
  return Run.Resumed > 0 && End != run_end::Done ? std::to_string(Run.Resumed)
                                                 : "";
}

void world::restartExecutor(fake_executor &Executor) {
  trace(Executor.Report.Id.Value + " restarts");
  ++Executor.Report.Incarnation;
  Executor.BornAt = Now;
  Executor.Slowness = anySlowness();
  for (const fake_end &End : Executor.Ends)
    History.noteLostEnd(End.Name);
  Executor.TermBefore = std::max(Executor.TermBefore, Executor.Term);
  Executor.Token = 0;
  Executor.Term = 0;
  for (const auto &[Task, Attempt] : Executor.Closed) {
    int &Before = Executor.ClosedBefore[Task];
    Before = std::max(Before, Attempt);
  }
  Executor.LeaseEnd = time_point(0);
  Executor.Runs.clear();
  Executor.Ends.clear();
  Executor.LastNumber = 0;
  Executor.Closed.clear();
  Executor.Waiting.clear();
}

void world::crashExecutor(fake_executor &Executor) {
  if (Executor.IsGone || Now < Executor.DownUntil)
    return;
  const auto Waiting = std::exchange(Executor.Waiting, {});
  const bool KeepsId = chance(0.3);
  const auto Reply = [&] {
    for (const auto &Answer : Waiting)
      Answer();
  };
  trace(Executor.Report.Id.Value + " crashes");
  const auto Longest = static_cast<int>(Settings.Faults.LongestDown.count());
  Executor.DownUntil = Now + milliseconds(draw(2'000, Longest));
  Reply(); // connections break
  restartExecutor(Executor);
  if (KeepsId)
    return;
  Executor.IsGone = true;
  fake_executor Next = Executor;
  Next.IsGone = false;
  Next.Report.Id = executor_id(Executor.Report.Id.Value + "'");
  Executors[Next.Report.Id] = Next;
}

void world::changeKind(fake_executor &Executor) {
  restartExecutor(Executor);
  Executor.Report.Kind = Executor.Report.Kind == "k" ? "k2" : "k";
}

void world::changeCapacity(fake_executor &Executor) {
  resources &Capacity = Executor.Report.Capacity;
  if (!(Capacity == Settings.Capacity))
    return;
  Executor.CapacityBefore = Capacity;
  Executor.ShrunkAt = Now;
  Capacity = {Capacity.MilliCpu / 2, Capacity.MemoryMb / 2,
              Capacity.Accelerators / 2};
  after(milliseconds(draw(2'000, 12'000)), [this, Id = Executor.Report.Id] {
    Executors[Id].Report.Capacity = Settings.Capacity;
  });
}

void world::drainExecutor(fake_executor &Executor) {
  trace(Executor.Report.Id.Value + " drains");
  Executor.Report.IsDraining = true;
  Executor.DrainedAt = Now;
  Executor.LeavesAt = Now + Settings.Faults.Notice;
  at(Executor.LeavesAt,
     [this, Id = Executor.Report.Id] { removeExecutor(Executors[Id]); });
}

void world::removeExecutor(fake_executor &Executor) {
  if (Executor.IsGone)
    return;
  trace(Executor.Report.Id.Value + " leaves");
  for (const auto &[Name, Run] : Executor.Runs) {
    noteWork(Run, run_end::Lost);
    ++Report.LostWithExecutor;
    const stored_job &Job = Jobs[Name.Task.Job];
    Report.LostUnsaved +=
        Job.Spec.Steps[Name.Task.Step].IsCheckpointing ? 1 : 0;
    trace(Executor.Report.Id.Value + " loses " + print(Name));
  }
  Executor.IsGone = true;
  Executor.DownUntil = time_point::max(); // no other one has its address
  const auto Waiting = std::exchange(Executor.Waiting, {});
  for (const auto &Reply : Waiting)
    Reply();
  restartExecutor(Executor);
  after(ReplacementDelay, [this, Id = Executor.Report.Id] {
    fake_executor Next;
    Next.Report = Executors[Id].Report;
    Next.Speed = Executors[Id].Speed;
    Next.Report.Id = executor_id(Id.Value + "'");
    Next.BornAt = Now;
    Next.Slowness = anySlowness();
    Next.Report.IsDraining = false;
    Next.Report.Remaining = milliseconds(0);
    Executors[Next.Report.Id] = Next;
  });
}

time_point world::leaseEnd(const fake_executor &Executor,
                           std::int64_t OnItsClock) const {
  const auto Lasts = [&](milliseconds OnClock) {
    return milliseconds(std::llround(static_cast<double>(OnClock.count()) *
                                     (1 + Executor.Slowness)));
  };
  return std::min(Executor.BornAt + Lasts(milliseconds(OnItsClock)),
                  Now + Lasts(Settings.Scheduler.MaxLease));
}

void world::expireLeases() {
  for (auto &[Id, Executor] : Executors) {
    if (Executor.Runs.empty() || Now < Executor.LeaseEnd)
      continue;
    std::vector<run_name> Names;
    for (const auto &[Name, Run] : Executor.Runs)
      Names.push_back(Name);
    for (const run_name &Name : Names)
      finish(Executor, Name, run_end::Lapsed);
  }
}

} // namespace galenastage::batch::test::detail
