#include "apps/runtime/instance.hpp"

namespace galenastage {

instance_settings::instance_settings(settings_parser &Parser,
                                     std::string DefaultListen,
                                     const std::string &ListenHelp)
    : Listen(std::move(DefaultListen)) {
  Parser.text("instance", Instance, "name of this instance", true);
  Parser.text("data-centre", DataCentre, "data centre of this instance", true);
  Parser.address("listen", Listen, ListenHelp);
  Parser.address("peer-listen", PeerListen,
                 "where to listen for peers, when a forwarder stands before "
                 "the port that they connect to");
  Parser.address("store", Store, "the platform's key-value service", true);
  Parser.address("platform", Platform, "the platform's instance list", true);
  Parser.choice("log-format", Format, {"key-value", "json"},
                "format of log lines");
}

instance_config instance_settings::config() const {
  instance_config Config;
  Config.Instance = Instance;
  Config.DataCentre = data_centre_id(DataCentre);
  Config.Listen = *parseEndpoint(Listen);
  Config.PeerListen = parseEndpoint(PeerListen);
  Config.Store = *parseEndpoint(Store);
  Config.Platform = *parseEndpoint(Platform);
  return Config;
}

log_format instance_settings::logFormat() const {
  return Format == "json" ? log_format::Json : log_format::KeyValue;
}

} // namespace galenastage
