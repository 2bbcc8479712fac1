// More ends than one answer to a hold lists: an executor has ended more than
// 500 runs while the store is slow.

#include "review/standin/world.hpp"

#include <iostream>

using namespace review;

namespace {

constexpr int Tasks = 1'200;
constexpr milliseconds Work = 14'000ms; // of the first task to end
constexpr milliseconds Spread = 420ms;  // of the ends
constexpr milliseconds SlowFor = 4'000ms;
constexpr milliseconds UsualAnswer = 4ms;
constexpr milliseconds SlowAnswer = 60 * UsualAnswer;

/// A start after a run of the task has ended done, where that end was noted.
bool isAnyTaskRunTwice(world &World) {
  const std::vector<executor_event> Events = World.events();
  std::set<std::string> Noted;
  for (const executor_event &Event : Events)
    if (Event.What == executor_event::kind::Noted && Event.How == "done")
      Noted.insert(Event.Task + " " + std::to_string(Event.Attempt));
  std::set<std::string> Done;
  int Repeated = 0;
  for (const executor_event &Event : Events) {
    if (Event.What == executor_event::kind::Ended && Event.How == "done" &&
        Noted.contains(Event.Task + " " + std::to_string(Event.Attempt)))
      Done.insert(Event.Task);
    if (Event.What == executor_event::kind::Started &&
        Done.contains(Event.Task))
      ++Repeated;
  }
  World.record(std::to_string(Repeated) +
               " starts of tasks that had ended done");
  return Repeated > 0;
}

bool run(world &World) {
  World.configure({{"index", "/index/"}});
  // The tasks end one after the other within half a second.
  std::optional<moment> FirstEnd;
  World.Plan = [&](const std::string &, const std::string &Task, int Attempt) {
    const moment Now = std::chrono::steady_clock::now();
    if (!FirstEnd)
      FirstEnd = Now + Work;
    const int Index = std::stoi(Task.substr(Task.rfind('.') + 1));
    const moment End = *FirstEnd + Spread * Index / Tasks;
    return task_plan{Attempt == 1
                         ? std::chrono::duration_cast<milliseconds>(End - Now)
                         : Work};
  };
  executor &Executor = World.addExecutor();
  World.startInstances(2);
  const std::string Job = "00000000000000a1";
  World.submit("/index/" + Job, jobOf(Tasks, {25, 50, 0}, Work));
  const bool AllRun =
      World.eventually(10'000ms, [&] { return Executor.runs() == Tasks; });
  if (!AllRun)
    throw cannot_run("not all tasks have started");
  std::this_thread::sleep_until(*FirstEnd - 500ms);
  if (World.hasTrouble()) {
    World.record("the store is slow");
    World.store().setAnswerTime(SlowAnswer);
    std::this_thread::sleep_for(SlowFor);
    World.store().setAnswerTime(UsualAnswer);
    World.record("the store is as fast as before");
  }
  World.eventually(
      30'000ms, [&] { return World.state(1, "/index/" + Job) == "completed"; });
  std::this_thread::sleep_for(1'000ms);
  return isAnyTaskRunTwice(World);
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, run); }
