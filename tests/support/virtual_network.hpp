#pragma once

// Processes that exchange calls in virtual time, with what can go wrong between
// them. Equal seeds give equal runs.

#include "core/types.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace galenastage::test {

/// What came of a call: the answer, or whether the other side may have acted.
template <typename Answer> struct call_result {
  std::optional<Answer> Value;
  verdict Verdict = verdict::Ran;
};

class virtual_network {
public:
  explicit virtual_network(std::uint32_t Seed) : Random(Seed) {}

  [[nodiscard]] instant now() const { return Now; }
  /// A number in [Low, High], the same for the same seed.
  int random(int Low, int High);

  /// Runs the work in the process after the delay; never when the process has
  /// died by then, and at its end when it is paused.
  void after(const std::string &Process, milliseconds Delay,
             std::function<void()> Work);
  /// Runs the work after the delay, whatever happens to processes.
  void after(milliseconds Delay, std::function<void()> Work);
  /// Runs everything that is due up to then.
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

  /// Calls another process. Done gets one result, by the timeout at the latest.
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
    std::vector<std::function<void()>> Waiting; // for the end of the pause
  };

  process_state &process(const std::string &Name) { return Processes[Name]; }
  milliseconds latency(const std::string &To);

  instant Now{};
  std::uint64_t Sequence = 0;
  std::mt19937 Random;
  std::map<std::pair<instant, std::uint64_t>, std::function<void()>> Due;
  std::map<std::string, process_state> Processes;
  std::set<std::pair<std::string, std::string>> Cuts;
};

} // namespace galenastage::test
