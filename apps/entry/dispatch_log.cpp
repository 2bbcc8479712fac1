#include "apps/entry/dispatch_log.hpp"

#include "apps/runtime/process.hpp"
#include "core/error.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>

namespace galenastage {
namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
// All records written within this interval share one lease. A record
// therefore lives between DispatchRecordLife and
// DispatchRecordLife + LeaseRotation.
constexpr seconds LeaseRotation{3'600};
constexpr int MaxReplaceAttempts = 3;

const std::string &keyOf(const store_change &Change) {
  return std::visit(
      [](const auto &Typed) -> const std::string & { return Typed.Key; },
      Change);
}

/// A write in the queue of the group commit.
struct pending_write {
  pending_write(asio::io_context &Context, store_transaction Transaction)
      : Transaction(std::move(Transaction)), Done(Context) {}

  store_transaction Transaction;
  asio::steady_timer Done; // cancelled once Result is set
  std::optional<store_write> Result;
  bool IsCancelled = false; // the caller gave up; dropped unless already sent
  int AttemptsLeft = 1;
};
using pending_write_ptr = std::shared_ptr<pending_write>;

} // namespace

struct dispatch_log::state : std::enable_shared_from_this<state> {
  state(asio::io_context &Context, const endpoint &Endpoint,
        std::string LocalAddress, dispatch_log_settings Settings)
      : Context(Context), Store(Context, Endpoint, std::move(LocalAddress)),
        Settings(Settings) {}

  // Group commit

  void add(const pending_write_ptr &Write) {
    Pending.push_back(Write);
    ++Unfinished;
    if (IsWriting)
      return;
    IsWriting = true;
    asio::co_spawn(Context, writeAll(), asio::detached);
  }

  task<void> writeAll() {
    auto Self = shared_from_this();
    while (!Pending.empty()) {
      co_await waitForCallBudget();
      std::vector<pending_write_ptr> Group = takeGroup();
      if (!Group.empty())
        co_await writeGroup(std::move(Group));
    }
    IsWriting = false;
  }

