// The store turns calls away for a moment, just after jobs were accepted that
// have to wait.

#include "review/standin/world.hpp"

using namespace review;

namespace {

constexpr int Rounds = 4; // each with a queue of its own
constexpr int Waiting = 12;
constexpr milliseconds Outage = 600ms;
constexpr milliseconds Settle = 6'000ms; // visible_ms + 2 s, and contact_ms
constexpr milliseconds Watched = 6'000ms;

/// Whether an instance gives less than half of the queue's waiting jobs.
bool isTooFew(world &World, const std::string &Prefix) {
  bool IsTooFew = false;
  const moment Until = std::chrono::steady_clock::now() + Watched;
  while (std::chrono::steady_clock::now() < Until) {
    for (int Instance = 0; Instance < 2; ++Instance) {
      const http_reply Reply = World.call(Instance, "GET", Prefix);
      if (Reply.Status != 200)
        continue;
      const int Pending =
          nlohmann::json::parse(Reply.Body).at("pending").get<int>();
      IsTooFew = IsTooFew || Pending * 2 < Waiting;
    }
    std::this_thread::sleep_for(1'000ms);
  }
  return IsTooFew;
}

bool run(world &World) {
  std::vector<route> Routes{{"long", "/long/"}};
  for (int I = 0; I < Rounds; ++I)
    Routes.push_back(
        {"queue-" + std::to_string(I), "/queue-" + std::to_string(I) + "/"});
  World.configure(Routes);
  World.Plan = [](const std::string &, const std::string &, int) {
    return task_plan{110'000ms};
  };
  executor &Executor = World.addExecutor();
  World.startInstances(2);
  const nlohmann::json Job = jobOf(1, {4'000, 8'000, 1}, 1'000ms);
  World.submit("/long/00000000000000a0",
               jobOf(8, {4'000, 8'000, 1}, 110'000ms));
  const bool IsFull =
      World.eventually(10'000ms, [&] { return Executor.runs() == 8; });
  if (!IsFull)
    throw cannot_run("the executor isn't full");
  bool IsBroken = false;
  for (int Round = 0; Round < Rounds && !IsBroken; ++Round) {
    const std::string Prefix = Routes[Round + 1].Prefix;
    std::vector<std::thread> Clients;
    Clients.reserve(Waiting);
    for (int I = 0; I < Waiting; ++I)
      Clients.emplace_back([&, I] {
        World.submit(Prefix + "00000000000" +
                         std::to_string(10'000 + Round * 100 + I),
                     Job);
      });
    for (std::thread &Client : Clients)
      Client.join();
    World.record("all are accepted");
    std::this_thread::sleep_for(100ms);
    if (World.hasTrouble()) {
      World.record("the store answers 503");
      World.store().setBusy(true);
      std::this_thread::sleep_for(Outage);
      World.store().setBusy(false);
      World.record("the store serves again");
    }
    std::this_thread::sleep_for(Settle);
    IsBroken = isTooFew(World, Prefix);
  }
  if (Executor.runs() != 8)
    throw cannot_run("a waiting job has begun");
  return IsBroken;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, run); }
