#include "tests/support/virtual_scheduler.hpp"

#include "core/error.hpp"

namespace galenastage::test {
namespace {

// Same values as in apps/scheduler and apps/runtime.
constexpr milliseconds TickInterval{100};
constexpr milliseconds ConfirmInterval{500};
constexpr milliseconds ListInterval{500};
constexpr milliseconds ReloadDelay{300};
constexpr milliseconds WatchRetryDelay{500};
constexpr milliseconds CampaignInterval{500};
constexpr milliseconds KeepInterval{1'000};
constexpr milliseconds GatherTime{5};
constexpr milliseconds OutageDelay{500};
constexpr seconds LeaseLife{3};
constexpr std::size_t MaxGroup = 64;

} // namespace

virtual_scheduler::virtual_scheduler(scheduler_surroundings &Around,
                                     data_centre_id DataCentre,
                                     std::string Name)
    : Around(Around), DataCentre(std::move(DataCentre)), Name(std::move(Name)),
      LeaderKey("/galenastage/leader/" + this->DataCentre.Value) {}

void virtual_scheduler::boot() {
  scheduler_settings Settings;
  Settings.DataCentre = DataCentre;
  State = scheduler_state(std::move(Settings));
  LastTables.clear();
  Tables = nullptr;
  Listed.clear();
  Lease = 0;
  Epoch = 0;
  HighestSeen = 0;
  IsResigning = false;
  ++Term;
  ++Boots;
  Queue.clear();
  IsDraining = false;
  tick();
  confirmTables();
  watchTables();
  readList();
  campaign();
}

void virtual_scheduler::stopGracefully() {
  IsResigning = true;
  if (Lease != 0)
    Around.Store.revokeLease(Name, Lease);
  Lease = 0;
  after(milliseconds(10), [this] { Around.Network.crash(Name); });
}

void virtual_scheduler::after(milliseconds Delay, std::function<void()> Work) {
  Around.Network.after(Name, Delay, std::move(Work));
}

void virtual_scheduler::post(scheduler_event_body Body, epoch OfOrder) {
  Around.OnEvent(Name, Body);
  const auto Effects =
      reduce(State, {Around.Network.now(), std::move(Body), OfOrder});
  if (Effects.empty())
    return;
  after(milliseconds(0), [this, Effects] {
    for (const scheduler_effect &Effect : Effects) {
      Around.OnEffect(Name, Effect);
      if (!Around.Network.isUp(Name))
        return;
      std::visit([this](const auto &Value) { perform(Value); }, Effect);
    }
  });
}

void virtual_scheduler::tick() {
  post(ticked{wall_instant(Around.Network.now().time_since_epoch())});
  after(TickInterval, [this] { tick(); });
}

// Tables and the instance list

void virtual_scheduler::confirmTables() {
  const instant AsOf = Around.Network.now();
  Around.Store.read(Name, std::string(TablesKey), [this, AsOf](store_read R) {
    if (!R.Error && !R.Entries.empty())
      takeTables(R.Entries.front().Value, AsOf);
    after(ConfirmInterval, [this] { confirmTables(); });
  });
}

void virtual_scheduler::watchTables() {
  Around.Store.watch(
      Name, std::string(TablesKey), 0, [] { return true; },
      [this](const store_event &Event) {
        if (!Event.IsDelete && Event.Entry.Key == TablesKey)
          takeTables(Event.Entry.Value, Around.Network.now());
      },
      [this] { after(WatchRetryDelay, [this] { watchTables(); }); });
}

void virtual_scheduler::takeTables(const std::string &Text, instant AsOf) {
  if (Text != LastTables) {
    LastTables = Text;
    Tables = std::make_shared<const tables>(*parseTables(Text).Tables);
  }
  post(tables_seen{Tables, AsOf});
}

void virtual_scheduler::readList() {
  std::set<worker_id> Now;
  for (const listed_worker &Row : Around.ReadList(DataCentre)) {
    Now.insert(Row.Worker);
    post(worker_listed{Row.Worker, Row.Rack, Row.Accelerators, false});
  }
  for (const worker_id &Worker : Listed)
    if (!Now.contains(Worker))
      post(worker_unlisted{Worker});
  Now.merge(Listed);
  Listed = std::move(Now);
  after(ListInterval, [this] { readList(); });
}

// Election

void virtual_scheduler::campaign() {
  if (IsResigning)
    return;
  const auto Again = [this] {
    after(CampaignInterval, [this] { campaign(); });
  };
  Around.Store.read(Name, LeaderKey, [this, Again](const store_read &Read) {
    if (Read.Error || !Read.Entries.empty()) {
      Again();
      return;
    }
    Around.Store.grantLease(Name, LeaseLife, [this, Again](store_lease Given) {
      if (Given.Error)
        Again();
      else
        win(Given.Id);
    });
  });
}

void virtual_scheduler::win(std::int64_t NewLease) {
  // The process token, with a counter in place of random digits.
  const std::string Token =
      Name + " " + std::to_string(Boots) + " " + std::to_string(NewLease);
  store_transaction Transaction;
  Transaction.Conditions.push_back(key_missing{LeaderKey});
  Transaction.Changes.push_back(put_key{LeaderKey, Token, NewLease});
  const auto Finish = [this, NewLease, Token](bool IsWon,
                                              std::int64_t Revision) {
    if (!IsWon) {
      Around.Store.revokeLease(Name, NewLease);
      after(CampaignInterval, [this] { campaign(); });
      return;
    }
    Lease = NewLease;
    LeaderToken = Token;
    lead(std::max<epoch>(Revision, HighestSeen + 1));
    after(KeepInterval, [this] { hold(); });
  };
  Around.Store.commit(
      Name, {Transaction},
      [this, Finish, Token](const std::vector<store_write> &Writes) {
        const store_write &Write = Writes.front();
        if (!Write.Error) {
          Finish(Write.IsApplied, Write.Revision);
          return;
        }
        Around.Store.read(
            Name, LeaderKey, [Finish, Token](const store_read &Read) {
              const bool IsOurs =
                  !Read.Entries.empty() && Read.Entries.front().Value == Token;
              Finish(IsOurs, Read.Revision);
            });
      });
}

void virtual_scheduler::hold() {
  if (IsResigning)
    return;
  Around.Store.keepLease(Name, Lease, [this](std::error_code Error) {
    if (Error == errc::NotFound)
      lose(false);
    else if (HighestSeen > Epoch)
      lose(true);
    else
      after(KeepInterval, [this] { hold(); });
  });
}

void virtual_scheduler::lose(bool MustRevoke) {
  if (MustRevoke)
    Around.Store.revokeLease(Name, Lease);
  Lease = 0;
  ++Term;
  post(leadership_changed{false, Epoch});
  after(CampaignInterval, [this] { campaign(); });
}

void virtual_scheduler::lead(epoch NewEpoch) {
  Epoch = NewEpoch;
  ++Term;
  post(leadership_changed{true, Epoch});
  followJobs(Term, false);
}

// Jobs of one term

void virtual_scheduler::followJobs(int MyTerm, bool IsLoaded) {
  if (MyTerm != Term)
    return;
  const std::string Prefix = jobPrefix(DataCentre);
  Around.Store.read(Name, Prefix, [=, this](const store_read &Read) {
    if (MyTerm != Term)
      return;
    if (Read.Error) {
      after(ReloadDelay, [=, this] { followJobs(MyTerm, IsLoaded); });
      return;
    }
    for (const store_entry &Entry : Read.Entries)
      takeJob(Entry);
    if (!IsLoaded)
      post(jobs_loaded{});
    Around.Store.watch(
        Name, Prefix, Read.Revision + 1, [=, this] { return MyTerm == Term; },
        [this](const store_event &Event) { takeJobEvent(Event); },
        [=, this] {
          after(ReloadDelay, [=, this] { followJobs(MyTerm, true); });
        });
  });
}

void virtual_scheduler::takeJob(const store_entry &Entry) {
  auto Parsed = parseJobRecord(Entry.Value);
  post(job_seen{std::move(*Parsed.Job), Entry.ModRevision});
}

void virtual_scheduler::takeJobEvent(const store_event &Event) {
  if (!Event.IsDelete) {
    takeJob(Event.Entry);
    return;
  }
  const std::size_t Prefix = jobPrefix(DataCentre).size();
  post(job_forgotten{job_id(Event.Entry.Key.substr(Prefix))});
}

// Effects

void virtual_scheduler::perform(const send_reserve &Effect) {
  sendStep(step_answered::step_kind::Reserve, Effect.Worker, Effect.Request,
           &standin::worker_model::reserve);
}

void virtual_scheduler::perform(const send_start &Effect) {
  sendStep(step_answered::step_kind::Start, Effect.Worker, Effect.Request,
           &standin::worker_model::start);
}

void virtual_scheduler::perform(const send_release &Effect) {
  sendStep(step_answered::step_kind::Release, Effect.Worker, Effect.Request,
           &standin::worker_model::release);
}

template <typename Request, typename Act>
void virtual_scheduler::sendStep(step_answered::step_kind Kind,
                                 const worker_id &Worker, const Request &Body,
                                 Act ActOn) {
  Around.Network.call<worker_answer>(
      Name, Worker.Value,
      [=, this] {
        return (Around.FindWorker(Worker)->*ActOn)(Body, Around.Network.now());
      },
      [=, this](const call_result<worker_answer> &Result) {
        step_answered Answer;
        Answer.Kind = Kind;
        Answer.Attempt = Body.Attempt;
        Answer.Worker = Worker;
        Answer.Verdict = Result.Verdict;
        Answer.Reason = "no answer";
        if (Result.Value) {
          Answer.IsAccepted = Result.Value->IsAccepted;
          Answer.HighestEpoch = Result.Value->HighestEpoch;
          Answer.Reason = Result.Value->Reason;
        }
        post(std::move(Answer), Body.Epoch);
      });
}

void virtual_scheduler::perform(const send_renew &Effect) {
  const instant SentAt = Around.Network.now();
  const worker_id Worker = Effect.Worker;
  Around.Network.call<worker_report>(
      Name, Worker.Value,
      [this, Worker, Request = Effect.Request] {
        worker_report Report =
            Around.FindWorker(Worker)->renew(Request, Around.Network.now());
        if (Report.HighestEpoch == Request.Epoch)
          Around.OnRenewed(Worker, Request);
        return Report;
      },
      [this, SentAt, OfOrder = Effect.Request.Epoch](
          const call_result<worker_report> &Result) {
        if (Result.Value)
          post(worker_reported{*Result.Value, SentAt}, OfOrder);
      });
}

void virtual_scheduler::perform(const step_down &Effect) {
  HighestSeen = std::max(HighestSeen, Effect.HighestEpoch);
}

void virtual_scheduler::perform(const save_job &Effect) {
  if (Effect.Epoch != Epoch)
    return; // the leader key's value is that of the present epoch
  queued_write Write;
  Write.Epoch = Effect.Epoch;
  Write.Job = Effect.Record.Spec.Id;
  Write.Revision = Effect.Revision;
  Write.Key = jobKey(Effect.Record.DataCentre, Write.Job);
  Write.Value = printJobRecord(Effect.Record);
  Write.Transaction.Conditions.push_back(
      revision_is{Write.Key, Effect.Revision});
  Write.Transaction.Changes.push_back(put_key{Write.Key, Write.Value});
  enqueue(std::move(Write));
}

void virtual_scheduler::perform(const move_job &Effect) {
  if (Effect.Epoch != Epoch)
    return;
  queued_write Write;
  Write.Epoch = Effect.Epoch;
  Write.Job = Effect.Record.Spec.Id;
  Write.Revision = Effect.Revision;
  Write.Key = jobKey(Effect.From, Write.Job);
  const data_centre_id &To = Effect.Record.DataCentre;
  Write.Transaction.Conditions.push_back(
      revision_is{Write.Key, Effect.Revision});
  Write.Transaction.Changes.push_back(delete_key{Write.Key});
  Write.Transaction.Changes.push_back(
      put_key{jobKey(To, Write.Job), printJobRecord(Effect.Record)});
  Write.Transaction.Changes.push_back(
      put_key{jobIndexKey(Write.Job), To.Value});
  enqueue(std::move(Write));
}

void virtual_scheduler::enqueue(queued_write Write) {
  // A scheduler that no longer holds the leader key changes no job.
  Write.Transaction.Conditions.push_back(value_is{LeaderKey, LeaderToken});
  Queue.push_back(std::move(Write));
  if (std::exchange(IsDraining, true))
    return;
  after(GatherTime, [this] { drain(); });
}

void virtual_scheduler::drain() {
  std::vector<queued_write> Group;
  std::vector<store_transaction> Transactions;
  while (!Queue.empty() && Group.size() < MaxGroup) {
    Transactions.push_back(Queue.front().Transaction);
    Group.push_back(std::move(Queue.front()));
    Queue.pop_front();
  }
  Around.Store.commit(Name, std::move(Transactions),
                      [this, Group](const std::vector<store_write> &Results) {
                        bool HasFailed = false;
                        for (std::size_t I = 0; I < Group.size(); ++I) {
                          HasFailed |= static_cast<bool>(Results[I].Error);
                          settle(Group[I], Results[I]);
                        }
                        IsDraining = !Queue.empty();
                        if (IsDraining)
                          after(HasFailed ? OutageDelay : GatherTime,
                                [this] { drain(); });
                      });
}

void virtual_scheduler::settle(const queued_write &Write,
                               const store_write &Result) {
  if (!Result.Error && Result.IsApplied) {
    if (!Write.Value.empty())
      report(Write, job_saved::outcome::Saved, Result.Revision);
    return;
  }
  if (Result.Error && Result.Verdict == verdict::NotRun) {
    report(Write, job_saved::outcome::Unreachable, 0);
    return;
  }
  Around.Store.read(Name, Write.Key, [this, Write](const store_read &Read) {
    // A read older than the record is no evidence about it.
    if (Read.Error || Read.Revision < Write.Revision) {
      report(Write, job_saved::outcome::Unreachable, 0);
      return;
    }
    if (Read.Entries.empty()) {
      post(job_forgotten{Write.Job});
      return;
    }
    const store_entry &Entry = Read.Entries.front();
    if (Entry.Value == Write.Value) {
      report(Write, job_saved::outcome::Saved, Entry.ModRevision);
      return;
    }
    report(Write, job_saved::outcome::Conflict, 0);
    takeJob(Entry);
  });
}

void virtual_scheduler::report(const queued_write &Write,
                               job_saved::outcome Outcome,
                               std::int64_t Revision) {
  post(job_saved{Write.Job, Outcome, Revision}, Write.Epoch);
}

} // namespace galenastage::test
