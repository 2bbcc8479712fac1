#pragma once

// Drives the batch scheduler's reducer, with executors whose answers the test
// posts.

#include "core/job/batch/records.hpp"
#include "core/job/batch/scheduler.hpp"

namespace galenastage::batch::test {

struct scheduler_fixture {
  static constexpr std::uint64_t Token = 7; // of the first term

  scheduler_state State;
  instant Now{milliseconds(100'000)};
  wall_instant Wall{milliseconds(1'000'000)};
  effects Last; // of the last event, without log lines
  std::int64_t Ends = 0;
  deployment_config Config;
  std::map<job_id, job_spec> Specs;     // of all jobs found
  std::vector<saved_job> Saving;        // in the save in flight
  std::map<job_id, std::string> Stored; // progress records
  bool ConfirmsWrites = true;           // of all but progress, at once

  scheduler_fixture() {
    Config.Version = 1;
    for (int Priority = 0; Priority < 3; ++Priority) {
      queue_config Queue;
      Queue.Name = route_id("q" + std::to_string(Priority));
      Queue.Service = service_id("s");
      Queue.Priority = Priority;
      Queue.MaxAttempts = 2;
      Queue.StretchFactor = 1.5;
      Config.Queues.push_back(Queue);
    }
    Config.Organisations = {{organisation_id("small"), {"k"}, 4},
                            {organisation_id("none"), {"l"}, 0}};
    post(configuration_changed{Config});
    post(leadership_gained{Token, Now + milliseconds(1'000'000)});
  }

  static instant longFrom(instant Now) { return Now + milliseconds(1'000'000); }
  /// Posts an event of the present term. What a new term knows stays current
  /// for long.
  void post(decltype(event::What) What) {
    const auto *Gained = std::get_if<leadership_gained>(&What);
    if (Gained) {
      const std::uint64_t Term = Gained->Token;
      postOf(Term, std::move(What));
      postOf(Term, requests_current{longFrom(Now)});
      postOf(Term, configuration_current{longFrom(Now)});
      State.ExecutorsAsOf = longFrom(Now);
      return;
    }
    postOf(State.Token, std::move(What));
  }
  void postOf(std::uint64_t Term, decltype(event::What) What) {
    Last.clear();
    take(Term, std::move(What));
    for (std::size_t I = 0; ConfirmsWrites && I < Last.size(); ++I)
      if (auto Answer = confirm(Last[I]))
        take(State.Token, std::move(*Answer));
  }
  /// The answer of a store that takes the write; nullopt for other effects.
  static std::optional<decltype(event::What)> confirm(const effect &Effect) {
    using answer = std::optional<decltype(event::What)>;
    constexpr auto Stored = write_outcome::Stored;
    return std::visit(
        overloaded{
            [](const publish_queue_lengths &) -> answer {
              return record_published{published_record::QueueLengths, Stored};
            },
            [](const publish_backlog &) -> answer {
              return record_published{published_record::Backlog, Stored};
            },
            [](const save_speeds &) -> answer {
              return record_published{published_record::Speeds, Stored};
            },
            [](const forget_job &Forget) -> answer {
              return job_forgotten{Forget.Job, true};
            },
            [](const auto &) -> answer { return std::nullopt; },
        },
        Effect);
  }
  /// Another instance leads from now on. It knows what was stored.
  void changeLeader(std::vector<executor_report> Reports) {
    const std::uint64_t Next = State.Token + 1;
    const std::set<data_centre_id> Evacuated = State.Evacuated;
    State = scheduler_state(State.Settings);
    Saving.clear();
    post(configuration_changed{Config});
    post(evacuations_changed{Evacuated});
    post(leadership_gained{Next, Now + milliseconds(1'000'000)});
    list(std::move(Reports));
    for (const auto &[Id, Text] : std::map(Stored))
      post(job_found{Specs.at(Id), parseProgress(Text, Specs.at(Id)).Record});
    post(recovery_finished{});
  }
  /// Confirms saves until none is in flight, and returns the starts that
  /// follow.
  std::vector<start_run> saveAll() {
    std::vector<start_run> Starts;
    while (!State.Saving.empty()) {
      post(progress_saved{true});
      std::ranges::move(all<start_run>(), std::back_inserter(Starts));
    }
    return Starts;
  }
  void pass(milliseconds Time) {
    Now += Time;
    Wall += Time;
    post(time_passed{});
  }
  template <typename Kind> [[nodiscard]] std::vector<Kind> all() const {
    std::vector<Kind> Found;
    for (const effect &Effect : Last)
      if (const auto *One = std::get_if<Kind>(&Effect))
        Found.push_back(*One);
    return Found;
  }

private:
  void take(std::uint64_t Term, decltype(event::What) What) {
    if (const auto *Found = std::get_if<job_found>(&What))
      Specs[Found->Spec.Id] = Found->Spec;
    if (const auto *Saved = std::get_if<progress_saved>(&What))
      for (const saved_job &Job : std::exchange(Saving, {}))
        if (Saved->IsSaved)
          Stored[Job.Job] = printProgress(Job.Progress);
    for (effect &Effect : reduce(State, {Now, Wall, Term, std::move(What)})) {
      if (const auto *Save = std::get_if<save_progress>(&Effect))
        Saving = Save->Jobs;
      if (!std::holds_alternative<write_log>(Effect))
        Last.push_back(std::move(Effect));
    }
  }

public:
  static executor_report report(const std::string &Id,
                                const std::string &Rack = "r1") {
    executor_report Report;
    Report.Id = executor_id(Id);
    Report.Service = service_id("s");
    Report.Address = {"10.0.0.1", 80};
    Report.DataCentre = data_centre_id("a");
    Report.Kind = "k";
    Report.Rack = rack_id(Rack);
    Report.Capacity = {32'000, 64'000, 8};
    Report.Incarnation = 1;
    return Report;
  }
  void list(std::vector<executor_report> Executors) {
    post(executors_listed{std::move(Executors)});
  }
  /// Posts the answer of an executor to a hold.
  void answer(const std::string &Id, std::vector<active_run> Active = {},
              std::vector<ended_run> Ended = {}) {
    Now += milliseconds(20);
    runs_reported Report{executor_id(Id),
                         1,
                         Now.time_since_epoch().count(),
                         Now,
                         std::move(Active),
                         std::move(Ended)};
    post(Report);
  }
  /// Lists executors that have answered a hold with this leader's token.
  void settle(const std::vector<std::string> &Ids) {
    std::vector<executor_report> Reports;
    for (const std::string &Id : Ids)
      Reports.push_back(report(Id));
    post(recovery_finished{});
    list(std::move(Reports));
    for (const std::string &Id : Ids)
      answer(Id);
  }

  static job_spec job(const std::string &Id, int Priority, int Count,
                      int Accelerators,
                      const std::string &Organisation = "small") {
    job_spec Job;
    Job.Id = job_id(Id);
    Job.Queue.Name = route_id("q" + std::to_string(Priority));
    Job.Organisation = organisation_id(Organisation);
    step_spec Step;
    Step.Count = Count;
    Step.Needs = {1'000, 1'000, Accelerators};
    Step.Estimate = milliseconds(4'000);
    Job.Steps = {Step};
    return Job;
  }
  void submit(job_spec Job) {
    Job.Submitted = Wall;
    Now += milliseconds(20);
    post(job_found{std::move(Job), {}});
  }
  /// Confirms the save in flight and returns the starts that follow.
  std::vector<start_run> save() {
    post(progress_saved{true});
    return all<start_run>();
  }
  /// Submits a job and starts all its tasks.
  std::vector<start_run> run(job_spec Job) {
    submit(std::move(Job));
    const auto Starts = save();
    for (const start_run &Start : Starts)
      post(start_answered{Start.To.Id, Start.Run, order_outcome::Accepted, ""});
    return Starts;
  }
  ended_run end(const run_name &Run, run_end How) {
    return {++Ends, Run, How, ""};
  }
};

} // namespace galenastage::batch::test
