// Plays the feed of jobs against a store, over the orders in which clients
// write, the history is lost, and reads and watches are evaluated and answered.
// Time is the revision of the store, so that the feed's claim to know all
// changes before some time can be checked against the store.

#include "core/job/batch/job_feed.hpp"
#include "core/job/batch/records.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <set>
#include <sstream>
#include <unordered_set>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

struct model_settings {
  std::vector<std::string> Jobs{"a", "b", "c"};
  std::size_t Writes = 6;
  int Losses = 2;
  int Failures = 1;
  std::size_t PageItems = 2;
  std::size_t WatchItems = std::numeric_limits<std::size_t>::max();
  bool HasRepeats = false; // cancellations are written again
  std::size_t MaxKept = 1'000;
};

std::string specRecord(const std::string &Job) {
  static std::map<std::string, std::string> Records;
  std::string &Record = Records[Job];
  if (Record.empty()) {
    job_spec Spec;
    Spec.Id = job_id(Job);
    step_spec Step;
    Step.Count = 1;
    Spec.Steps = {Step};
    Record = printSpec(Spec);
  }
  return Record;
}

/// A key as it sorts in the store: a cancellation follows its job.
struct request_key {
  std::string Job;
  bool IsCancellation = false;
  friend auto operator<=>(const request_key &, const request_key &) = default;
};

std::string print(const request_key &Key) {
  return Key.Job + (Key.IsCancellation ? "/" : "");
}

/// A page that the store has read and not answered yet.
struct page_answer {
  page_request Asked;
  requests_read Read;
};

/// The same of a watch.
struct watch_answer {
  bool IsLost = false; // the history after its revision
  requests_watched Watched;
};

enum class action {
  SubmitOrCancel, // and the number of the job
  LoseHistory,
  Read,
  FailRead,
  Watch,
  FailWatch,
};

class model {
public:
  explicit model(const model_settings &Settings)
      : Settings(&Settings), Feed([&] {
          job_feed_settings Limits;
          Limits.MaxKept = Settings.MaxKept;
          return Limits;
        }()) {
    advance(feed_begun{});
  }

  struct choice {
    action What;
    std::size_t Job = 0;
  };

  [[nodiscard]] std::vector<choice> choices() const {
    std::vector<choice> Choices;
    if (Written < Settings->Writes)
      for (std::size_t I = 0; I < Settings->Jobs.size(); ++I) {
        const bool IsOver = Items.contains({Settings->Jobs[I], true});
        if (!IsOver || Settings->HasRepeats)
          Choices.push_back({action::SubmitOrCancel, I});
      }
    if (Lost < Settings->Losses && Compacted < Revision)
      Choices.push_back({action::LoseHistory});
    if (Page || nextPage(Feed))
      Choices.push_back({action::Read});
    if (Page && Failed < Settings->Failures)
      Choices.push_back({action::FailRead});
    if (Watch || nextWatch(Feed))
      Choices.push_back({action::Watch});
    if (Watch && Failed < Settings->Failures)
      Choices.push_back({action::FailWatch});
    return Choices;
  }

  void act(const choice &Choice) {
    switch (Choice.What) {
    case action::SubmitOrCancel:
      write(Settings->Jobs[Choice.Job]);
      return;
    case action::LoseHistory:
      ++Lost;
      Compacted = ++Revision;
      return;
    case action::Read:
      read();
      return;
    case action::FailRead:
      ++Failed;
      Page.reset();
      return;
    case action::Watch:
      watch();
      return;
    case action::FailWatch:
      ++Failed;
      Watch.reset();
      advance(watch_failed{});
      return;
    }
  }

