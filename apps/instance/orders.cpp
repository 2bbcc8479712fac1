#include "apps/instance/orders.hpp"

#include "apps/instance/backlog_record.hpp"
#include "apps/instance/keys.hpp"
#include "apps/instance/queue_lengths.hpp"
#include "apps/instance/speed_record.hpp"
#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"
#include "core/job/batch/records.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace galenastage {
namespace {

using namespace galenastage::batch;

constexpr milliseconds SaveRetryDelay{50};     // store rejects: rate limit
constexpr int SaveTries = 3;                   // then the reducer retries
constexpr std::size_t MaxGroupBytes = 262'144; // 0.3 s at 10 Mbit/s
constexpr int PublishTries = 2; // the second with a read revision

std::string_view name(order_outcome Outcome) {
  switch (Outcome) {
  case order_outcome::Accepted:
    return "accepted";
  case order_outcome::Refused:
    return "refused";
  case order_outcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace

orders::orders(asio::io_context &Context, platform::metadata_store &Store,
               platform::executor_client &Executors, leadership &Leadership,
               instance_metrics &Metrics, leadership::post_event Post,
               std::size_t MaxValueBytes)
    : Context(Context), Store(Store), Executors(Executors),
      Leadership(Leadership), Metrics(Metrics), Post(std::move(Post)),
      MaxValueBytes(MaxValueBytes) {}

void orders::execute(effect Effect) {
  const std::optional<std::uint64_t> Term = termOf(Effect);
  if (Term && *Term != Leadership.token())
    return; // the reducer has discarded the state of that term
  const auto Spawn = [this](task<void> Work) {
    asio::co_spawn(Context, std::move(Work), asio::detached);
  };
  std::visit(
      overloaded{
          [&](start_run &Order) { Spawn(start(std::move(Order))); },
          [&](stop_run &Order) { Spawn(stop(std::move(Order))); },
          [&](hold_executor &Order) { Spawn(hold(std::move(Order))); },
          [&](save_progress &Order) { Spawn(save(std::move(Order))); },
          [&](forget_job &Order) { Spawn(forget(std::move(Order))); },
          [&](publish_queue_lengths &Order) {
            Spawn(publish(Order.Token, published_record::QueueLengths,
                          keys::QueueLengths, printQueueLengths(Order.Queues)));
          },
          [&](publish_backlog &Order) {
            Spawn(publish(
                Order.Token, published_record::Backlog, keys::Backlog,
                printBacklog({Order.Token, Order.Number, Order.Backlog})));
          },
          [&](note_wait &Order) {
            Metrics.noteWait(Order.Organisation.Value, Order.Priority,
                             Order.Waited);
          },
          [&](save_speeds &Order) {
            Spawn(publish(Order.Token, published_record::Speeds, keys::Speeds,
                          printSpeeds(Order.Speeds)));
          },
          [&](write_log &Order) {
            Metrics.noteSchedulerEvent(Order.Line.Event->Name);
            writeLog(Order.Line);
          },
      },
      Effect);
}

task<void> orders::start(start_run Start) {
  const std::uint64_t Term = Start.To.Term;
  if (!Leadership.mayOrder(Term)) { // paused since it was decided
    Post(Term, start_answered{Start.To.Id, Start.Run, order_outcome::Refused,
                              "the leader's lease or knowledge has run out"});
    co_return;
  }
  const instant Sent = readClock();
  start_answered Answer = co_await Executors.start(std::move(Start));
  Metrics.noteOrder("start", name(Answer.Outcome), readClock() - Sent);
  Post(Term, std::move(Answer));
}

task<void> orders::stop(stop_run Stop) {
  const std::uint64_t Term = Stop.To.Term;
  const instant Sent = readClock();
  stop_answered Answer = co_await Executors.stop(std::move(Stop));
  Metrics.noteOrder("stop", Answer.IsAccepted ? "accepted" : "unknown",
                    readClock() - Sent);
  Post(Term, std::move(Answer));
}

task<void> orders::hold(hold_executor Hold) {
  const instant Sent = readClock();
  const std::uint64_t Term = Hold.To.Term;
  const milliseconds Wait = Hold.Wait;
  auto Answer = co_await Executors.hold(std::move(Hold));
  const bool IsAnswered = std::holds_alternative<runs_reported>(Answer);
  if (Wait.count() == 0 || !IsAnswered)
    Metrics.noteOrder("hold", IsAnswered ? "accepted" : "unknown",
                      readClock() - Sent);
  if (auto *Report = std::get_if<runs_reported>(&Answer))
    Post(Term, std::move(*Report));
  else
    Post(Term, std::get<hold_failed>(Answer));
}

/// Stores the records on condition that this instance still leads and that
/// their revisions are unchanged, so that a delayed write can't overwrite a
/// newer one. A record that the store refuses for good doesn't hold up others.
task<void> orders::save(save_progress Save) {
  const instant Begun = readClock();
  const std::uint64_t Term = Save.Token;
  progress_saved Answer{true};
  std::vector<record> Records;
  for (const saved_job &Job : Save.Jobs) {
    record Record{Job.Job, printProgress(Job.Progress)};
    if (Record.Value.size() > MaxValueBytes)
      Answer.Refused.push_back(
          {Job.Job, "it has " + std::to_string(Record.Value.size()) +
                        " bytes, value_bytes is " +
                        std::to_string(MaxValueBytes)});
    else
      Records.push_back(std::move(Record));
  }
  std::deque<std::vector<record>> Groups = groupRecords(std::move(Records));
  while (!Groups.empty()) {
    std::vector<record> Group = std::move(Groups.front());
    Groups.pop_front();
    const write_outcome Outcome = co_await saveTogether(Term, Group);
    if (Outcome == write_outcome::Failed)
      Answer.IsSaved = false;
    if (Outcome != write_outcome::Refused)
      continue;
    if (Group.size() > 1) // find out which of them
      for (record &Record : Group)
        Groups.push_front({std::move(Record)});
    else
      Answer.Refused.push_back(
          {Group.front().Job, "the store refuses its " +
                                  std::to_string(Group.front().Value.size()) +
                                  " bytes"});
  }
  if (!Answer.IsSaved && Term == Leadership.token())
    writeLog(events::SaveFailed, {{"jobs", std::to_string(Save.Jobs.size())}});
  Metrics.noteSave(Answer.IsSaved, readClock() - Begun);
  if (Term == Leadership.token())
    Post(Term, std::move(Answer));
}

/// Records that go into one transaction each. A large one goes alone, so that
/// it doesn't delay the others.
std::deque<std::vector<orders::record>>
orders::groupRecords(std::vector<record> Records) {
  std::deque<std::vector<record>> Groups;
  std::size_t Bytes = 0; // of the last group
  for (record &Record : Records) {
    Bytes += Record.Value.size();
    if (Groups.empty() || Bytes > MaxGroupBytes) {
      Bytes = Record.Value.size();
      Groups.emplace_back();
    }
    Groups.back().push_back(std::move(Record));
  }
  return Groups;
}

/// Stores the records in one transaction. A refused one is only tried again if
/// it is alone: a single answer may be a fault of the store.
task<write_outcome> orders::saveTogether(std::uint64_t Term,
                                         std::vector<record> Records) {
  write_outcome Outcome =
      Records.empty() ? write_outcome::Stored : write_outcome::Failed;
  for (int Try = 0; Try < SaveTries && Outcome != write_outcome::Stored;
       ++Try) {
    platform::store_change Change;
    Change.Conditions.push_back(leadership::fence(Term));
    for (const record &Record : Records) {
      const std::string Key = keys::progressKey(Record.Job);
      Change.Conditions.push_back(
          {Key, Leadership.progressRevision(Record.Job)});
      Change.Writes.push_back({Key, Record.Value, 0});
    }
    if (Term != Leadership.token())
      break;
    const platform::change_result Write =
        co_await Store.change(std::move(Change));
    if (Term != Leadership.token())
      break;
    Outcome = Write.Error == errc::StoreRefused ? write_outcome::Refused
                                                : write_outcome::Failed;
    if (!Write.Error && Write.IsApplied) {
      for (const record &Record : Records)
        Leadership.noteProgressRevision(Record.Job, Write.Revision);
      Outcome = write_outcome::Stored;
    } else if (!Write.Error) {
      if (!stillLeads(Term, Write.Current))
        break;
      if (refreshRevisions(Records, Write.Current))
        Outcome = write_outcome::Stored;
    } else {
      if (Outcome == write_outcome::Refused && Records.size() > 1)
        break;
      co_await sleepFor(Context, SaveRetryDelay);
    }
  }
  co_return Outcome;
}

/// After a failed condition: false, and the term has ended, if another instance
/// leads.
bool orders::stillLeads(std::uint64_t Term,
                        const std::vector<platform::store_item> &Current) {
  const bool StillLeads =
      std::ranges::any_of(Current, [&](const platform::store_item &Item) {
        return Item.Key == keys::Leader &&
               Item.Revision == leadership::fence(Term).Revision;
      });
  if (!StillLeads)
    Leadership.endTermOf(Term);
  return StillLeads;
}

/// Takes over the current revisions after a failed condition. True when all
/// records already hold the values to be written: an earlier try was applied
/// and its answer lost. Removes records of jobs that have been forgotten
/// meanwhile: they must not come into being again.
bool orders::refreshRevisions(
    std::vector<record> &Records,
    const std::vector<platform::store_item> &Current) {
  const auto Find = [&](const record &Record) {
    return std::ranges::find(Current, keys::progressKey(Record.Job),
                             &platform::store_item::Key);
  };
  std::erase_if(Records, [&](const record &Record) {
    return Find(Record) == Current.end() &&
           Leadership.progressRevision(Record.Job) != 0;
  });
  bool AreAllWritten = true;
  for (const record &Record : Records) {
    const auto Found = Find(Record);
    Leadership.noteProgressRevision(
        Record.Job, Found == Current.end() ? 0 : Found->Revision);
    AreAllWritten =
        AreAllWritten && Found != Current.end() && Found->Value == Record.Value;
  }
  return AreAllWritten;
}

/// Removes a job on condition that its progress is as this leader stored it: a
/// late write must not remove a new job that has the same id.
task<void> orders::forget(forget_job Forget) {
  const std::uint64_t Term = Forget.Token;
  platform::store_change Change;
  Change.Conditions = {
      leadership::fence(Term),
      {keys::progressKey(Forget.Job), Leadership.progressRevision(Forget.Job)}};
  Change.Removals = {keys::specKey(Forget.Job), keys::cancelKey(Forget.Job),
                     keys::progressKey(Forget.Job)};
  const platform::change_result Write =
      co_await Store.change(std::move(Change));
  if (Term != Leadership.token())
    co_return; // the next leader loads the job and removes it
  if (Write.Error)
    writeLog(events::SaveFailed,
             {{"job", Forget.Job.Value}, {"error", Write.Error.message()}});
  const bool IsGone = !Write.Error && !Write.IsApplied;
  if (IsGone && !stillLeads(Term, Write.Current))
    co_return;
  if (!Write.Error)
    Leadership.forget(Forget.Job);
  Post(Term, job_forgotten{Forget.Job, !Write.Error});
}

task<void> orders::publish(std::uint64_t Term, published_record Record,
                           std::string Key, std::string Value) {
  const write_outcome Outcome =
      co_await write(Term, std::move(Key), std::move(Value));
  if (Term == Leadership.token())
    Post(Term, record_published{Record, Outcome});
}

/// Replaces a record on condition that this instance still leads and that the
/// record is at the revision last seen: a write whose answer was lost may be
/// applied seconds later, but not after a newer one.
task<write_outcome> orders::write(std::uint64_t Term, std::string Key,
                                  std::string Value) {
  for (int Try = 0; Try < PublishTries && Term == Leadership.token(); ++Try) {
    platform::store_change Change;
    Change.Conditions.push_back(leadership::fence(Term));
    Change.Conditions.push_back({Key, Revisions[Key]});
    Change.Writes.push_back({Key, Value, 0});
    const platform::change_result Write =
        co_await Store.change(std::move(Change));
    if (Term != Leadership.token())
      break;
    if (Write.Error) {
      writeLog(events::SaveFailed,
               {{"record", Key}, {"error", Write.Error.message()}});
      co_return Write.Error == errc::StoreRefused ? write_outcome::Refused
                                                  : write_outcome::Failed;
    }
    if (Write.IsApplied) {
      Revisions[Key] = Write.Revision;
      co_return write_outcome::Stored;
    }
    if (!stillLeads(Term, Write.Current))
      break;
    const auto Found =
        std::ranges::find(Write.Current, Key, &platform::store_item::Key);
    Revisions[Key] = Found == Write.Current.end() ? 0 : Found->Revision;
  }
  co_return write_outcome::Failed;
}

} // namespace galenastage
