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
            Spawn(publish(std::move(Order)));
          },
          [&](publish_backlog &Order) { Spawn(publish(std::move(Order))); },
          [&](note_wait &Order) {
            Metrics.noteWait(Order.Organisation.Value, Order.Priority,
                             Order.Waited);
          },
          [&](save_speeds &Order) { Spawn(saveSpeeds(std::move(Order))); },
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
                              "the leader's lease or knowledge has run out"});
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

task<void> orders::forget(forget_job Forget) {
  platform::store_change Change;
  Change.Conditions.push_back(leadership::fence(Forget.Token));
  Change.Removals = {keys::specKey(Forget.Job), keys::cancelKey(Forget.Job),
                     keys::progressKey(Forget.Job)};
  const platform::change_result Write =
      co_await Store.change(std::move(Change));
  if (Write.Error) // the next leader loads the job and removes it
    writeLog(events::SaveFailed,
             {{"job", Forget.Job.Value}, {"error", Write.Error.message()}});
  Leadership.forget(Forget.Job);
}

task<void> orders::publish(publish_queue_lengths Publish) {
  platform::store_change Change;
  Change.Conditions.push_back(leadership::fence(Publish.Token));
  Change.Writes.push_back(
      {keys::QueueLengths, printQueueLengths(Publish.Queues), 0});
  const platform::change_result Write =
      co_await Store.change(std::move(Change));
  if (Write.Error) // the next change of a length publishes all again
    writeLog(events::SaveFailed,
             {{"record", "queue lengths"}, {"error", Write.Error.message()}});
}

task<void> orders::publish(publish_backlog Publish) {
  platform::store_change Change;
  Change.Conditions.push_back(leadership::fence(Publish.Token));
  Change.Writes.push_back(
      {keys::Backlog,
       printBacklog({Publish.Token, Publish.Number, Publish.Backlog}), 0});
  const platform::change_result Write =
      co_await Store.change(std::move(Change));
  if (Write.Error) // while work waits, the next publication follows soon
    writeLog(events::SaveFailed,
             {{"record", "backlog"}, {"error", Write.Error.message()}});
}

task<void> orders::saveSpeeds(save_speeds Save) {
  platform::store_change Change;
  Change.Conditions.push_back(leadership::fence(Save.Token));
  Change.Writes.push_back({keys::Speeds, printSpeeds(Save.Speeds), 0});
  const platform::change_result Write =
      co_await Store.change(std::move(Change));
  if (Write.Error) // the next observation stores all again
    writeLog(events::SaveFailed,
             {{"record", "speeds"}, {"error", Write.Error.message()}});
}

} // namespace galenastage