  /// Answers everything; then the feed must know what the store holds.
  void settle() {
    constexpr int Rounds = 200; // more than any history here needs
    for (int Round = 0; Round < Rounds; ++Round) {
      if (Page || nextPage(Feed))
        read();
      if (Watch || nextWatch(Feed))
        watch();
      const bool IsCurrent = Feed.AsOf >= instant(milliseconds(Revision));
      if (IsCurrent && !Feed.Gap)
        break;
    }
    for (const auto &[Key, ItemRevision] : Items) {
      const auto Known = Received.find(Key.Job);
      if (Known == Received.end())
        violate("job " + Key.Job + " is never reported");
      else if (Key.IsCancellation && !Known->second)
        violate("the cancellation of " + Key.Job + " is never reported");
    }
    if (Feed.AsOf < instant(milliseconds(Revision)))
      violate("the feed never claims to be current");
    if (!Feed.Kept.empty())
      violate("cancellations are kept for good");
  }

  /// Equal for states that can't differ in what follows.
  [[nodiscard]] std::string print() const {
    std::ostringstream Text;
    const auto At = [](instant When) {
      return When.time_since_epoch().count();
    };
    Text << Revision << ' ' << Compacted << ' ' << Written << ' ' << Lost << ' '
         << Failed;
    for (const auto &[Key, ItemRevision] : Items)
      Text << ' ' << ::print(Key) << ItemRevision;
    // A claim that isn't repeated was checked when it was made: AsOf and, where
    // they can't be claimed any more, other times make no difference.
    Text << '|' << static_cast<int>(Feed.Phase) << Feed.After << ' '
         << Feed.WatchAfter;
    if (Feed.Phase != feed_phase::Following)
      Text << 'l' << At(Feed.LoadSent);
    if (Feed.Gap)
      Text << 'g' << At(Feed.WatchedAsOf);
    for (const auto &[Id, Job] : Feed.Loaded)
      Text << ' ' << Id.Value << Job.IsCancelled << Job.Progress.has_value();
    Text << '|';
    for (const auto &[Id, Progress] : Feed.Known)
      Text << Id.Value;
    for (const auto &[Id, Kept] : Feed.Kept)
      Text << ' ' << Id.Value << Kept.Revision;
    if (Feed.Gap)
      Text << '|' << Feed.Gap->From << ' ' << Feed.Gap->Revision << ' '
           << At(Feed.Gap->Sent) << Feed.Gap->MustReadAgain;
    for (const auto &[Job, IsCancelled] : Received)
      Text << ' ' << Job << IsCancelled;
    if (Page) {
      Text << "|p" << Page->Asked.IsProgress << ' ' << At(Page->Read.Sent)
           << Page->Read.Next;
      for (const stored_request &Request : Page->Read.Requests)
        Text << ' ' << Request.Job.Value << Request.IsCancellation
             << Request.Revision;
    }
    if (Watch)
      Text << "|w" << Watch->IsLost << Watch->Watched.Revision << ' '
           << Watch->Watched.IsWhole << Watch->Watched.Requests.size();
    return Text.str();
  }

  /// Whether the clients have written all that they will.
  [[nodiscard]] bool isWritten() const { return Written == Settings->Writes; }

  [[nodiscard]] const std::string &violation() const { return Violation; }

private:
  [[nodiscard]] instant now() const { return instant(milliseconds(Revision)); }

  void write(const std::string &Job) {
    ++Written;
    const bool IsCancellation = Items.contains({Job, false});
    Items[{Job, IsCancellation}] = ++Revision;
    History.push_back({job_id(Job), IsCancellation, Revision,
                       IsCancellation ? "{}" : specRecord(Job)});
  }

  void read() {
    if (!Page) {
      const page_request Asked = *nextPage(Feed);
      Page = {Asked, evaluate(Asked)};
      return;
    }
    page_answer Answer = *std::exchange(Page, std::nullopt);
    if (!Answer.Asked.IsProgress) {
      advance(std::move(Answer.Read));
      return;
    }
    progress_read Read{{}, Answer.Read.Next};
    for (const stored_request &Request : Answer.Read.Requests)
      Read.Records.push_back(
          {Request.Job, Request.Revision, printProgress(job_progress())});
    advance(std::move(Read));
  }

