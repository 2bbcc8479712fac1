#include "apps/instance/queue_lengths.hpp"

#include "apps/runtime/logging.hpp"
#include "core/json_number.hpp"

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
    const nlohmann::json Record = parseJson(Text);
    for (const auto &Item : Record.items())
      Lengths[route_id(Item.key())] = readWhole<int>(Item.value(), Item.key());
  } catch (const std::exception &Error) {
    writeLog(events::EntryIgnored,
             {{"entry", "queue lengths"}, {"reason", reasonOf(Error)}});
  }
  return Lengths;
}

} // namespace galenastage
