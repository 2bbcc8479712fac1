#pragma once

#include "apps/instance/deployment_feed.hpp"
#include "apps/instance/metrics.hpp"
#include "platform/metadata_store.hpp"

namespace galenastage {

/// Answers clients: submissions, states, cancellations and queue lengths. It
/// keeps nothing of its own; every answer follows from the store.
class front {
public:
  /// FindLeader: where another instance, which the store serves, takes requests
  /// that this one can't answer; nullopt when none is known.
  front(asio::io_context &Context, std::string LocalAddress,
        platform::metadata_store &Store, const deployment_feed &Feed,
        instance_metrics &Metrics,
        std::function<std::optional<endpoint>()> FindLeader);

  /// Answers a request of a client. IsForwarded: another instance has sent it
  /// on, and it isn't sent on again.
  task<http_response> handle(http_request Request, bool IsForwarded);

private:
  /// A request whose queue, client and time are known.
  struct admitted {
    std::shared_ptr<const deployment_view> View;
    const batch::queue_config *Queue = nullptr; // in View
    organisation_id Organisation; // empty: a public queue, and no key
    std::string Rest;             // of the path, after the queue's prefix
    instant AnswerBy{};           //
  };

  task<http_response> submit(const admitted &Admitted, job_id Job,
                             const std::string &Body);
  task<http_response> settle(job_id Job, batch::job_spec Spec,
                             instant AnswerBy);
  task<http_response> showState(const admitted &Admitted, job_id Job);
  task<http_response> cancel(const admitted &Admitted, job_id Job);
  task<http_response> showQueueLength(const admitted &Admitted);
  task<http_response> forward(http_request Request, endpoint Leader,
                              instant AnswerBy);
  http_response refuse(const job_id &Job, std::string_view Reason);

  asio::io_context &Context;
  http_client Peers;
  std::function<std::optional<endpoint>()> FindLeader;
  platform::metadata_store &Store;
  const deployment_feed &Feed;
  instance_metrics &Metrics;
  std::map<route_id, int> QueueLengths; // as last read
  instant QueueLengthsRead{};
};

} // namespace galenastage
