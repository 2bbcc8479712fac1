#pragma once

// A small deployment for the cases of the review: the platform's store, its
// executors, the project's instances as processes, and a client. What was sent,
// answered and run is written to the record.

#include "review/standin-2/worker.hpp"
#include "standin/metadata_service.hpp"

#include <sys/types.h>

#include <fstream>
#include <memory>

namespace galenastage::review {

// The configuration has one service and two queues. The first organisation has
// a guarantee of two workers.
inline constexpr const char *Prefix = "/demo/";
inline constexpr const char *UrgentPrefix = "/urgent/"; // of priority 0
inline constexpr const char *Key = "demo-key";
inline constexpr const char *OtherKey = "other-key"; // without a guarantee

struct world_settings {
  std::string Folder; // temporary, for settings files and logs
  std::string Record; // file
  std::string Run;    // command of an instance, from the deploy file
  std::string Net;    // first two numbers of the loopback addresses
};

/// The client's view of one call. Status 0: no answer.
struct client_answer {
  unsigned Status = 0;
  std::string State; // of a job
  int Pending = -1;  // of a queue
};

class world {
public:
  world(asio::io_context &Context, world_settings Settings);
  ~world();
  world(const world &) = delete;
  world &operator=(const world &) = delete;

  void addWorker(const worker_name &Name, const std::string &Rack);
  [[nodiscard]] worker &at(std::size_t Index) { return *Workers[Index]; }
  [[nodiscard]] std::size_t countWorkers() const { return Workers.size(); }
  /// Stores the configuration, and begins to report the workers.
  void begin();

  /// Starts an instance as a process of its own.
  void startInstance(int Number);
  void killInstance(int Number);
  /// The instance that holds the leader's key; 0: none.
  [[nodiscard]] int leader() const;
  /// False when they aren't ready in time.
  task<bool> waitUntilReady(int Number);

  /// Calls the frontend of an instance.
  task<client_answer> submit(int Number, std::string Job, std::string Body);
  /// The same, as another organisation or on the queue of priority 0.
  task<client_answer> submitAs(const std::string &ClientKey,
                               const std::string &Path, int Number,
                               std::string Job, std::string Body);
  task<client_answer> readState(int Number, std::string Job);
  task<client_answer> readQueue(int Number);

  void record(const std::string &Text);
  /// All runs of the task, in the order of their starts.
  [[nodiscard]] std::vector<worker_run> runsOf(const std::string &Task) const;
  /// The worker that runs the task now, or null.
  [[nodiscard]] worker *runner(const std::string &Task) const;

  asio::io_context &Context;

private:
  struct instance_process {
    std::string Address;
    std::string File; // settings
    pid_t Process = 0;
  };

  void writeSettings(int Number);
  task<void> reportWorkers();
  task<client_answer> call(int Number, std::string Method, std::string Target,
                           std::string Body, std::string ClientKey);

  world_settings Settings;
  std::ofstream RecordFile;
  instant Began;
  int FrontPort = 0; // of all instances; the next one tells readiness
  int InternalPort = 0;
  standin::metadata_service Store;
  http_client Client;
  std::vector<std::unique_ptr<worker>> Workers;
  std::map<std::string, instant> Reported; // by id, as listed in the store
  std::map<int, instance_process> Instances;
};

/// Whether two runs overlap, both on workers that are up.
bool overlap(const worker_run &First, const worker_run &Second, instant Now);

} // namespace galenastage::review
