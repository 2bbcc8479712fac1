#include "core/job/scheduler.hpp"
#include "standin/worker_model.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <deque>

// Random event sequences with faults against one reducer; the invariants are
// checked after every event. RC_PARAMS="seed=N" repeats a run.

using namespace galenastage;
using standin::worker_model;

namespace {

constexpr int Racks = 3;
constexpr int WorkersPerRack = 4;
constexpr int Accelerators = 8;
constexpr const char *DefaultParameters = "seed=20261203 max_success=60";
const data_centre_id Here("here");

struct fleet_worker {
  worker_model Model;
  bool IsDown = false;
};

/// One data centre under test: the reducer, its workers and its store.
class world {
public:
  world() : State(settings()) {
    setTables(true);
    for (int R = 0; R < Racks; ++R)
      for (int W = 0; W < WorkersPerRack; ++W)
        addWorker(R, W);
    post(leadership_changed{true, 1});
    post(jobs_loaded{});
    drain();
    pass(seconds(4));
  }

  void submit(const job_spec &Draft) {
    job_record Record;
    Record.Spec = Draft;
    Record.Spec.Id = job_id("job-" + std::to_string(++JobCount));
    Record.SubmittedAt = wall_instant(Now.time_since_epoch());
    Record.DataCentre = Here;
    Records[Record.Spec.Id] = {Record, ++Revision};
    post(job_seen{Record, Revision});
    drain();
  }

  void cancel(std::size_t Pick) {
    if (Records.empty())
      return;
    auto &[Record, Stored] =
        std::next(Records.begin(), Pick % Records.size())->second;
    if (isFinal(Record.Phase))
      return;
    Record.IsCancelRequested = true;
    Stored = ++Revision;
    post(job_seen{Record, Stored});
    drain();
  }

  /// Advances time in small ticks and confirms the tables' version at each.
  void pass(milliseconds Length) {
    for (milliseconds Gone{0}; Gone < Length; Gone += milliseconds(500)) {
      Now += milliseconds(500);
      post(tables_seen{Tables, Now});
      post(ticked{wall_instant(Now.time_since_epoch())});
      drain();
    }
  }

  void crash(std::size_t Pick) {
    fleet_worker &Worker = pick(Pick);
    Worker.IsDown = !Worker.IsDown;
    if (Worker.IsDown)
      Worker.Model.crash();
  }

  void loseRack(std::size_t Pick) {
    const std::string Rack = "r" + std::to_string(Pick % Racks) + "-";
    for (auto &[Name, Worker] : Workers)
      if (Name.Value.starts_with(Rack)) {
        Worker.IsDown = true;
        Worker.Model.crash();
      }
  }

  void toggleFailing(std::size_t Pick) {
    worker_model &Model = pick(Pick).Model;
    Model.Faults.FailsEverything = !Model.Faults.FailsEverything;
  }

  void toggleService() {
    setTables(!Tables->DataCentres.front().IsInService);
    drain();
  }

private:
  static scheduler_settings settings() {
    scheduler_settings Settings;
    Settings.DataCentre = Here;
    return Settings;
  }

  void setTables(bool IsInService) {
    auto Edited = std::make_shared<tables>();
    Edited->Version = Tables ? Tables->Version + 1 : 1;
    Edited->DataCentres = {{Here, "region", IsInService}};
    Edited->Pools = {
        {pool_id("a"), organisation_id("a"), {2, 8}, {}},
        {pool_id("b"), organisation_id("b"), {1, 4}, {}},
        {pool_id("c"), organisation_id("c"), {0, 8}, {}},
    };
    Tables = Edited;
    post(tables_seen{Tables, Now});
  }

  void addWorker(int Rack, int Number) {
    const rack_id RackName("r" + std::to_string(Rack));
    const worker_id Name(RackName.Value + "-w" + std::to_string(Number));
    Workers.emplace(Name,
                    fleet_worker{worker_model(Name, Here, RackName,
                                              Accelerators, Checkpoints)});
    post(worker_listed{Name, RackName, Accelerators, false});
  }

