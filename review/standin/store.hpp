#pragma once

// The platform's metadata store, as PROTOCOL.md describes it.

#include "review/standin/http.hpp"

#include <atomic>
#include <nlohmann/json.hpp>
#include <vector>

namespace review {

class metadata_store {
public:
  explicit metadata_store(const std::string &Address);
  ~metadata_store();

  /// Writes of the operator and of the executors. False while the store turns
  /// calls away.
  bool put(const std::string &Key, const std::string &Value);
  bool remove(const std::string &Key);

  /// While it is busy it answers each call with 503 and has done nothing.
  /// Leases pause.
  void setBusy(bool IsBusy);

  /// Watches hear of no change until the history is forgotten.
  void silenceWatches();
  /// Forgets the history and cuts the watches.
  void forgetHistory();

  /// An answer takes as long as a link of this speed needs for it.
  void setLink(int Mbps) { LinkMbps = Mbps; }
  void setAnswerTime(milliseconds Time) { AnswerTime = Time; }

  /// Address of the machine that last wrote something again under a condition.
  [[nodiscard]] std::string lastWriter();

  [[nodiscard]] std::uint16_t port() const { return Server.port(); }

private:
  struct item {
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct change {
    std::string Key;
    item Item;
    bool IsRemoved = false;
  };
  struct lease {
    milliseconds Life;
    moment Expires;
  };

  std::optional<http_reply> handle(const http_request &Request);
  std::optional<http_reply> answerCall(const http_request &Request);
  std::optional<http_reply> watch(const http_request &Request);
  http_reply read(const http_request &Request);
  http_reply readRange(const http_request &Request);
  http_reply apply(const http_request &Request);
  http_reply grant(const http_request &Request);
  http_reply keep(const std::string &Id);
  http_reply end(const std::string &Id);
  void write(const std::string &Key, const std::string &Value,
             std::int64_t Lease);
  void erase(const std::string &Key);
  void endLease(std::int64_t Id);
  void expireLeases();
  [[nodiscard]] nlohmann::json print(const std::string &Key,
                                     const item &Item) const;

  std::mutex Mutex;
  std::condition_variable HasChanged;
  std::map<std::string, item> Items;
  std::vector<change> History;
  std::map<std::int64_t, lease> Leases;
  std::int64_t Revision = 100;
  std::int64_t LastLease = 0;
  bool IsBusy = false;
  moment BusySince;
  bool IsStopping = false;
  bool IsSilent = false;
  std::int64_t Forgotten = 0; // the history begins after this revision
  int Cuts = 0;               // of the watches
  std::string LastWriter;
  std::atomic<milliseconds> AnswerTime{4ms};
  std::atomic<int> LinkMbps{1'000};
  std::thread Expirer;
  http_server Server;
};

} // namespace review
