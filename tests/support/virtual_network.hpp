#pragma once

// Simulated processes that call each other in virtual time, with process and
// network faults. Runs with equal seeds are identical.

#include "core/types.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace galenastage::test {

/// Result of a call: the response, or whether the callee may have acted.
template <typename Answer> struct call_result {
  std::optional<Answer> Value;
  verdict Verdict = verdict::Ran;
};

class virtual_network {
public:
  explicit virtual_network(std::uint32_t Seed) : Random(Seed) {}

  [[nodiscard]] instant now() const { return Now; }
  /// A pseudo-random number in [Low, High], determined by the seed.
  int random(int Low, int High);

  /// Runs the work in the process after the delay. If the process has crashed
  /// by then, the work is dropped; if it is paused, the work runs on resume.
  void after(const std::string &Process, milliseconds Delay,
             std::function<void()> Work);
  /// Runs the work after the delay, independent of any process.
  void after(milliseconds Delay, std::function<void()> Work);
  /// Runs all work that is due up to Until.
  void runUntil(instant Until);

  // Faults

  void crash(const std::string &Process);
  void restart(const std::string &Process);
  void pause(const std::string &Process);
  void resume(const std::string &Process);
  void cut(const std::string &One, const std::string &Other);
  void mend(const std::string &One, const std::string &Other);
  void setSlow(const std::string &Process, bool IsSlow);
  void setLosingAnswers(const std::string &Process, bool IsLosing);

  [[nodiscard]] bool isUp(const std::string &Process) const;
  [[nodiscard]] bool isPaused(const std::string &Process) const;
  [[nodiscard]] bool isCut(const std::string &One,
                           const std::string &Other) const;

  /// Calls another process. Done is called once, at the latest when the
  /// call times out.
  template <typename Answer>
  void call(const std::string &From, const std::string &To,
            std::function<Answer()> Handle,
            std::function<void(call_result<Answer>)> Done) {
    auto Pending = std::make_shared<bool>(true);
    auto Settle = [Pending, Done = std::move(Done)](call_result<Answer> Value) {
      if (std::exchange(*Pending, false))
        Done(std::move(Value));
    };
    after(From, CallTimeout, [Settle] {
      Settle({std::nullopt, verdict::Unknown});
    });
    if (isCut(From, To))
      return;
    if (!isUp(To)) {
      after(From, latency(To), [Settle] {
        Settle({std::nullopt, verdict::NotRun});
      });
      return;
    }
    after(To, latency(To), [this, From, To, Settle, Handle] {
      if (isCut(From, To))
        return;
      Answer Value = Handle();
      if (isCut(From, To) || process(To).IsLosingAnswers)
        return;
      after(From, latency(To),
            [Settle, Value = std::move(Value)] { Settle({Value}); });
    });
  }

private:
  static constexpr milliseconds CallTimeout{1'000};

  struct process_state {
    int Incarnation = 0;
    bool IsUp = true;
    bool IsPaused = false;
    bool IsSlow = false;
    bool IsLosingAnswers = false;
    std::vector<std::function<void()>> Waiting; // deferred until resume
  };

  process_state &process(const std::string &Name) { return Processes[Name]; }
  milliseconds latency(const std::string &To);

  instant Now{};
  std::uint64_t Sequence = 0;
  std::mt19937 Random;
  std::map<std::pair<instant, std::uint64_t>, std::function<void()>> Due;
  std::unordered_map<std::string, process_state> Processes;
  std::set<std::pair<std::string, std::string>> Cuts;
};

} // namespace galenastage::test
