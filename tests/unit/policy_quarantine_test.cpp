#include "core/job/policy/quarantine.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;

namespace {

const quarantine_settings Settings;
const instant Now{seconds(100)};

bool fail(worker_health &Health, const char *Job, bool MayQuarantine = true) {
  return noteFailure(Health, Settings, job_id(Job), MayQuarantine, Now);
}

} // namespace

TEST_CASE("three different jobs in a row put a worker into quarantine") {
  worker_health Health;
  CHECK_FALSE(fail(Health, "a"));
  CHECK_FALSE(fail(Health, "b"));
  CHECK(fail(Health, "c"));
  CHECK(Health.ProbeAt == Now + Settings.FirstDelay);
}

TEST_CASE("repeated failures of one job don't quarantine a worker") {
  worker_health Health;
  for (int I = 0; I < 10; ++I)
    CHECK_FALSE(fail(Health, "a"));
}

TEST_CASE("a success clears earlier failures") {
  worker_health Health;
  fail(Health, "a");
  fail(Health, "b");
  CHECK_FALSE(noteSuccess(Health));
  CHECK_FALSE(fail(Health, "c"));
}

TEST_CASE("no worker is quarantined while too much of the fleet is") {
  worker_health Health;
  for (const char *Job : {"a", "b", "c", "d"})
    CHECK_FALSE(fail(Health, Job, false));
}

TEST_CASE(
    "failed probes double the delay and a successful one ends quarantine") {
  worker_health Health;
  for (const char *Job : {"a", "b", "c"})
    fail(Health, Job);
  fail(Health, "probe");
  CHECK(Health.ProbeAt == Now + 2 * Settings.FirstDelay);
  for (int I = 0; I < 10; ++I)
    fail(Health, "probe");
  CHECK(Health.ProbeAt == Now + Settings.MaxDelay);
  CHECK(noteSuccess(Health));
  CHECK_FALSE(Health.IsQuarantined);
}
