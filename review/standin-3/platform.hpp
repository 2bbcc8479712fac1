#pragma once

// The users' platform in small, by PROTOCOL.md: the metadata store with leases
// and watches, and executors that register themselves, start, stop and hold
// runs.

#include "http.hpp"

#include <condition_variable>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

using nlohmann::json;

/// What was sent, answered and run, with milliseconds since its creation.
class record {
public:
  explicit record(const std::string &Path);
  void write(const std::string &Line);

private:
  std::mutex Mutex;
  std::string Path;
  std::int64_t Start;
};

class store {
public:
  explicit store(const std::string &Address);
  [[nodiscard]] std::uint16_t port() const { return Server.port(); }

  /// Writes as the operator or an executor does.
  void put(const std::string &Key, const std::string &Value);

private:
  struct item {
    std::string Value; // base64
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct event {
    std::int64_t Revision = 0;
    std::string Key;
    json Printed;
  };
  struct lease {
    std::int64_t TtlMs = 0;
    std::int64_t Until = 0;
  };

  response handle(const request &Request);
  response readKey(const std::string &Key);
  response readRange(const std::string &Prefix, const std::string &After);
  response watch(const std::string &Prefix, std::int64_t After,
                 std::int64_t WaitMs);
  response change(const json &Body);
  response grant(std::int64_t TtlMs);
  response keep(std::int64_t Id);
  response end(std::int64_t Id);
  void apply(const std::string &Key, const std::string &Value,
             std::int64_t Lease);
  void remove(const std::string &Key);
  void endLease(std::int64_t Id);
  void expireLeases();
  static json print(const std::string &Key, const item &Item);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, item> Items;
  std::deque<event> History;
  std::map<std::int64_t, lease> Leases;
  std::int64_t Revision = 1;
  std::int64_t LastLease = 0;
  server Server;
};

struct capacity {
  int Cpu = 0;
  int MemMb = 0;
  int Gpu = 0;
};

/// A run as an executor has seen it.
struct run {
  std::string Task;
  int Attempt = 0;
  std::int64_t Began = 0;
  std::int64_t Ended = 0; // 0: it runs
  std::string How;
  std::int64_t Noted = 0; // when last_seen reached its end; 0: it didn't
};

/// A spec "work_ms=N" says how long a task works; without one it lasts. A spec
/// "first_ms=N" ends the first run of a task as done after N ms, and lets the
/// later ones last.
class executor {
public:
  executor(std::string Id, const std::string &Address, std::string Kind,
           std::string Rack, capacity Capacity, record &Record);

  /// Runs that begin until then end as failed after FailAfterMs.
  void failUntil(std::int64_t Time);
  /// Leaves the next start order without an answer and carries it out
  /// DelayMs after it came, in the life of that time.
  void delayNextStart(int DelayMs);
  /// When the delayed order came; 0: not yet.
  [[nodiscard]] std::int64_t delayedAt();
  /// Crashes, and starts again under its id after DownMs.
  void restart(int DownMs);
  [[nodiscard]] bool isDown();
  [[nodiscard]] std::vector<run> runs();
  [[nodiscard]] bool isIdle();
  [[nodiscard]] std::string entry(const std::string &Service, int Sequence);
  [[nodiscard]] const std::string &id() const { return Id; }
  [[nodiscard]] const std::string &kind() const { return Kind; }
  [[nodiscard]] const std::string &rack() const { return Rack; }

private:
  struct active {
    std::int64_t Began = 0;
    std::int64_t EndsAt = 0; // 0: it lasts
    std::string How;
    std::size_t Index = 0; // in All
  };
  using run_key = std::pair<std::string, int>;

  response handle(const request &Request);
  response start(const json &Body);
  response stop(const json &Body);
  response hold(const json &Body, std::unique_lock<std::mutex> &Lock);
  response answer(int Status, const std::string &Reason);
  bool isFenced(const json &Body);
  void extendLease(const json &Body);
  response leaveUnanswered(json Body, std::unique_lock<std::mutex> &Lock);
  void finish(const run_key &Key, const std::string &How);
  void advance();
  [[nodiscard]] std::int64_t clock() const { return steadyMs() - Start; }

  std::string Id;
  std::string Address;
  std::string Kind;
  std::string Rack;
  capacity Capacity;
  record &Record;
  std::int64_t Start = steadyMs();
  std::int64_t Born;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Token = 0;
  std::int64_t LeaseEnd = 0; // on its clock
  std::int64_t FailUntil = 0;
  int DelayMs = 0; // of the next start; 0: none
  std::int64_t DelayedAt = 0;
  std::int64_t DownUntil = 0;
  std::map<run_key, active> Active;
  std::map<std::string, int> Closed; // highest attempt stopped or ended
  std::vector<json> Ended;           // that aren't forgotten
  int LastNumber = 0;
  std::map<int, std::size_t> Numbers; // of ends of this life, to All
  std::vector<run> All;
  server Server;
};

} // namespace review
