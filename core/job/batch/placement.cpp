#include "core/job/batch/placement.hpp"

#include "core/job/batch/capacity_index.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace galenastage::batch {
namespace {

using candidates_by_rack = std::map<rack_id, std::vector<const candidate *>>;

candidates_by_rack groupByRack(const std::vector<candidate> &Candidates) {
  candidates_by_rack Racks;
  for (const candidate &Candidate : Candidates)
    Racks[Candidate.Rack].push_back(&Candidate);
  return Racks;
}

/// Assigns tasks to executors in order; empty when not all tasks fit.
std::vector<executor_id>
fill(const placement_request &Request,
     const std::vector<const candidate *> &Candidates) {
  std::vector<executor_id> Chosen;
  for (const candidate *Candidate : Candidates) {
    const int Fits =
        countFits(Candidate->Free, Request.Needs, Candidate->RemainingLimit);
    for (int I = 0; I < Fits; ++I) {
      Chosen.push_back(Candidate->Executor);
      if (static_cast<int>(Chosen.size()) == Request.Count)
        return Chosen;
    }
  }
  return {};
}

void sortBestFitFirst(std::vector<const candidate *> &Candidates) {
  std::ranges::stable_sort(
      Candidates, [](const candidate *Left, const candidate *Right) {
        return weightedCores(Left->Free) < weightedCores(Right->Free);
      });
}

double totalFree(const std::vector<const candidate *> &Candidates) {
  double Total = 0;
  for (const candidate *Candidate : Candidates)
    Total += weightedCores(Candidate->Free);
  return Total;
}

std::optional<placement_choice>
placeInOneRack(const placement_request &Request,
               const candidates_by_rack &Racks) {
  std::optional<placement_choice> Best;
  double BestFree = std::numeric_limits<double>::max();
  for (const auto &[Rack, Members] : Racks) {
    std::vector<const candidate *> Candidates = Members;
    sortBestFitFirst(Candidates);
    std::vector<executor_id> Chosen = fill(Request, Candidates);
    if (Chosen.empty())
      continue;
    const bool IsPreferred = !Rack.isEmpty() && Rack == Request.PreferredRack;
    const double Free = IsPreferred ? -1 : totalFree(Candidates);
    if (Free < BestFree) {
      BestFree = Free;
      Best = placement_choice{std::move(Chosen), {}, 0};
    }
  }
  return Best;
}

/// Searches for the runs to preempt on a set of executors so that the tasks
/// fit. The number of tasks that fit is kept up to date with each change, so
/// that one step costs the executors of one group, not all of them.
class preemption_trial {
public:
  preemption_trial(const placement_request &Request,
                   const std::vector<const candidate *> &From)
      : Request(Request) {
    for (const candidate *Candidate : From) {
      const auto Index = static_cast<int>(Executors.size());
      Executors.push_back({Candidate, Candidate->Free, 0});
      countAgain(Executors.back());
      for (const preemptible_run &Run : Candidate->Preemptible) {
        group &Group = Groups[Run.Group];
        Group.LostWork = Run.LostWork;
        Group.FreedCapacity += weightedCores(Run.Needs);
        Group.Runs.emplace_back(Index, Run.Needs);
      }
    }
  }

  /// Adds groups in order of lost work, in all or per freed capacity, until the
  /// tasks fit, then removes each group that turns out to be unnecessary, the
  /// one with the most lost work first. False when the tasks don't fit at all.
  bool run(bool IsPerCapacity) {
    std::vector<int> Order;
    for (const auto &[Number, Group] : Groups)
      Order.push_back(Number);
    const auto Cost = [&](int Number) {
      const group &Group = Groups[Number];
      return IsPerCapacity ? Group.costPerCapacity() : Group.LostWork;
    };
    std::ranges::stable_sort(
        Order, [&](int Left, int Right) { return Cost(Left) < Cost(Right); });
    for (int Number : Order) {
      if (doFit())
        break;
      adjustFree(Groups[Number], 1);
      Stopped.push_back(Number);
    }
    if (!doFit())
      return false;
    removeUnneededGroups();
    for (int Number : Stopped)
      LostWork += Groups[Number].LostWork;
    return true;
  }

  /// The executors of the tasks, one for each; after run.
  [[nodiscard]] std::vector<executor_id> choose() const {
    std::vector<candidate> Candidates;
    Candidates.reserve(Executors.size());
    for (const trial_executor &Executor : Executors) {
      Candidates.push_back(*Executor.Candidate);
      Candidates.back().Free = Executor.Free;
    }
    std::vector<const candidate *> Pointers;
    Pointers.reserve(Candidates.size());
    for (const candidate &Candidate : Candidates)
      Pointers.push_back(&Candidate);
    sortBestFitFirst(Pointers);
    return fill(Request, Pointers);
  }

  std::vector<int> Stopped; // groups
  double LostWork = 0;      // of the preempted groups

private:
  struct trial_executor {
    const candidate *Candidate;
    resources Free; // with the groups that are stopped
    int Fits;       // tasks
  };
  struct group {
    double LostWork = 0;
    double FreedCapacity = 0;                    // in weighted cores
    std::vector<std::pair<int, resources>> Runs; // executor and needs

