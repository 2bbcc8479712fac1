// An executor crashes and starts again under its id. Later a task fails there
// and on another executor, and then the instances are stopped and started in
// turn.

#include "review/standin/world.hpp"

#include <array>
#include <csignal>

using namespace review;

namespace {

const std::string Many = "00000000000000a1";
const std::string Three = "00000000000000a2";
const std::string Job = "00000000000000b1";
constexpr int MaxAttempts = 3;
constexpr capacity Whole{16'000, 32'768, 8};

int failedRuns(world &World) {
  int Failed = 0;
  for (const executor_event &Event : World.events())
    Failed += Event.What == executor_event::kind::Ended &&
                      Event.How == "failed" && Event.Task.starts_with(Job)
                  ? 1
                  : 0;
  return Failed;
}

bool run(world &World) {
  World.configure({{"index", "/index/", 1, MaxAttempts}});
  // The job needs kind b, and three of the seven executors are of it.
  for (int I = 0; I < 4; ++I)
    World.addExecutor("a");
  const std::array<executor *, 3> Able{&World.addExecutor("b"),
                                       &World.addExecutor("b"),
                                       &World.addExecutor("b")};
  std::string Victim; // the task that begins where the crash was
  World.Plan = [&](const std::string &Id, const std::string &Task,
                   int Attempt) {
    if (Task.starts_with(Many))
      return task_plan{200ms};
    if (Task.starts_with(Three))
      return task_plan{5'000ms};
    if (Id == Able[0]->id() && Attempt == 1)
      Victim = Task;
    if (Task != Victim)
      return task_plan{4'000ms};
    return Attempt < MaxAttempts ? task_plan{1'000ms, true}
                                 : task_plan{30'000ms};
  };
  World.startInstances(2);
  const auto Path = [](const std::string &Name) { return "/index/" + Name; };
  const auto IsCompleted = [&](const std::string &Name) {
    return World.eventually(
        30'000ms, [&] { return World.state(0, Path(Name)) == "completed"; });
  };
  World.submit(Path(Many), jobOf(96, {4'000, 8'000, 1}, 200ms, "b"));
  if (!IsCompleted(Many))
    throw cannot_run("the first job isn't completed");
  World.submit(Path(Three), jobOf(3, Whole, 5'000ms, "b"));
  std::this_thread::sleep_for(2'000ms);
  if (World.hasTrouble()) {
    Able[0]->crash();
    std::this_thread::sleep_for(1'000ms);
    Able[0]->boot("b");
  }
  if (!IsCompleted(Three))
    throw cannot_run("the second job isn't completed");
  std::this_thread::sleep_for(3'000ms);
  World.submit(Path(Job), jobOf(3, Whole, 4'000ms, "b"));
  const bool HasFailed =
      World.eventually(30'000ms, [&] { return failedRuns(World) == 2; });
  if (!HasFailed)
    throw cannot_run("no task has failed twice");
  std::this_thread::sleep_for(3'000ms);
  if (World.hasTrouble())
    for (int Instance = 0; Instance < 2; ++Instance) {
      World.endInstance(Instance, SIGTERM);
      World.restartInstance(Instance);
      std::this_thread::sleep_for(2'000ms);
    }
  std::this_thread::sleep_for(4'000ms);
  const std::string State = World.state(0, Path(Job));
  World.record("the job is " + State + " after " +
               std::to_string(failedRuns(World)) +
               " runs that ended failed; max_attempts is " +
               std::to_string(MaxAttempts));
  return State == "failed" && failedRuns(World) < MaxAttempts;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, run); }
