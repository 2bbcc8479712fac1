// The one executor of a kind is idle when it is cut off from the instances for
// a moment. A job that needs this kind comes meanwhile.

#include "review/standin/world.hpp"

using namespace review;

namespace {

constexpr int OtherExecutors = 5; // the cut takes a sixth of the executors
constexpr milliseconds Cut = 3'000ms;
constexpr milliseconds Watched = 40'000ms; // after the cut

bool run(world &World) {
  World.configure({{"index", "/index/"}});
  World.Plan = [](const std::string &, const std::string &, int) {
    return task_plan{1'000ms};
  };
  for (int I = 0; I < OtherExecutors; ++I)
    World.addExecutor("a");
  executor &Only = World.addExecutor("b");
  World.startInstances(2);
  const nlohmann::json Job = jobOf(2, {4'000, 8'000, 1}, 1'000ms, "b");
  const std::string Before = "/index/00000000000000a0";
  World.submit(Before, Job);
  const bool HasRun = World.eventually(
      10'000ms, [&] { return World.state(0, Before) == "completed"; });
  if (!HasRun)
    throw cannot_run("the executor runs nothing before the cut");
  std::this_thread::sleep_for(3'000ms);
  if (World.hasTrouble())
    Only.cutOff();
  std::this_thread::sleep_for(500ms);
  const std::string Path = "/index/00000000000000a1";
  World.submit(Path, Job);
  std::this_thread::sleep_for(Cut - 500ms);
  if (World.hasTrouble())
    Only.heal();
  const bool IsCompleted = World.eventually(Watched, [&] {
    std::this_thread::sleep_for(500ms);
    return World.state(1, Path) == "completed";
  });
  World.record("the executor of kind b runs " + std::to_string(Only.runs()) +
               " tasks");
  return !IsCompleted && Only.runs() == 0;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, run); }
