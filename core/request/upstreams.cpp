#include "core/request/upstreams.hpp"

#include <algorithm>
#include <array>

namespace galenastage {
namespace {

// Consecutive failures that eject an executor which still accepts connections.
// A single refusal or failed connect ejects at once.
constexpr int StrikesToEject = 5;
// Servers close a connection occasionally; twice in a row suggests a shutdown.
constexpr int ClosesToEject = 2;
// An executor that still answers after this many ejections isn't shutting down:
// it now closes every connection after its answer.
constexpr int EjectionsUntilClosingAccepted = 6;
constexpr milliseconds RefusedPause{250};
constexpr milliseconds ConnectFailedPause{500};
constexpr milliseconds FailedPause{1'000};
constexpr milliseconds MaxPause{15'000};
constexpr int MaxDoublings = 6;

struct ejection_rule {
  int Strikes;        // consecutive failures that eject
  milliseconds Pause; // before the first probe; doubles each time
};

ejection_rule ruleOf(try_outcome Outcome) {
  switch (Outcome) {
  case try_outcome::AnsweredClosing:
    return {ClosesToEject, FailedPause};
  case try_outcome::Refused:
    return {1, RefusedPause};
  case try_outcome::ConnectFailed:
    return {1, ConnectFailedPause};
  case try_outcome::Answered:
  case try_outcome::AnsweredError:
  case try_outcome::Failed:
  case try_outcome::TimedOut:
    break;
  }
  return {StrikesToEject, FailedPause};
}

/// Whether at least half of the service's executors stay in use after this one
/// is ejected.
bool mayEject(const upstreams &Upstreams, const upstream_executor &Executor) {
  int Listed = 0;
  int Ejected = 1;
  for (const upstream_executor &Other : Upstreams.Executors) {
    if (Other.Row.Service != Executor.Row.Service || Other.Slots == 0)
      continue;
    ++Listed;
    Ejected += Other.IsEjected && Other.Row != Executor.Row ? 1 : 0;
  }
  return Ejected * 2 <= Listed;
}

bool isFree(const upstream_executor &Executor, instant Now, bool AllowsProbe) {
  if (!Executor.IsEjected)
    return Executor.Outstanding < Executor.Slots;
  // A probe is a single request at an otherwise idle executor.
  return AllowsProbe && Executor.Slots > 0 && Executor.Outstanding == 0 &&
         Now >= Executor.EjectedUntil;
}

enum class search_scope { OwnDataCentre, Everywhere };

struct search_pass {
  search_scope Scope;
  bool AllowsProbe;
  bool AllowsAvoided;
};

// In order of preference; the last one is the fallback.
constexpr std::array SearchOrder = {
    search_pass{search_scope::OwnDataCentre, false, false},
    search_pass{search_scope::OwnDataCentre, true, false},
    search_pass{search_scope::Everywhere, false, false},
    search_pass{search_scope::Everywhere, true, true},
};

bool isCandidate(const upstreams &Upstreams, const upstream_executor &Executor,
                 const executor_query &Query, const search_pass &Pass,
                 instant Now) {
  if (!isEligible(Executor, Query) || !isFree(Executor, Now, Pass.AllowsProbe))
    return false;
  if (Pass.Scope == search_scope::OwnDataCentre &&
      Executor.Row.DataCentre != Upstreams.DataCentre)
    return false;
  return Pass.AllowsAvoided || Executor.Row.Executor != Query.Avoid;
}

bool isLessLoaded(const upstream_executor &Left,
                  const upstream_executor &Right) {
  return Left.Outstanding * Right.Slots < Right.Outstanding * Left.Slots;
}

upstream_executor *pickOfTwo(std::span<upstream_executor *const> Candidates,
                             std::uint64_t Random) {
  const std::size_t Count = Candidates.size();
  const std::size_t First = (Random & 0xffffffff) % Count;
  if (Count == 1)
    return Candidates[First];
  const std::size_t Step = 1 + (Random >> 32) % (Count - 1);
  upstream_executor *Left = Candidates[First];
  upstream_executor *Right = Candidates[(First + Step) % Count];
  return isLessLoaded(*Right, *Left) ? Right : Left;
}

void eject(upstream_executor &Executor, milliseconds Pause, instant Now) {
  const int Doublings = std::min(Executor.Ejections, MaxDoublings);
  Executor.IsEjected = true;
  Executor.EjectedUntil = Now + std::min(Pause * (1 << Doublings), MaxPause);
  ++Executor.Ejections;
}

} // namespace

upstream_executor *findExecutor(upstreams &Upstreams, const executor_id &Name) {
  const auto Found =
      std::ranges::find_if(Upstreams.Executors, [&](const auto &Executor) {
        return Executor.Row.Executor == Name;
      });
  return Found == Upstreams.Executors.end() ? nullptr : &*Found;
}

void replaceExecutors(upstreams &Upstreams,
                      std::span<const executor_choice> Listed) {
  for (upstream_executor &Executor : Upstreams.Executors)
    Executor.Slots = 0;
  for (const executor_choice &Choice : Listed) {
    upstream_executor *Known = findExecutor(Upstreams, Choice.Row.Executor);
    if (!Known) {
      upstream_executor New;
      New.Row = Choice.Row;
      New.Slots = Choice.Slots;
      Upstreams.Executors.push_back(std::move(New));
      continue;
    }
    Known->Row = Choice.Row;
    Known->Slots = Choice.Slots;
  }
  std::erase_if(Upstreams.Executors, [](const upstream_executor &Executor) {
    return Executor.Slots == 0 && Executor.Outstanding == 0;
  });
}

bool isEligible(const upstream_executor &Executor,
                const executor_query &Query) {
  if (Executor.Slots == 0 || Executor.Row.Service != Query.Service)
    return false;
  return Query.DataCentres.empty() ||
         std::ranges::find(Query.DataCentres, Executor.Row.DataCentre) !=
             Query.DataCentres.end();
}

int capacityFor(const upstreams &Upstreams, const executor_query &Query) {
  int Capacity = 0;
  for (const upstream_executor &Executor : Upstreams.Executors)
    if (isEligible(Executor, Query))
      Capacity += Executor.IsEjected ? 1 : Executor.Slots;
  return Capacity;
}

upstream_executor *chooseExecutor(upstreams &Upstreams,
                                  const executor_query &Query,
                                  std::uint64_t Random, instant Now) {
  std::vector<upstream_executor *> Candidates;
  for (const search_pass &Pass : SearchOrder) {
    const bool IsLastResort = Pass.AllowsAvoided;
    if (Pass.AllowsProbe && !Query.IsIdempotent && !IsLastResort)
      continue;
    for (upstream_executor &Executor : Upstreams.Executors)
      if (isCandidate(Upstreams, Executor, Query, Pass, Now))
        Candidates.push_back(&Executor);
    if (!Candidates.empty())
      return pickOfTwo(Candidates, Random);
  }
  return nullptr;
}

void releaseSlot(upstream_executor &Executor, try_outcome Outcome,
                 instant Now) {
  if (Outcome == try_outcome::TimedOut)
    Executor.Abandoned.push_back(Now + AbandonedHold);
  else
    --Executor.Outstanding;
}

void releaseAbandoned(upstreams &Upstreams, instant Now) {
  for (upstream_executor &Executor : Upstreams.Executors) {
    const auto Released = std::erase_if(
        Executor.Abandoned, [&](instant Until) { return Until <= Now; });
    Executor.Outstanding -= static_cast<int>(Released);
  }
}

void noteOutcome(upstreams &Upstreams, upstream_executor &Executor,
                 try_outcome Outcome, instant Now) {
  if (Outcome == try_outcome::Answered)
    Executor.KeepsConnections = true;
  if (Outcome == try_outcome::AnsweredClosing &&
      Executor.Ejections >= EjectionsUntilClosingAccepted)
    Executor.KeepsConnections = false;
  const bool IsHealthy =
      Outcome == try_outcome::Answered ||
      (Outcome == try_outcome::AnsweredClosing && !Executor.KeepsConnections);
  if (IsHealthy) {
    Executor.ConsecutiveFailures = 0;
    Executor.Ejections = 0;
    Executor.IsEjected = false;
    return;
  }
  ++Executor.ConsecutiveFailures;
  const ejection_rule Rule = ruleOf(Outcome);
  const bool IsProbeFailed = Executor.IsEjected && Now >= Executor.EjectedUntil;
  const bool IsOutlier =
      !Executor.IsEjected && Executor.ConsecutiveFailures >= Rule.Strikes;
  if (IsProbeFailed || (IsOutlier && mayEject(Upstreams, Executor)))
    eject(Executor, Rule.Pause, Now);
}

} // namespace galenastage
