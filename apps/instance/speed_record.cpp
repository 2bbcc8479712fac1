#include "apps/instance/speed_record.hpp"

#include "apps/runtime/logging.hpp"
#include "core/json_number.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <map>
#include <tuple>

namespace galenastage {
namespace {

using batch::stored_speed;

constexpr int Version = 1;
constexpr double Scale = 1'000; // estimates are stored as thousandths
constexpr double MostLog = 5;   // beyond this no machine is slow or fast
constexpr std::string_view Name = "speeds of executors";

std::vector<stored_speed> parseGroup(const nlohmann::json &Group) {
  std::vector<stored_speed> Speeds;
  stored_speed Speed;
  Speed.Service = service_id(Group.at("service").get<std::string>());
  Speed.Kind = Group.at("kind").get<std::string>();
  const nlohmann::json &Capacity = Group.at("capacity");
  Speed.Capacity = {readWhole<int>(Capacity.at(0), "capacity"),
                    readWhole<int>(Capacity.at(1), "capacity"),
                    readWhole<int>(Capacity.at(2), "capacity")};
  for (const auto &Item : Group.at("speeds").items()) {
    const double Mean = readWhole<int>(Item.value().at(0), "mean") / Scale;
    const double Deviation =
        readWhole<int>(Item.value().at(1), "deviation") / Scale;
    Speed.Executor = executor_id(Item.key());
    Speed.Estimate = {Mean, Deviation * Deviation};
    const bool IsPossible =
        std::abs(Mean) <= MostLog && Deviation > 0 && Deviation <= MostLog;
    if (IsPossible)
      Speeds.push_back(Speed);
  }
  return Speeds;
}

} // namespace

std::string printSpeeds(const std::vector<stored_speed> &Speeds) {
  using machine = std::tuple<std::string, std::string, int, int, int>;
  std::map<machine, nlohmann::json> Groups;
  for (const stored_speed &Speed : Speeds) {
    const batch::resources &Capacity = Speed.Capacity;
    nlohmann::json &Group =
        Groups[{Speed.Service.Value, Speed.Kind, Capacity.MilliCpu,
                Capacity.MemoryMb, Capacity.Accelerators}];
    Group["speeds"][Speed.Executor.Value] = {
        std::lround(Speed.Estimate.Mean * Scale),
        std::lround(std::sqrt(Speed.Estimate.Variance) * Scale)};
  }
  nlohmann::json Record = {{"version", Version},
                           {"machines", nlohmann::json::array()}};
  for (auto &[Machine, Group] : Groups) {
    const auto &[Service, Kind, MilliCpu, MemoryMb, Accelerators] = Machine;
    Group["service"] = Service;
    Group["kind"] = Kind;
    Group["capacity"] = {MilliCpu, MemoryMb, Accelerators};
    Record["machines"].push_back(std::move(Group));
  }
  return Record.dump();
}

std::vector<stored_speed> parseSpeeds(const std::string &Text) {
  std::vector<stored_speed> Speeds;
  try {
    const nlohmann::json Record = parseJson(Text);
    const int Found = readWhole<int>(Record.at("version"), "version");
    if (Found != Version) {
      writeLog(events::EntryIgnored,
               {{"entry", std::string(Name)},
                {"reason", "version " + std::to_string(Found)}});
      return {};
    }
    for (const auto &Group : Record.at("machines"))
      for (stored_speed &Speed : parseGroup(Group))
        Speeds.push_back(std::move(Speed));
  } catch (const std::exception &Error) {
    writeLog(events::EntryIgnored,
             {{"entry", std::string(Name)}, {"reason", reasonOf(Error)}});
    return {};
  }
  return Speeds;
}

} // namespace galenastage
