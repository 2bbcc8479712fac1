#include "core/job/batch/job_feed.hpp"

#include "core/job/batch/records.hpp"

#include <algorithm>

namespace galenastage::batch {
namespace {

class feed_handler {
public:
  feed_handler(job_feed &Feed, instant Now) : Feed(Feed), Now(Now) {}

  void apply(const feed_begun &) {
    Feed = job_feed(Feed.Settings);
    Feed.Phase = feed_phase::LoadingRequests;
  }

  void apply(requests_read &Page) {
    if (Feed.Phase == feed_phase::LoadingRequests)
      load(Page);
    else if (Feed.Gap)
      fillGap(Page);
  }

  void apply(progress_read &Page) {
    for (stored_progress &Record : Page.Records)
      if (const auto Found = Feed.Loaded.find(Record.Job);
          Found != Feed.Loaded.end())
        Found->second.Progress = std::move(Record);
    Feed.After = Page.Next;
    if (Feed.After.empty())
      finishLoading();
  }

  void apply(requests_watched &Watched) {
    Feed.WatchAfter = Watched.Revision;
    Feed.IsConfirmDue = !Watched.IsWhole;
    // A job may be stored together with its cancellation.
    std::stable_partition(
        Watched.Requests.begin(), Watched.Requests.end(),
        [](const stored_request &Request) { return !Request.IsCancellation; });
    for (stored_request &Request : Watched.Requests)
      takeIn(Request);
    if (!Watched.IsWhole)
      return;
    Feed.WatchedAsOf = Watched.Sent;
    if (!Feed.Gap)
      advance(Watched.Sent);
  }

  void apply(const watch_failed &) { Feed.IsConfirmDue = true; }

  void apply(const history_lost &Lost) {
    log(events::HistorySkipped, {{"from", std::to_string(Feed.WatchAfter)},
                                 {"to", std::to_string(Lost.Revision)}});
    if (Feed.Gap) {
      Feed.Gap->MustReadAgain = true;
    } else {
      Feed.Gap = gap_read{.From = Feed.WatchAfter, .Since = Now};
      Feed.After.clear();
    }
    Feed.WatchAfter = Lost.Revision;
    Feed.WatchedAsOf = {};
    Feed.IsConfirmDue = true;
  }

  feed_output Out;

private:
  void load(requests_read &Page) {
    if (Feed.After.empty()) {
      Feed.LoadSent = Page.Sent;
      Feed.WatchAfter = Page.Revision;
    }
    for (stored_request &Request : Page.Requests) {
      const job_id Job = Request.Job;
      // A job sorts before its cancellation. Without it there is no job.
      if (!Request.IsCancellation)
        Feed.Loaded[Job].Request = std::move(Request);
      else if (const auto Found = Feed.Loaded.find(Job);
               Found != Feed.Loaded.end())
        Found->second.IsCancelled = true;
      else
        logDropped(Job, Request.Revision);
    }
    Feed.After = Page.Next;
    if (Feed.After.empty())
      Feed.Phase = feed_phase::LoadingProgress;
  }

  void finishLoading() {
    Feed.Phase = feed_phase::Following;
    for (const auto &[Id, Job] : Feed.Loaded) {
      Feed.Known[Id] = Job.Progress ? Job.Progress->Revision : 0;
      reportJob(Job.Request, Job.Progress ? Job.Progress->Record : "");
    }
    for (const auto &[Id, Job] : Feed.Loaded)
      if (Job.IsCancelled)
        Out.Events.emplace_back(cancel_requested{Id});
    Feed.Loaded.clear();
    advance(Feed.LoadSent);
    Out.Events.emplace_back(recovery_finished{});
  }

  /// A request that isn't newer than the gap was reported before. Its job may
  /// have been forgotten since the page was read, and must not look new.
  void fillGap(requests_read &Page) {
    gap_read &Gap = *Feed.Gap;
    if (Feed.After.empty()) {
      Gap.Sent = Page.Sent;
      Gap.Revision = Page.Revision;
    }
    for (stored_request &Request : Page.Requests) {
      if (Request.Revision <= Gap.From)
        continue;
      ++Gap.Items;
      // A job sorts before its cancellation; one that isn't known by then
      // doesn't exist, or is still to be watched.
      const bool IsUnmatched =
          Request.IsCancellation && !Feed.Known.contains(Request.Job);
      if (IsUnmatched)
        logDropped(Request.Job, Request.Revision);
      else
        takeIn(Request);
    }
    Feed.After = Page.Next;
    if (Feed.After.empty())
      finishPass();
  }

  void finishPass() {
    gap_read &Gap = *Feed.Gap;
    dropKept(Gap.MustReadAgain ? Gap.Revision
                               : std::numeric_limits<std::int64_t>::max());
    if (Gap.MustReadAgain) {
      Gap.MustReadAgain = false;
      ++Gap.Passes;
      advance(Gap.Sent);
      return;
    }
    const instant Covered = std::max(Gap.Sent, Feed.WatchedAsOf);
    log(events::HistoryRead,
        {{"from", std::to_string(Gap.From)},
         {"to", std::to_string(Gap.Revision)},
         {"items", std::to_string(Gap.Items)},
         {"passes", std::to_string(Gap.Passes)},
         {"took_ms", std::to_string((Now - Gap.Since).count())}});
    Feed.Gap.reset();
    advance(Covered);
  }

