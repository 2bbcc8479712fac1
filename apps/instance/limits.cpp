#include "apps/instance/limits.hpp"

namespace galenastage {

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
