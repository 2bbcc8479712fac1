#pragma once

#include "apps/instance/handover.hpp"
#include "apps/instance/metrics.hpp"
#include "core/job/batch/job_feed.hpp"
#include "platform/metadata_store.hpp"

#include <functional>

namespace galenastage {

/// Delay before an instance campaigns for a free leadership. Smaller instances
/// wait longer, so that a larger one is preferred: a new leader reads every
/// stored job, and 1 MB takes 1 s at 10 Mbit/s.
milliseconds campaignDelay(double Cores, double LinkMbps);

/// Leader election of the deployment. The leader holds a key with a lease in
/// the store; the key's revision is the fencing token, so each leader's token
/// is higher than its predecessor's. A leader that restarts takes its own key
/// over at once instead of waiting for the old lease to expire. While leading,
/// this class feeds the reducer: it reads the stored jobs and watches for new
/// ones and for cancellations as the job_feed asks for them, and polls the list
/// of executors.
class leadership {
public:
  /// Posts an event of a term, or of none (0).
  using post_event =
      std::function<void(std::uint64_t Term, decltype(batch::event::What))>;

  /// Forward: where this instance accepts requests that others forward to the
  /// leader. CampaignDelay: wait before it campaigns for a free leadership.
  leadership(asio::io_context &Context, platform::metadata_store &Store,
             std::string Instance, endpoint Forward, milliseconds LeaseLife,
             milliseconds CampaignDelay, instance_metrics &Metrics,
             post_event Post, handover_settings Handover = {},
             batch::job_feed_settings FeedSettings = {});

  /// Campaigns and leads until resign is called.
  task<void> run();

  /// Ends the leadership and its lease, so that another instance takes over
  /// without waiting for the lease to expire.
  task<void> resign();

  /// Ends the term with this token: the store answered a write that another
  /// instance holds the key.
  void endTermOf(std::uint64_t OldToken);

  [[nodiscard]] bool isLeading() const { return Token != 0; }
  [[nodiscard]] std::uint64_t token() const { return Token; }

  /// Where the leader accepts forwarded requests, as last read from the store;
  /// nullopt when this instance leads or no leader is known.
  [[nodiscard]] std::optional<endpoint> knownLeader() const {
    return isLeading() ? std::nullopt : Leader;
  }

  /// Whether a start of that term may be ordered now.
  [[nodiscard]] bool mayOrder(std::uint64_t Term) const;

  /// Condition of every write of a term: fails once another term has begun.
  [[nodiscard]] static platform::key_condition fence(std::uint64_t Term);

  /// Revision of the progress record that this leader last read or wrote; 0 if
  /// there is none.
  [[nodiscard]] std::int64_t progressRevision(const job_id &Job) const;
  void noteProgressRevision(const job_id &Job, std::int64_t Revision);
  void forget(const job_id &Job) { Feed.Known.erase(Job); }

private:
  void noteLeaderKey(const std::optional<platform::store_item> &Key);
  [[nodiscard]] bool isOwnKey(const std::string &Value) const;
  task<bool> tryAcquireKey(std::int64_t KeyRevision);
  task<void> lead();
  task<bool> prepareTerm(std::uint64_t Term);
  void advance(std::uint64_t Term, decltype(batch::feed_event::What) What);
  task<void> readPages(std::uint64_t Term);
  void noteFailedList(const std::error_code &Error, instant Sent);
  void noteFailedRead(std::string_view Call, const std::error_code &Error,
                      instant Sent);
  task<void> renew(std::uint64_t Term);
  task<void> renewOnce(std::uint64_t Term);
  task<void> watchJobs(std::uint64_t Term);
  task<void> skipLostHistory(std::uint64_t Term);
  task<void> listExecutors(std::uint64_t Term);
  task<bool> listExecutorsOnce(std::uint64_t Term);
  task<void> watchCandidate(std::uint64_t Term);
  task<void> handOver(std::string Candidate);
  task<void> endLease(std::int64_t Ended);
  void endTerm(std::string_view Cause);
  [[nodiscard]] bool isCurrent(std::uint64_t Term) const {
    return Term == Token;
  }

  asio::io_context &Context;
  platform::metadata_store &Store;
  std::string Instance;
  endpoint Forward;
  std::optional<endpoint> Leader; // another instance, as last read
  milliseconds LeaseLife;
  milliseconds CampaignDelay;
  instance_metrics &Metrics;
  post_event Post;
  handover_settings Handover;
  candidacy Candidacy;
  instant LeadsSince{};
  instant LastJobAt{}; // a job or a cancellation was stored
  std::int64_t Lease = 0;
  std::uint64_t Token = 0; // 0: not leading
  instant ValidUntil{};
  batch::job_feed Feed;
  std::map<std::string, std::string> IgnoredEntries; // reasons, by key
  instant ListedAsOf{}; // when the last list of executors was asked for
  int OpenLists = 0;    // reads of that list in flight, of this term
  bool IsResigning = false;
};

} // namespace galenastage
