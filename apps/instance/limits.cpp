#include "apps/instance/limits.hpp"

#include <algorithm>

namespace galenastage {
namespace {

constexpr std::size_t BytesPerMb = 1'000'000;
// Descriptors that the platform keeps for files.
constexpr int FileDescriptors = 200;
// Of the other descriptors each server takes one in so many. A request that
// waits for the store can need a connection of its own to it.
constexpr int FrontDescriptorShare = 3;
constexpr int ForwardDescriptorShare = 12;
constexpr int ProbeDescriptorShare = 24;
constexpr int MaxProbeConnections = 64;
// Of the memory each server takes so many parts in MemoryParts.
constexpr std::size_t MemoryParts = 64;
constexpr std::size_t FrontMemoryParts = 12;
constexpr std::size_t ForwardMemoryParts = 4;
constexpr std::size_t ProbeMemoryParts = 1;
constexpr std::size_t MaxProbeBodyBytes = 1'024;

} // namespace

server_limits divideMachine(const platform::instance_settings &Settings) {
  const int Descriptors =
      std::max(Settings.MaxDescriptors - FileDescriptors, ProbeDescriptorShare);
  const std::size_t MemoryPart = Settings.MemoryMb * BytesPerMb / MemoryParts;
  server_limits Limits;
  Limits.Front.Connections = Descriptors / FrontDescriptorShare;
  Limits.Front.HeldBytes = FrontMemoryParts * MemoryPart;
  Limits.Forward.Connections = Descriptors / ForwardDescriptorShare;
  Limits.Forward.HeldBytes = ForwardMemoryParts * MemoryPart;
  Limits.Probe.Connections =
      std::min(Descriptors / ProbeDescriptorShare, MaxProbeConnections);
  Limits.Probe.HeldBytes = ProbeMemoryParts * MemoryPart;
  Limits.Probe.BodyBytes = MaxProbeBodyBytes;
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
