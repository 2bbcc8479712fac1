#include "apps/instance/leadership.hpp"

#include "apps/instance/keys.hpp"
#include "apps/instance/speed_record.hpp"
#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"
#include "core/error.hpp"
#include "platform/wire.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cassert>
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
// Less than the 2 s after which no run may start on a draining executor.
constexpr milliseconds ListInterval{700};
constexpr int MaxOpenLists = 2; // the answer to one of them may be lost

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

std::string_view nameIn(const std::string &Key, std::string_view Prefix) {
  return std::string_view(Key).substr(Prefix.size());
}

stored_request toRequest(platform::store_item Item) {
  std::string_view Name = nameIn(Item.Key, keys::Requests);
  const bool IsCancellation = Name.ends_with(keys::CancelSuffix);
  if (IsCancellation)
    Name.remove_suffix(keys::CancelSuffix.size());
  return {job_id(std::string(Name)), IsCancellation, Item.Revision,
          std::move(Item.Value)};
}

requests_read toRequestsRead(platform::page_read Page, instant Sent) {
  requests_read Read{Sent, Page.Revision, {}, std::move(Page.Next)};
  for (platform::store_item &Item : Page.Items)
    Read.Requests.push_back(toRequest(std::move(Item)));
  return Read;
}

progress_read toProgressRead(platform::page_read Page) {
  progress_read Read{{}, std::move(Page.Next)};
  for (platform::store_item &Item : Page.Items)
    Read.Records.push_back(
        {job_id(std::string(nameIn(Item.Key, keys::Progress))), Item.Revision,
         std::move(Item.Value)});
  return Read;
}

requests_watched toRequestsWatched(platform::watch_result Watch, instant Sent) {
  requests_watched Watched{Sent, Watch.Revision, Watch.IsWhole, {}};
  for (platform::item_change &Change : Watch.Changes)
    if (!Change.IsRemoved)
      Watched.Requests.push_back(toRequest(std::move(Change.Item)));
  return Watched;
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
                       milliseconds CampaignDelay, instance_metrics &Metrics,
                       post_event Post, handover_settings NewHandover,
                       job_feed_settings FeedSettings)
    : Context(Context), Store(Store), Instance(std::move(Instance)),
      Forward(std::move(Forward)), LeaseLife(LeaseLife),
      CampaignDelay(CampaignDelay), Metrics(Metrics), Post(std::move(Post)),
      Handover(NewHandover),
      Candidacy(Context, Store, {this->Instance, CampaignDelay}, Handover),
      Feed(FeedSettings) {}

platform::key_condition leadership::fence(std::uint64_t Term) {
  return {keys::Leader, static_cast<std::int64_t>(Term)};
}

bool leadership::mayOrder(std::uint64_t Term) const {
  const instant Now = readClock();
  return isCurrent(Term) && Now < ValidUntil && batch::isCurrent(Feed, Now);
}

std::int64_t leadership::progressRevision(const job_id &Job) const {
  const auto Found = Feed.Known.find(Job);
  return Found == Feed.Known.end() ? 0 : Found->second;
}

void leadership::noteProgressRevision(const job_id &Job,
                                      std::int64_t Revision) {
  const auto Found = Feed.Known.find(Job);
  if (Found != Feed.Known.end()) // not forgotten meanwhile
    Found->second = Revision;
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
  LeadsSince = readClock();
  LastJobAt = LeadsSince;
  OpenLists = 0;
  Post(Term, leadership_gained{Term, ValidUntil});
  advance(Term, feed_begun{});
  asio::co_spawn(Context, renew(Term), asio::detached);
  bool IsPrepared = false;
  while (isCurrent(Term) && !IsPrepared) {
    IsPrepared = co_await prepareTerm(Term);
    if (!IsPrepared)
      co_await sleepFor(Context, RetryDelay);
  }
  // The jobs may take longer to read than the list may be old.
  asio::co_spawn(Context, listExecutors(Term), asio::detached);
  co_await readPages(Term);
  if (!isCurrent(Term))
    co_return;
  asio::co_spawn(Context, watchCandidate(Term), asio::detached);
  co_await watchJobs(Term);
}

/// Reads the executors and their speeds before the jobs; false when the store
/// couldn't be read.
task<bool> leadership::prepareTerm(std::uint64_t Term) {
  const bool IsListed = co_await listExecutorsOnce(Term);
  if (!IsListed)
    co_return false;
  const platform::item_read Speeds = co_await Store.read(keys::Speeds);
  if (Speeds.Error) // they are learned again
    writeLog(events::StoreUnreachable, {{"call", "read of executor speeds"},
                                        {"error", Speeds.Error.message()}});
  else if (Speeds.Item)
    Post(Term, speeds_found{parseSpeeds(Speeds.Item->Value)});
  co_return true;
}

