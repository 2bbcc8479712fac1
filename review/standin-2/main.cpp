// Plays one case of the review. Exit status: 0: the rule held, 1: it was
// broken, 2: the case couldn't run.

#include "apps/runtime/process.hpp"
#include "review/standin-2/world.hpp"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <iostream>

using namespace galenastage;
using namespace galenastage::review;

namespace {

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;
constexpr const char *JobId = "5c0e7a21d94b36f8";

std::string taskOf(const std::string &Job, int Index) {
  return Job + ".0.0." + std::to_string(Index);
}

std::string jobBody(const std::string &Spec, int Count,
                    const std::string &More) {
  return R"({"spec":")" + Spec + R"(","steps":[{"count":)" +
         std::to_string(Count) +
         R"(,"cpu":1000,"mem_mb":1024,"gpu":8,"estimate_ms":11000)" + More +
         "}]}";
}

std::string workFor(int Milliseconds) {
  return "work_ms=" + std::to_string(Milliseconds);
}

/// Workers i-01, i-02, ... of one kind, six to a rack.
void addWorkers(world &World, int Count, const std::string &Kind) {
  for (int I = 0; I < Count; ++I) {
    const auto Number = static_cast<int>(World.countWorkers()) + 1;
    const std::string Digits =
        (Number < 10 ? "0" : "") + std::to_string(Number);
    World.addWorker({"i-" + Digits, Kind},
                    "rack-" + std::to_string((Number - 1) / 6));
  }
}

/// Two instances, of which one leads.
task<bool> startInstances(world &World) {
  World.begin();
  World.startInstance(1);
  World.startInstance(2);
  const bool IsFirstReady = co_await World.waitUntilReady(1);
  const bool IsSecondReady = co_await World.waitUntilReady(2);
  // The workers are known, and the leader has led for a while.
  co_await sleepFor(World.Context, milliseconds(2'000));
  co_return IsFirstReady &&IsSecondReady;
}

/// Waits until so many workers have runs.
task<bool> waitForRuns(world &World, std::size_t Busy, milliseconds Most) {
  const instant Until = readClock() + Most;
  while (readClock() < Until) {
    std::size_t Now = 0;
    for (std::size_t I = 0; I < World.countWorkers(); ++I)
      Now += World.at(I).running() > 0 ? 1 : 0;
    if (Now >= Busy)
      co_return true;
    co_await sleepFor(World.Context, milliseconds(20));
  }
  co_return false;
}

/// Runs of the job's first task that have ended as failed.
int countFailed(const world &World) {
  const std::vector<worker_run> Runs = World.runsOf(taskOf(JobId, 0));
  return static_cast<int>(
      std::ranges::count(Runs, std::string("failed"), &worker_run::How));
}

/// A job waits for workers that have been cut off unnoticed. It must be among
/// the pending ones while none of its tasks has begun.
task<int> playPending(world &World, bool HasTrouble) {
  constexpr int WorkerCount = 12;
  constexpr int IdleCount = 4;
  constexpr milliseconds CutTime{12'000};
  addWorkers(World, WorkerCount, "k");
  bool IsReady = co_await startInstances(World);
  if (!IsReady)
    co_return CouldNotRun;
  const client_answer Filled = co_await World.submit(
      1, "00000000000000f1",
      jobBody(workFor(60'000), WorkerCount - IdleCount, ""));
  IsReady =
      co_await waitForRuns(World, WorkerCount - IdleCount, milliseconds(5'000));
  if (Filled.Status != 200 || !IsReady)
    co_return CouldNotRun;
  co_await sleepFor(World.Context, milliseconds(2'000));
  const instant CutAt = readClock();
  for (std::size_t I = 0; HasTrouble && I < World.countWorkers(); ++I)
    if (World.at(I).running() == 0)
      World.at(I).setCut(true);
  co_await sleepFor(World.Context, milliseconds(300));
  const client_answer Accepted =
      co_await World.submit(2, JobId, jobBody(workFor(3'000), 1, ""));
  const instant AcceptedAt = readClock();
  if (Accepted.Status != 200)
    co_return CouldNotRun;
  // visible_ms and 2 s after its acceptance.
  constexpr milliseconds ShownAfter{5'000};
  int Wrong = 0;
  while (readClock() - CutAt < CutTime) {
    co_await sleepFor(World.Context, milliseconds(500));
    if (readClock() - AcceptedAt <= ShownAfter)
      continue;
    for (const int Number : {1, 2}) {
      const client_answer Queue = co_await World.readQueue(Number);
      const bool HasBegun = !World.runsOf(taskOf(JobId, 0)).empty();
      if (!HasBegun && Queue.Status == 200 && Queue.Pending == 0)
        ++Wrong;
    }
  }
  for (std::size_t I = 0; I < World.countWorkers(); ++I)
    if (World.at(I).isCut())
      World.at(I).setCut(false);
  co_await World.readState(1, JobId);
  World.record(std::to_string(Wrong) +
               " times 0 pending, with a job that was accepted more than 5 s "
               "before and hasn't begun");
  co_return Wrong > 0 ? Broken : Held;
}

/// One worker crashes and comes back again and again, while the others have no
/// room. A job that lasts has its only task there, which must be started again
/// however it ends.
task<int> playLasting(world &World, bool HasTrouble) {
  constexpr int WorkerCount = 12;
  constexpr int Crashes = 6;
  constexpr milliseconds UpTime{5'000};
  constexpr milliseconds DownTime{1'500};
  const std::string Lasts = R"(,"long_running":true)";
  addWorkers(World, WorkerCount, "k");
  bool IsReady = co_await startInstances(World);
  if (!IsReady)
    co_return CouldNotRun;
  const client_answer Filled = co_await World.submit(
      1, "00000000000000f1", jobBody("serve", WorkerCount - 1, Lasts));
  IsReady = co_await waitForRuns(World, WorkerCount - 1, milliseconds(5'000));
  const client_answer Accepted =
      co_await World.submit(1, JobId, jobBody("serve", 1, Lasts));
  co_await sleepFor(World.Context, milliseconds(1'000));
  worker *Flapping = World.runner(taskOf(JobId, 0));
  if (Filled.Status != 200 || Accepted.Status != 200 || !IsReady || !Flapping)
    co_return CouldNotRun;
  const std::string Id = Flapping->id();
  std::string State;
  for (int Crash = 0; Crash < Crashes && State != "failed"; ++Crash) {
    co_await sleepFor(World.Context, UpTime);
    if (HasTrouble) {
      Flapping->crash();
      co_await sleepFor(World.Context, DownTime);
      Flapping->boot({Id + "-" + std::to_string(Crash + 2), "k"});
    }
    const client_answer Told = co_await World.readState(2, JobId);
    State = Told.State;
  }
  co_await sleepFor(World.Context, milliseconds(10'000));
  const client_answer Told = co_await World.readState(1, JobId);
  const bool IsRunning = World.runner(taskOf(JobId, 0)) != nullptr;
  World.record("at the end the job is " + Told.State + ", its task " +
               (IsRunning ? "runs" : "doesn't run") + ", " +
               std::to_string(countFailed(World)) +
               " runs have ended as failed");
  co_return Told.State == "failed" ? Broken : Held;
}

/// The workers of one kind crash together, and come back under other ids and
/// as another kind. The entries of before are listed for some seconds more.
task<int> playReplaced(world &World, bool HasTrouble) {
  constexpr int ZoneCount = 6;
  constexpr int OtherCount = 6;
  constexpr milliseconds DownTime{1'000};
  addWorkers(World, ZoneCount, "k");
  addWorkers(World, OtherCount, "other");
  World.addWorker({"i-99", "k"}, "rack-9");
  bool IsReady = co_await startInstances(World);
  if (!IsReady)
    co_return CouldNotRun;
  // Every worker of that kind has work, then all but the last one are free.
  const client_answer Filled = co_await World.submit(
      1, "00000000000000f1",
      jobBody(workFor(3'000), ZoneCount + 1, R"(,"requirements":"k")"));
  IsReady = co_await waitForRuns(World, ZoneCount + 1, milliseconds(5'000));
  if (Filled.Status != 200 || !IsReady)
    co_return CouldNotRun;
  const client_answer Long = co_await World.submit(
      1, "00000000000000f2",
      jobBody(workFor(15'000), 1, R"(,"requirements":"rack-9")"));
  co_await sleepFor(World.Context, milliseconds(6'000));
  if (Long.Status != 200 || World.at(ZoneCount + OtherCount).running() != 1)
    co_return CouldNotRun;
  if (HasTrouble) {
    for (int I = 0; I < ZoneCount; ++I)
      World.at(I).crash();
    co_await sleepFor(World.Context, DownTime);
    for (int I = 0; I < ZoneCount; ++I) {
      World.at(I).setStartDelay(milliseconds(20));
      World.at(I).boot({"j-0" + std::to_string(I + 1), "other"});
    }
  }
  const client_answer Accepted = co_await World.submit(
      2, JobId, jobBody(workFor(2'000), 1, R"(,"requirements":"k")"));
  if (Accepted.Status != 200)
    co_return CouldNotRun;
  client_answer Told;
  for (int I = 0; I < 25 && Told.State != "completed" && Told.State != "failed";
       ++I) {
    co_await sleepFor(World.Context, milliseconds(1'000));
    Told = co_await World.readState(1, JobId);
  }
  World.record("at the end the job is " + Told.State + ", " +
               std::to_string(World.runsOf(taskOf(JobId, 0)).size()) +
               " runs, " + std::to_string(countFailed(World)) +
               " of them failed");
  co_return Told.State == "failed" ? Broken : Held;
}

/// A worker leaves a start unanswered, is cut off, crashes behind the cut,
/// starts again under its id and carries the start out. The leader is killed
/// and started again meanwhile.
task<int> playLateStart(world &World, bool HasTrouble) {
  constexpr int WorkerCount = 12;
  constexpr milliseconds LateBy{6'000};
  constexpr milliseconds CutTime{12'000};
  addWorkers(World, WorkerCount, "k");
  const bool IsReady = co_await startInstances(World);
  if (!IsReady)
    co_return CouldNotRun;
  worker *Late = nullptr;
  instant LateAt{};
  for (std::size_t I = 0; HasTrouble && I < World.countWorkers(); ++I)
    World.at(I).deferNextStart(LateBy, [&World, &Late, &LateAt, I] {
      Late = &World.at(I);
      LateAt = readClock();
    });
  const int Leader = World.leader();
  const client_answer Accepted =
      co_await World.submit(3 - Leader, JobId, jobBody(workFor(40'000), 1, ""));
  if (Accepted.Status != 200)
    co_return CouldNotRun;
  const auto SleepUntil = [&](milliseconds After) {
    return sleepFor(World.Context,
                    std::max(LateAt + After - readClock(), milliseconds(0)));
  };
  for (int I = 0; HasTrouble && !Late && I < 500; ++I)
    co_await sleepFor(World.Context, milliseconds(10));
  if (HasTrouble && !Late)
    co_return CouldNotRun;
  if (HasTrouble) {
    for (std::size_t I = 0; I < World.countWorkers(); ++I)
      World.at(I).clearDeferral();
    co_await SleepUntil(milliseconds(50));
    Late->setCut(true);
    World.killInstance(Leader);
    co_await SleepUntil(milliseconds(550));
    World.startInstance(Leader);
    Late->crash();
    co_await SleepUntil(milliseconds(2'000));
    Late->boot({Late->id(), "k"});
    co_await SleepUntil(CutTime);
    Late->setCut(false);
  } else {
    co_await sleepFor(World.Context, CutTime);
  }
  co_await sleepFor(World.Context, milliseconds(5'000));
  const std::vector<worker_run> Runs = World.runsOf(taskOf(JobId, 0));
  bool IsTwice = false;
  for (std::size_t I = 0; I < Runs.size(); ++I)
    for (std::size_t J = 0; J < I; ++J)
      IsTwice = IsTwice || overlap(Runs[J], Runs[I], readClock());
  World.record(std::to_string(Runs.size()) + " runs of " + taskOf(JobId, 0) +
               (IsTwice ? ", two of them at the same time"
                        : ", never two at the same time"));
  co_return IsTwice ? Broken : Held;
}

/// Work of another organisation has all workers. With trouble it lasts, else it
/// ends some time. Guaranteed work has to begin within reclaim_ms.
task<int> playGuarantee(world &World, bool HasTrouble) {
  constexpr int WorkerCount = 12;
  constexpr milliseconds ReclaimTime{2'900};
  addWorkers(World, WorkerCount, "k");
  bool IsReady = co_await startInstances(World);
  if (!IsReady)
    co_return CouldNotRun;
  const std::string Filler =
      HasTrouble ? jobBody("serve", WorkerCount, R"(,"long_running":true)")
                 : jobBody(workFor(100'000), WorkerCount, "");
  const client_answer Filled =
      co_await World.submitAs(OtherKey, Prefix, 1, "00000000000000f1", Filler);
  IsReady = co_await waitForRuns(World, WorkerCount, milliseconds(5'000));
  if (Filled.Status != 200 || !IsReady)
    co_return CouldNotRun;
  co_await sleepFor(World.Context, milliseconds(4'000));
  const client_answer Accepted = co_await World.submitAs(
      Key, UrgentPrefix, 2, JobId, jobBody(workFor(3'000), 1, ""));
  const instant AcceptedAt = readClock();
  if (Accepted.Status != 200)
    co_return CouldNotRun;
  constexpr milliseconds WaitFor{60'000};
  const auto HasBegun = [&] { return !World.runsOf(taskOf(JobId, 0)).empty(); };
  while (!HasBegun() && readClock() - AcceptedAt < WaitFor)
    co_await sleepFor(World.Context, milliseconds(20));
  const milliseconds Waited = readClock() - AcceptedAt;
  World.record("the guaranteed job " +
               std::string(HasBegun() ? "began " : "hadn't begun ") +
               std::to_string(Waited.count()) + " ms after its acceptance");
  co_return Waited > ReclaimTime ? Broken : Held;
}

task<int> play(std::string Case, world &World, bool HasTrouble) {
  if (Case == "pending")
    co_return co_await playPending(World, HasTrouble);
  if (Case == "guarantee")
    co_return co_await playGuarantee(World, HasTrouble);
  if (Case == "lasting")
    co_return co_await playLasting(World, HasTrouble);
  if (Case == "replaced")
    co_return co_await playReplaced(World, HasTrouble);
  if (Case == "late-start")
    co_return co_await playLateStart(World, HasTrouble);
  co_return CouldNotRun;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 7) {
    std::cerr << "usage: review-case CASE TROUBLE FOLDER RECORD RUN NET\n";
    return CouldNotRun;
  }
  const std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  asio::io_context Context(1);
  int Result = CouldNotRun;
  {
    world World(Context,
                {Arguments[2], Arguments[3], Arguments[4], Arguments[5]});
    asio::co_spawn(Context, play(Arguments[0], World, Arguments[1] != "0"),
                   [&](const std::exception_ptr &Error, int Played) {
                     if (!Error)
                       Result = Played;
                     Context.stop();
                   });
    Context.run();
    World.record("result " + std::to_string(Result));
  }
  return Result;
}
