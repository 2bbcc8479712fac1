#include "apps/instance/limits.hpp"

namespace galenastage {
namespace {

constexpr std::size_t BytesPerMb = 1'000'000;
// Of the memory each server takes so many parts in MemoryParts.
constexpr std::size_t MemoryParts = 64;
constexpr std::size_t FrontMemoryParts = 12;
constexpr std::size_t ForwardMemoryParts = 4;
constexpr std::size_t ProbeMemoryParts = 1;

} // namespace

server_limits divideMachine(const platform::instance_settings &Settings) {
  const std::size_t MemoryPart = Settings.MemoryMb * BytesPerMb / MemoryParts;
  server_limits Limits;
  Limits.Front.HeldBytes = FrontMemoryParts * MemoryPart;
  Limits.Forward.HeldBytes = ForwardMemoryParts * MemoryPart;
  Limits.Probe.HeldBytes = ProbeMemoryParts * MemoryPart;
  return Limits;
}

http_limits applyConfiguration(http_limits Limits,
                               const batch::deployment_config &Config) {
  Limits.HeaderBytes = Config.MaxHeaderBytes;
  Limits.BodyBytes = Config.MaxBodyBytes;
  if (Config.HeaderTimeout.count() > 0)
    Limits.HeaderTimeout = Config.HeaderTimeout;
  if (Config.IdleTimeout.count() > 0)
    Limits.IdleTimeout = Config.IdleTimeout;
  return Limits;
}

} // namespace galenastage
