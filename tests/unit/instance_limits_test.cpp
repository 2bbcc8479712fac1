#include "apps/instance/limits.hpp"
#include "net/byte_account.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;

TEST_CASE("limits: the servers leave most of the machine to the instance") {
  platform::instance_settings Settings;
  Settings.MemoryMb = GENERATE(24, 120, 160, 260, 512);
  Settings.MaxDescriptors = GENERATE(512, 3'075, 4'100, 8'192);
  const server_limits Limits = divideMachine(Settings);
  const std::size_t Held = Limits.Front.HeldBytes + Limits.Forward.HeldBytes +
                           2 * Limits.Probe.HeldBytes;
  CHECK(Held * 3 <= Settings.MemoryMb * 1'000'000);
  const int Connections = Limits.Front.Connections +
                          Limits.Forward.Connections +
                          2 * Limits.Probe.Connections;
  CHECK(Connections * 2 <= Settings.MaxDescriptors - 200);
  CHECK(Limits.Front.Connections > 100);
  CHECK(Limits.Probe.Connections > 10);
}

TEST_CASE("limits: settings with hardly any descriptors still serve") {
  platform::instance_settings Settings;
  Settings.MaxDescriptors = GENERATE(0, 200, 210);
  const server_limits Limits = divideMachine(Settings);
  CHECK(Limits.Front.Connections >= 1);
  CHECK(Limits.Forward.Connections >= 1);
  CHECK(Limits.Probe.Connections >= 1);
}

TEST_CASE("limits: the configuration's limits hold, 0 keeps the time limits") {
  batch::deployment_config Config;
  Config.MaxHeaderBytes = 1'000;
  Config.MaxBodyBytes = 2'000;
  const http_limits Kept = applyConfiguration({}, Config);
  CHECK(Kept.HeaderBytes == 1'000);
  CHECK(Kept.BodyBytes == 2'000);
  CHECK(Kept.HeaderTimeout == http_limits().HeaderTimeout);
  CHECK(Kept.IdleTimeout == http_limits().IdleTimeout);
  Config.HeaderTimeout = milliseconds(3'000);
  Config.IdleTimeout = milliseconds(15'000);
  const http_limits Changed = applyConfiguration({}, Config);
  CHECK(Changed.HeaderTimeout == milliseconds(3'000));
  CHECK(Changed.IdleTimeout == milliseconds(15'000));
}

TEST_CASE("byte account: claims share the limit and give their bytes back") {
  byte_account Account(100);
  byte_claim First(Account);
  CHECK(First.resize(60));
  {
    byte_claim Second(Account);
    CHECK(Second.resize(40));
    CHECK_FALSE(Second.resize(41));
    CHECK(Second.size() == 40);
    CHECK_FALSE(First.resize(61));
    First.shrink(10);
    CHECK(Second.resize(90));
    CHECK(Account.used() == 100);
  }
  CHECK(Account.used() == 10);
  CHECK(Account.peak() == 100);
  First.shrink(20); // no change
  CHECK(First.size() == 10);
  CHECK(First.resize(0));
  CHECK(Account.used() == 0);
}
