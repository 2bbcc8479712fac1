#include "tests/support/virtual_network.hpp"

namespace galenastage::test {
namespace {

std::pair<std::string, std::string> linkOf(const std::string &One,
                                           const std::string &Other) {
  return std::minmax(One, Other);
}

} // namespace

int virtual_network::random(int Low, int High) {
  // Standard library distributions differ between implementations.
  return Low + static_cast<int>(Random() % std::uint32_t(High - Low + 1));
}

milliseconds virtual_network::latency(const std::string &To) {
  if (process(To).IsSlow)
    return milliseconds(random(200, 900));
  return milliseconds(random(1, 4));
}

void virtual_network::after(milliseconds Delay, std::function<void()> Work) {
  Due.emplace(std::pair(Now + Delay, ++Sequence), std::move(Work));
}

void virtual_network::after(const std::string &Process, milliseconds Delay,
                            std::function<void()> Work) {
  const int Incarnation = process(Process).Incarnation;
  after(Delay, [this, Process, Incarnation, Work = std::move(Work)]() mutable {
    process_state &State = process(Process);
    if (!State.IsUp || State.Incarnation != Incarnation)
      return;
    if (State.IsPaused)
      State.Waiting.push_back(std::move(Work));
    else
      Work();
  });
}

void virtual_network::runUntil(instant Until) {
  while (!Due.empty() && Due.begin()->first.first <= Until) {
    auto Next = Due.extract(Due.begin());
    Now = Next.key().first;
    Next.mapped()();
  }
  Now = Until;
}

void virtual_network::crash(const std::string &Process) {
  process_state &State = process(Process);
  State.IsUp = false;
  State.IsPaused = false;
  State.Waiting.clear();
  ++State.Incarnation;
}

void virtual_network::restart(const std::string &Process) {
  process(Process).IsUp = true;
}

void virtual_network::pause(const std::string &Process) {
  process(Process).IsPaused = true;
}

void virtual_network::resume(const std::string &Process) {
  process_state &State = process(Process);
  State.IsPaused = false;
  for (auto &Work : std::exchange(State.Waiting, {}))
    after(Process, milliseconds(0), std::move(Work));
}

void virtual_network::cut(const std::string &One, const std::string &Other) {
  Cuts.insert(linkOf(One, Other));
}

void virtual_network::mend(const std::string &One, const std::string &Other) {
  Cuts.erase(linkOf(One, Other));
}

void virtual_network::setSlow(const std::string &Process, bool IsSlow) {
  process(Process).IsSlow = IsSlow;
}

void virtual_network::setLosingAnswers(const std::string &Process,
                                       bool IsLosing) {
  process(Process).IsLosingAnswers = IsLosing;
}

bool virtual_network::isUp(const std::string &Process) const {
  const auto Found = Processes.find(Process);
  return Found == Processes.end() || Found->second.IsUp;
}

bool virtual_network::isPaused(const std::string &Process) const {
  const auto Found = Processes.find(Process);
  return Found != Processes.end() && Found->second.IsPaused;
}

bool virtual_network::isCut(const std::string &One,
                            const std::string &Other) const {
  return Cuts.contains(linkOf(One, Other));
}

} // namespace galenastage::test
