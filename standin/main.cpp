#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"
#include "apps/runtime/settings.hpp"
#include "standin/platform.hpp"
#include "standin/users_platform.hpp"

#include <optional>
#include <sstream>

using namespace galenastage;

namespace {

/// Parses "north-a=127.0.1.1,north-b=127.0.2.1"; empty when malformed.
std::vector<standin::data_centre_settings>
parseDataCentres(const std::string &Text) {
  std::vector<standin::data_centre_settings> DataCentres;
  std::istringstream Stream(Text);
  std::string Part;
  while (std::getline(Stream, Part, ',')) {
    const std::size_t Equals = Part.find('=');
    if (Equals == std::string::npos)
      return {};
    const std::string Address = Part.substr(Equals + 1);
    if (!parseEndpoint(Address + ":0"))
      return {};
    DataCentres.push_back({data_centre_id(Part.substr(0, Equals)), Address});
  }
  return DataCentres;
}

standin::users_platform_settings
usersSettings(const standin::platform_settings &Settings) {
  standin::users_platform_settings Users;
  Users.Store = Settings.Store;
  Users.Control = Settings.Platform;
  Users.DataCentres = Settings.DataCentres;
  Users.ExecutorsPerDataCentre = Settings.WorkersPerDataCentre;
  Users.FirstExecutorPort = Settings.FirstExecutorPort;
  return Users;
}

} // namespace

int main(int Argc, char **Argv) {
  standin::platform_settings Settings;
  std::string Store = "127.0.0.1:2379";
  std::string Platform = "127.0.0.1:2380";
  std::string DataCentres = "ma-north-a=127.0.1.1,ma-north-b=127.0.2.1";
  std::string Service = "portal-core";
  std::string Protocol = "product";
  int HoldMaxMs = 10'000;
  int SlowClockPermille = 0;
  int Seed = 1;

  settings_parser Parser("galenastage-standin",
                         "The platform in small, for tests and trials: "
                         "key-value service, instance list, workers and "
                         "executors with switchable faults.");
  Parser.address("store", Store, "where the key-value service listens");
  Parser.address("platform", Platform,
                 "where the instance list and the faults listen");
  Parser.choice("protocol", Protocol, {"product", "users"},
                "product: this project's own deployments; users: the metadata "
                "store and executors of the users' platform, as many "
                "executors as workers");
  Parser.text("data-centres", DataCentres,
              "NAME=ADDRESS of each data centre, separated by commas");
  Parser.text("service", Service, "the service that the executors answer");
  Parser.number("workers", Settings.WorkersPerDataCentre, 0, 5'000,
                "workers in each data centre");
  Parser.number("workers-per-rack", Settings.WorkersPerRack, 1, 100,
                "workers in each rack");
  Parser.number("accelerators", Settings.AcceleratorsPerWorker, 1, 64,
                "accelerators of each worker");
  Parser.number("executors", Settings.ExecutorsPerDataCentre, 0, 500,
                "executors in each data centre");
  Parser.number("first-worker-port", Settings.FirstWorkerPort, 0, 60'000,
                "port of the first worker; 0 takes free ports");
  Parser.number("first-executor-port", Settings.FirstExecutorPort, 0, 60'000,
                "port of the first executor; 0 takes free ports");
  Parser.number("hold-max-ms", HoldMaxMs, 1, 600'000,
                "users: longest lease of an executor");
  Parser.number("slow-clock-permille", SlowClockPermille, 0, 20,
                "users: how much the clock of every second executor lags");
  Parser.number("seed", Seed, 0, 1'000'000'000,
                "users: seed of the executors' delays and late calls");
  if (const auto ExitCode = Parser.parse(Argc, Argv))
    return *ExitCode;

  startLogging("galenastage-standin", log_format::KeyValue);
  Settings.Store = *parseEndpoint(Store);
  Settings.Platform = *parseEndpoint(Platform);
  Settings.Service = service_id(Service);
  Settings.DataCentres = parseDataCentres(DataCentres);
  if (Settings.DataCentres.empty()) {
    writeLog(events::SettingsInvalid,
             {{"key", "data-centres"},
              {"rule", "must be NAME=ADDRESS separated by commas"}});
    return 2;
  }

  blockStopSignals();
  io_threads Threads(1);
  try {
    std::optional<standin::stand_in_platform> Product;
    std::optional<standin::users_platform> Users;
    if (Protocol == "users") {
      standin::users_platform_settings UsersSettings = usersSettings(Settings);
      UsersSettings.MaxLease = milliseconds(HoldMaxMs);
      UsersSettings.SlowClockPermille = SlowClockPermille;
      UsersSettings.Seed = static_cast<std::uint64_t>(Seed);
      Users.emplace(Threads.context(0), UsersSettings);
    } else
      Product.emplace(Threads.context(0), Settings);
    Threads.start();
    writeLog(events::ProcessStarted,
             {{"store", Store}, {"platform", Platform}});
    waitForStop();
    writeLog(events::ProcessStopping, {});
    Threads.stop();
  } catch (const std::runtime_error &Error) {
    writeLog(events::ListenFailed, {{"error", Error.what()}});
    return 1;
  }
  writeLog(events::ProcessStopped, {});
  return 0;
}
