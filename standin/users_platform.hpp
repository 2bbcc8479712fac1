#pragma once

// A fake of the users' platform: its metadata store with a configuration, and
// executors that register themselves there.

#include "standin/metadata_service.hpp"
#include "standin/run_service.hpp"

#include <memory>
#include <vector>

namespace galenastage::standin {

struct users_platform_settings {
  endpoint Store{"127.0.0.1", 2379};
  std::string ExecutorAddress = "127.0.1.1"; // of all executors
  int Executors = 6;                         //
  int FirstExecutorPort = 23'000;            // 0: any free port
  milliseconds WorkTime{500};                // of every task
};

class users_platform {
public:
  users_platform(asio::io_context &Context,
                 const users_platform_settings &Settings);

  [[nodiscard]] metadata_service &store() { return Store; }
  [[nodiscard]] run_service &executor(std::size_t Index) {
    return *Executors[Index];
  }

private:
  task<void> reportExecutors();
  void putConfiguration();

  asio::io_context &Context;
  metadata_service Store;
  std::vector<std::unique_ptr<run_service>> Executors;
};

} // namespace galenastage::standin