  fleet_worker &pick(std::size_t Pick) {
    return std::next(Workers.begin(), Pick % Workers.size())->second;
  }

  void post(scheduler_event_body Body) { Queue.push_back(std::move(Body)); }

  void drain() {
    while (!Queue.empty()) {
      const scheduler_event Event{Now, std::move(Queue.front()), State.Epoch};
      Queue.pop_front();
      for (scheduler_effect &Effect : reduce(State, Event))
        std::visit([this](auto &Value) { perform(Value); }, Effect);
      checkInvariants();
    }
  }

  // Effects

  template <typename Call>
  void step(step_answered::step_kind Kind, const worker_id &Name,
            const attempt_id &Attempt, Call MakeCall) {
    step_answered Answer{Kind, Attempt, Name, false, verdict::NotRun, 0, ""};
    fleet_worker &Worker = Workers.at(Name);
    if (!Worker.IsDown) {
      const worker_answer Said = MakeCall(Worker.Model);
      Answer.IsAccepted = Said.IsAccepted;
      Answer.HighestEpoch = Said.HighestEpoch;
    }
    post(Answer);
  }

  void perform(const send_reserve &E) {
    step(step_answered::step_kind::Reserve, E.Worker, E.Request.Attempt,
         [&](worker_model &M) { return M.reserve(E.Request, Now); });
  }

  void perform(const send_start &E) {
    RC_ASSERT(Tables->DataCentres.front().IsInService);
    step(step_answered::step_kind::Start, E.Worker, E.Request.Attempt,
         [&](worker_model &M) { return M.start(E.Request, Now); });
  }

  void perform(const send_release &E) {
    step(step_answered::step_kind::Release, E.Worker, E.Request.Attempt,
         [&](worker_model &M) { return M.release(E.Request, Now); });
  }

  void perform(const send_renew &E) {
    for (const renewed_attempt &Renewed : E.Request.Attempts)
      if (Renewed.IsConfirmed)
        Confirmed[Renewed.Attempt.Job].insert(Renewed.Attempt);
    fleet_worker &Worker = Workers.at(E.Worker);
    if (!Worker.IsDown)
      post(worker_reported{Worker.Model.renew(E.Request, Now), Now});
  }

  void perform(const save_job &E) {
    auto &[Record, Stored] = Records.at(E.Record.Spec.Id);
    const bool IsCurrent = Stored == E.Revision;
    if (IsCurrent) {
      Record = E.Record;
      Stored = ++Revision;
    }
    post(job_saved{E.Record.Spec.Id,
                   IsCurrent ? job_saved::outcome::Saved
                             : job_saved::outcome::Conflict,
                   Stored});
  }

  void perform(const move_job &) {}
  void perform(const step_down &) { RC_FAIL("a worker saw a higher epoch"); }
  void perform(const write_log &E) {
    if (*E.Line.Event == events::GuaranteeUnmet)
      ReportedUnmet.insert(pool_id(E.Line.Fields.front().Value));
    if (*E.Line.Event == events::GuaranteeBound)
      ReportedUnmet.erase(pool_id(E.Line.Fields.front().Value));
  }

  // Invariants

  void checkInvariants() {
    checkAllocation();
    checkGangs();
    checkReclaimPlans();
    checkAtMostOnce();
  }

  void checkAllocation() const {
    for (const auto &[Name, Worker] : State.Workers) {
      RC_ASSERT(Worker.freeAccelerators() >= 0);
      int Held = 0;
      for (const auto &[Attempt, Count] : Worker.Held)
        Held += Count;
      RC_ASSERT(Held == Worker.HeldAccelerators);
    }
    for (const auto &[Name, Worker] : Workers)
      RC_ASSERT(Worker.Model.freeAccelerators() >= 0);
  }

  void checkGangs() const {
    for (const auto &[Id, Job] : State.Jobs) {
      if (Job.Members.empty())
        continue;
      int Tasks = 0;
      for (const gang_member &Member : Job.Members)
        Tasks += Member.Place.Tasks;
      RC_ASSERT(Tasks == Job.Record.Spec.Tasks);
    }
  }

