#pragma once

#include "apps/instance/backlog_record.hpp"
#include "apps/instance/deployment_feed.hpp"
#include "apps/instance/metrics.hpp"
#include "platform/metadata_store.hpp"

#include <limits>

namespace galenastage {

/// Handles client requests: submissions, state queries, cancellations and queue
/// lengths. It holds no state except short-lived caches of the queue lengths
/// and the backlog; every answer comes from the store.
class front {
public:
  /// FindLeader: where the leader accepts requests that this instance forwards
  /// while the store doesn't serve it; nullopt when no leader is known.
  /// MaxValueBytes: of the store's items; jobs that need more are refused.
  /// MaxSubmissions: at once; further ones are refused, so that other requests
  /// find connections free.
  front(asio::io_context &Context, std::string LocalAddress,
        platform::metadata_store &Store, const deployment_feed &Feed,
        instance_metrics &Metrics, batch::admission_settings Admission,
        std::function<std::optional<endpoint>()> FindLeader,
        std::size_t MaxValueBytes,
        int MaxSubmissions = std::numeric_limits<int>::max());

  /// Answers a client's request. IsForwarded: another instance forwarded it; it
  /// isn't forwarded a second time.
  task<http_response> handle(http_request Request, bool IsForwarded);

private:
  /// Result of routing and authenticating a request.
  struct admitted {
    std::shared_ptr<const deployment_view> View;
    const batch::queue_config *Queue = nullptr; // in View; null: none matches
    organisation_id Organisation;               // empty: no valid key
    std::string Suffix; // of the path, after the queue's prefix
    instant Deadline{}; // for sending the answer

    [[nodiscard]] bool isAllowed() const {
      return Queue && (Queue->IsPublic || !Organisation.isEmpty());
    }
  };

  task<http_response> answer(http_request Request, bool IsForwarded);
  /// Routes and authenticates a request by the current view, which must exist.
  [[nodiscard]] admitted admit(const http_request &Request) const;

  task<http_response> submitIfFew(const admitted &Admitted, job_id Job,
                                  const http_request &Request);
  task<http_response> submit(const admitted &Admitted, job_id Job,
                             const http_request &Request);
  /// The answer to a job that can't end in time, by the last backlog.
  task<std::optional<http_response>> refuseOverload(const admitted &Admitted,
                                                    const batch::job_spec &Job);
  task<http_response> storeJob(job_id Job, batch::job_spec Spec,
                               instant Deadline);
  task<http_response> showState(const admitted &Admitted, job_id Job);
  task<http_response> cancel(const admitted &Admitted, job_id Job);
  task<http_response> cancelUnknown(const admitted &Admitted, job_id Job);
  task<http_response> storeCancellation(job_id Job, instant Deadline);
  task<http_response> showQueueLength(const admitted &Admitted);
  task<http_response> forward(http_request Request, endpoint Leader,
                              instant Deadline);
  http_response deny(const http_request &Request, std::int64_t Version,
                     http_response Response);
  http_response refuse(const job_id &Job, std::string_view Reason);
  static http_response refuseForGood(const job_id &Job,
                                     const std::string &Reason);

  asio::io_context &Context;
  http_client Peers;
  std::function<std::optional<endpoint>()> FindLeader;
  platform::metadata_store &Store;
  const deployment_feed &Feed;
  instance_metrics &Metrics;
  batch::admission_settings Admission;
  std::size_t MaxValueBytes;
  int MaxSubmissions;
  int Submissions = 0; // in progress
  backlog_view Backlog;
  std::map<route_id, int> QueueLengths; // as last read
  instant QueueLengthsRead{};
};

} // namespace galenastage
