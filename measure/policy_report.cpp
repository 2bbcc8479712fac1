#include "measure/policy.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdio>

namespace galenastage::measure {
namespace {

struct policy_options {
  std::string Deployment = "bayanat";
  std::uint64_t Seed = 1;
  int Seeds = 1; // this many, from Seed on
  bool IsJson = false;
};

/// The measures that strategies are compared by.
struct score {
  double CompletionMean = 0;
  double CompletionP95 = 0;
  double WithFailures = 0;
  double Fragmentation = 0;
  double IdleWhileWanted = 0;
  double DepartureWork = 0;
};

score scoreOf(const policy_result &Result) {
  return {mean(Result.AllCompletions), quantile(Result.AllCompletions, 0.95),
          mean(Result.WithFailures),   Result.Fragmentation,
          Result.IdleWhileWanted,      Result.DepartureWork};
}

nlohmann::json quantiles(const std::vector<double> &Sorted) {
  return {{"count", Sorted.size()},
          {"mean", std::round(mean(Sorted) * 10) / 10},
          {"p50", quantile(Sorted, 0.5)},
          {"p95", quantile(Sorted, 0.95)},
          {"p99", quantile(Sorted, 0.99)}};
}

nlohmann::json toJson(const policy_result &Result) {
  nlohmann::json Json;
  Json["completion_s"] = quantiles(Result.AllCompletions);
  for (const auto &[Key, Times] : Result.Completion)
    Json["completion_by_class_s"][std::string(name(Key.Class))]
        [Key.Organisation.Value] = quantiles(Times);
  Json["completion_with_failures_s"] = quantiles(Result.WithFailures);
  Json["urgent_start_s"] = quantiles(Result.UrgentStarts);
  Json["reclaim_s"] = quantiles(Result.Reclaims);
  Json["fragmentation"] = Result.Fragmentation;
  Json["idle_while_wanted"] = Result.IdleWhileWanted;
  Json["departure_work_h"] = Result.DepartureWork;
  Json["lost_work_h"] = Result.LostWork;
  Json["finished"] = Result.Finished;
  Json["failed"] = Result.Failed;
  Json["cancelled"] = Result.Cancelled;
  Json["unfinished"] = Result.Unfinished;
  Json["evictions"] = Result.Evictions;
  return Json;
}

void printText(std::uint64_t Seed, const placement_strategy &Strategy,
               const policy_result &R) {
  std::printf("seed %llu  %s\n", static_cast<unsigned long long>(Seed),
              std::string(name(Strategy)).c_str());
  std::printf(
      "  completion s     mean %9.1f  p50 %9.1f  p95 %9.1f  p99 %9.1f\n",
      mean(R.AllCompletions), quantile(R.AllCompletions, 0.5),
      quantile(R.AllCompletions, 0.95), quantile(R.AllCompletions, 0.99));
  std::printf("  fragmentation %%  %.3f  idle while wanted %%  %.3f   "
              "departure work h %.1f   lost work h "
              "%.1f\n",
              R.Fragmentation * 100, R.IdleWhileWanted * 100, R.DepartureWork,
              R.LostWork);
  std::printf("  urgent start s   p50 %.1f  p99 %.1f  max %.1f   reclaim s  "
              "p50 %.1f  p99 %.1f  max %.1f\n",
              quantile(R.UrgentStarts, 0.5), quantile(R.UrgentStarts, 0.99),
              quantile(R.UrgentStarts, 1), quantile(R.Reclaims, 0.5),
              quantile(R.Reclaims, 0.99), quantile(R.Reclaims, 1));
  std::printf("  finished %d  failed %d  cancelled %d  unfinished %d  "
              "evictions %d\n",
              R.Finished, R.Failed, R.Cancelled, R.Unfinished, R.Evictions);
  for (const auto &[Key, Times] : R.Completion)
    std::printf("    %-9s %-12s n %5zu  p50 %9.1f  p95 %9.1f  p99 %9.1f\n",
                std::string(name(Key.Class)).c_str(),
                Key.Organisation.Value.c_str(), Times.size(),
                quantile(Times, 0.5), quantile(Times, 0.95),
                quantile(Times, 0.99));
}

/// On how many seeds the first strategy beat another, by measure.
struct win_count {
  int CompletionMean = 0;
  int CompletionP95 = 0;
  int WithFailures = 0;
  int Fragmentation = 0;
  int IdleWhileWanted = 0;
  int DepartureWork = 0;
  score Sum;

