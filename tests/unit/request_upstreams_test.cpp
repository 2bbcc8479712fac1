#include "core/request/upstreams.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace galenastage;

namespace {

const instant Start{milliseconds(1'000)};

executor_choice choice(int Index, const char *DataCentre = "north-a") {
  executor_choice Choice;
  Choice.Row.Executor = executor_id(std::to_string(Index));
  Choice.Row.Service = service_id("portal-core");
  Choice.Row.DataCentre = data_centre_id(DataCentre);
  Choice.Slots = 8;
  return Choice;
}

upstreams upstreamsOf(int Count) {
  upstreams Upstreams;
  Upstreams.DataCentre = data_centre_id("north-a");
  std::vector<executor_choice> Listed;
  for (int I = 0; I < Count; ++I)
    Listed.push_back(choice(I));
  replaceExecutors(Upstreams, Listed);
  return Upstreams;
}

executor_query query(bool IsIdempotent = true) {
  executor_query Query;
  Query.Service = service_id("portal-core");
  Query.IsIdempotent = IsIdempotent;
  return Query;
}

int ejectedCount(const upstreams &Upstreams) {
  int Count = 0;
  for (const upstream_executor &Executor : Upstreams.Executors)
    Count += Executor.IsEjected ? 1 : 0;
  return Count;
}

std::uint64_t scrambled(std::uint64_t Number) {
  Number = (Number ^ (Number >> 31)) * 0x9e3779b97f4a7c15;
  return Number ^ (Number >> 29);
}

} // namespace

TEST_CASE("executors are evenly loaded") {
  upstreams Upstreams = upstreamsOf(50);
  for (std::uint64_t I = 1; I <= 200; ++I)
    ++chooseExecutor(Upstreams, query(), scrambled(I), Start)->Outstanding;
  for (const upstream_executor &Executor : Upstreams.Executors) {
    CHECK(Executor.Outstanding >= 1);
    CHECK(Executor.Outstanding <= 6);
  }
}

TEST_CASE("slots are never exceeded, also when the share shrinks") {
  upstreams Upstreams = upstreamsOf(1);
  for (std::uint64_t I = 0; I < 8; ++I)
    ++chooseExecutor(Upstreams, query(), I, Start)->Outstanding;
  CHECK(chooseExecutor(Upstreams, query(), 9, Start) == nullptr);
  executor_choice Smaller = choice(0);
  Smaller.Slots = 4;
  replaceExecutors(Upstreams, std::vector{Smaller});
  Upstreams.Executors.front().Outstanding = 4;
  CHECK(chooseExecutor(Upstreams, query(), 9, Start) == nullptr);
}

TEST_CASE("an unlisted executor is kept until its requests end") {
  upstreams Upstreams = upstreamsOf(1);
  Upstreams.Executors.front().Outstanding = 3;
  replaceExecutors(Upstreams, {});
  REQUIRE(Upstreams.Executors.size() == 1);
  CHECK(chooseExecutor(Upstreams, query(), 1, Start) == nullptr);
  replaceExecutors(Upstreams, std::vector{choice(0)});
  CHECK(Upstreams.Executors.front().Outstanding == 3);
}

TEST_CASE("other data centres are used only when the local one is full") {
  upstreams Upstreams = upstreamsOf(1);
  replaceExecutors(Upstreams, std::vector{choice(0), choice(1, "north-b")});
  CHECK(chooseExecutor(Upstreams, query(), 3, Start)->Row.Executor.Value ==
        "0");
  Upstreams.Executors.front().Outstanding = 8;
  CHECK(chooseExecutor(Upstreams, query(), 3, Start)->Row.Executor.Value ==
        "1");
  executor_query Bound = query();
  Bound.DataCentres = {data_centre_id("north-a")};
  CHECK(chooseExecutor(Upstreams, Bound, 3, Start) == nullptr);
}

TEST_CASE("outliers are ejected by kind of failure, at most half of them") {
  struct outcome_case {
    try_outcome Outcome;
    int Strikes; // failures in a row that eject
  };
  const outcome_case Case = GENERATE(values<outcome_case>({
      {try_outcome::AnsweredClosing, 2},
      {try_outcome::Refused, 1},
      {try_outcome::ConnectFailed, 1},
      {try_outcome::AnsweredError, 5},
      {try_outcome::Failed, 5},
  }));
  upstreams Upstreams = upstreamsOf(9);
  for (upstream_executor &Executor : Upstreams.Executors)
    noteOutcome(Upstreams, Executor, try_outcome::Answered, Start);
  for (int I = 1; I <= Case.Strikes; ++I) {
    CHECK_FALSE(Upstreams.Executors.front().IsEjected);
    noteOutcome(Upstreams, Upstreams.Executors.front(), Case.Outcome, Start);
  }
  CHECK(Upstreams.Executors.front().IsEjected);
  for (upstream_executor &Executor : Upstreams.Executors)
    for (int I = 0; I < Case.Strikes; ++I)
      noteOutcome(Upstreams, Executor, Case.Outcome, Start);
  CHECK(ejectedCount(Upstreams) == 4);
}

TEST_CASE("an ejected executor gets one probe and is reinstated on success") {
  upstreams Upstreams = upstreamsOf(2);
  upstream_executor &Ejected = Upstreams.Executors.front();
  noteOutcome(Upstreams, Ejected, try_outcome::ConnectFailed, Start);
  REQUIRE(Ejected.IsEjected);
  Upstreams.Executors.back().Outstanding = 8;
  const instant Due = Ejected.EjectedUntil;
  CHECK(chooseExecutor(Upstreams, query(), 1, Due - milliseconds(1)) ==
        nullptr);
  CHECK(chooseExecutor(Upstreams, query(), 1, Due) == &Ejected);
  ++Ejected.Outstanding;
  CHECK(chooseExecutor(Upstreams, query(), 1, Due) == nullptr);

  noteOutcome(Upstreams, Ejected, try_outcome::ConnectFailed, Due);
  CHECK(Ejected.EjectedUntil - Due > Due - Start); // the pause has doubled

  noteOutcome(Upstreams, Ejected, try_outcome::Answered, Due);
  CHECK_FALSE(Ejected.IsEjected);
  CHECK(Ejected.Ejections == 0);
}

TEST_CASE("an executor that always closes its connections stays in use") {
  upstreams Upstreams = upstreamsOf(2);
  upstream_executor &Closer = Upstreams.Executors.front();
  for (int I = 0; I < 10; ++I)
    noteOutcome(Upstreams, Closer, try_outcome::AnsweredClosing, Start);
  CHECK_FALSE(Closer.IsEjected);

  noteOutcome(Upstreams, Closer, try_outcome::Answered, Start);
  instant Now = Start;
  for (int I = 0; I < 8; ++I) {
    noteOutcome(Upstreams, Closer, try_outcome::AnsweredClosing, Now);
    Now = std::max(Now, Closer.EjectedUntil);
  }
  CHECK_FALSE(
      Closer.IsEjected); // it isn't shutting down, it now closes every time
}
