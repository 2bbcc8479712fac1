#pragma once

// A fake platform: key-value service, instance list, workers and executors on
// loopback, with faults that are enabled over HTTP.
//
// Index of this file
// [1] Settings
// [2] Faults
// [3] The platform

#include "net/http.hpp"
#include "net/instance_list.hpp"

#include <memory>
#include <set>

namespace galenastage::standin {

// [1] Settings

/// One data centre of the stand-in. Its workers and executors listen on
/// Address, and a caller with that address counts as inside.
struct data_centre_settings {
  data_centre_id Name;
  std::string Address; // loopback, one for each data centre
};

struct platform_settings {
  endpoint Store{"127.0.0.1", 2379};    // key-value service
  endpoint Platform{"127.0.0.1", 2380}; // instance list, faults, ledgers
  std::vector<data_centre_settings> DataCentres;
  service_id Service{"portal-core"}; //
  int WorkersPerDataCentre = 6;      //
  int WorkersPerRack = 3;            //
  int AcceleratorsPerWorker = 8;     //
  int ExecutorsPerDataCentre = 2;    //
  int SlotsPerExecutor = 8;          // requests at once
  int ConnectionsPerExecutor = 64;   //
  int FirstWorkerPort = 21'000;      // 0: any free port
  int FirstExecutorPort = 22'000;    // 0: any free port
};

// [2] Faults

struct store_faults {
  bool IsDown = false;       // closes connections without acting
  bool LosesAnswers = false; // acts, then closes without a response
  bool CutsWatches = false;  // ends every watch and refuses new ones
  bool ReadsStale = false;   // reads return a snapshot of the first stale read
  int DelayMilliseconds = 0; // before acting

  friend bool operator==(const store_faults &, const store_faults &) = default;
};

struct executor_faults {
  bool IsLeaving = false;     // shown in the instance list, after its lag
  bool RefusesAll = false;    // 503 before running anything
  bool FailsAll = false;      // runs, then responds with 500
  bool DropsAnswers = false;  // runs, then closes without a response
  bool CutsAnswers = false;   // runs, then sends part of the response
  int DelayMilliseconds = 0;  // after running, before responding
  int JitterMilliseconds = 0; // extra delay, so that responses are reordered

  friend bool operator==(const executor_faults &,
                         const executor_faults &) = default;
};

/// Two data centres that are partitioned from each other.
using data_centre_pair = std::pair<std::string, std::string>;

struct partition_faults {
  std::set<std::string> FromPlatform;   // can't reach store, list or workers
  std::set<data_centre_pair> EachOther; // both orders of each pair

  friend bool operator==(const partition_faults &,
                         const partition_faults &) = default;
};

// [3] The platform

class stand_in_platform {
public:
  stand_in_platform(asio::io_context &Context, platform_settings Settings);
  ~stand_in_platform();
  stand_in_platform(const stand_in_platform &) = delete;
  stand_in_platform &operator=(const stand_in_platform &) = delete;

  [[nodiscard]] endpoint storeEndpoint() const;
  [[nodiscard]] endpoint platformEndpoint() const;

  /// Closes every listener; part of a graceful shutdown.
  void stopAccepting();

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace galenastage::standin