  [[nodiscard]] requests_read evaluate(const page_request &Request) const {
    requests_read Read;
    Read.Sent = now();
    Read.Revision = Revision;
    for (const auto &[Key, ItemRevision] : Items) {
      const bool IsOnPage =
          ::print(Key) > Request.After &&
          !(Request.IsProgress && Key.IsCancellation); // no such record
      if (!IsOnPage)
        continue;
      if (Read.Requests.size() == Settings->PageItems) {
        const stored_request &Last = Read.Requests.back();
        Read.Next = ::print({Last.Job.Value, Last.IsCancellation});
        break;
      }
      Read.Requests.push_back(
          {job_id(Key.Job), Key.IsCancellation, ItemRevision,
           Key.IsCancellation ? "{}" : specRecord(Key.Job)});
    }
    return Read;
  }

  void watch() {
    if (!Watch) {
      const std::int64_t After = nextWatch(Feed)->After;
      Watch = {After < Compacted, {now(), Revision, true, {}}};
      requests_watched &Watched = Watch->Watched;
      for (const stored_request &Change : History) {
        if (Change.Revision <= After)
          continue;
        Watched.IsWhole = Watched.Requests.size() < Settings->WatchItems;
        if (!Watched.IsWhole) {
          Watched.Revision = Watched.Requests.back().Revision;
          break;
        }
        Watched.Requests.push_back(Change);
      }
      return;
    }
    watch_answer Answer = *std::exchange(Watch, std::nullopt);
    if (Answer.IsLost)
      advance(history_lost{Revision});
    else
      advance(std::move(Answer.Watched));
  }

  void advance(decltype(feed_event::What) What) {
    feed_output Output = reduce(Feed, {now(), std::move(What)});
    for (const auto &Event : Output.Events) {
      if (const auto *Job = std::get_if<job_found>(&Event))
        receiveJob(Job->Spec.Id.Value);
      if (const auto *Cancel = std::get_if<cancel_requested>(&Event))
        receiveCancellation(Cancel->Job.Value);
    }
    for (const auto &Event : Output.Events)
      if (const auto *Current = std::get_if<requests_current>(&Event))
        checkCurrent(Current->AsOf);
  }

  void receiveJob(const std::string &Job) {
    if (!Received.try_emplace(Job, false).second)
      violate("job " + Job + " is reported twice");
  }
  void receiveCancellation(const std::string &Job) {
    const auto Known = Received.find(Job);
    if (Known == Received.end())
      violate("the cancellation of " + Job + " is reported before the job");
    else
      Known->second = true;
  }
  void checkCurrent(instant AsOf) {
    for (const auto &[Key, ItemRevision] : Items) {
      if (instant(milliseconds(ItemRevision)) > AsOf)
        continue;
      const auto Known = Received.find(Key.Job);
      if (Known == Received.end() || (Key.IsCancellation && !Known->second))
        violate(::print(Key) + " of revision " + std::to_string(ItemRevision) +
                " is unknown though the feed claims to be current as of " +
                std::to_string(AsOf.time_since_epoch().count()));
    }
  }
  void violate(const std::string &What) {
    if (Violation.empty())
      Violation = What;
  }

  const model_settings *Settings;
  job_feed Feed;
  std::map<request_key, std::int64_t> Items; // revisions
  std::vector<stored_request> History;
  std::int64_t Revision = 1;
  std::int64_t Compacted = 0;
  std::size_t Written = 0;
  int Lost = 0;
  int Failed = 0;
  std::optional<page_answer> Page;
  std::optional<watch_answer> Watch;
  std::map<std::string, bool> Received; // jobs, and whether cancelled
  std::string Violation;
};