  /// Rate limiter for store calls (generic cell rate algorithm): each call
  /// advances the time at which the full burst is available again.
  task<void> waitForCallBudget() {
    const milliseconds Interval(1'000 / Settings.WritesPerSecond);
    const instant Earliest = FullBurstAt - Interval * (Settings.Burst - 1);
    const milliseconds Wait = Earliest - readClock();
    if (Wait > milliseconds(0))
      co_await sleepFor(Context, Wait);
    FullBurstAt = std::max(FullBurstAt, readClock()) + Interval;
  }

  /// Takes the oldest writes, at most one for each key: a store transaction
  /// must not change a key twice.
  std::vector<pending_write_ptr> takeGroup() {
    std::vector<pending_write_ptr> Group;
    std::deque<pending_write_ptr> Rest;
    std::set<std::string> Keys;
    for (pending_write_ptr &Write : Pending) {
      if (Write->IsCancelled) {
        --Unfinished;
        continue;
      }
      const bool IsNewKey =
          Keys.insert(keyOf(Write->Transaction.Changes.front())).second;
      const bool Fits = IsNewKey && Group.size() < Settings.GroupSize;
      (Fits ? static_cast<void>(Group.push_back(std::move(Write)))
            : static_cast<void>(Rest.push_back(std::move(Write))));
    }
    Pending = std::move(Rest);
    return Group;
  }

  task<void> writeGroup(std::vector<pending_write_ptr> Group) {
    const std::int64_t Lease = co_await currentLease();
    if (Lease == 0) { // without a lease the records would never expire
      store_write Failed;
      Failed.Error = errc::StoreUnavailable;
      for (const pending_write_ptr &Write : Group)
        finish(Write, Failed);
      co_return;
    }
    std::vector<store_transaction> Transactions;
    Transactions.reserve(Group.size());
    for (const pending_write_ptr &Write : Group)
      Transactions.push_back(withLease(Write->Transaction, Lease));
    std::vector<store_write> Writes = co_await Store.commitGroup(Transactions);
    if (!Writes.empty() && Writes.front().Error)
      LeaseId = 0; // the store may have lost the lease; take a new one
    if (isAmbiguous(Writes))
      Writes = co_await readBack(Transactions);
    for (std::size_t I = 0; I < Group.size(); ++I)
      finish(Group[I], Writes[I]);
  }

  static bool isAmbiguous(const std::vector<store_write> &Writes) {
    return std::ranges::any_of(Writes, [](const store_write &Write) {
      return Write.Error && Write.Verdict == verdict::Unknown;
    });
  }

  /// After a lost response, checks in one call which of the writes were
  /// applied.
  task<std::vector<store_write>>
  readBack(const std::vector<store_transaction> &Written) {
    std::vector<store_transaction> Checks;
    Checks.reserve(Written.size());
    for (const store_transaction &Transaction : Written) {
      store_transaction Check;
      const store_change &Change = Transaction.Changes.front();
      if (const auto *Put = std::get_if<put_key>(&Change))
        Check.Conditions.push_back(value_is{Put->Key, Put->Value});
      else
        Check.Conditions.push_back(key_missing{keyOf(Change)});
      Checks.push_back(std::move(Check));
    }
    std::vector<store_write> Results =
        co_await Store.commitGroup(std::move(Checks));
    co_return Results;
  }

  static store_transaction withLease(store_transaction Transaction,
                                     std::int64_t Lease) {
    for (store_change &Change : Transaction.Changes)
      if (auto *Put = std::get_if<put_key>(&Change))
        Put->Lease = Lease;
    return Transaction;
  }

  void finish(const pending_write_ptr &Write, const store_write &Result) {
    --Unfinished;
    --Write->AttemptsLeft;
    if (Result.Error && Write->AttemptsLeft > 0) {
      add(Write);
      return;
    }
    Write->Result = Result;
    Write->Done.cancel();
  }

  /// The lease for new records; 0 when the store grants none.
  task<std::int64_t> currentLease() {
    const instant Now = readClock();
    if (LeaseId != 0 && Now < LeaseGrantedAt + LeaseRotation)
      co_return LeaseId;
    const store_lease Lease =
        co_await Store.grantLease(DispatchRecordLife + LeaseRotation);
    LeaseId = Lease.Error ? 0 : Lease.Id;
    LeaseGrantedAt = Now;
    co_return LeaseId;
  }

  // Operations requested by traffic threads, run on this I/O thread

  task<record_result> create(std::string Key, dispatch_record Record,
                             instant Deadline) {
    auto Self = shared_from_this();
    store_transaction Transaction;
    Transaction.Conditions.push_back(key_missing{Key});
    Transaction.Changes.push_back(put_key{Key, printDispatchRecord(Record)});
    const auto Write =
        std::make_shared<pending_write>(Context, std::move(Transaction));
    Write->Done.expires_after(
        std::max(Deadline - readClock(), milliseconds(0)));
    add(Write);
    if (!Write->Result)
      co_await Write->Done.async_wait(AsTuple);
    const bool IsTimedOut = !Write->Result;
    if (IsTimedOut || Write->Result->Error) {
      // The write may still be applied. The request won't be dispatched, so
      // the record is removed.
      Write->IsCancelled = true;
      if (IsTimedOut || Write->Result->Verdict != verdict::NotRun)
        replace(Key, Record, std::nullopt);
      const errc Reason =
          IsTimedOut ? errc::DeadlineExceeded : errc::StoreUnavailable;
      co_return record_result{Reason, std::nullopt};
    }
    if (Write->Result->IsApplied)
      co_return record_result{{}, std::move(Record)};
    record_result Found = co_await read(std::move(Key));
    co_return Found;
  }

  task<record_result> read(std::string Key) {
    auto Self = shared_from_this();
    const store_read Read = co_await Store.read(std::move(Key));
    record_result Result;
    Result.Error = Read.Error;
    if (Read.Error)
      co_return Result;
    if (!Read.Entries.empty())
      Result.Found = parseDispatchRecord(Read.Entries.front().Value);
    if (!Result.Found)
      Result.Error = errc::StoreUnavailable; // removed meanwhile, or malformed
    co_return Result;
  }

  void replace(const std::string &Key, const dispatch_record &Old,
               const std::optional<dispatch_record> &New) {
    store_transaction Transaction;
    Transaction.Conditions.push_back(value_is{Key, printDispatchRecord(Old)});
    if (New)
      Transaction.Changes.push_back(put_key{Key, printDispatchRecord(*New)});
    else
      Transaction.Changes.push_back(delete_key{Key});
    const auto Write =
        std::make_shared<pending_write>(Context, std::move(Transaction));
    Write->AttemptsLeft = MaxReplaceAttempts;
    add(Write);
  }

  asio::io_context &Context;
  store_client Store;
  dispatch_log_settings Settings;
  std::deque<pending_write_ptr> Pending;
  bool IsWriting = false;
  std::atomic<int> Unfinished{0};
  instant FullBurstAt;
  std::int64_t LeaseId = 0;
  instant LeaseGrantedAt;
};

dispatch_log::dispatch_log(asio::io_context &Context, const endpoint &Store,
                           std::string LocalAddress,
                           dispatch_log_settings Settings)
    : State(std::make_shared<state>(Context, Store, std::move(LocalAddress),
                                    Settings)) {}

dispatch_log::~dispatch_log() = default;

task<dispatch_log::record_result> dispatch_log::create(std::string Key,
                                                       dispatch_record Record,
                                                       instant Deadline) {
  record_result Result = co_await asio::co_spawn(
      State->Context,
      State->create(std::move(Key), std::move(Record), Deadline),
      asio::use_awaitable);
  co_return Result;
}

task<dispatch_log::record_result> dispatch_log::read(std::string Key) {
  record_result Result = co_await asio::co_spawn(
      State->Context, State->read(std::move(Key)), asio::use_awaitable);
  co_return Result;
}

void dispatch_log::replace(std::string Key, dispatch_record Old,
                           std::optional<dispatch_record> New) {
  // Counted before it is posted, so that isIdle() sees it during a shutdown.
  ++State->Unfinished;
  asio::post(State->Context, [State = State, Key = std::move(Key),
                              Old = std::move(Old), New = std::move(New)] {
    State->replace(Key, Old, New);
    --State->Unfinished;
  });
}

std::uint64_t dispatch_log::calls() const { return State->Store.calls(); }

bool dispatch_log::isIdle() const { return State->Unfinished == 0; }

} // namespace galenastage
