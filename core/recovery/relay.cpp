#include "core/recovery/relay.hpp"

#include <algorithm>

namespace galenastage {
namespace detail {
namespace {

/// Whether a data centre is known to have reached the store recently.
bool reachesStore(const relay_state &State, const data_centre_id &DataCentre,
                  instant Now) {
  const auto Found = State.Reach.find(DataCentre);
  if (Found == State.Reach.end() || Found->second.ReachedAt == Never)
    return false;
  // Of another data centre nothing newer is known than its last report.
  const bool IsOwn = DataCentre == State.Settings.DataCentre;
  const instant KnownAt = IsOwn ? Now : Found->second.ReportedAt;
  return Found->second.ReachedAt + State.Settings.AskPeersAfter >= KnownAt;
}

} // namespace
} // namespace detail

namespace {

constexpr std::string_view ReaderPurpose = "store-reader";
constexpr std::string_view LeaderPurpose = "scheduling-leader";

/// Applies one event to the state and collects the effects.
struct relay_reducer {
  relay_state &State;
  const instant Now;
  relay_effects &Effects;

  // Events
  void apply(const relay_ticked &);
  void apply(const entries_listed &Event);
  void apply(const link_opened &Event);
  void apply(const link_closed &Event);
  void apply(const link_failed &Event);
  void apply(const message_received &Event);
  void apply(const store_answered &Event);
  void apply(const watch_reported &Event);
  void apply(const edit_stored &Event);
  void apply(const store_restored &Event);
  void apply(const leading_changed &Event);

  // Tables and evidence
  bool adopt(const tables_text &Heard);
  void confirm(std::uint64_t Version, instant AsOf);
  void publish();
  void publishLeader();
  void noteReached(instant At);
  void applyStoredTables(const store_answered &Event);
  void checkLowerRead(const store_answered &Event);

  // Reading the store
  [[nodiscard]] int readerRank() const;
  [[nodiscard]] bool shouldRead(int Rank) const;
  void readWhenDue();
  void setWatch(bool IsWanted);

  // Links
  void connect();
  void connectTo(const instance_id &Name);
  void closeSilentLinks();
  void sendDue();
  [[nodiscard]] bool reachesStore(const data_centre_id &DataCentre) const;
  [[nodiscard]] milliseconds sendInterval(const peer_link &Link) const;
  void sendTo(link_id Id, peer_link &Link);
  void sendNow(bool IsLocalOnly);
  [[nodiscard]] bool isLinked(const instance_id &Name) const;
  [[nodiscard]] bool isRemote(const peer_link &Link) const;
  void applyStatements(const peer_message &Message, instant MadeAt);
  void applyMember(const member_statement &Statement,
                   const data_centre_id &DataCentre, instant MadeAt);
  void applyLeader(const leader_statement &Leader, instant MadeAt);

