// One executor crashes once under a task that then has to wait for room, and
// the leading instance is killed four times.

#include "review/standin/world.hpp"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

constexpr int Machines = 7; // the crash takes a seventh of them
constexpr int Kills = 4;
constexpr milliseconds Down = 1'500ms;
constexpr milliseconds Restart = 1'000ms; // until the process is back
constexpr milliseconds Gap = 5'000ms;     // between two kills
constexpr capacity Whole{16'000, 32'768, 8};

bool run(world &World) {
  World.configure({{"index", "/index/"}, {"tiles", "/tiles/", 0}});
  World.Plan = [](const std::string &, const std::string &, int) {
    return task_plan{110'000ms};
  };
  std::vector<executor *> Executors;
  Executors.reserve(Machines);
  for (int I = 0; I < Machines; ++I)
    Executors.push_back(&World.addExecutor());
  World.startInstances(3);
  const std::string Path = "/index/00000000000000a1";
  World.submit(Path, jobOf(Machines, Whole, 110'000ms));
  const bool IsRunning = World.eventually(10'000ms, [&] {
    return std::ranges::all_of(
        Executors, [](executor *Each) { return Each->runs() == 1; });
  });
  if (!IsRunning)
    throw cannot_run("not all tasks have started");
  std::this_thread::sleep_for(3'000ms);
  executor &Crashing = *Executors.front();
  if (World.hasTrouble())
    Crashing.crash();
  // Urgent work takes the room when the executor is back.
  World.submit("/tiles/00000000000000b1", jobOf(1, Whole, 110'000ms));
  std::this_thread::sleep_for(Down);
  if (World.hasTrouble())
    Crashing.boot("a");
  std::this_thread::sleep_for(5'000ms);
  for (int I = 0; I < Kills; ++I) {
    if (World.hasTrouble()) {
      const int Leader = World.lastWriter();
      World.endInstance(Leader, SIGKILL);
      std::this_thread::sleep_for(Restart);
      World.restartInstance(Leader);
    }
    std::this_thread::sleep_for(Gap);
    World.state(0, Path);
  }
  int Failed = 0;
  int Crashed = 0;
  for (const executor_event &Event : World.events()) {
    Failed += Event.How == "failed" ? 1 : 0;
    Crashed += Event.What == executor_event::kind::Crashed ? 1 : 0;
  }
  const std::string State = World.state(1, Path);
  World.record("the job is " + State + " after " + std::to_string(Failed) +
               " runs that ended failed and " + std::to_string(Crashed) +
               " crashes of executors");
  return State == "failed";
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, run); }
