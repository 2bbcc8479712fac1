#include "apps/instance/leadership.hpp"

#include "apps/instance/keys.hpp"
#include "apps/instance/speed_record.hpp"
#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"
#include "core/error.hpp"
#include "core/job/batch/records.hpp"
#include "platform/wire.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace galenastage {
namespace {

using namespace galenastage::batch;

constexpr milliseconds ValidityMargin{200}; // network delay, late timers
constexpr milliseconds RenewInterval{200};  // five tries before ValidUntil
constexpr milliseconds RetryDelay{200};     // after a failed call
// A standby detects the key's removal by its watch. This timeout bounds the
// delay when the watch's connection has stalled.
constexpr milliseconds StandbyWatchTimeout{2'000};
constexpr milliseconds JobsWatchTimeout{2'000};
// Less than the 2 s after which no run may start on a draining executor.
constexpr milliseconds ListInterval{700};

/// The address in the value of the leader's key, "NAME NONCE DELAY_MS
/// ADDRESS:PORT".
std::string_view addressIn(std::string_view Value) {
  return Value.substr(Value.rfind(' ') + 1);
}

/// The leader's campaign delay in the value of its key. Nullopt: written by an
/// earlier program, "NAME NONCE ADDRESS:PORT".
std::optional<milliseconds> delayIn(std::string_view Value) {
  const bool IsEarlier = std::ranges::count(Value, ' ') < 3;
  const auto Parsed = IsEarlier
                          ? std::nullopt
                          : parseCandidate(Value.substr(0, Value.rfind(' ')));
  return Parsed ? std::optional(Parsed->CampaignDelay) : std::nullopt;
}

} // namespace

milliseconds campaignDelay(double Cores, double LinkMbps) {
  constexpr double FullCores = 0.5;
  constexpr double FullMbps = 100;
  constexpr milliseconds PerHalvingOfCores{150};
  constexpr milliseconds PerHalvingOfLink{300};
  const auto Halvings = [](double Full, double Has) {
    return Has <= 0 || Has >= Full ? 0.0 : std::log2(Full / Has);
  };
  return std::chrono::duration_cast<milliseconds>(
      PerHalvingOfCores * Halvings(FullCores, Cores) +
      PerHalvingOfLink * Halvings(FullMbps, LinkMbps));
}

leadership::leadership(asio::io_context &Context,
                       platform::metadata_store &Store, std::string Instance,
                       endpoint Forward, milliseconds LeaseLife,
                       milliseconds CampaignDelay, post_event Post,
                       handover_settings NewHandover)
    : Context(Context), Store(Store), Instance(std::move(Instance)),
      Forward(std::move(Forward)), LeaseLife(LeaseLife),
      CampaignDelay(CampaignDelay), Post(std::move(Post)),
      Handover(NewHandover),
      Candidacy(Context, Store, {this->Instance, CampaignDelay}, Handover) {}

platform::key_condition leadership::fence(std::uint64_t Term) {
  return {keys::Leader, static_cast<std::int64_t>(Term)};
}

bool leadership::mayOrder(std::uint64_t Term) const {
  return isCurrent(Term) && readClock() < ValidUntil;
}

std::int64_t leadership::progressRevision(const job_id &Job) const {
  const auto Found = ProgressRevisions.find(Job);
  return Found == ProgressRevisions.end() ? 0 : Found->second;
}

void leadership::noteProgressRevision(const job_id &Job,
                                      std::int64_t Revision) {
  ProgressRevisions[Job] = Revision;
}

task<void> leadership::run() {
  asio::co_spawn(Context, Candidacy.run(), asio::detached);
  bool HasWaited = false;
  while (!IsResigning) {
    const platform::item_read Key = co_await Store.read(keys::Leader);
    if (Key.Error) {
      co_await sleepFor(Context, RetryDelay);
      continue;
    }
    if (!Key.Item && !HasWaited && CampaignDelay.count() > 0) {
      HasWaited = true;
      co_await sleepFor(Context, CampaignDelay);
      continue;
    }
    HasWaited = false;
    noteLeaderKey(Key.Item);
    if (Key.Item && !isOwnKey(Key.Item->Value)) {
      const platform::watch_result Watch =
          co_await Store.watch(keys::Leader, Key.Revision, StandbyWatchTimeout);
      if (Watch.Error)
        co_await sleepFor(Context, RetryDelay);
      continue;
    }
    const bool HasAcquired =
        co_await tryAcquireKey(Key.Item ? Key.Item->Revision : 0);
    if (HasAcquired)
      co_await lead();
  }
}

void leadership::noteLeaderKey(const std::optional<platform::store_item> &Key) {
  const bool IsOther = Key && !isOwnKey(Key->Value);
  Leader = IsOther ? parseEndpoint(addressIn(Key->Value)) : std::nullopt;
  Candidacy.noteLeader(IsOther ? delayIn(Key->Value) : std::nullopt);
}

/// Whether the leader's key was written by this instance, before a restart or
/// in an earlier term. This process is bound to the address in it, so no other
/// process can still be leading under that key.
bool leadership::isOwnKey(const std::string &Value) const {
  return Value.starts_with(Instance + " ") &&
         addressIn(Value) == printEndpoint(Forward);
}

/// Writes the leader's key if its revision is still KeyRevision (0: if the key
/// doesn't exist). Returns whether this instance now leads.
task<bool> leadership::tryAcquireKey(std::int64_t KeyRevision) {
  const instant RequestedAt = readClock();
  const platform::lease_result Granted = co_await Store.grantLease(LeaseLife);
  if (Granted.Error) {
    co_await sleepFor(Context, RetryDelay);
    co_return false;
  }
  const std::string Value = Instance + " " + randomHex(16) + " " +
                            std::to_string(CampaignDelay.count()) + " " +
                            printEndpoint(Forward);
  platform::store_change Change;
  Change.Conditions.push_back({keys::Leader, KeyRevision});
  Change.Writes.push_back({keys::Leader, Value, Granted.Id});
  const platform::change_result Write = co_await Store.change(Change);
  std::int64_t Revision = Write.IsApplied && !Write.Error ? Write.Revision : 0;
  if (Write.Error && Write.Verdict != verdict::NotRun) {
    const platform::item_read Key = co_await Store.read(keys::Leader);
    if (Key.Item && Key.Item->Value == Value)
      Revision = Key.Item->Revision;
  }
  if (Revision == 0 || IsResigning) {
    co_await Store.endLease(Granted.Id);
    co_return false;
  }
  Lease = Granted.Id;
  Token = static_cast<std::uint64_t>(Revision);
  ValidUntil = RequestedAt + Granted.Life - ValidityMargin;
  co_return true;
}

task<void> leadership::lead() {
  const std::uint64_t Term = Token;
  writeLog(events::LeadershipGained, {{"token", std::to_string(Term)}});
  ProgressRevisions.clear();
  IsHistoryMissing = false;
  IsCatchingUp = false;
  LeadsSince = readClock();
  LastJobAt = LeadsSince;
  Post(Term, leadership_gained{Term, ValidUntil});
  asio::co_spawn(Context, renew(Term), asio::detached);
  bool IsLoaded = false;
  while (isCurrent(Term) && !IsLoaded) {
    IsLoaded = co_await loadJobs(Term);
    if (!IsLoaded)
      co_await sleepFor(Context, RetryDelay);
  }
  if (!isCurrent(Term))
    co_return;
  Post(Term, recovery_finished{});
  asio::co_spawn(Context, listExecutors(Term), asio::detached);
  asio::co_spawn(Context, watchCandidate(Term), asio::detached);
  co_await watchJobs(Term);
}

/// Posts every stored job and cancellation; false when the store couldn't be
/// read.
task<bool> leadership::loadJobs(std::uint64_t Term) {
  const bool IsListed = co_await listExecutorsOnce(Term);
  if (!IsListed)
    co_return false;
  const platform::range_read Requests =
      co_await Store.readPrefix(keys::Requests);
  if (Requests.Error)
    co_return false;
  const platform::range_read Known = co_await Store.readPrefix(keys::Progress);
  if (Known.Error)
    co_return false;
  const platform::item_read Speeds = co_await Store.read(keys::Speeds);
  if (Speeds.Error) // they are learned again
    writeLog(events::StoreUnreachable, {{"call", "read of executor speeds"},
                                        {"error", Speeds.Error.message()}});
  else if (Speeds.Item)
    Post(Term, speeds_found{parseSpeeds(Speeds.Item->Value)});
  JobsRevision = Requests.Revision;
  std::map<std::string, const platform::store_item *> Progress;
  for (const platform::store_item &Item : Known.Items)
    Progress[Item.Key] = &Item;
  for (const platform::store_item &Item : Requests.Items) {
    if (Item.Key.ends_with(keys::CancelSuffix))
      continue;
    const job_id Job(Item.Key.substr(std::string_view(keys::Requests).size()));
    const auto Found = Progress.find(keys::progressKey(Job));
    if (Found != Progress.end())
      ProgressRevisions.try_emplace(Job, Found->second->Revision);
    postStoredItem(Term, Item,
                   Found == Progress.end() ? "" : Found->second->Value);
  }
  for (const platform::store_item &Item : Requests.Items)
    if (Item.Key.ends_with(keys::CancelSuffix))
      postStoredItem(Term, Item, "");
  co_return true;
}

/// Posts a stored job or cancellation to the reducer.
void leadership::postStoredItem(std::uint64_t Term,
                                const platform::store_item &Item,
                                const std::string &Progress) {
  std::string Name = Item.Key.substr(std::string_view(keys::Requests).size());
  if (Name.ends_with(keys::CancelSuffix)) {
    Name.resize(Name.size() - keys::CancelSuffix.size());
    Post(Term, cancel_requested{job_id(Name)});
    return;
  }
  auto Spec = parseSpec(Item.Value);
  if (Spec.Error) {
    writeLog(events::JobUnreadable, {{"job", Name}, {"reason", Spec.Reason}});
    return;
  }
  job_found Found{std::move(Spec.Record), {}};
  if (!Progress.empty()) {
    auto Parsed = parseProgress(Progress, Found.Spec);
    if (Parsed.Error) {
      writeLog(events::JobUnreadable,
               {{"job", Name}, {"reason", Parsed.Reason}});
      return;
    }
    Found.Progress = std::move(Parsed.Record);
  }
  Post(Term, std::move(Found));
}

/// Sends renewals at a fixed interval without waiting for the answers, because
/// any of them may be lost or delayed.
task<void> leadership::renew(std::uint64_t Term) {
  while (isCurrent(Term)) {
    co_await sleepFor(Context, RenewInterval);
    if (!isCurrent(Term))
      co_return;
    if (readClock() >= ValidUntil) {
      endTerm("the lease could not be renewed in time");
      co_return;
    }
    asio::co_spawn(Context, renewOnce(Term), asio::detached);
  }
}

task<void> leadership::renewOnce(std::uint64_t Term) {
  const instant SentAt = readClock();
  const platform::lease_result Kept = co_await Store.keepLease(Lease);
  if (!isCurrent(Term))
    co_return;
  if (Kept.Error == errc::NotFound) {
    endTerm("the lease has ended");
    co_return;
  }
  if (Kept.Error)
    co_return; // later renewals may succeed; renew() checks ValidUntil
  ValidUntil = std::max(ValidUntil, SentAt + Kept.Life - ValidityMargin);
  Post(Term, leadership_extended{ValidUntil});
}

task<void> leadership::watchJobs(std::uint64_t Term) {
  while (isCurrent(Term)) {
    const instant Sent = readClock();
    const platform::watch_result Watch =
        co_await Store.watch(keys::Requests, JobsRevision, JobsWatchTimeout);
    if (!isCurrent(Term))
      co_return;
    if (Watch.Error == errc::NotFound) {
      co_await skipLostHistory(Term);
      continue;
    }
    if (Watch.Error) {
      writeLog(events::WatchFailed,
               {{"watch", "jobs"},
                {"call", "watch"},
                {"error", Watch.Error.message()},
                {"took_ms", std::to_string((readClock() - Sent).count())},
                {"revision", std::to_string(JobsRevision)}});
      const bool HasWaited = Watch.Error == errc::DeadlineExceeded;
      if (!HasWaited)
        co_await sleepFor(Context, RetryDelay);
      continue;
    }
    JobsRevision = Watch.Revision;
    if (!Watch.Changes.empty())
      LastJobAt = readClock();
    for (const platform::item_change &Change : Watch.Changes)
      if (!Change.IsRemoved)
        postNewItem(Term, Change.Item);
  }
}

/// Goes on from the store's current revision, and reads in the background what
/// the lost history contained: a range of all jobs takes long, and jobs that
/// arrive meanwhile must not wait for it.
task<void> leadership::skipLostHistory(std::uint64_t Term) {
  const platform::item_read Key = co_await Store.read(keys::Leader);
  if (Key.Error || !isCurrent(Term)) {
    co_await sleepFor(Context, RetryDelay);
    co_return;
  }
  IsHistoryMissing = true;
  if (!IsCatchingUp) {
    IsCatchingUp = true;
    GapFrom = JobsRevision;
    asio::co_spawn(Context, catchUp(Term), asio::detached);
  }
  JobsRevision = Key.Revision;
}

task<void> leadership::catchUp(std::uint64_t Term) {
  while (isCurrent(Term) && IsHistoryMissing) {
    IsHistoryMissing = false; // set again if more is lost during the read
    const platform::range_read Range =
        co_await Store.readPrefix(keys::Requests);
    if (!isCurrent(Term))
      break;
    // Older items were posted before. One of them may have been forgotten
    // since this range was read, and must not look like a new job.
    for (const platform::store_item &Item : Range.Items)
      if (Item.Revision > GapFrom)
        postNewItem(Term, Item);
    if (!Range.Error)
      continue;
    IsHistoryMissing = true;
    co_await sleepFor(Context, RetryDelay);
  }
  if (isCurrent(Term)) // a later term has a read of its own
    IsCatchingUp = false;
}

/// Posts a job that was stored since this term began, or a cancellation.
void leadership::postNewItem(std::uint64_t Term,
                             const platform::store_item &Item) {
  if (Item.Key.ends_with(keys::CancelSuffix)) {
    postStoredItem(Term, Item, "");
    return;
  }
  const job_id Job(Item.Key.substr(std::string_view(keys::Requests).size()));
  // The job and its progress record have the same revision: both are written
  // in one transaction.
  const bool IsNew = ProgressRevisions.try_emplace(Job, Item.Revision).second;
  if (IsNew)
    postStoredItem(Term, Item, "");
}

task<bool> leadership::listExecutorsOnce(std::uint64_t Term) {
  const platform::range_read Range = co_await Store.readPrefix(
      platform::ExecutorPrefix, platform::unreadable_items::AreSkipped);
  if (Range.Error)
    co_return false;
  executors_listed Listed;
  std::map<std::string, std::string> Ignored; // by key
  const auto Ignore = [&](const std::string &Key, const std::string &Reason) {
    const auto Known = IgnoredEntries.find(Key);
    if (Known == IgnoredEntries.end() || Known->second != Reason)
      writeLog(events::EntryIgnored, {{"entry", Key}, {"reason", Reason}});
    Ignored.emplace(Key, Reason);
  };
  for (const std::string &Key : Range.Skipped)
    Ignore(Key, "the value can't be decoded");
  for (const platform::store_item &Item : Range.Items) {
    const std::string Id =
        Item.Key.substr(std::string_view(platform::ExecutorPrefix).size());
    auto Parsed = platform::parseExecutor(Id, Item.Value);
    if (Parsed.Result)
      Listed.Executors.push_back(std::move(*Parsed.Result));
    else
      Ignore(Item.Key, Parsed.Reason);
  }
  IgnoredEntries = std::move(Ignored);
  Post(Term, std::move(Listed));
  co_return true;
}

task<void> leadership::listExecutors(std::uint64_t Term) {
  while (isCurrent(Term)) {
    co_await sleepFor(Context, ListInterval);
    if (isCurrent(Term))
      co_await listExecutorsOnce(Term);
  }
}

/// Resigns in favour of a larger instance, at a quiet moment.
task<void> leadership::watchCandidate(std::uint64_t Term) {
  const bool MayBeSmaller = isLarger(milliseconds(0), CampaignDelay, Handover);
  std::int64_t Revision = 0; // of the candidate's key
  instant Seen{};
  while (MayBeSmaller && isCurrent(Term)) {
    co_await sleepFor(Context, Handover.KeepInterval);
    if (!isCurrent(Term))
      co_return;
    const platform::item_read Key = co_await Store.read(keys::Candidate);
    if (!isCurrent(Term))
      co_return;
    const instant Now = readClock();
    const std::int64_t Found = Key.Item ? Key.Item->Revision : 0;
    if (std::exchange(Revision, Found) != Found)
      Seen = Now;
    const auto Candidate =
        Key.Item ? parseCandidate(Key.Item->Value) : std::nullopt;
    if (!Candidate)
      continue;
    const handover_view View{CampaignDelay, Candidate->CampaignDelay,
                             Now - Seen, Now - LeadsSince, Now - LastJobAt};
    if (!isHandoverDue(View, Handover))
      continue;
    co_await handOver(Candidate->Name);
    co_return;
  }
}

/// Any standby may follow; the largest campaigns first.
task<void> leadership::handOver(std::string Candidate) {
  const std::int64_t Ended = Lease;
  endTerm("handed over, " + Candidate + " is larger");
  co_await endLease(Ended);
}

void leadership::endTerm(std::string_view Cause) {
  if (Token == 0)
    return;
  writeLog(events::LeadershipLost,
           {{"token", std::to_string(Token)}, {"cause", std::string(Cause)}});
  const std::uint64_t Term = std::exchange(Token, 0);
  Post(Term, leadership_lost{});
}

void leadership::endTermOf(std::uint64_t OldToken) {
  if (OldToken == Token)
    endTerm("another instance leads");
}

task<void> leadership::resign() {
  IsResigning = true;
  Candidacy.stop();
  if (Token == 0)
    co_return;
  const std::int64_t Ended = Lease;
  endTerm("this instance stops");
  co_await endLease(Ended);
}

task<void> leadership::endLease(std::int64_t Ended) {
  const std::error_code Error = co_await Store.endLease(Ended);
  if (Error) // the key is removed when the lease expires
    writeLog(events::StoreUnreachable, {{"call", "end of the leader's lease"},
                                        {"error", Error.message()}});
}

} // namespace galenastage