  void checkReclaimPlans() const {
    if (State.Policy.IsPlanStale)
      return; // not leading yet
    for (const auto &[Name, Worker] : State.Workers)
      RC_ASSERT(unguaranteedRoom(Worker.capacity(Name)) >= 0 ||
                Worker.Cells.empty());
    const guarantee_plan &Plan = State.Policy.Guarantees;
    for (const pool &Pool : Tables->Pools) {
      if (Pool.Guaranteed.Workers == 0)
        continue;
      const auto Bound = Plan.Bindings.find(Pool.Name);
      if (Bound == Plan.Bindings.end()) {
        RC_ASSERT(std::ranges::binary_search(Plan.Unmet, Pool.Name));
        RC_ASSERT(ReportedUnmet.contains(Pool.Name));
        continue;
      }
      RC_ASSERT(std::ssize(Bound->second.Workers) == Pool.Guaranteed.Workers);
      for (const worker_id &Worker : Bound->second.Workers) {
        RC_ASSERT(State.Workers.at(Worker).isUsable());
        RC_ASSERT(State.Workers.at(Worker).Rack == Bound->second.Rack);
      }
    }
  }

  void checkAtMostOnce() const {
    for (const auto &[Id, Attempts] : Confirmed)
      if (!Records.at(Id).first.Spec.IsIdempotent)
        RC_ASSERT(Attempts.size() <= 1U);
  }

  scheduler_state State;
  std::shared_ptr<const tables> Tables;
  std::shared_ptr<standin::checkpoint_map> Checkpoints =
      std::make_shared<standin::checkpoint_map>();
  std::map<worker_id, fleet_worker> Workers;
  std::map<job_id, std::pair<job_record, std::int64_t>> Records;
  std::map<job_id, std::set<attempt_id>>
      Confirmed; // attempts confirmed by a renewal
  std::set<pool_id> ReportedUnmet;
  std::deque<scheduler_event_body> Queue;
  instant Now{seconds(1'000)};
  std::int64_t Revision = 0;
  int JobCount = 0;
};

job_spec drawSpec() {
  job_spec Spec;
  const std::string Owner = *rc::gen::element<std::string>("a", "b", "c");
  Spec.Organisation = organisation_id(Owner);
  Spec.Pool = pool_id(Owner);
  Spec.Class = *rc::gen::element(work_class::Urgent, work_class::Ordinary,
                                 work_class::Patient);
  Spec.Tasks = *rc::gen::inRange(1, 9);
  Spec.AcceleratorsPerTask = *rc::gen::element(1, 2, 4, 8);
  Spec.DeclaredRunTime = seconds(*rc::gen::inRange(1, 300));
  Spec.IsIdempotent = *rc::gen::arbitrary<bool>();
  Spec.IsCheckpointable = *rc::gen::arbitrary<bool>();
  return Spec;
}

void stepWorld(world &World) {
  const std::size_t Pick = *rc::gen::inRange<std::size_t>(0, 1'000);
  switch (*rc::gen::weightedElement<int>(
      {{8, 0}, {8, 1}, {2, 2}, {2, 3}, {1, 4}, {1, 5}, {1, 6}})) {
  case 0:
    World.submit(drawSpec());
    return;
  case 1:
    World.pass(seconds(1 + Pick % 60));
    return;
  case 2:
    World.cancel(Pick);
    return;
  case 3:
    World.crash(Pick);
    return;
  case 4:
    World.loseRack(Pick);
    return;
  case 5:
    World.toggleFailing(Pick);
    return;
  default:
    World.toggleService();
  }
}

} // namespace

TEST_CASE("invariants hold after every event of random sequences") {
  constexpr int KeepIfSet = 0;
  setenv("RC_PARAMS", DefaultParameters, KeepIfSet);
  CHECK(rc::check([] {
    world World;
    const int Steps = *rc::gen::inRange(1, 80);
    for (int I = 0; I < Steps; ++I)
      stepWorld(World);
  }));
}
