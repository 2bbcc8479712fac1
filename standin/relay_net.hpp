#pragma once

#include "core/recovery/relay.hpp"

#include <deque>
#include <functional>
#include <set>

namespace galenastage::standin {

/// Several relays, the store and the network between them, in virtual time.
/// Messages take Delay and calls to the store StoreDelay, each way.
class relay_net {
public:
  struct node {
    explicit node(relay_settings Settings) : Relay(std::move(Settings)) {}
    relay_state Relay;
    bool IsRunning = true; // false: crashed or paused
    bool IsWatching = false;
    std::vector<tables_seen> Published;
    std::vector<std::uint64_t> Versions; // published, without duplicates
  };

  static constexpr milliseconds Step{10};
  milliseconds Delay{5};      // of messages, one way
  milliseconds StoreDelay{5}; // of calls to the store, one way

  instant Now{milliseconds(1'000'000)};
  tables_text Stored;
  std::int64_t Revision = 10; // of the store
  bool IsStoreDown = false;
  std::set<data_centre_id> CutFromStore;
  std::set<std::pair<data_centre_id, data_centre_id>> CutBetween;
  std::uint64_t Reads = 0;
  std::map<instance_id, node> Nodes;
  bool IsListShown = true;

  node &add(const std::string &DataCentre, const std::string &Name,
            process_kind Kind = process_kind::Entry) {
    relay_settings Settings;
    Settings.Self = instance_id(Name);
    Settings.DataCentre = data_centre_id(DataCentre);
    Settings.Kind = Kind;
    Settings.PeerAddress = {"127.0.0.1", static_cast<std::uint16_t>(++Port)};
    Settings.Incarnation = ++Incarnation;
    return Nodes.try_emplace(Settings.Self, Settings).first->second;
  }

  node &at(const std::string &Name) { return Nodes.at(instance_id(Name)); }

  /// Stores a version. Out lists the data centres that are out of service.
  void store(std::uint64_t Version, const std::set<std::string> &Out = {}) {
    Stored = makeTables(Version, Out);
    ++Revision;
    for (auto &[Name, Node] : Nodes)
      if (Node.IsWatching && reachesStore(Node))
        later(Name, watch_reported{Stored}, StoreDelay);
  }

  static tables_text makeTables(std::uint64_t Version,
                                const std::set<std::string> &Out) {
    tables Tables;
    Tables.Version = Version;
    for (const char *Name : {"a", "b", "c"}) {
      data_centre_row Row;
      Row.Name = data_centre_id(Name);
      Row.Region = "north";
      Row.IsInService = !Out.contains(Name);
      Tables.DataCentres.push_back(Row);
    }
    return {std::make_shared<const tables>(Tables), printTables(Tables)};
  }

  void run(milliseconds Duration,
           const std::function<void()> &EachStep = nullptr) {
    const instant End = Now + Duration;
    for (; Now < End; Now += Step) {
      deliver();
      const bool IsTick =
          Now.time_since_epoch() % milliseconds(100) == milliseconds(0);
      for (auto &[Name, Node] : Nodes) {
        if (!IsTick || !Node.IsRunning)
          continue;
        if (IsListShown)
          apply(Name, entries_listed{listed()});
        apply(Name, relay_ticked{});
      }
      if (EachStep)
        EachStep();
    }
  }