  void log(const log_event &Event, std::vector<log_field> Fields) {
    Effects.push_back(write_log{{&Event, std::move(Fields)}});
  }
};

milliseconds ageOf(instant Moment, instant Now) {
  return Moment == Never ? milliseconds(-1)
                         : std::max(Now - Moment, milliseconds(0));
}

/// Converts an age, as of when a message was made, to an instant.
instant instantOfAge(milliseconds Age, instant MadeAt) {
  return Age < milliseconds(0) || MadeAt == Never ? Never : MadeAt - Age;
}

std::vector<data_centre_id> dataCentresOf(const tables &Tables) {
  std::vector<data_centre_id> Names;
  for (const data_centre_row &Row : Tables.DataCentres)
    Names.push_back(Row.Name);
  return Names;
}

// Tables and evidence

/// Puts tables in force if they are newer than the current ones.
bool relay_reducer::adopt(const tables_text &Heard) {
  if (!Heard.Tables || Heard.version() <= State.InForce.version())
    return false;
  State.InForce = Heard;
  return true;
}

/// Notes evidence that no tables newer than Version existed at AsOf.
void relay_reducer::confirm(std::uint64_t Version, instant AsOf) {
  if (Version < State.InForce.version())
    return; // a source with older tables can't vouch for the current ones
  State.AsOf = std::max(State.AsOf, AsOf);
}

void relay_reducer::publish() {
  if (!State.InForce.Tables)
    return;
  // Only entry instances store edits, so only they may report for their data
  // centre; a scheduler uses the reports that it receives from them.
  if (State.Settings.Kind == process_kind::Entry)
    mergeStoreContact(State.Reach, State.Settings.DataCentre, {Now, Never});
  const instant OutageAsOf =
      outageKnownAt(State.Reach, dataCentresOf(*State.InForce.Tables),
                    State.Settings.CutOffAfter);
  Effects.push_back(
      publish_tables{{State.InForce.Tables, State.AsOf, OutageAsOf}});
}

void relay_reducer::noteReached(instant At) {
  State.OwnReachedAt = std::max(State.OwnReachedAt, At);
  mergeStoreContact(State.Reach, State.Settings.DataCentre, {Now, At});
}

void relay_reducer::apply(const store_answered &Event) {
  State.IsReadInFlight = false;
  const bool IsReached = !Event.Error;
  if (IsReached != State.WasReached) {
    State.WasReached = IsReached;
    if (IsReached)
      log(events::StoreReachable, {});
    else
      log(events::StoreUnreachable, {{"error", Event.Error.message()}});
  }
  if (!IsReached) {
    setWatch(false);
    return;
  }
  noteReached(Event.SentAt);
  applyStoredTables(Event);
}

void relay_reducer::applyStoredTables(const store_answered &Event) {
  const bool IsNew = adopt(Event.Stored);
  const bool IsLower = Event.Stored.version() < State.InForce.version() ||
                       Event.Revision < State.HighestRevision;
  if (IsLower && !IsNew) {
    checkLowerRead(Event);
    return;
  }
  State.LowerReads = 0;
  State.HighestRevision = std::max(State.HighestRevision, Event.Revision);
  confirm(Event.Stored.version(), Event.SentAt);
  setWatch(true);
  publish();
  sendNow(!IsNew);
}

/// A read of older tables or a lower revision is either stale or means that the
/// store was restored from an old copy. Only a conditional write can tell.
void relay_reducer::checkLowerRead(const store_answered &Event) {
  ++State.LowerReads;
  const bool IsCheckDue =
      State.LowerReads >= State.Settings.LowerReadsUntilCheck;
  if (!IsCheckDue || State.IsRestoring || !State.InForce.Tables)
    return;
  State.IsRestoring = true;
  State.LowerReads = 0;
  log(events::StoreBehind,
      {{"stored", std::to_string(Event.Stored.version())},
       {"in_force", std::to_string(State.InForce.version())}});
  Effects.push_back(restore_store{State.InForce, Event.ModRevision});
}

void relay_reducer::apply(const store_restored &Event) {
  State.IsRestoring = false;
  if (!Event.IsApplied)
    return;
  State.HighestRevision = Event.Revision;
  log(events::TablesRestored,
      {{"version", std::to_string(State.InForce.version())}});
}

void relay_reducer::apply(const watch_reported &Event) {
  if (!adopt(Event.Stored))
    return;
  publish();
  sendNow(false);
}

void relay_reducer::apply(const edit_stored &Event) {
  noteReached(Now);
  if (!adopt(Event.Stored))
    return;
  publish();
  sendNow(false);
}

// Reading the store

int relay_reducer::readerRank() const {
  const auto Ranked =
      rankMembers(State.Membership, State.Settings.DataCentre,
                  process_kind::Entry, State.Settings.Self, ReaderPurpose, Now);
  const auto Found = std::ranges::find(Ranked, State.Settings.Self);
  const int Rank = static_cast<int>(Found - Ranked.begin());
  if (State.Settings.Kind == process_kind::Entry)
    return Rank;
  // A scheduler reads only when there is no live entry instance.
  const int Entries = static_cast<int>(Ranked.size()) - 1;
  return Entries == 0 ? 1 : State.Settings.MaxReaders;
}

/// Whether the reader of this rank has to read the store: the first always,
/// another one when those ranked before it deliver no evidence in time, and
/// until they deliver it again.
bool relay_reducer::shouldRead(int Rank) const {
  if (Rank == 0)
    return true;
  if (Rank >= State.Settings.MaxReaders)
    return false;
  const auto Own = State.Reach.find(State.Settings.DataCentre);
  if (Own == State.Reach.end() || Own->second.ReachedAt == Never)
    return true;
  const instant Last = Own->second.ReachedAt;
  if (Last == State.OwnReachedAt)
    return true;
  return Last + State.Settings.ReadInterval +
             Rank * State.Settings.ReaderFailoverStep <
         Now;
}

void relay_reducer::readWhenDue() {
  const int Rank = readerRank();
  if (!shouldRead(Rank)) {
    setWatch(false);
    return;
  }
  if (State.IsReadInFlight || Now < State.NextRead)
    return;
  State.IsReadInFlight = true;
  State.NextRead = Now + State.Settings.ReadInterval * (Rank + 1);
  Effects.push_back(read_store{});
}

void relay_reducer::setWatch(bool IsWanted) {
  if (State.Settings.Kind == process_kind::Scheduler)
    return;
  if (State.IsWatching == IsWanted)
    return;
  State.IsWatching = IsWanted;
  Effects.push_back(set_watch{IsWanted});
}

// Links

bool relay_reducer::isLinked(const instance_id &Name) const {
  return State.Connecting.contains(Name) ||
         std::ranges::any_of(State.Links, [&](const auto &Item) {
           return Item.second.Name == Name;
         });
}

bool relay_reducer::isRemote(const peer_link &Link) const {
  const auto Found = State.Membership.Members.find(Link.Name);
  return Found != State.Membership.Members.end() &&
         Found->second.DataCentre != State.Settings.DataCentre;
}

void relay_reducer::connectTo(const instance_id &Name) {
  if (isLinked(Name))
    return;
  State.Connecting[Name] = Now;
  Effects.push_back(open_link{Name, State.Membership.Members.at(Name).Address});
}

/// Opens missing links: to the entry instances of this data centre and, from an
/// entry instance, to one entry instance of each other data centre.
void relay_reducer::connect() {
  std::map<data_centre_id, std::vector<instance_id>> Entries;
  for (const auto &[Name, Member] : State.Membership.Members)
    if (Member.Kind == process_kind::Entry && Member.Address != endpoint{})
      Entries[Member.DataCentre].push_back(Name);
  const bool IsEntry = State.Settings.Kind == process_kind::Entry;
  for (auto &[DataCentre, Names] : Entries) {
    if (DataCentre == State.Settings.DataCentre) {
      int Links = 0;
      for (const instance_id &Name : Names) {
        // Of two entry instances, the one whose name sorts later connects.
        if (IsEntry && Name > State.Settings.Self)
          continue;
        if (IsEntry || Links < State.Settings.MaxOwnLinks)
          connectTo(Name);
        ++Links;
      }
      continue;
    }
    const bool HasLink =
        std::ranges::any_of(Names, [&](const instance_id &Name) {
          const bool IsOutgoing =
              std::ranges::any_of(State.Links, [&](const auto &Item) {
                return Item.second.IsOutgoing && Item.second.Name == Name;
              });
          return IsOutgoing || State.Connecting.contains(Name);
        });
    if (!IsEntry || HasLink)
      continue;
    // Rotates among the instances, so that a dead one isn't retried for ever.
    const auto Turn = Now.time_since_epoch() / State.Settings.ReconnectInterval;
    connectTo(Names[static_cast<std::size_t>(Turn) % Names.size()]);
  }
}

void relay_reducer::closeSilentLinks() {
  std::vector<link_id> Silent;
  for (const auto &[Id, Link] : State.Links)
    if (std::max(Link.OpenedAt, Link.HeardAt) + State.Settings.LinkTimeout <
        Now)
      Silent.push_back(Id);
  for (link_id Id : Silent) {
    State.Links.erase(Id);
    Effects.push_back(close_link{Id});
  }
  std::erase_if(State.Connecting, [&](const auto &Item) {
    return Item.second + State.Settings.LinkTimeout < Now;
  });
}

/// Whether a data centre is known to have reached the store recently.
bool relay_reducer::reachesStore(const data_centre_id &DataCentre) const {
  return detail::reachesStore(State, DataCentre, Now);
}

milliseconds relay_reducer::sendInterval(const peer_link &Link) const {
  const auto Peer = State.Membership.Members.find(Link.Name);
  const bool IsQuiet = isRemote(Link) &&
                       reachesStore(State.Settings.DataCentre) &&
                       reachesStore(Peer->second.DataCentre);
  return IsQuiet ? State.Settings.RemoteInterval
                 : State.Settings.HeartbeatInterval;
}

void relay_reducer::sendTo(link_id Id, peer_link &Link) {
  Link.SentAt = Now;
  peer_message Message = makeMessage(State, Link, Now);
  if (!Message.Members.empty())
    Link.MembersSentAt = Now;
  if (!Message.TablesText.empty())
    Link.PeerVersion = State.InForce.version();
  Effects.push_back(send_message{Id, std::move(Message)});
}

void relay_reducer::sendDue() {
  for (auto &[Id, Link] : State.Links)
    if (Link.SentAt + sendInterval(Link) <= Now)
      sendTo(Id, Link);
}

/// Sends without waiting for the heartbeat interval: to every link, or only
/// within this data centre.
void relay_reducer::sendNow(bool IsLocalOnly) {
  for (auto &[Id, Link] : State.Links)
    if (!IsLocalOnly || !isRemote(Link))
      sendTo(Id, Link);
}

void relay_reducer::apply(const relay_ticked &) {
  expireMembers(State.Membership, Now);
  closeSilentLinks();
  connect();
  readWhenDue();
  sendDue();
  if (State.Settings.Kind == process_kind::Scheduler)
    publish(); // knowledge of an outage can change without new tables
  if (State.Settings.Kind == process_kind::Scheduler)
    publishLeader();
}

void relay_reducer::publishLeader() {
  publish_leader Leader{State.LeaderEpoch, State.LeaderHeardAt};
  const store_contact &Own = State.Reach[State.Settings.DataCentre];
  Leader.IsStoreReached = Own.ReachedAt != Never &&
                          Own.ReachedAt + State.Settings.CutOffAfter >= Now;
  Leader.IsLinked = std::ranges::any_of(State.Links, [&](const auto &Item) {
    const instant HeardAt = Item.second.HeardAt;
    return HeardAt != Never && HeardAt + State.Settings.CutOffAfter >= Now;
  });
  const auto Ranked = rankMembers(State.Membership, State.Settings.DataCentre,
                                  process_kind::Scheduler, State.Settings.Self,
                                  LeaderPurpose, Now);
  const auto Found = std::ranges::find(Ranked, State.Settings.Self);
  Leader.Rank = static_cast<int>(Found - Ranked.begin());
  Effects.push_back(Leader);
}

void relay_reducer::apply(const entries_listed &Event) {
  std::vector<member> Others = Event.Members;
  std::erase_if(Others, [&](const member &Row) {
    return Row.Name == State.Settings.Self;
  });
  applyInstanceList(State.Membership, Others);
}

void relay_reducer::apply(const link_opened &Event) {
  State.Connecting.erase(Event.Name);
  peer_link &Link = State.Links[Event.Link];
  Link.Name = Event.Name;
  Link.IsOutgoing = !Event.Name.isEmpty();
  Link.OpenedAt = Now;
  sendTo(Event.Link, Link);
}

void relay_reducer::apply(const link_closed &Event) {
  State.Links.erase(Event.Link);
}

void relay_reducer::apply(const link_failed &Event) {
  // Keep the entry for ReconnectInterval, so that attempts are spaced.
  const auto Found = State.Connecting.find(Event.Name);
  if (Found != State.Connecting.end())
    Found->second =
        Now - State.Settings.LinkTimeout + State.Settings.ReconnectInterval;
}

void relay_reducer::apply(const message_received &Event) {
  const auto Found = State.Links.find(Event.Link);
  if (Found == State.Links.end())
    return;
  const peer_message &Message = Event.Message;
  peer_link &Link = Found->second;
  const bool IsFirst = Link.HeardAt == Never;
  member From = Message.From;
  From.LastHeard = Now;
  if (!applyHeartbeat(State.Membership, From))
    return;
  Link.Name = From.Name;
  Link.HeardAt = Now;
  Link.PeerSentAt = Message.SentAt;
  Link.PeerVersion = std::max(Link.PeerVersion, From.Version);
  // The sender made this message EchoHeld after it had received EchoOf.
  const instant MadeAt =
      Message.EchoOf < 0
          ? Never
          : std::min(instant(milliseconds(Message.EchoOf)) + Message.EchoHeld,
                     Now);
  bool IsNew = false;
  if (!Message.TablesText.empty() && From.Version > State.InForce.version()) {
    parsed_tables Parsed = parseTables(Message.TablesText);
    if (Parsed.Tables)
      IsNew = adopt({std::make_shared<const tables>(std::move(*Parsed.Tables)),
                     Message.TablesText});
  }
  const instant Before = State.AsOf;
  confirm(From.Version, instantOfAge(Message.EvidenceAge, MadeAt));
  applyStatements(Message, MadeAt);
  if (IsNew || State.AsOf > Before)
    publish();
  if (IsNew)
    sendNow(false);
  else if (IsFirst || Link.PeerVersion < State.InForce.version())
    sendTo(Event.Link, Link);
}

void relay_reducer::applyStatements(const peer_message &Message,
                                    instant MadeAt) {
  for (const store_contact_statement &Statement : Message.Reach) {
    const store_contact Heard{instantOfAge(Statement.ReportedAge, MadeAt),
                              instantOfAge(Statement.ReachedAge, MadeAt)};
    mergeStoreContact(State.Reach, Statement.DataCentre, Heard);
  }
  for (const member_statement &Statement : Message.Members)
    applyMember(Statement, Message.From.DataCentre, MadeAt);
  if (Message.From.DataCentre == State.Settings.DataCentre)
    applyLeader(Message.Leader, MadeAt);
}

void relay_reducer::applyMember(const member_statement &Statement,
                                const data_centre_id &DataCentre,
                                instant MadeAt) {
  if (Statement.Member.Name == State.Settings.Self || MadeAt == Never)
    return;
  member Heard = Statement.Member;
  Heard.DataCentre = DataCentre;
  Heard.LastHeard = instantOfAge(Statement.HeardAge, MadeAt);
  if (Heard.LastHeard != Never)
    applyHeartbeat(State.Membership, Heard);
}

void relay_reducer::applyLeader(const leader_statement &Leader,
                                instant MadeAt) {
  const instant HeardAt = instantOfAge(Leader.Age, MadeAt);
  if (Leader.Epoch == 0 || HeardAt == Never || Leader.Epoch < State.LeaderEpoch)
    return;
  State.LeaderHeardAt = Leader.Epoch > State.LeaderEpoch
                            ? HeardAt
                            : std::max(State.LeaderHeardAt, HeardAt);
  State.LeaderEpoch = Leader.Epoch;
}

void relay_reducer::apply(const leading_changed &Event) {
  State.LedEpoch = Event.Epoch;
  sendNow(true);
}

std::vector<member_statement>
describeMembers(const relay_state &State, const peer_link &Link, instant Now) {
  std::vector<member_statement> Statements;
  for (const auto &[Name, Member] : State.Membership.Members) {
    const bool IsIncluded = Member.DataCentre == State.Settings.DataCentre &&
                            Name != Link.Name && Name != State.Settings.Self &&
                            Member.Incarnation != 0 &&
                            isLive(State.Membership, Member, Now);
    if (!IsIncluded)
      continue;
    member_statement Statement;
    Statement.Member.Name = Name;
    Statement.Member.Kind = Member.Kind;
    Statement.Member.Incarnation = Member.Incarnation;
    Statement.Member.Version = Member.Version;
    Statement.HeardAge = ageOf(Member.LastHeard, Now);
    Statements.push_back(std::move(Statement));
  }
  return Statements;
}

} // namespace

peer_message makeMessage(const relay_state &State, const peer_link &Link,
                         instant Now) {
  const relay_settings &Settings = State.Settings;
  peer_message Message;
  Message.From.Name = Settings.Self;
  Message.From.DataCentre = Settings.DataCentre;
  Message.From.Kind = Settings.Kind;
  Message.From.Address = Settings.PeerAddress;
  Message.From.Incarnation = Settings.Incarnation;
  Message.From.Version = State.InForce.version();
  Message.SentAt = Now.time_since_epoch().count();
  Message.EchoOf = Link.PeerSentAt;
  Message.EchoHeld = ageOf(Link.HeardAt, Now);
  Message.EvidenceAge = ageOf(State.AsOf, Now);
  if (State.LedEpoch != 0 && State.LedEpoch >= State.LeaderEpoch)
    Message.Leader = {State.LedEpoch, milliseconds(0)};
  else if (State.LeaderEpoch != 0)
    Message.Leader = {State.LeaderEpoch, ageOf(State.LeaderHeardAt, Now)};
  const bool IsOwnContactLost =
      !detail::reachesStore(State, Settings.DataCentre, Now);
  for (const auto &[DataCentre, Reach] : State.Reach) {
    const bool IsOwn = DataCentre == Settings.DataCentre;
    if (!IsOwn && !IsOwnContactLost)
      continue;
    // An entry instance makes a new report for its own data centre.
    const bool IsOwnReport = IsOwn && Settings.Kind == process_kind::Entry;
    Message.Reach.push_back({DataCentre,
                             ageOf(IsOwnReport ? Now : Reach.ReportedAt, Now),
                             ageOf(Reach.ReachedAt, Now)});
  }
  const bool IsMembersDue =
      Settings.Kind == process_kind::Entry &&
      Link.MembersSentAt + Settings.MembersInterval <= Now;
  if (IsMembersDue)
    Message.Members = describeMembers(State, Link, Now);
  if (Link.HeardAt != Never && Link.PeerVersion < State.InForce.version())
    Message.TablesText = State.InForce.Text;
  return Message;
}

relay_effects reduce(relay_state &State, const relay_event &Event) {
  relay_effects Effects;
  relay_reducer Run{State, Event.Now, Effects};
  std::visit([&](const auto &Body) { Run.apply(Body); }, Event.Body);
  return Effects;
}

} // namespace galenastage