  void add(const score &Ours, const score &Other) {
    CompletionMean += Ours.CompletionMean < Other.CompletionMean ? 1 : 0;
    CompletionP95 += Ours.CompletionP95 < Other.CompletionP95 ? 1 : 0;
    WithFailures += Ours.WithFailures < Other.WithFailures ? 1 : 0;
    Fragmentation += Ours.Fragmentation < Other.Fragmentation ? 1 : 0;
    IdleWhileWanted += Ours.IdleWhileWanted < Other.IdleWhileWanted ? 1 : 0;
    DepartureWork += Ours.DepartureWork > Other.DepartureWork ? 1 : 0;
    Sum.CompletionMean += Other.CompletionMean;
    Sum.CompletionP95 += Other.CompletionP95;
    Sum.WithFailures += Other.WithFailures;
    Sum.Fragmentation += Other.Fragmentation;
    Sum.IdleWhileWanted += Other.IdleWhileWanted;
    Sum.DepartureWork += Other.DepartureWork;
  }
};

void runCommand(const policy_options &Options) {
  const deployment Deployment = makeDeployment(Options.Deployment);
  const std::vector<placement_strategy> Strategies = {
      guaranteed_sharing{}, first_fit{}, best_fit_backfill{}};
  nlohmann::json Json;
  Json["deployment"] = Options.Deployment;
  std::vector<win_count> Wins(Strategies.size());
  for (int I = 0; I < Options.Seeds; ++I) {
    const std::uint64_t Seed = Options.Seed + I;
    score Ours;
    for (std::size_t S = 0; S < Strategies.size(); ++S) {
      const policy_result Result = runPolicy(Deployment, Seed, Strategies[S]);
      const score Score = scoreOf(Result);
      if (S == 0)
        Ours = Score;
      Wins[S].add(Ours, Score);
      if (Options.IsJson)
        Json["seeds"][std::to_string(Seed)][std::string(name(Strategies[S]))] =
            toJson(Result);
      else
        printText(Seed, Strategies[S], Result);
    }
  }
  if (!Options.IsJson)
    std::printf("in sum, mean over %d seeds; in brackets the seeds on which "
                "galenastage is better\n",
                Options.Seeds);
  for (std::size_t S = 0; S < Strategies.size(); ++S) {
    const win_count &W = Wins[S];
    const std::string Name(name(Strategies[S]));
    if (Options.IsJson) {
      Json["sum"][Name] = {
          {"completion_mean_s", W.Sum.CompletionMean / Options.Seeds},
          {"completion_p95_s", W.Sum.CompletionP95 / Options.Seeds},
          {"completion_with_failures_mean_s",
           W.Sum.WithFailures / Options.Seeds},
          {"fragmentation", W.Sum.Fragmentation / Options.Seeds},
          {"idle_while_wanted", W.Sum.IdleWhileWanted / Options.Seeds},
          {"departure_work_h", W.Sum.DepartureWork / Options.Seeds},
          {"beaten",
           {{"completion_mean", W.CompletionMean},
            {"completion_p95", W.CompletionP95},
            {"completion_with_failures_mean_s",
             W.Sum.WithFailures / Options.Seeds},
            {"fragmentation", W.Fragmentation},
            {"departure_work", W.DepartureWork}}}};
      continue;
    }
    std::printf("  %-18s completion mean %8.1f (%d) p95 %8.1f (%d)  with "
                "failures %8.1f (%d)  "
                "fragmentation %% %6.3f (%d)  idle %% %6.3f (%d)  departure "
                "work h %7.1f (%d)\n",
                Name.c_str(), W.Sum.CompletionMean / Options.Seeds,
                W.CompletionMean, W.Sum.CompletionP95 / Options.Seeds,
                W.CompletionP95, W.Sum.WithFailures / Options.Seeds,
                W.WithFailures, W.Sum.Fragmentation * 100 / Options.Seeds,
                W.Fragmentation, W.Sum.IdleWhileWanted * 100 / Options.Seeds,
                W.IdleWhileWanted, W.Sum.DepartureWork / Options.Seeds,
                W.DepartureWork);
  }
  if (Options.IsJson)
    std::printf("%s\n", Json.dump(2).c_str());
}

} // namespace

void addPolicyCommand(CLI::App &App) {
  auto Options = std::make_shared<policy_options>();
  CLI::App *Command = App.add_subcommand(
      "policy", "Compares this policy with baselines in virtual time.");
  Command->add_option("--seed", Options->Seed, "first seed");
  Command->add_option("--seeds", Options->Seeds, "number of seeds")
      ->check(CLI::PositiveNumber);
  Command->add_option("--deployment", Options->Deployment, "fleet and workload")
      ->check(CLI::IsMember({"bayanat", "filo", "letter"}));
  Command->add_flag("--json", Options->IsJson, "print JSON");
  Command->callback([Options] { runCommand(*Options); });
}

} // namespace galenastage::measure
