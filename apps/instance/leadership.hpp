#pragma once

#include "core/job/batch/scheduler.hpp"
#include "platform/metadata_store.hpp"

#include <functional>

namespace galenastage {

/// How long an instance lets others campaign first, so that larger ones lead
/// when they can. A leader reads every stored job at its take-over: 1 MB takes
/// 1 s at 10 Mbit/s.
milliseconds headStart(double Cores, double LinkMbps);

/// Campaigns for the leadership of the deployment and feeds the leader's
/// reducer: a key held with a lease in the store, whose revision is the fencing
/// token, so it rises with each leader. An instance whose earlier life led
/// takes the key over at once, without waiting for the lease of that life.
/// While leading, it hands over the stored jobs, follows new ones and
/// cancellations, and lists the executors.
class leadership {
public:
  using post_event = std::function<void(decltype(batch::event::What))>;

  /// Forward: where this instance takes requests that others forward to the
  /// leader. HeadStart: how long it lets others campaign first.
  leadership(asio::io_context &Context, platform::metadata_store &Store,
             std::string Instance, endpoint Forward, milliseconds LeaseLife,
             milliseconds HeadStart, post_event Post);

  /// Campaigns until resign was called.
  task<void> run();

  /// Gives the leadership up, so that another instance takes over at once.
  task<void> resign();

  /// This leadership has ended; the store said so in answer to a write.
  void noteLost(std::uint64_t OldToken);

  [[nodiscard]] bool isLeading() const { return Token != 0; }
  [[nodiscard]] std::uint64_t token() const { return Token; }

  /// Where the leader takes forwarded requests, as last read from the store;
  /// nullopt when this instance leads or nobody is known to.
  [[nodiscard]] std::optional<endpoint> knownLeader() const {
    return isLeading() ? std::nullopt : Leader;
  }

  /// Holds as long as this instance leads; part of every write of a leader.
  [[nodiscard]] platform::key_condition fence() const;

  /// Revision of the progress record that this leader last saw or wrote.
  [[nodiscard]] std::int64_t progressRevision(const job_id &Job) const;
  void noteProgressRevision(const job_id &Job, std::int64_t Revision);
  void forget(const job_id &Job) { ProgressRevisions.erase(Job); }

private:
  [[nodiscard]] bool isOwn(const std::string &Value) const;
  task<bool> tryWin(std::int64_t KeyRevision);
  task<void> lead();
  task<bool> load();
  task<void> renew(std::uint64_t Term);
  task<void> renewOnce(std::uint64_t Term);
  task<void> followJobs(std::uint64_t Term);
  task<void> listExecutors(std::uint64_t Term);
  task<bool> listExecutorsOnce();
  void handOver(const platform::store_item &Item, const std::string &Progress);
  void endTerm(std::string_view Cause);
  [[nodiscard]] bool isCurrent(std::uint64_t Term) const {
    return Term == Token;
  }

  asio::io_context &Context;
  platform::metadata_store &Store;
  std::string Instance;
  endpoint Forward;
  std::optional<endpoint> Leader; // of another instance, as last read
  milliseconds LeaseLife;
  milliseconds HeadStart;
  post_event Post;
  std::int64_t Lease = 0;
  std::uint64_t Token = 0; // 0: standing by
  instant ValidUntil{};
  std::int64_t JobsRevision = 0; // up to which jobs are known
  std::map<job_id, std::int64_t> ProgressRevisions;
  std::set<std::string> IgnoredEntries; // executor entries already logged
  bool IsResigning = false;
};

} // namespace galenastage
