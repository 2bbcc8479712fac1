#pragma once

// A fake of the users' platform: its metadata store with a configuration, and
// executors that register themselves there. Over HTTP, executors are restarted,
// cut off or made faulty, and the ledger of all runs is read.

#include "standin/metadata_service.hpp"
#include "standin/platform.hpp"
#include "standin/run_service.hpp"

#include <memory>
#include <vector>

namespace galenastage::standin {

struct users_platform_settings {
  endpoint Store{"127.0.0.1", 2379};
  endpoint Control{"127.0.0.1", 2380}; // faults and the ledger
  std::vector<data_centre_settings> DataCentres{
      {data_centre_id("a"), "127.0.1.1"}};
  int ExecutorsPerDataCentre = 6;
  int FirstExecutorPort = 23'000; // 0: any free port
  milliseconds WorkTime{500};     // of a task whose spec isn't "work_ms=N"
  milliseconds MaxLease{10'000};  //
  int SlowClockPermille = 0;      // of every second executor
  std::uint64_t Seed = 1;         // of the executors' drawn faults
};

class users_platform {
public:
  users_platform(asio::io_context &Context,
                 const users_platform_settings &Settings);

  [[nodiscard]] metadata_service &store() { return Store; }
  [[nodiscard]] run_service &executor(std::size_t Index) {
    return *Executors[Index].Service;
  }
  [[nodiscard]] endpoint controlEndpoint() const {
    return Control.localEndpoint();
  }

private:
  struct listed_executor {
    std::string Id;
    std::string Zone;
    std::unique_ptr<run_service> Service;
    std::int64_t Life = 0;     // that reported last
    std::int64_t Sequence = 0; // of its last report
    instant Reported{};
    bool IsListed = false;
  };

  void addExecutors(const users_platform_settings &Settings,
                    const data_centre_settings &DataCentre);
  task<void> reportExecutors();
  void report(listed_executor &Executor);
  void expire(listed_executor &Executor);
  void putConfiguration();
  task<http_response> handle(http_request Request);
  http_response putFaults(const std::string &Ids, const std::string &Body);
  http_response clearFaults();
  http_response showLedger();

  asio::io_context &Context;
  metadata_service Store;
  std::vector<listed_executor> Executors;
  http_server Control;
};

} // namespace galenastage::standin
