#include "core/request/entry_state.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <random>

using namespace galenastage;

namespace {

constexpr int Slots = 8;
constexpr int ExecutorCount = 5;
constexpr milliseconds Step{100};
constexpr milliseconds PollInterval{500};
constexpr milliseconds MaxListLag{2'000};
constexpr milliseconds LongestRequest{5'000};
constexpr milliseconds ShareWait = MaxListLag + PollInterval + LongestRequest;

/// A request at an executor. It continues when its entry instance crashes.
struct running_request {
  int Member;
  int Executor;
  instant Ends;
};

struct simulated_member {
  entry_state State;
  bool IsAlive = true;    // false: crashed or stopped
  bool IsLeaving = false; // starts no new requests
  std::map<int, int> Share;
};

/// Entry instances that always use their whole share, while instances join,
/// leave and crash and each sees an outdated instance list.
class share_simulation {
public:
  explicit share_simulation(std::uint64_t Seed) : Random(Seed) {
    for (int I = 0; I < 3; ++I)
      join();
  }

  /// Runs and returns the largest number of concurrent requests at an executor.
  int run(milliseconds Duration) {
    int Most = 0;
    for (const instant End = Now + Duration; Now < End; Now += Step) {
      changeMembers();
      Lists.push_back({Now, Listed});
      for (std::size_t I = 0; I < Members.size(); ++I)
        act(static_cast<int>(I));
      std::erase_if(Running, [&](const running_request &Request) {
        return Request.Ends <= Now;
      });
      Most = std::max(Most, mostAtOnce());
    }
    return Most;
  }

  [[nodiscard]] std::size_t started() const { return Started; }

private:
  bool chance(int OneIn) { return Random() % OneIn == 0; }
  milliseconds upTo(milliseconds Limit) {
    return milliseconds(Random() % (Limit.count() + 1));
  }

  void join() {
    entry_settings Settings;
    Settings.Self = instance_id("entry-" + std::to_string(Members.size()));
    Settings.DataCentre = data_centre_id("north-a");
    Settings.SlotsPerExecutor = Slots;
    Settings.ShareWait = ShareWait;
    simulated_member Member{entry_state(Settings), true, false, {}};
    tables Tables;
    Tables.Version = 1;
    Tables.DataCentres.push_back({Settings.DataCentre, "north", true});
    reduce(Member.State,
           {Now, tables_seen{std::make_shared<tables>(Tables), Now}});
    reduce(Member.State, {Now, executors()});
    Listed.push_back(Settings.Self);
    Members.push_back(std::move(Member));
  }

  static executors_seen executors() {
    executors_seen Seen;
    for (int I = 0; I < ExecutorCount; ++I) {
      executor_row Row;
      Row.Executor = executor_id(std::to_string(I));
      Row.DataCentre = data_centre_id("north-a");
      Seen.Executors.push_back(Row);
    }
    return Seen;
  }

  /// Joins, graceful shutdowns and crashes at random.
  void changeMembers() {
    if (chance(60) && aliveCount() < 8)
      join();
    if (!chance(80))
      return;
    const std::size_t Index = Random() % Members.size();
    simulated_member &Member = Members[Index];
    if (!Member.IsAlive)
      return;
    if (chance(2))
      Member.IsLeaving = true;
    else
      Member.IsAlive = false;
    std::erase(Listed, Member.State.Settings.Self);
  }

  [[nodiscard]] int aliveCount() const {
    int Count = 0;
    for (const simulated_member &Member : Members)
      Count += Member.IsAlive && !Member.IsLeaving ? 1 : 0;
    return Count;
  }

  /// The list as of a random instant within MaxListLag.
  std::vector<instance_id> laggingList() {
    const instant AsOf = Now - upTo(MaxListLag);
    while (Lists.size() > 1 && Lists[1].first <= Now - MaxListLag)
      Lists.pop_front();
    std::vector<instance_id> Seen = Lists.front().second;
    for (const auto &[Moment, List] : Lists)
      if (Moment <= AsOf)
        Seen = List;
    return Seen;
  }

  void act(int Index) {
    simulated_member &Member = Members[Index];
    if (!Member.IsAlive)
      return;
    if ((Now.time_since_epoch() + Index * Step) % PollInterval ==
        milliseconds(0))
      poll(Member);
    if (Member.IsLeaving)
      return;
    for (const auto &[Executor, Share] : Member.Share)
      while (ownAt(Index, Executor) < Share)
        start(Index, Executor);
  }

  void poll(simulated_member &Member) {
    const auto Effects =
        reduce(Member.State, {Now, members_seen{laggingList()}});
    for (const entry_effect &Effect : Effects)
      if (const auto *Publish = std::get_if<publish_snapshot>(&Effect))
        for (const executor_choice &Choice : Publish->Snapshot->Executors)
          Member.Share[std::stoi(Choice.Row.Executor.Value)] = Choice.Slots;
  }

  void start(int Index, int Executor) {
    Running.push_back(
        {Index, Executor, Now + Step + upTo(LongestRequest - Step)});
    ++Started;
  }

  [[nodiscard]] int ownAt(int Member, int Executor) const {
    int Count = 0;
    for (const running_request &Request : Running)
      Count += Request.Member == Member && Request.Executor == Executor ? 1 : 0;
    return Count;
  }

  [[nodiscard]] int mostAtOnce() const {
    std::array<int, ExecutorCount> Counts{};
    for (const running_request &Request : Running)
      ++Counts[Request.Executor];
    return *std::ranges::max_element(Counts);
  }

  std::mt19937_64 Random;
  instant Now{milliseconds(100'000)};
  std::vector<simulated_member> Members;
  std::vector<instance_id> Listed;
  std::deque<std::pair<instant, std::vector<instance_id>>> Lists;
  std::vector<running_request> Running;
  std::size_t Started = 0;
};

} // namespace

TEST_CASE("no executor exceeds its slots while members join, leave and crash") {
  std::size_t Started = 0;
  int Most = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    share_simulation Simulation(Seed);
    const int MostOfSeed = Simulation.run(seconds(120));
    CHECK(MostOfSeed <= Slots);
    Most = std::max(Most, MostOfSeed);
    Started += Simulation.started();
  }
  CHECK(Most == Slots); // the limit is reached, so an excess would show
  CHECK(Started > 40'000);
}

TEST_CASE("a new instance waits for ShareWait before it uses its share") {
  const std::vector<instance_id> Both = {instance_id("a"), instance_id("b")};
  const executor_id Executor("executor");
  member_history History;
  const instant Start{milliseconds(1'000)};
  noteMembers(History, Both, Start, ShareWait);
  CHECK(safeShare(History, Executor, Both[1], Slots) == 0);
  noteMembers(History, Both, Start + ShareWait - Step, ShareWait);
  CHECK(safeShare(History, Executor, Both[1], Slots) == 0);
  noteMembers(History, Both, Start + ShareWait, ShareWait);
  CHECK(safeShare(History, Executor, Both[1], Slots) == Slots / 2);
}

TEST_CASE("a share shrinks immediately and grows after ShareWait") {
  const instance_id Self("a");
  const std::vector<instance_id> One = {Self};
  const std::vector<instance_id> Two = {Self, instance_id("b")};
  const executor_id Executor("executor");
  member_history History;
  instant Now{milliseconds(1'000)};
  noteMembers(History, One, Now, ShareWait);
  Now += ShareWait;
  noteMembers(History, One, Now, ShareWait);
  CHECK(safeShare(History, Executor, Self, Slots) == Slots);
  Now += Step;
  noteMembers(History, Two, Now, ShareWait);
  CHECK(safeShare(History, Executor, Self, Slots) == Slots / 2);
  Now += Step;
  noteMembers(History, One, Now, ShareWait);
  Now += ShareWait;
  noteMembers(History, One, Now, ShareWait);
  CHECK(safeShare(History, Executor, Self, Slots) == Slots / 2);
  Now += Step;
  noteMembers(History, One, Now, ShareWait);
  CHECK(safeShare(History, Executor, Self, Slots) == Slots);
}