    /// Lost work per freed capacity. The overhead makes many small groups more
    /// expensive than one group that frees the same capacity.
    [[nodiscard]] double costPerCapacity() const {
      constexpr double PreemptionOverhead = 1; // core-seconds: restart, orders
      constexpr double MinFreedCapacity = 1e-3;
      return (LostWork + PreemptionOverhead) /
             std::max(FreedCapacity, MinFreedCapacity);
    }
  };

  [[nodiscard]] bool doFit() const { return Fits >= Request.Count; }

  void countAgain(trial_executor &Executor) {
    Fits -= Executor.Fits;
    Executor.Fits = countFits(Executor.Free, Request.Needs,
                              Executor.Candidate->RemainingLimit);
    Fits += Executor.Fits;
  }

  /// Adds the capacity of the group (Sign 1) or subtracts it (Sign -1).
  void adjustFree(const group &Group, int Sign) {
    for (const auto &[Index, Needs] : Group.Runs) {
      trial_executor &Executor = Executors[static_cast<std::size_t>(Index)];
      Executor.Free += Needs * Sign;
      countAgain(Executor);
    }
  }

  void removeUnneededGroups() {
    std::vector<int> ByLostWork = Stopped;
    std::ranges::stable_sort(ByLostWork, [&](int Left, int Right) {
      return Groups[Left].LostWork > Groups[Right].LostWork;
    });
    for (int Number : ByLostWork) {
      adjustFree(Groups[Number], -1);
      if (doFit())
        std::erase(Stopped, Number);
      else
        adjustFree(Groups[Number], 1);
    }
  }

  const placement_request &Request;
  std::vector<trial_executor> Executors;
  std::map<int, group> Groups;
  std::int64_t Fits = 0; // tasks, on all executors
};

} // namespace

std::optional<placement_choice>
placeInFreeCapacity(const placement_request &Request,
                    const std::vector<candidate> &Candidates) {
  candidates_by_rack Racks;
  for (const candidate &Candidate : Candidates)
    if (countFits(Candidate.Free, Request.Needs, Candidate.RemainingLimit) > 0)
      Racks[Candidate.Rack].push_back(&Candidate);
  if (auto InOneRack = placeInOneRack(Request, Racks))
    return InOneRack;
  if (Request.NeedsOneRack)
    return std::nullopt;
  // Use few racks: those with the most free capacity come first.
  std::vector<const candidate *> All;
  std::vector<std::vector<const candidate *>> ByFreeCapacity;
  for (const auto &[Rack, Members] : Racks)
    ByFreeCapacity.push_back(Members);
  std::ranges::stable_sort(ByFreeCapacity,
                           [](const auto &Left, const auto &Right) {
                             return totalFree(Left) > totalFree(Right);
                           });
  for (std::vector<const candidate *> &Members : ByFreeCapacity) {
    sortBestFitFirst(Members);
    All.insert(All.end(), Members.begin(), Members.end());
  }
  std::vector<executor_id> Chosen = fill(Request, All);
  if (Chosen.empty())
    return std::nullopt;
  return placement_choice{std::move(Chosen), {}, 0};
}

const candidate *findBestFit(const placement_request &Request,
                             const std::vector<candidate> &Candidates) {
  std::map<rack_id, double> FreeInRack;
  for (const candidate &Candidate : Candidates)
    FreeInRack[Candidate.Rack] += weightedCores(Candidate.Free);
  const auto Rank = [&](const candidate &Candidate) {
    const bool IsElsewhere = Request.PreferredRack.isEmpty() ||
                             Candidate.Rack != Request.PreferredRack;
    return std::tuple(IsElsewhere, FreeInRack[Candidate.Rack],
                      weightedCores(Candidate.Free));
  };
  const candidate *Best = nullptr;
  for (const candidate &Candidate : Candidates) {
    if (countFits(Candidate.Free, Request.Needs, Candidate.RemainingLimit) == 0)
      continue;
    if (!Best || Rank(Candidate) < Rank(*Best))
      Best = &Candidate;
  }
  return Best;
}

std::optional<placement_choice>
placeByPreemption(const placement_request &Request,
                  const std::vector<candidate> &Candidates) {
  std::optional<placement_choice> Best;
  double LeastLost = 0;
  const auto Consider = [&](const std::vector<const candidate *> &From) {
    // A large group may free more than is needed at the least cost per
    // capacity, and small ones may lose less in all.
    for (const bool IsPerCapacity : {true, false}) {
      preemption_trial Trial(Request, From);
      if (!Trial.run(IsPerCapacity))
        return;
      if (Best && Trial.LostWork >= LeastLost)
        continue;
      LeastLost = Trial.LostWork;
      Best = placement_choice{Trial.choose(), std::move(Trial.Stopped),
                              Trial.LostWork};
    }
  };
  for (const auto &[Rack, Members] : groupByRack(Candidates))
    Consider(Members);
  if (!Best && !Request.NeedsOneRack) {
    std::vector<const candidate *> All;
    All.reserve(Candidates.size());
    for (const candidate &Candidate : Candidates)
      All.push_back(&Candidate);
    Consider(All);
  }
  return Best;
}

} // namespace galenastage::batch
