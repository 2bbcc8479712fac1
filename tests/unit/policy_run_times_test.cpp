#include "core/job/policy/run_times.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;

TEST_CASE("the declared run time is used until enough jobs have ended") {
  run_time_estimator Estimator;
  job_spec Spec;
  Spec.Organisation = organisation_id("a");
  Spec.DeclaredRunTime = seconds(5);
  for (int I = 0; I < 7; ++I)
    Estimator.add(Spec, seconds(600));
  CHECK(Estimator.estimate(Spec, 0.9) == seconds(5));
  Estimator.add(Spec, seconds(600));
  CHECK(Estimator.estimate(Spec, 0.9) >= seconds(600));
  CHECK(Estimator.estimate(Spec, 0.9) < seconds(900));
}

TEST_CASE("quantiles are estimated for each organisation and class") {
  run_time_estimator Estimator;
  job_spec Spec;
  for (int I = 1; I <= 100; ++I)
    Estimator.add(Spec, seconds(10 * I));
  CHECK(Estimator.estimate(Spec, 0.5) < seconds(800));
  CHECK(Estimator.estimate(Spec, 0.99) > seconds(900));
  job_spec Other = Spec;
  Other.Class = work_class::Urgent;
  CHECK(Estimator.estimate(Other, 0.5) == Other.DeclaredRunTime);
}
