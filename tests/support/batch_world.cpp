#include "tests/support/batch_world_internal.hpp"

namespace galenastage::batch::test {

world_report runWorld(const world_settings &Settings, std::uint64_t Seed) {
  return detail::world(Settings, Seed).run();
}

} // namespace galenastage::batch::test