/// Passes an answer of the store to the feed, and what follows to the
/// scheduler.
void leadership::advance(std::uint64_t Term, decltype(feed_event::What) What) {
  feed_output Output = reduce(Feed, {readClock(), std::move(What)});
  for (const log_line &Line : Output.Lines) {
    Metrics.noteSchedulerEvent(Line.Event->Name);
    writeLog(Line);
  }
  for (auto &Event : Output.Events)
    Post(Term, std::move(Event));
}

/// Reads pages for as long as the feed asks for one.
task<void> leadership::readPages(std::uint64_t Term) {
  while (isCurrent(Term)) {
    const std::optional<page_request> Next = nextPage(Feed);
    if (!Next)
      co_return;
    const instant Sent = readClock();
    const char *Prefix = Next->IsProgress ? keys::Progress : keys::Requests;
    platform::page_read Page = co_await Store.readPage(Prefix, Next->After);
    if (!isCurrent(Term))
      co_return;
    if (Page.Error) {
      noteFailedRead("read", Page.Error, Sent);
      co_await sleepFor(Context, RetryDelay);
      continue;
    }
    if (Next->IsProgress)
      advance(Term, toProgressRead(std::move(Page)));
    else
      advance(Term, toRequestsRead(std::move(Page), Sent));
  }
}

void leadership::noteFailedRead(std::string_view Call,
                                const std::error_code &Error, instant Sent) {
  writeLog(events::WatchFailed,
           {{"watch", "jobs"},
            {"call", std::string(Call)},
            {"error", Error.message()},
            {"took_ms", std::to_string((readClock() - Sent).count())},
            {"revision", std::to_string(Feed.WatchAfter)}});
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
    if (readClock() - std::max(Feed.AsOf, LeadsSince) >=
        Feed.Settings.MaxOutdated) {
      const std::int64_t Ended = Lease;
      endTerm("the stored jobs can't be read in time");
      co_await endLease(Ended);
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
    const std::optional<watch_request> Next = nextWatch(Feed);
    assert(Next && "the stored jobs aren't loaded yet");
    const instant Sent = readClock();
    platform::watch_result Watch =
        co_await Store.watch(keys::Requests, Next->After, Next->Wait);
    if (!isCurrent(Term))
      co_return;
    if (Watch.Error == errc::NotFound) {
      co_await skipLostHistory(Term);
      continue;
    }
    if (Watch.Error) {
      noteFailedRead("watch", Watch.Error, Sent);
      advance(Term, watch_failed{});
      const bool HasWaited = Watch.Error == errc::DeadlineExceeded;
      if (!HasWaited)
        co_await sleepFor(Context, RetryDelay);
      continue;
    }
    if (!Watch.Changes.empty())
      LastJobAt = readClock();
    advance(Term, toRequestsWatched(std::move(Watch), Sent));
  }
}

/// Goes on from the store's current revision, and reads in the background what
/// the lost history contained: a range of all jobs takes long, and jobs that
/// arrive meanwhile must not wait for it.
task<void> leadership::skipLostHistory(std::uint64_t Term) {
  const instant Sent = readClock();
  const platform::item_read Key = co_await Store.read(keys::Leader);
  if (!isCurrent(Term))
    co_return;
  const bool IsRead = !Key.Error && Key.Item; // without the key, no revision
  if (!IsRead) {
    noteFailedRead("read of the revision", Key.Error, Sent);
    co_await sleepFor(Context, RetryDelay);
    co_return;
  }
  const bool IsReading = nextPage(Feed).has_value();
  advance(Term, history_lost{Key.Revision});
  if (!IsReading)
    asio::co_spawn(Context, readPages(Term), asio::detached);
}

task<bool> leadership::listExecutorsOnce(std::uint64_t Term) {
  const instant Sent = readClock();
  ++OpenLists;
  const platform::range_read Range = co_await Store.readPrefix(
      platform::ExecutorPrefix, platform::unreadable_items::AreSkipped);
  if (!isCurrent(Term))
    co_return false;
  --OpenLists;
  if (Range.Error) {
    noteFailedList(Range.Error, Sent);
    co_return false;
  }
  if (Sent < ListedAsOf)
    co_return false; // a later read was faster
  ListedAsOf = Sent;
  executors_listed Listed{{}, Sent, Range.Revision};
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

void leadership::noteFailedList(const std::error_code &Error, instant Sent) {
  const instant Now = readClock();
  Metrics.noteSchedulerEvent(events::WatchFailed.Name);
  writeLog(events::WatchFailed,
           {{"watch", "executors"},
            {"call", "read"},
            {"error", Error.message()},
            {"took_ms", std::to_string((Now - Sent).count())},
            {"age_ms", ListedAsOf == instant{}
                           ? "unknown"
                           : std::to_string((Now - ListedAsOf).count())}});
}

task<void> leadership::listExecutors(std::uint64_t Term) {
  while (isCurrent(Term)) {
    co_await sleepFor(Context, ListInterval);
    if (isCurrent(Term) && OpenLists < MaxOpenLists)
      asio::co_spawn(Context, listExecutorsOnce(Term), asio::detached);
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