/// Plays all orders. Returns the number of states in which the clients have
/// written everything, or stops at a violation.
std::size_t playAllOrders(const model_settings &Settings) {
  std::unordered_set<std::size_t> Seen; // hashes
  std::vector<model> Open{model(Settings)};
  std::size_t Settled = 0;
  while (!Open.empty()) {
    model State = std::move(Open.back());
    Open.pop_back();
    for (const model::choice &Choice : State.choices()) {
      model Next = State;
      Next.act(Choice);
      if (Seen.insert(std::hash<std::string>()(Next.print())).second)
        Open.push_back(std::move(Next));
    }
    if (State.isWritten()) {
      ++Settled;
      State.settle();
    }
    if (!State.violation().empty()) {
      FAIL(State.violation() << " after " << State.print());
    }
  }
  return Settled;
}

/// Larger bounds than the default ones take minutes; for runs by hand.
int fromEnvironment(const char *Name, int Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::atoi(Text) : Default;
}

template <typename Value>
Value draw(std::mt19937_64 &Random, const std::vector<Value> &Values) {
  std::uniform_int_distribution<std::size_t> Index(0, Values.size() - 1);
  return Values[Index(Random)];
}

/// Plays one order that is drawn from the seed.
std::string playDrawn(const model_settings &Settings, std::uint64_t Seed) {
  constexpr int Steps = 400;
  std::mt19937_64 Random(Seed);
  model State(Settings);
  for (int Step = 0; Step < Steps && State.violation().empty(); ++Step) {
    const auto Choices = State.choices();
    if (Choices.empty())
      break;
    // As many losses, failures and answers as writes, whatever the job.
    std::set<action> Kinds;
    for (const model::choice &Choice : Choices)
      Kinds.insert(Choice.What);
    const action Kind = draw(Random, std::vector(Kinds.begin(), Kinds.end()));
    std::vector<model::choice> OfKind;
    std::ranges::copy_if(
        Choices, std::back_inserter(OfKind),
        [&](const model::choice &Choice) { return Choice.What == Kind; });
    State.act(draw(Random, OfKind));
  }
  State.settle();
  return State.violation();
}

} // namespace

// Guards against cancellations that are lost or claimed to be known while they
// aren't, and against jobs reported twice or never.
TEST_CASE("job feed: it knows what the store holds after any order of writes "
          "and losses of the history") {
  model_settings Settings;
  Settings.Writes = static_cast<std::size_t>(fromEnvironment("FEED_WRITES", 3));
  Settings.Losses = fromEnvironment("FEED_LOSSES", 2);
  Settings.Failures = 0;
  Settings.Jobs.clear(); // each is submitted and cancelled
  for (std::size_t I = 0; 2 * I < Settings.Writes; ++I)
    Settings.Jobs.emplace_back(1, static_cast<char>('a' + I));
  CHECK(playAllOrders(Settings) > 1'000);
}

TEST_CASE("job feed: it knows what the store holds after drawn orders of many "
          "writes, losses and failures") {
  model_settings Settings;
  Settings.Jobs.clear();
  for (char Name = 'a'; Name <= 'p'; ++Name)
    Settings.Jobs.emplace_back(1, Name);
  Settings.Writes = 50;
  Settings.Losses = 10;
  Settings.Failures = 10;
  Settings.HasRepeats = true;
  for (const std::size_t MaxKept :
       {std::size_t{0}, std::size_t{1}, std::size_t{2}, std::size_t{1'000}}) {
    Settings.MaxKept = MaxKept;
    for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
      Settings.PageItems = 1 + Seed % 5;
      CAPTURE(MaxKept, Seed);
      REQUIRE(playDrawn(Settings, Seed) == "");
    }
  }
}

// Guards against starts by a leader that takes a part of the changes for all.
TEST_CASE("job feed: it knows what the store holds after drawn orders in which "
          "answers to watches are cut") {
  model_settings Settings;
  Settings.Jobs = {"a", "b", "c", "d", "e", "f"};
  Settings.Writes = 30;
  Settings.Losses = 4;
  Settings.Failures = 4;
  Settings.HasRepeats = true;
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    Settings.WatchItems = 1 + Seed % 4;
    CAPTURE(Seed);
    REQUIRE(playDrawn(Settings, Seed) == "");
  }
}
