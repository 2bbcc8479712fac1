#include "tests/support/virtual_system.hpp"

#include <algorithm>

namespace galenastage::test {
namespace {

constexpr milliseconds ObserveInterval{50};
constexpr milliseconds ClientRetryDelay{300};
constexpr int WorkersPerRack = 2;
constexpr int AcceleratorsPerWorker = 8;

const std::string JobsPrefix = "/galenastage/jobs/";
const std::string IndexPrefix = "/galenastage/job-index/";

std::string entryOf(const data_centre_id &DataCentre) {
  return DataCentre.Value + "-entry";
}

tables firstTables() {
  tables Tables;
  Tables.Version = 1;
  pool Pool;
  Pool.Name = pool_id("budgets");
  Pool.Organisation = organisation_id("council");
  Tables.Pools.push_back(Pool);
  for (const char *Name : {"dc-a", "dc-b"})
    Tables.DataCentres.push_back(
        {.Name = data_centre_id(Name), .Region = "north"});
  return Tables;
}

} // namespace

virtual_system::virtual_system(std::uint32_t Seed)
    : Network(Seed), Store(Network), Promises(promise_bounds{}),
      Around{
          Network,
          Store,
          [this](const worker_id &Worker) {
            standin::worker_model &Model = Workers.at(Worker).Model;
            // Deferred, so that the state after the call is observed.
            Network.after(milliseconds(0),
                          [this, &Model] { observeWorker(Model); });
            return &Model;
          },
          [this](const data_centre_id &Name) { return readList(Name); },
          [this](const std::string &Name, const scheduler_event_body &Event) {
            takeEvent(Name, Event);
          },
          [this](const std::string &Name, const scheduler_effect &Effect) {
            takeEffect(Name, Effect);
          },
          [this](const worker_id &Worker, const renew_request &Request) {
            for (const renewed_attempt &Renewed : Request.Attempts)
              Promises.seeRenewal(Network.now(), Worker, Renewed.Attempt);
          }} {
  Store.OnCommit = [this](const store_transaction &T) { takeCommit(T); };
  addDataCentre("dc-a", 4);
  addDataCentre("dc-b", 4);
  store_transaction First;
  First.Changes.push_back(
      put_key{std::string(TablesKey), printTables(firstTables())});
  Store.commit("dc-a-entry", {First}, [](const auto &) {});
  observe();
}

void virtual_system::addDataCentre(const std::string &Name, int Count) {
  const data_centre_id DataCentre(Name);
  for (int I = 0; I < Count; ++I) {
    const worker_id Worker(Name + "-worker-" + std::to_string(I));
    const rack_id Rack(Name + "-rack-" + std::to_string(I / WorkersPerRack));
    Workers.emplace(Worker,
                    worker_row{{Worker, Rack, AcceleratorsPerWorker},
                               DataCentre,
                               standin::worker_model(Worker, DataCentre, Rack,
                                                     AcceleratorsPerWorker)});
  }
  for (int I = 0; I < 2; ++I) {
    const std::string Scheduler = Name + "-scheduler-" + std::to_string(I);
    auto &Process = Schedulers[Scheduler];
    Process =
        std::make_unique<virtual_scheduler>(Around, DataCentre, Scheduler);
    Network.after(Scheduler, milliseconds(Network.random(20, 60) + I * 30),
                  [&Process] { Process->boot(); });
  }
}

// Observation

void virtual_system::observe() {
  for (auto &[Name, Row] : Workers)
    observeWorker(Row.Model);
  Promises.check(Network.now());
  Network.after(ObserveInterval, [this] { observe(); });
}

void virtual_system::observeWorker(standin::worker_model &Worker) {
  const std::string &Name = Worker.id().Value;
  if (!Network.isUp(Name) || Network.isPaused(Name)) {
    Promises.seeWorkerGone(Worker.id());
    return;
  }
  Worker.advance(Network.now());
  Promises.seeWorker(Network.now(), Worker.report(Network.now()));
}

void virtual_system::takeEvent(const std::string &Scheduler,
                               const scheduler_event_body &Event) {
  const scheduler_state &State = Schedulers.at(Scheduler)->state();
  std::visit(
      overloaded{
          [&](const tables_seen &Seen) {
            const std::uint64_t Known =
                State.Tables ? State.Tables->Version : 0;
            if (Seen.Tables->Version > Known)
              OnStep({step::Propagate, Scheduler, {}});
            Promises.seeVersionInForce(Scheduler,
                                       std::max(Known, Seen.Tables->Version));
          },
          [&](const leadership_changed &Change) {
            if (Change.IsLeading)
              OnStep({step::TakeOver, Scheduler, {}});
          },
          [&](const step_answered &Answer) {
            if (Answer.Kind == step_answered::step_kind::Reserve)
              OnStep({step::Reserve, Scheduler, Answer.Worker});
          },
          [&](const worker_reported &Reported) {
            for (const task_report &Task : Reported.Report.Tasks)
              if (Task.State == task_state::Succeeded)
                OnStep({step::Finish, Scheduler, Reported.Report.Worker});
          },
          [](const auto &) {}},
      Event);
}

void virtual_system::takeEffect(const std::string &Scheduler,
                                const scheduler_effect &Effect) {
  std::visit(overloaded{[&](const send_reserve &Send) {
                          if (Placed.insert(Send.Request.Attempt).second)
                            OnStep({step::Place, Scheduler, Send.Worker});
                        },
                        [&](const save_job &) {
                          OnStep({step::Save, Scheduler, {}});
                        },
                        [&](const send_start &Send) {
                          OnStep({step::Start, Scheduler, Send.Worker});
                        },
                        [&](const send_renew &Send) {
                          for (const renewed_attempt &Renewed :
                               Send.Request.Attempts) {
                            if (!Renewed.IsConfirmed)
                              continue;
                            const bool IsFirst =
                                Confirmed.insert(Renewed.Attempt).second;
                            OnStep({IsFirst ? step::Confirm : step::Renew,
                                    Scheduler, Send.Worker});
                          }
                        },
                        [](const auto &) {}},
             Effect);
}

void virtual_system::takeCommit(const store_transaction &Transaction) {
  for (const store_change &Change : Transaction.Changes) {
    const auto *Put = std::get_if<put_key>(&Change);
    if (!Put)
      continue;
    if (Put->Key == TablesKey)
      Promises.seeTables(Network.now(), *parseTables(Put->Value).Tables);
    else if (Put->Key.starts_with(JobsPrefix))
      Promises.seeRecord(*parseJobRecord(Put->Value).Job);
  }
}

// Callers and operators

void virtual_system::submit(job_spec Spec, const data_centre_id &Owner) {
  Promises.seeSubmitted(Spec);
  OnStep({step::Accept, "", {}});
  const std::string Entry = entryOf(Owner);
  job_record Record;
  Record.Spec = Spec;
  Record.DataCentre = Owner;
  Record.Reason = "accepted";
  Record.SubmittedAt = wall_instant(Network.now().time_since_epoch());
  store_transaction Transaction;
  Transaction.Conditions.push_back(key_missing{jobIndexKey(Spec.Id)});
  Transaction.Changes.push_back(put_key{jobIndexKey(Spec.Id), Owner.Value});
  Transaction.Changes.push_back(
      put_key{jobKey(Owner, Spec.Id), printJobRecord(Record)});
  Store.commit(Entry, {Transaction}, [=, this](const auto &Writes) {
    // Applied now, or by an earlier attempt whose response was lost.
    if (Writes.front().Error)
      Network.after(Entry, ClientRetryDelay,
                    [=, this] { submit(Spec, Owner); });
    else
      Promises.seeAccepted(Spec.Id);
  });
}

void virtual_system::cancel(const job_id &Job) {
  OnStep({step::Cancel, "", {}});
  const std::string Entry = "dc-a-entry";
  const auto Again = [=, this] {
    Network.after(Entry, ClientRetryDelay, [=, this] { cancel(Job); });
  };
  Store.read(Entry, jobIndexKey(Job), [=, this](const store_read &Index) {
    if (Index.Error || Index.Entries.empty()) {
      Again();
      return;
    }
    const std::string Key =
        jobKey(data_centre_id(Index.Entries.front().Value), Job);
    Store.read(Entry, Key, [=, this](const store_read &Read) {
      if (Read.Error || Read.Entries.empty()) {
        Again();
        return;
      }
      job_record Record = *parseJobRecord(Read.Entries.front().Value).Job;
      if (Record.IsCancelRequested || isFinal(Record.Phase))
        return;
      Record.IsCancelRequested = true;
      store_transaction Transaction;
      Transaction.Conditions.push_back(
          revision_is{Key, Read.Entries.front().ModRevision});
      Transaction.Changes.push_back(put_key{Key, printJobRecord(Record)});
      Store.commit(Entry, {Transaction}, [=](const auto &Writes) {
        if (Writes.front().Error || !Writes.front().IsApplied)
          Again();
      });
    });
  });
}

void virtual_system::edit(step Step, std::function<void(tables &)> Change) {
  OnStep({Step, "", {}});
  tryEdit("edit-" + std::to_string(++Edits), std::move(Change));
}

void virtual_system::tryEdit(std::string Token,
                             std::function<void(tables &)> Change) {
  const std::string Entry = "dc-b-entry";
  const auto Again = [=, this] {
    Network.after(Entry, ClientRetryDelay,
                  [=, this] { tryEdit(Token, Change); });
  };
  Store.read(Entry, std::string(TablesKey), [=, this](const store_read &Read) {
    if (Read.Error || Read.Entries.empty()) {
      Again();
      return;
    }
    const store_entry &Entry0 = Read.Entries.front();
    tables Tables = *parseTables(Entry0.Value).Tables;
    if (Tables.EditToken == Token)
      return; // applied by an earlier attempt whose response was lost
    ++Tables.Version;
    Tables.EditToken = Token;
    Change(Tables);
    store_transaction Transaction;
    Transaction.Conditions.push_back(
        revision_is{Entry0.Key, Entry0.ModRevision});
    Transaction.Changes.push_back(put_key{Entry0.Key, printTables(Tables)});
    Store.commit(Entry, {Transaction}, [=](const auto &Writes) {
      if (Writes.front().Error || !Writes.front().IsApplied)
        Again();
    });
  });
}

void virtual_system::stopActiveScheduler(const data_centre_id &DataCentre) {
  const std::string Active = activeScheduler(DataCentre);
  if (Active.empty())
    return;
  OnStep({step::Stop, Active, {}});
  if (!Network.isUp(Active) || Network.isPaused(Active))
    return;
  RunningAtStop = Promises.attemptsRunning();
  Promises.forgetProcess(Active);
  Schedulers.at(Active)->stopGracefully();
}

// Faults

void virtual_system::crashScheduler(const std::string &Name) {
  Network.crash(Name);
  Promises.forgetProcess(Name);
}

void virtual_system::restartScheduler(const std::string &Name) {
  if (Network.isUp(Name))
    return;
  Network.restart(Name);
  Schedulers.at(Name)->boot();
}

void virtual_system::crashWorker(const worker_id &Worker) {
  Network.crash(Worker.Value);
  Workers.at(Worker).Model.crash();
  Promises.seeWorkerGone(Worker);
}

void virtual_system::restartWorker(const worker_id &Worker) {
  Network.restart(Worker.Value);
}

std::vector<listed_worker>
virtual_system::readList(const data_centre_id &DataCentre) {
  std::vector<listed_worker> Rows;
  for (const auto &[Name, Row] : Workers) {
    const bool IsListed =
        FrozenList ? FrozenList->contains(Name) : Network.isUp(Name.Value);
    if (Row.DataCentre == DataCentre && IsListed)
      Rows.push_back(Row.Listed);
  }
  return Rows;
}

void virtual_system::setListFrozen(bool IsFrozen) {
  FrozenList.reset();
  if (!IsFrozen)
    return;
  std::set<worker_id> Listed;
  for (const auto &[Name, Row] : Workers)
    if (Network.isUp(Name.Value))
      Listed.insert(Name);
  FrozenList = std::move(Listed);
}

// Start, run and final checks

void virtual_system::run(milliseconds Duration) {
  Network.runUntil(Network.now() + Duration);
}

bool virtual_system::areAllJobsFinal() {
  return std::ranges::all_of(
      Store.entries(JobsPrefix), [](const store_entry &Entry) {
        return isFinal(parseJobRecord(Entry.Value).Job->Phase);
      });
}

void virtual_system::checkEnd() {
  std::vector<job_record> Records;
  for (const store_entry &Entry : Store.entries(JobsPrefix))
    Records.push_back(*parseJobRecord(Entry.Value).Job);
  std::map<job_id, data_centre_id> Index;
  for (const store_entry &Entry : Store.entries(IndexPrefix))
    Index[job_id(Entry.Key.substr(IndexPrefix.size()))] =
        data_centre_id(Entry.Value);
  Promises.checkEnd(Records, Index);
}

void virtual_system::checkStop() {
  for (const attempt_id &Attempt : RunningAtStop) {
    const auto Record = this->record(Attempt.Job);
    // A caller may also cancel it while the stop is in progress.
    const bool HasEnded =
        Record && Record->Attempt == Attempt.Attempt &&
        (Record->Phase == job_phase::Finished || Record->IsCancelRequested);
    if (!HasEnded)
      Promises.note(promise::StopCutsNothing, Attempt.Job.Value);
  }
}

std::string
virtual_system::activeScheduler(const data_centre_id &DataCentre) const {
  std::string Active;
  epoch Highest = 0;
  for (const auto &[Name, Process] : Schedulers) {
    if (!Name.starts_with(DataCentre.Value) || !Network.isUp(Name))
      continue;
    const scheduler_state &State = Process->state();
    if (State.IsLeading && State.Epoch >= Highest) {
      Active = Name;
      Highest = State.Epoch;
    }
  }
  return Active;
}

std::vector<std::string>
virtual_system::processesIn(const data_centre_id &DataCentre) const {
  std::vector<std::string> Names{entryOf(DataCentre)};
  for (const auto &[Name, Process] : Schedulers)
    if (Name.starts_with(DataCentre.Value))
      Names.push_back(Name);
  return Names;
}

std::vector<worker_id> virtual_system::workersIn(const rack_id &Rack) const {
  std::vector<worker_id> Names;
  for (const auto &[Name, Row] : Workers)
    if (Row.Listed.Rack == Rack)
      Names.push_back(Name);
  return Names;
}

rack_id virtual_system::rackOf(const worker_id &Worker) const {
  return Workers.at(Worker).Listed.Rack;
}

std::optional<job_record> virtual_system::record(const job_id &Job) {
  for (const store_entry &Entry : Store.entries(JobsPrefix))
    if (Entry.Key.ends_with("/" + Job.Value))
      return parseJobRecord(Entry.Value).Job;
  return std::nullopt;
}

int virtual_system::runsOf(const job_id &Job) const {
  int Runs = 0;
  for (const auto &[Name, Row] : Workers)
    Runs += Row.Model.runsOf(Job);
  return Runs;
}

} // namespace galenastage::test
