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

constexpr milliseconds SaveRetryDelay{50}; // store rejects: rate limit
constexpr int SaveTries = 3;               // then the reducer retries
constexpr int PublishTries = 2;            // the second with a read revision

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
               instance_metrics &Metrics, leadership::post_event Post)
    : Context(Context), Store(Store), Executors(Executors),
      Leadership(Leadership), Metrics(Metrics), Post(std::move(Post)) {}

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
  const std::uint64_t Term = Start.To.Token;
  if (!Leadership.mayOrder(Term)) { // paused since it was decided
    Post(Term, start_answered{Start.To.Id, Start.Run, order_outcome::Refused,
                              "the leader's lease has run out"});
    co_return;
  }
  const instant Sent = readClock();
  start_answered Answer = co_await Executors.start(std::move(Start));
  Metrics.noteOrder("start", name(Answer.Outcome), readClock() - Sent);
  Post(Term, std::move(Answer));
}

task<void> orders::stop(stop_run Stop) {
  const std::uint64_t Term = Stop.To.Token;
  const instant Sent = readClock();
  stop_answered Answer = co_await Executors.stop(std::move(Stop));
  Metrics.noteOrder("stop", Answer.IsAccepted ? "accepted" : "unknown",
                    readClock() - Sent);
  Post(Term, std::move(Answer));
}

task<void> orders::hold(hold_executor Hold) {
  const instant Sent = readClock();
  const std::uint64_t Term = Hold.To.Token;
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
/// newer one.
task<void> orders::save(save_progress Save) {
  const instant Begun = readClock();
  const std::uint64_t Term = Save.Token;
  std::vector<std::string> Values;
  for (const saved_job &Job : Save.Jobs)
    Values.push_back(printProgress(Job.Progress));
  bool IsSaved = Save.Jobs.empty();
  for (int Try = 0; Try < SaveTries && !IsSaved; ++Try) {
    if (Term != Leadership.token())
      break;
    platform::store_change Change;
    Change.Conditions.push_back(leadership::fence(Term));
    for (std::size_t I = 0; I < Save.Jobs.size(); ++I) {
      const job_id &Job = Save.Jobs[I].Job;
      Change.Conditions.push_back(
          {keys::progressKey(Job), Leadership.progressRevision(Job)});
      Change.Writes.push_back({keys::progressKey(Job), Values[I], 0});
    }
    const platform::change_result Write =
        co_await Store.change(std::move(Change));
    if (Term != Leadership.token())
      break;
    if (!Write.Error && Write.IsApplied) {
      for (const saved_job &Job : Save.Jobs)
        Leadership.noteProgressRevision(Job.Job, Write.Revision);
      IsSaved = true;
    } else if (!Write.Error) {
      const bool StillLeads = std::ranges::any_of(
          Write.Current, [&](const platform::store_item &Item) {
            return Item.Key == keys::Leader &&
                   Item.Revision == leadership::fence(Term).Revision;
          });
      if (!StillLeads) {
        Leadership.endTermOf(Term);
        break;
      }
      IsSaved = refreshRevisions(Save, Values, Write.Current);
    } else {
      co_await sleepFor(Context, SaveRetryDelay);
    }
  }
  if (!IsSaved && Term == Leadership.token())
    writeLog(events::SaveFailed, {{"jobs", std::to_string(Save.Jobs.size())}});
  Metrics.noteSave(IsSaved, readClock() - Begun);
  if (Term == Leadership.token())
    Post(Term, progress_saved{IsSaved});
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
/// and its answer lost.
bool orders::refreshRevisions(
    const save_progress &Save, const std::vector<std::string> &Values,
    const std::vector<platform::store_item> &Current) {
  bool AreAllWritten = true;
  for (std::size_t I = 0; I < Save.Jobs.size(); ++I) {
    const std::string Key = keys::progressKey(Save.Jobs[I].Job);
    const auto Found =
        std::ranges::find(Current, Key, &platform::store_item::Key);
    Leadership.noteProgressRevision(
        Save.Jobs[I].Job, Found == Current.end() ? 0 : Found->Revision);
    AreAllWritten =
        AreAllWritten && Found != Current.end() && Found->Value == Values[I];
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
