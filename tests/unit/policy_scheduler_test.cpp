#include "core/job/scheduler.hpp"
#include "standin/worker_model.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <set>

// Tests reclaim, leaving service and refusal through the reducer, with workers
// that answer immediately and ticks of 100 ms.

using namespace galenastage;
using standin::worker_model;

namespace {

const data_centre_id Here("here");
const data_centre_id There("there");
constexpr milliseconds TickInterval{100};
constexpr milliseconds UrgentBound{6'200};

class scheduler_fixture {
public:
  scheduler_fixture() : State(settings()) {
    setService(true);
    for (int I = 0; I < 4; ++I) {
      const worker_id Name("w" + std::to_string(I));
      Models.emplace(Name, worker_model(Name, Here, rack_id("r"), 8));
      post(worker_listed{Name, rack_id("r"), 8, false});
    }
    post(leadership_changed{true, 1});
    post(jobs_loaded{});
    advance(seconds(4));
  }

  job_spec makeSpec(const char *Id, const char *Pool, int Tasks,
                    int AcceleratorsPerTask) {
    job_spec Spec;
    Spec.Id = job_id(Id);
    Spec.Pool = pool_id(Pool);
    Spec.Organisation = organisation_id(Pool);
    Spec.Tasks = Tasks;
    Spec.AcceleratorsPerTask = AcceleratorsPerTask;
    Spec.DeclaredRunTime = seconds(3'600);
    return Spec;
  }

  void submit(const job_spec &Spec) {
    job_record Record;
    Record.Spec = Spec;
    Record.DataCentre = Here;
    Record.SubmittedAt = wall_instant(Now.time_since_epoch());
    post(job_seen{Record, 1});
    drain();
  }

  void setService(bool IsInService) {
    auto Edited = std::make_shared<tables>();
    Edited->Version = Tables ? Tables->Version + 1 : 1;
    Edited->DataCentres = {{Here, "x", IsInService}, {There, "x", true}};
    Edited->Pools = {{pool_id("owner"), organisation_id("owner"), {2, 8}, {}},
                     {pool_id("other"), organisation_id("other"), {0, 8}, {}}};
    Tables = Edited;
    post(tables_seen{Tables, Now});
    drain();
  }

  void advance(milliseconds Length) {
    for (milliseconds Elapsed{0}; Elapsed < Length; Elapsed += TickInterval) {
      Now += TickInterval;
      post(tables_seen{Tables, Now});
      post(ticked{wall_instant(Now.time_since_epoch())});
      drain();
    }
  }

  gang_step stepOf(const char *Id) const {
    return State.Jobs.at(job_id(Id)).Step;
  }

  /// Advances the time until the job runs, or up to the limit. Returns the time
  /// taken.
  milliseconds timeToRun(const char *Id, milliseconds Limit) {
    milliseconds Taken{0};
    for (; Taken < Limit && stepOf(Id) != gang_step::Running;
         Taken += TickInterval)
      advance(TickInterval);
    return Taken;
  }

  void crash(const worker_id &Worker) { Models.at(Worker).crash(); }
  void setReachable(const worker_id &Worker, bool IsReachable) {
    if (IsReachable)
      Unreachable.erase(Worker);
    else
      Unreachable.insert(Worker);
  }

  /// Crashes and restarts a worker each time the job runs, at most Most times.
  /// Returns how often.
  int crashWheneverRunning(const char *Id, int Most) {
    int Crashes = 0;
    for (; Crashes < Most; ++Crashes) {
      timeToRunOrEnd(Id, seconds(30));
      if (!isRunning(Id))
        return Crashes;
      crash(State.Jobs.at(job_id(Id)).Members.front().Place.Worker);
      advance(seconds(2));
    }
    return Crashes;
  }

  bool isRunning(const char *Id) const {
    const auto Found = State.Jobs.find(job_id(Id));
    return Found != State.Jobs.end() &&
           Found->second.Step == gang_step::Running;
  }

  void timeToRunOrEnd(const char *Id, milliseconds Limit) {
    for (milliseconds Taken{0}; Taken < Limit; Taken += TickInterval) {
      if (isRunning(Id) || !State.Jobs.contains(job_id(Id)))
        return;
      advance(TickInterval);
    }
  }

  /// Another scheduler takes over, with the records as saved.
  void takeOver() {
    post(leadership_changed{true, State.Epoch + 1});
    drain();
    for (const auto &[Id, Record] : Saved)
      post(job_seen{*parseJobRecord(printJobRecord(Record)).Job, 1'000});
    post(jobs_loaded{});
    advance(seconds(4));
  }

  scheduler_state State;
  std::vector<move_job> Moves;
  std::map<job_id, job_record> Saved;

private:
  static scheduler_settings settings() {
    scheduler_settings Settings;
    Settings.DataCentre = Here;
    return Settings;
  }

  void post(scheduler_event_body Body) { Queue.push_back(std::move(Body)); }

  void drain() {
    while (!Queue.empty()) {
      const scheduler_event Event{Now, std::move(Queue.front()), State.Epoch};
      Queue.pop_front();
      for (const scheduler_effect &Effect : reduce(State, Event))
        std::visit([this](const auto &Value) { perform(Value); }, Effect);
    }
  }

  void answer(step_answered::step_kind Kind, const attempt_id &Attempt,
              const worker_id &Worker, const worker_answer &Reply) {
    post(step_answered{Kind, Attempt, Worker, Reply.IsAccepted, verdict::Ran,
                       Reply.HighestEpoch, Reply.Reason});
  }

  void perform(const send_reserve &E) {
    answer(step_answered::step_kind::Reserve, E.Request.Attempt, E.Worker,
           Models.at(E.Worker).reserve(E.Request, Now));
  }
  void perform(const send_start &E) {
    answer(step_answered::step_kind::Start, E.Request.Attempt, E.Worker,
           Models.at(E.Worker).start(E.Request, Now));
  }
  void perform(const send_release &E) {
    answer(step_answered::step_kind::Release, E.Request.Attempt, E.Worker,
           Models.at(E.Worker).release(E.Request, Now));
  }
  void perform(const send_renew &E) {
    if (Unreachable.contains(E.Worker))
      return;
    post(worker_reported{Models.at(E.Worker).renew(E.Request, Now), Now});
  }
  void perform(const save_job &E) {
    Saved[E.Record.Spec.Id] = E.Record;
    post(
        job_saved{E.Record.Spec.Id, job_saved::outcome::Saved, E.Revision + 1});
  }
  void perform(const move_job &E) { Moves.push_back(E); }
  void perform(const step_down &) { FAIL("a worker saw a higher epoch"); }
  void perform(const write_log &) {}

  std::shared_ptr<const tables> Tables;
  std::map<worker_id, worker_model> Models;
  std::set<worker_id> Unreachable; // don't answer renewals
  std::deque<scheduler_event_body> Queue;
  instant Now{seconds(1'000)};
};

} // namespace

TEST_CASE("guaranteed work starts within the bound on a fully lent fleet") {
  scheduler_fixture Fixture;
  Fixture.submit(Fixture.makeSpec("borrower", "other", 4, 8));
  Fixture.advance(seconds(10));
  REQUIRE(Fixture.stepOf("borrower") == gang_step::Running);

  job_spec Owner = Fixture.makeSpec("owner", "owner", 2, 8);
  Owner.IsIdempotent = false;
  Fixture.submit(Owner);
  CHECK(Fixture.timeToRun("owner", seconds(60)) <= UrgentBound);
  CHECK(Fixture.stepOf("borrower") != gang_step::Running);
}

TEST_CASE("urgent work starts within the bound on borrowed accelerators") {
  scheduler_fixture Fixture;
  Fixture.submit(Fixture.makeSpec("borrower", "other", 32, 1));
  Fixture.advance(seconds(10));
  job_spec Urgent = Fixture.makeSpec("urgent", "other", 1, 4);
  Urgent.Class = work_class::Urgent;
  Fixture.submit(Urgent);
  CHECK(Fixture.timeToRun("urgent", seconds(60)) <= UrgentBound);
}

TEST_CASE("unstoppable work waits rather than take another pool's cell") {
  scheduler_fixture Fixture;
  job_spec Wide = Fixture.makeSpec("wide", "other", 3, 8);
  Wide.IsIdempotent = false;
  Fixture.submit(Wide);
  Fixture.advance(seconds(10));
  CHECK(Fixture.stepOf("wide") == gang_step::Waiting);
}

TEST_CASE("a data centre out of service checkpoints and moves jobs and starts "
          "none") {
  scheduler_fixture Fixture;
  job_spec Movable = Fixture.makeSpec("movable", "other", 1, 8);
  Movable.IsCheckpointable = true;
  Fixture.submit(Movable);
  Fixture.submit(Fixture.makeSpec("fixed", "other", 1, 8));
  Fixture.advance(seconds(5));
  Fixture.setService(false);
  Fixture.submit(Fixture.makeSpec("late", "other", 1, 1));
  Fixture.advance(seconds(5));
  CHECK(Fixture.stepOf("movable") == gang_step::Waiting);
  CHECK(Fixture.stepOf("fixed") == gang_step::Running);
  CHECK(Fixture.stepOf("late") == gang_step::Waiting);
  REQUIRE_FALSE(Fixture.Moves.empty());
  CHECK(std::ranges::all_of(Fixture.Moves, [](const move_job &Move) {
    return Move.Record.DataCentre == There;
  }));
}

TEST_CASE("a job larger than the fleet it may use is refused with the reason") {
  scheduler_fixture Fixture;
  job_spec Huge = Fixture.makeSpec("huge", "other", 1, 16);
  Huge.DataCentres = {Here};
  Fixture.submit(Huge);
  job_spec Many = Fixture.makeSpec("many", "other", 5, 8);
  Many.DataCentres = {Here};
  Fixture.submit(Many);
  Fixture.advance(seconds(120));
  CHECK(Fixture.Saved.at(job_id("huge")).Phase == job_phase::Refused);
  CHECK(Fixture.Saved.at(job_id("huge")).Reason ==
        "no worker of here has 16 accelerators");
  CHECK(Fixture.Saved.at(job_id("many")).Phase == job_phase::Refused);
  CHECK(Fixture.Saved.at(job_id("many")).Reason ==
        "here holds 4 of its 5 tasks at most");
}

// Guards against a gang that crashes its workers and is started again without a
// limit.
TEST_CASE("a gang whose workers are lost again and again is failed") {
  scheduler_fixture Fixture;
  Fixture.submit(Fixture.makeSpec("deadly", "other", 2, 8));
  CHECK(Fixture.crashWheneverRunning("deadly", 20) == 5);
  const job_record Record = Fixture.Saved.at(job_id("deadly"));
  CHECK(Record.Phase == job_phase::Failed);
  CHECK(Record.Reason == "workers were lost 5 times while it ran");
}

// Guards against a count that each take-over begins anew.
TEST_CASE("lost workers are counted on after a take-over") {
  scheduler_fixture Fixture;
  Fixture.submit(Fixture.makeSpec("deadly", "other", 2, 8));
  CHECK(Fixture.crashWheneverRunning("deadly", 3) == 3);
  Fixture.takeOver();
  CHECK(Fixture.crashWheneverRunning("deadly", 20) == 2);
  CHECK(Fixture.Saved.at(job_id("deadly")).Phase == job_phase::Failed);
}

// Guards against failing an innocent gang for outages of many workers, and
// against excusing one that crashes its worker right after each start.
TEST_CASE("an outage of many workers doesn't count against a gang that had run "
          "for a while") {
  const bool HasRunBefore = GENERATE(true, false);
  scheduler_fixture Fixture;
  Fixture.submit(Fixture.makeSpec("job", "other", 1, 8));
  for (int Outage = 0; Outage < 7; ++Outage) {
    Fixture.timeToRunOrEnd("job", seconds(30));
    if (HasRunBefore)
      Fixture.advance(seconds(3));
    for (int I = 0; I < 4; ++I) {
      Fixture.crash(worker_id("w" + std::to_string(I)));
      Fixture.setReachable(worker_id("w" + std::to_string(I)), false);
    }
    Fixture.advance(seconds(9));
    for (int I = 0; I < 4; ++I)
      Fixture.setReachable(worker_id("w" + std::to_string(I)), true);
  }
  Fixture.advance(seconds(5));
  CHECK(Fixture.isRunning("job") == HasRunBefore);
}

// Guards against failing a long job for unrelated losses that are far apart.
TEST_CASE("losses of workers that are far apart aren't summed") {
  scheduler_fixture Fixture;
  Fixture.State.Settings.LossMemory = seconds(20);
  Fixture.submit(Fixture.makeSpec("long", "other", 2, 8));
  for (int I = 0; I < 8; ++I) {
    Fixture.timeToRunOrEnd("long", seconds(30));
    Fixture.advance(seconds(25));
    CHECK(Fixture.crashWheneverRunning("long", 1) == 1);
  }
  Fixture.timeToRunOrEnd("long", seconds(30));
  CHECK(Fixture.isRunning("long"));
}
