// The store forgets its history while clients hand jobs in and cancel some of
// them.

#include "review/standin/world.hpp"

#include <random>

using namespace review;

namespace {

constexpr int OldJobs = 500;
constexpr int Jobs = 150;
constexpr int Clients = 15;
constexpr milliseconds Silence = 1'000ms;
constexpr milliseconds LongestCancel = 900ms; // after the acceptance
constexpr int CancelledOfFive = 2;            // jobs of five
constexpr milliseconds Observed = 10'000ms;   // after the last cancel
constexpr milliseconds CancelMs = 3'000ms;
constexpr milliseconds StopTimeoutMs = 400ms;

/// Names of jobs, as clients draw them.
std::vector<std::string> drawNames(int Count) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::mt19937 Random(7);
  std::vector<std::string> Names(static_cast<std::size_t>(Count));
  for (std::string &Name : Names)
    for (int I = 0; I < 16; ++I)
      Name.push_back(Digits[Random() % Digits.size()]);
  return Names;
}

/// Runs Work(0) to Work(Count - 1) on several threads.
void shareOut(int Count, const std::function<void(int)> &Work) {
  std::atomic<int> Next = 0;
  std::vector<std::thread> Threads;
  Threads.reserve(Clients);
  for (int I = 0; I < Clients; ++I)
    Threads.emplace_back([&] {
      for (int Number = Next++; Number < Count; Number = Next++)
        Work(Number);
    });
  for (std::thread &Thread : Threads)
    Thread.join();
}

bool run(world &World) {
  World.configure({{"index", "/index/"}});
  const std::vector<std::string> Names = drawNames(OldJobs + Jobs);
  const std::set<std::string> Old(Names.begin(), Names.begin() + OldJobs);
  World.Plan = [&Old](const std::string &, const std::string &Task, int) {
    return task_plan{Old.contains(Task.substr(0, 16)) ? 50ms : 60'000ms};
  };
  for (int I = 0; I < 3; ++I)
    World.addExecutor();
  World.startInstances(2);
  const capacity Needs{200, 256, 0};
  shareOut(OldJobs, [&](int Number) {
    World.submit("/index/" + Names[Number], jobOf(1, Needs, 50ms));
    std::this_thread::sleep_for(100ms); // the store takes 400 writes a second
  });
  std::this_thread::sleep_for(5'000ms);
  std::mt19937 Random(1);
  std::vector<milliseconds> Delays;
  Delays.reserve(Jobs);
  for (int I = 0; I < Jobs; ++I)
    Delays.emplace_back(Random() % LongestCancel.count());
  std::mutex Mutex;
  std::map<std::string, moment> Cancelled; // when it was acknowledged
  if (World.hasTrouble()) {
    World.record("the store's watches hear nothing");
    World.store().silenceWatches();
  }
  std::vector<std::thread> Cancels;
  const moment Begin = std::chrono::steady_clock::now();
  std::thread Compaction([&] {
    std::this_thread::sleep_until(Begin + Silence);
    if (!World.hasTrouble())
      return;
    World.store().forgetHistory();
    World.record("the store has forgotten its history");
  });
  shareOut(Jobs, [&](int Number) {
    const std::string &Job = Names[OldJobs + Number];
    // The arrivals spread over the silence.
    std::this_thread::sleep_until(Begin + Silence * Number / Jobs);
    World.submit("/index/" + Job, jobOf(1, Needs, 60'000ms));
    if (Number % 5 >= CancelledOfFive)
      return;
    const std::lock_guard Lock(Mutex);
    Cancels.emplace_back([&, Job, Delay = Delays[Number]] {
      std::this_thread::sleep_for(Delay);
      for (int Try = 0; Try < 5; ++Try) {
        const http_reply Reply = World.call(Try % 2, "DELETE", "/index/" + Job);
        if (Reply.Status == 200) {
          const std::lock_guard Lock(Mutex);
          Cancelled[Job] = std::chrono::steady_clock::now();
          return;
        }
      }
    });
  });
  for (std::thread &Cancel : Cancels)
    Cancel.join();
  Compaction.join();
  std::this_thread::sleep_for(Observed);
  // A task that still runs now, long after the time that it had to end.
  std::map<std::string, moment> Running;
  for (const executor_event &Event : World.events())
    if (Event.What == executor_event::kind::Started)
      Running[Event.Task] = Event.At;
    else if (Event.What == executor_event::kind::Ended)
      Running.erase(Event.Task);
  const moment Now = std::chrono::steady_clock::now();
  int Left = 0;
  for (const auto &[Task, Started] : Running) {
    const auto Found = Cancelled.find(Task.substr(0, 16));
    if (Found == Cancelled.end() ||
        Now - Found->second <= CancelMs + StopTimeoutMs)
      continue;
    ++Left;
    World.record(Task + " still runs " +
                 std::to_string((Now - Found->second) / 1ms) +
                 " ms after its job's cancelling was acknowledged; it is " +
                 World.state(0, "/index/" + Found->first));
  }
  World.record(std::to_string(Cancelled.size()) + " jobs cancelled, " +
               std::to_string(Left) + " of them run on");
  return Left > 0;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, run); }
