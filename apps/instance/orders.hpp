#pragma once

#include "apps/instance/leadership.hpp"
#include "apps/instance/metrics.hpp"
#include "platform/executor_client.hpp"

#include <deque>

namespace galenastage {

/// Executes the effects of the leader's reducer and posts their results.
class orders {
public:
  orders(asio::io_context &Context, platform::metadata_store &Store,
         platform::executor_client &Executors, leadership &Leadership,
         instance_metrics &Metrics, leadership::post_event Post,
         std::size_t MaxValueBytes);

  void execute(batch::effect Effect);

private:
  task<void> start(batch::start_run Start);
  task<void> stop(batch::stop_run Stop);
  task<void> hold(batch::hold_executor Hold);
  task<void> save(batch::save_progress Save);
  task<void> forget(batch::forget_job Forget);
  task<void> publish(std::uint64_t Term, batch::published_record Record,
                     std::string Key, std::string Value);

  /// Progress of a job as it is stored.
  struct record {
    job_id Job;
    std::string Value;
  };
  static std::deque<std::vector<record>>
  groupRecords(std::vector<record> Records);
  task<batch::write_outcome> saveTogether(std::uint64_t Term,
                                          std::vector<record> Records);
  task<batch::write_outcome> write(std::uint64_t Term, std::string Key,
                                   std::string Value);
  bool stillLeads(std::uint64_t Term,
                  const std::vector<platform::store_item> &Current);
  bool refreshRevisions(std::vector<record> &Records,
                        const std::vector<platform::store_item> &Current);

  asio::io_context &Context;
  platform::metadata_store &Store;
  platform::executor_client &Executors;
  leadership &Leadership;
  instance_metrics &Metrics;
  leadership::post_event Post;
  std::size_t MaxValueBytes;                     // of the store
  std::map<std::string, std::int64_t> Revisions; // of published records
};

} // namespace galenastage
