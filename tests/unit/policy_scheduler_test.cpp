#include "core/job/scheduler.hpp"
#include "standin/worker_model.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

// Reclaim, departure and refusal through the reducer, with workers that answer
// at once and ticks of 100 ms.

using namespace galenastage;
using standin::worker_model;

namespace {

const data_centre_id Here("here");
const data_centre_id There("there");
constexpr milliseconds TickInterval{100};
constexpr milliseconds UrgentBound{6'200};

class small_site {
public:
  small_site() : State(settings()) {
    setService(true);
    for (int I = 0; I < 4; ++I) {
      const worker_id Name("w" + std::to_string(I));
      Models.emplace(Name, worker_model(Name, Here, rack_id("r"), 8));
      post(worker_listed{Name, rack_id("r"), 8, false});
    }
    post(leadership_changed{true, 1});
    post(jobs_loaded{});
    pass(seconds(4));
  }

  job_spec submit(const char *Id, const char *Pool, int Tasks,
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

  void send(const job_spec &Spec) {
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

  void pass(milliseconds Length) {
    for (milliseconds Gone{0}; Gone < Length; Gone += TickInterval) {
      Now += TickInterval;
      post(tables_seen{Tables, Now});
      post(ticked{wall_instant(Now.time_since_epoch())});
      drain();
    }
  }

  gang_step stepOf(const char *Id) const {
    return State.Jobs.at(job_id(Id)).Step;
  }

  /// How long until the job runs; the limit when it doesn't by then.
  milliseconds timeToRun(const char *Id, milliseconds Limit) {
    milliseconds Taken{0};
    for (; Taken < Limit && stepOf(Id) != gang_step::Running;
         Taken += TickInterval)
      pass(TickInterval);
    return Taken;
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
      const scheduler_event Event{Now, std::move(Queue.front())};
      Queue.pop_front();
      for (const scheduler_effect &Effect : reduce(State, Event))
        std::visit([this](const auto &Value) { perform(Value); }, Effect);
    }
  }

  void answer(step_answered::step_kind Kind, const attempt_id &Attempt,
              const worker_id &Worker, const worker_answer &Said) {
    post(step_answered{Kind, Attempt, Worker, Said.IsAccepted, verdict::Ran,
                       Said.HighestEpoch, Said.Reason});
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
  std::deque<scheduler_event_body> Queue;
  instant Now{seconds(1'000)};
};

} // namespace

TEST_CASE("guaranteed work starts within the bound when all else is borrowed") {
  small_site Site;
  Site.send(Site.submit("borrower", "other", 4, 8));
  Site.pass(seconds(10));
  REQUIRE(Site.stepOf("borrower") == gang_step::Running);

  job_spec Owner = Site.submit("owner", "owner", 2, 8);
  Owner.IsIdempotent = false;
  Site.send(Owner);
  CHECK(Site.timeToRun("owner", seconds(60)) <= UrgentBound);
  CHECK(Site.stepOf("borrower") != gang_step::Running);
}

TEST_CASE("urgent work starts within the bound on borrowed accelerators") {
  small_site Site;
  Site.send(Site.submit("borrower", "other", 32, 1));
  Site.pass(seconds(10));
  job_spec Urgent = Site.submit("urgent", "other", 1, 4);
  Urgent.Class = work_class::Urgent;
  Site.send(Urgent);
  CHECK(Site.timeToRun("urgent", seconds(60)) <= UrgentBound);
}

TEST_CASE("unstoppable work waits rather than take another pool's cell") {
  small_site Site;
  job_spec Wide = Site.submit("wide", "other", 3, 8);
  Wide.IsIdempotent = false;
  Site.send(Wide);
  Site.pass(seconds(10));
  CHECK(Site.stepOf("wide") == gang_step::Waiting);
}

TEST_CASE("a departure checkpoints and moves, and starts nothing") {
  small_site Site;
  job_spec Movable = Site.submit("movable", "other", 1, 8);
  Movable.IsCheckpointable = true;
  Site.send(Movable);
  Site.send(Site.submit("fixed", "other", 1, 8));
  Site.pass(seconds(5));
  Site.setService(false);
  Site.send(Site.submit("late", "other", 1, 1));
  Site.pass(seconds(5));
  CHECK(Site.stepOf("movable") == gang_step::Waiting);
  CHECK(Site.stepOf("fixed") == gang_step::Running);
  CHECK(Site.stepOf("late") == gang_step::Waiting);
  REQUIRE_FALSE(Site.Moves.empty());
  CHECK(std::ranges::all_of(Site.Moves, [](const move_job &Move) {
    return Move.Record.DataCentre == There;
  }));
}

TEST_CASE("a job larger than the fleet it may use is refused with the reason") {
  small_site Site;
  job_spec Huge = Site.submit("huge", "other", 1, 16);
  Huge.DataCentres = {Here};
  Site.send(Huge);
  job_spec Many = Site.submit("many", "other", 5, 8);
  Many.DataCentres = {Here};
  Site.send(Many);
  Site.pass(seconds(120));
  CHECK(Site.Saved.at(job_id("huge")).Phase == job_phase::Refused);
  CHECK(Site.Saved.at(job_id("huge")).Reason ==
        "no worker of here has 16 accelerators");
  CHECK(Site.Saved.at(job_id("many")).Phase == job_phase::Refused);
  CHECK(Site.Saved.at(job_id("many")).Reason ==
        "here holds 4 of its 5 tasks at most");
}
