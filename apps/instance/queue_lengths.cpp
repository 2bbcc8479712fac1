#include "apps/instance/queue_lengths.hpp"

#include "apps/runtime/logging.hpp"

#include <nlohmann/json.hpp>

namespace galenastage {

std::string printQueueLengths(const std::vector<batch::queue_length> &Lengths) {
  nlohmann::json Record = nlohmann::json::object();
  for (const batch::queue_length &Length : Lengths)
    Record[Length.Queue.Value] = Length.Waiting;
  return Record.dump();
}

std::map<route_id, int> parseQueueLengths(const std::string &Text) {
  std::map<route_id, int> Lengths;
  try {
    const auto Record = nlohmann::json::parse(Text);
    for (const auto &Item : Record.items())
      Lengths[route_id(Item.key())] = Item.value().get<int>();
  } catch (const nlohmann::json::exception &Error) {
    writeLog(events::EntryIgnored,
             {{"entry", "queue lengths"}, {"reason", Error.what()}});
  }
  return Lengths;
}

} // namespace galenastage
