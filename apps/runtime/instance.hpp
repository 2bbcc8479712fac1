#pragma once

// Shared by the system's long-running programs: the settings for the instance's
// identity and the platform's addresses, and the run from start to graceful
// stop.
//
// Index of this file
// [1] Settings
// [2] Running a program

#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"
#include "apps/runtime/settings.hpp"
#include "core/types.hpp"

#include <optional>
#include <stdexcept>
#include <string>

namespace galenastage {

// [1] Settings

struct instance_config {
  std::string Instance;               // name of this instance
  data_centre_id DataCentre;          //
  endpoint Listen;                    //
  std::optional<endpoint> PeerListen; // nullopt: peerAddressOf(Listen)
  endpoint Store;                     // key-value service
  endpoint Platform;                  // instance list
};

/// Parser targets for the fields of instance_config, as text.
class instance_settings {
public:
  /// Adds the settings to the parser, which must not outlive this object.
  instance_settings(settings_parser &Parser, std::string DefaultListen,
                    const std::string &ListenHelp);

  /// The parsed values. Call only after the parser has accepted them.
  [[nodiscard]] instance_config config() const;
  [[nodiscard]] log_format logFormat() const;

private:
  std::string Instance;
  std::string DataCentre;
  std::string Listen;
  std::string PeerListen;
  std::string Store;
  std::string Platform;
  std::string Format = "key-value";
};

// [2] Running a program

/// Runs App until a stop signal arrives, then stops it gracefully. App provides
/// start() and stopGracefully(). Returns the exit code.
template <typename App, typename Config> int runInstance(const Config &Given) {
  const std::string Listen = printEndpoint(Given.Listen);
  blockStopSignals();
  try {
    App Running(Given);
    Running.start();
    writeLog(events::ProcessStarted,
             {{"instance", Given.Instance}, {"listen", Listen}});
    waitForStop();
    writeLog(events::ProcessStopping, {});
    Running.stopGracefully();
  } catch (const std::runtime_error &Error) {
    writeLog(events::ListenFailed,
             {{"listen", Listen}, {"error", Error.what()}});
    return 1;
  }
  writeLog(events::ProcessStopped, {});
  return 0;
}

} // namespace galenastage