  /// Whether the rule allows a node to start tasks.
  bool mayStartAt(const std::string &Name, start_rule Rule) {
    const node &Node = at(Name);
    if (Node.Published.empty() || !Node.IsRunning)
      return false;
    const tables_seen &Last = Node.Published.back();
    const start_evidence Evidence{
        isInService(*Last.Tables, Node.Relay.Settings.DataCentre), Last.AsOf,
        Last.OutageAsOf};
    return mayStart(Evidence, Rule, milliseconds(2'000), Now);
  }

  void apply(const instance_id &Name, relay_event_body Body) {
    node &Node = Nodes.at(Name);
    for (relay_effect &Effect : reduce(Node.Relay, {Now, std::move(Body)}))
      std::visit([&](auto &Value) { perform(Name, Node, Value); }, Effect);
  }

  [[nodiscard]] bool areCut(const data_centre_id &One,
                            const data_centre_id &Two) const {
    return CutBetween.contains({One, Two}) || CutBetween.contains({Two, One});
  }

private:
  struct delivery {
    instant Due;
    instance_id To;
    relay_event_body Body;
  };
  struct wire {
    instance_id To;
    link_id There = 0;
  };

  std::vector<member> listed() const {
    std::vector<member> Members;
    for (const auto &[Name, Node] : Nodes) {
      if (Node.Relay.Settings.Kind != process_kind::Entry)
        continue;
      member Member;
      Member.Name = Name;
      Member.DataCentre = Node.Relay.Settings.DataCentre;
      Member.Address = Node.Relay.Settings.PeerAddress;
      Members.push_back(Member);
    }
    return Members;
  }

  [[nodiscard]] bool reachesStore(const node &Node) const {
    return !IsStoreDown &&
           !CutFromStore.contains(Node.Relay.Settings.DataCentre);
  }

  void later(const instance_id &To, relay_event_body Body, milliseconds After) {
    Queue.push_back({Now + After, To, std::move(Body)});
  }

  void deliver() {
    std::deque<delivery> Waiting;
    std::swap(Waiting, Queue);
    for (delivery &Item : Waiting) {
      const bool IsDue = Item.Due <= Now;
      if (!IsDue || !Nodes.at(Item.To).IsRunning)
        Queue.push_back(std::move(Item)); // delivered after the pause
      else
        apply(Item.To, std::move(Item.Body));
    }
  }

  void perform(const instance_id &Name, node &Node, read_store &) {
    ++Reads;
    store_answered Answer;
    Answer.SentAt = Now;
    if (!reachesStore(Node)) {
      Answer.Error = errc::StoreUnavailable;
      later(Name, std::move(Answer), milliseconds(1'000));
      return;
    }
    Answer.Stored = Stored;
    Answer.Revision = Revision;
    Answer.ModRevision = Stored.Tables ? Revision : 0;
    later(Name, std::move(Answer), 2 * StoreDelay);
  }
  void perform(const instance_id &, node &Node, set_watch &Effect) {
    Node.IsWatching = Effect.IsWanted;
  }
  void perform(const instance_id &Name, node &Node, restore_store &Effect) {
    if (!reachesStore(Node))
      return later(Name, store_restored{}, Delay);
    const bool IsApplied = Effect.ModRevision == (Stored.Tables ? Revision : 0);
    if (IsApplied) {
      Stored = Effect.InForce;
      ++Revision;
    }
    later(Name, store_restored{IsApplied, Revision}, Delay);
  }
  void perform(const instance_id &Name, node &Node, open_link &Effect) {
    const auto Found = Nodes.find(Effect.Name);
    const bool IsRefused = Found == Nodes.end() || !Found->second.IsRunning ||
                           areCut(Node.Relay.Settings.DataCentre,
                                  Found->second.Relay.Settings.DataCentre);
    if (IsRefused)
      return later(Name, link_failed{Effect.Name}, Delay);
    const link_id Here = ++LastLink;
    const link_id There = ++LastLink;
    Wires[Here] = {Effect.Name, There};
    Wires[There] = {Name, Here};
    later(Name, link_opened{Here, Effect.Name}, Delay);
    later(Effect.Name, link_opened{There, instance_id()}, Delay);
  }
  void perform(const instance_id &, node &, close_link &Effect) {
    const wire Wire = Wires[Effect.Link];
    if (!Wire.To.isEmpty())
      later(Wire.To, link_closed{Wire.There}, Delay);
  }
  void perform(const instance_id &, node &Node, send_message &Effect) {
    const wire &Wire = Wires[Effect.Link];
    if (Wire.To.isEmpty() || !Nodes.contains(Wire.To) ||
        areCut(Node.Relay.Settings.DataCentre,
               Nodes.at(Wire.To).Relay.Settings.DataCentre))
      return;
    later(Wire.To, message_received{Wire.There, Effect.Message}, Delay);
  }
  void perform(const instance_id &, node &Node, publish_tables &Effect) {
    const std::uint64_t Version = Effect.Seen.Tables->Version;
    if (Node.Versions.empty() || Node.Versions.back() != Version)
      Node.Versions.push_back(Version);
    Node.Published = {Effect.Seen};
  }
  void perform(const instance_id &, node &, publish_leader &) {}
  void perform(const instance_id &, node &, write_log &) {}

  std::deque<delivery> Queue;
  std::map<link_id, wire> Wires;
  link_id LastLink = 0;
  std::uint16_t Port = 10'000;
  std::uint64_t Incarnation = 0;
};

} // namespace galenastage::standin
