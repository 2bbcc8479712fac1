#include "apps/scheduler/save_queue.hpp"

#include "apps/runtime/process.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace galenastage {
namespace {

constexpr std::size_t MaxBatchSize = 64; // transactions per call
constexpr milliseconds BatchDelay{5};    // wait for more writes before a call
constexpr milliseconds RetryDelay{500};  // after a failed call

} // namespace

save_queue::save_queue(asio::io_context &Context, store_client &Store,
                       std::function<void(epoch, scheduler_event_body)> OnEvent)
    : Context(Context), Store(Store), OnEvent(std::move(OnEvent)) {}

void save_queue::save(save_job Effect) {
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

void save_queue::move(move_job Effect) {
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

void save_queue::setFence(store_condition Condition) {
  Fence = std::move(Condition);
}

void save_queue::enqueue(queued_write Write) {
  Write.Transaction.Conditions.push_back(Fence);
  Queue.push_back(std::move(Write));
  if (IsDraining)
    return;
  IsDraining = true;
  asio::co_spawn(Context, drain(), asio::detached);
}

task<void> save_queue::drain() {
  while (!Queue.empty()) {
    co_await sleepFor(Context, BatchDelay);
    std::vector<queued_write> Batch;
    while (!Queue.empty() && Batch.size() < MaxBatchSize) {
      Batch.push_back(std::move(Queue.front()));
      Queue.pop_front();
    }
    std::vector<store_transaction> Transactions;
    Transactions.reserve(Batch.size());
    for (const queued_write &Write : Batch)
      Transactions.push_back(Write.Transaction);
    const std::vector<store_write> Results =
        co_await Store.commitGroup(std::move(Transactions));
    bool HasFailed = false;
    for (std::size_t I = 0; I < Batch.size(); ++I) {
      HasFailed |= static_cast<bool>(Results[I].Error);
      co_await resolveOutcome(std::move(Batch[I]), Results[I]);
    }
    if (HasFailed)
      co_await sleepFor(Context, RetryDelay);
  }
  IsDraining = false;
}

/// Determines the outcome of one write and reports it to the reducer.
task<void> save_queue::resolveOutcome(queued_write Write, store_write Result) {
  if (!Result.Error && Result.IsApplied) {
    if (!Write.Value.empty())
      report(Write, job_saved::outcome::Saved, Result.Revision);
    co_return; // the watch reports a move
  }
  if (Result.Error && Result.Verdict == verdict::NotRun) {
    report(Write, job_saved::outcome::Unreachable, 0);
    co_return;
  }
  // Refused, or the answer was lost: the stored record decides.
  const store_read Read = co_await Store.read(Write.Key);
  // A read that is older than the record says nothing about it.
  if (Read.Error || Read.Revision < Write.Revision) {
    report(Write, job_saved::outcome::Unreachable, 0);
    co_return;
  }
  if (Read.Entries.empty()) {
    OnEvent(Write.Epoch, job_forgotten{Write.Job});
    co_return;
  }
  const store_entry &Entry = Read.Entries.front();
  if (Entry.Value == Write.Value) {
    report(Write, job_saved::outcome::Saved, Entry.ModRevision);
    co_return;
  }
  report(Write, job_saved::outcome::Conflict, 0);
  if (auto Record = parseJobRecord(Entry.Value).Job)
    OnEvent(Write.Epoch, job_seen{std::move(*Record), Entry.ModRevision});
}

void save_queue::report(const queued_write &Write, job_saved::outcome Outcome,
                        std::int64_t Revision) {
  OnEvent(Write.Epoch, job_saved{Write.Job, Outcome, Revision});
}

} // namespace galenastage