  void takeIn(stored_request &Request) {
    const job_id &Job = Request.Job;
    if (!Request.IsCancellation) {
      // The job and its progress record are written in one transaction.
      if (!Feed.Known.try_emplace(Job, Request.Revision).second)
        return;
      reportJob(Request, "");
      useKept(Job);
      return;
    }
    if (Feed.Known.contains(Job))
      Out.Events.emplace_back(cancel_requested{Job});
    else if (Feed.Gap)
      keep(Request);
    else
      logDropped(Job, Request.Revision);
  }

  /// At the limit the cancellation is left to another read of all jobs.
  void keep(const stored_request &Cancellation) {
    const bool HasRoom = Feed.Kept.size() < Feed.Settings.MaxKept ||
                         Feed.Kept.contains(Cancellation.Job);
    if (HasRoom)
      Feed.Kept[Cancellation.Job] = {Cancellation.Revision, Now};
    else
      Feed.Gap->MustReadAgain = true;
    log(events::CancellationKept,
        {{"job", Cancellation.Job.Value},
         {"revision", std::to_string(Cancellation.Revision)},
         {"kept", std::to_string(Feed.Kept.size())},
         {"read_again", HasRoom ? "no" : "yes"}});
  }

  void useKept(const job_id &Job) {
    const auto Found = Feed.Kept.find(Job);
    if (Found == Feed.Kept.end())
      return;
    Out.Events.emplace_back(cancel_requested{Job});
    log(events::CancellationMatched,
        {{"job", Job.Value},
         {"revision", std::to_string(Found->second.Revision)},
         {"waited_ms", std::to_string((Now - Found->second.Since).count())}});
    Feed.Kept.erase(Found);
  }

  /// Drops cancellations up to the revision. A job that was stored before one
  /// of them is known by now, or doesn't exist any more.
  void dropKept(std::int64_t UpTo) {
    std::erase_if(Feed.Kept, [&](const auto &Item) {
      if (Item.second.Revision > UpTo)
        return false;
      logDropped(Item.first, Item.second.Revision);
      return true;
    });
  }

  void reportJob(const stored_request &Request, const std::string &Progress) {
    auto Spec = parseSpec(Request.Record);
    if (Spec.Error) {
      logUnreadable(Request.Job, Spec.Reason);
      return;
    }
    job_found Found{std::move(Spec.Record), {}};
    if (!Progress.empty()) {
      auto Parsed = parseProgress(Progress, Found.Spec);
      if (Parsed.Error) {
        logUnreadable(Request.Job, Parsed.Reason);
        return;
      }
      Found.Progress = std::move(Parsed.Record);
    }
    Out.Events.emplace_back(std::move(Found));
  }

  void advance(instant AsOf) {
    if (AsOf <= Feed.AsOf)
      return;
    Feed.AsOf = AsOf;
    Out.Events.emplace_back(requests_current{AsOf});
  }

  void logDropped(const job_id &Job, std::int64_t Revision) {
    log(events::CancellationDropped,
        {{"job", Job.Value}, {"revision", std::to_string(Revision)}});
  }
  void logUnreadable(const job_id &Job, const std::string &Reason) {
    log(events::JobUnreadable, {{"job", Job.Value}, {"reason", Reason}});
  }
  void log(const log_event &Event, std::vector<log_field> Fields) {
    Out.Lines.push_back({&Event, std::move(Fields)});
  }

  job_feed &Feed;
  instant Now;
};

} // namespace

feed_output reduce(job_feed &Feed, feed_event Event) {
  feed_handler Handler(Feed, Event.Now);
  std::visit([&](auto &What) { Handler.apply(What); }, Event.What);
  return std::move(Handler.Out);
}

std::optional<page_request> nextPage(const job_feed &Feed) {
  switch (Feed.Phase) {
  case feed_phase::Idle:
    break;
  case feed_phase::LoadingRequests:
    return page_request{false, Feed.After};
  case feed_phase::LoadingProgress:
    return page_request{true, Feed.After};
  case feed_phase::Following:
    if (Feed.Gap)
      return page_request{false, Feed.After};
    break;
  }
  return std::nullopt;
}

bool isCurrent(const job_feed &Feed, instant Now) {
  return Feed.Phase == feed_phase::Following &&
         Now - Feed.AsOf <= Feed.Settings.MaxAge;
}

std::optional<watch_request> nextWatch(const job_feed &Feed) {
  if (Feed.Phase != feed_phase::Following)
    return std::nullopt;
  return watch_request{Feed.WatchAfter, Feed.IsConfirmDue
                                            ? milliseconds(0)
                                            : Feed.Settings.WatchWait};
}

} // namespace galenastage::batch
