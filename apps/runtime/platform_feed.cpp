#include "apps/runtime/platform_feed.hpp"

#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"
#include "peer/message.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace galenastage {
namespace {

constexpr milliseconds TickInterval{100};
constexpr milliseconds ListInterval{1'000};
constexpr milliseconds WatchRetryDelay{500};
constexpr milliseconds ConnectTimeout{1'000};

/// Parses stored tables. When the text is unreadable, it logs the reason and
/// returns null tables; the last valid ones then stay active.
tables_text readText(const std::string &Text) {
  parsed_tables Parsed = parseTables(Text);
  if (Parsed.Tables)
    return {std::make_shared<const tables>(std::move(*Parsed.Tables)), Text};
  const table_problem &First = Parsed.Problems.front();
  writeLog(events::TablesUnreadable,
           {{"field", First.Field}, {"rule", First.Rule}});
  return {};
}

} // namespace

endpoint peerAddressOf(endpoint Listed) {
  Listed.Port = static_cast<std::uint16_t>(Listed.Port + PeerPortOffset);
  return Listed;
}

// [1] Tables

struct tables_feed::state {
  state(asio::io_context &Context, store_client &Store,
        instance_list_client &List, relay_settings Settings,
        tables_callbacks NewCallbacks)
      : Context(Context), Store(Store), List(List),
        Callbacks(std::move(NewCallbacks)),
        LocalAddress(Settings.PeerAddress.Address), Relay(Settings),
        Server(Context, Settings.PeerListen, [this](auto Connection) {
          addLink(instance_id(), std::move(Connection));
        }) {}

  void spawn(task<void> Task) {
    asio::co_spawn(Context, std::move(Task), asio::detached);
  }

  // Events

  void post(relay_event_body Body) {
    Callbacks.PostControl(
        [this, Event = relay_event{readClock(), std::move(Body)}] {
          relay_effects Effects = reduce(Relay, Event);
          if (std::holds_alternative<relay_ticked>(Event.Body))
            publishStatus();
          std::erase_if(Effects, [this](const relay_effect &Effect) {
            const auto *Published = std::get_if<publish_tables>(&Effect);
            if (Published)
              Callbacks.OnTables(Published->Seen);
            return Published != nullptr;
          });
          if (!Effects.empty())
            asio::post(Context, [this, Effects = std::move(Effects)]() mutable {
              for (relay_effect &Effect : Effects)
                std::visit([this](auto &Value) { perform(std::move(Value)); },
                           Effect);
            });
        });
  }

  void publishStatus() {
    auto Status = std::make_shared<relay_status>();
    Status->Version = Relay.InForce.version();
    Status->AsOf = Relay.AsOf;
    Status->IsReader = Relay.IsWatching;
    for (const auto &[Name, Member] : Relay.Membership.Members)
      Status->Members.push_back(Member);
    Status->MessagesSent = MessagesSent;
    Status->BytesSent = BytesSent;
    LastStatus.store(std::move(Status));
  }

  task<void> tickLoop() {
    for (;;) {
      post(relay_ticked{});
      co_await sleepFor(Context, TickInterval);
    }
  }

  void postEntries(const std::vector<instance> &Instances) {
    entries_listed Listed;
    for (const instance &Row : Instances) {
      member Member;
      Member.Name = instance_id(Row.Name);
      Member.DataCentre = Row.DataCentre;
      Member.Address = peerAddressOf(Row.Address);
      Member.IsLeaving = Row.IsLeaving;
      Listed.Members.push_back(std::move(Member));
    }
    post(std::move(Listed));
  }

  // Links

  void addLink(const instance_id &Name, peer_connection_ptr Connection) {
    const link_id Id = ++LastLink;
    Links[Id] = Connection;
    post(link_opened{Id, Name});
    peer_callbacks Events;
    Events.OnMessage = [this, Id](const std::string &Bytes) {
      handleBytes(Id, Bytes);
    };
    Events.OnClosed = [this, Id] {
      Links.erase(Id);
      post(link_closed{Id});
    };
    Connection->start(std::move(Events));
  }

  void handleBytes(link_id Id, const std::string &Bytes) {
    auto Message = parsePeerMessage(Bytes);
    if (Message) {
      post(message_received{Id, std::move(*Message)});
      return;
    }
    writeLog(events::PeerLinkFailed, {{"bytes", std::to_string(Bytes.size())}});
    closeLink(Id);
  }

  void closeLink(link_id Id) {
    const auto Found = Links.find(Id);
    if (Found != Links.end())
      Found->second->close();
  }

  task<void> connect(instance_id Name, endpoint Address) {
    peer_connection_ptr Connection = co_await connectPeer(
        Context, std::move(Address), LocalAddress, ConnectTimeout);
    if (Connection)
      addLink(Name, std::move(Connection));
    else
      post(link_failed{Name});
  }

  // The store

  task<void> readStore() {
    store_answered Answer;
    Answer.SentAt = readClock();
    const store_read Read = co_await Store.read(std::string(TablesKey));
    Answer.Error = Read.Error;
    Answer.Revision = Read.Revision;
    if (!Read.Error && !Read.Entries.empty()) {
      const store_entry &Entry = Read.Entries.front();
      Answer.ModRevision = Entry.ModRevision;
      Answer.Stored = textOf(Entry.Value);
      if (!Answer.Stored.Tables)
        Answer.Error = errc::MalformedAnswer;
    }
    if (!Read.Error)
      LastRevision = Read.Revision;
    post(std::move(Answer));
  }

  /// Parses the text, or returns the cached result while it is unchanged.
  tables_text textOf(const std::string &Text) {
    if (Text != LastText.Text || !LastText.Tables)
      LastText = readText(Text);
    return LastText;
  }

  task<void> restoreStore(tables_text InForce, std::int64_t ModRevision) {
    store_transaction Transaction;
    const std::string Key(TablesKey);
    if (ModRevision == 0)
      Transaction.Conditions.push_back(key_missing{Key});
    else
      Transaction.Conditions.push_back(revision_is{Key, ModRevision});
    Transaction.Changes.push_back(put_key{Key, InForce.Text});
    Transaction.Changes.push_back(
        put_key{tablesHistoryKey(InForce.version()), InForce.Text});
    const store_write Write = co_await Store.commit(std::move(Transaction));
    post(store_restored{!Write.Error && Write.IsApplied, Write.Revision});
  }

  task<void> watchLoop(int OwnWatch) {
    std::int64_t From = LastRevision + 1;
    while (OwnWatch == CurrentWatch) {
      watch_callbacks Events;
      Events.OnEvent = [this](const store_event &Event) {
        if (Event.IsDelete || Event.Entry.Key != TablesKey)
          return;
        tables_text Stored = textOf(Event.Entry.Value);
        if (Stored.Tables)
          post(watch_reported{std::move(Stored)});
      };
      Events.ShouldContinue = [this, OwnWatch] {
        return OwnWatch == CurrentWatch;
      };
      co_await Store.watch(std::string(TablesKey), From, std::move(Events));
      // Periodic reads find changes made while no watch is open.
      From = LastRevision + 1;
      co_await sleepFor(Context, WatchRetryDelay);
    }
  }

  // Effects

  void perform(read_store) { spawn(readStore()); }
  void perform(set_watch Effect) {
    ++CurrentWatch;
    if (Effect.IsWanted)
      spawn(watchLoop(CurrentWatch));
  }
  void perform(restore_store Effect) {
    spawn(restoreStore(std::move(Effect.InForce), Effect.ModRevision));
  }
  void perform(open_link Effect) {
    spawn(connect(std::move(Effect.Name), std::move(Effect.Address)));
  }
  void perform(close_link Effect) { closeLink(Effect.Link); }
  void perform(send_message Effect) {
    const auto Found = Links.find(Effect.Link);
    if (Found == Links.end())
      return;
    std::string Bytes = printPeerMessage(Effect.Message);
    ++MessagesSent;
    BytesSent += Bytes.size();
    Found->second->send(std::move(Bytes));
  }
  void perform(publish_tables) {} // handled on the control thread, in post()
  void perform(publish_leader Effect) {
    if (Callbacks.OnLeader)
      Callbacks.OnLeader(Effect);
  }
  void perform(write_log Effect) { writeLog(Effect.Line); }

  asio::io_context &Context;
  store_client &Store;
  instance_list_client &List;
  tables_callbacks Callbacks;
  std::string LocalAddress;
  relay_state Relay; // used by the control thread only
  std::atomic<std::shared_ptr<const relay_status>> LastStatus{
      std::make_shared<const relay_status>()};
  std::atomic<std::uint64_t> MessagesSent{0};
  std::atomic<std::uint64_t> BytesSent{0};
  std::map<link_id, peer_connection_ptr> Links;
  link_id LastLink = 0;
  std::int64_t LastRevision = 0; // of the store, as last read
  tables_text LastText;
  int CurrentWatch = 0;
  peer_server Server;
};

tables_feed::tables_feed(asio::io_context &Context, store_client &Store,
                         instance_list_client &List, relay_settings Settings,
                         tables_callbacks Callbacks)
    : State(std::make_unique<state>(Context, Store, List, std::move(Settings),
                                    std::move(Callbacks))) {}

tables_feed::~tables_feed() = default;

void tables_feed::start() {
  State->spawn(State->tickLoop());
  State->spawn(pollInstances(State->Context, State->List, instance_kind::Entry,
                             data_centre_id(), ListInterval,
                             [this](std::vector<instance> Instances) {
                               State->postEntries(Instances);
                             }));
}

void tables_feed::post(relay_event_body Body) { State->post(std::move(Body)); }

std::shared_ptr<const relay_status> tables_feed::status() const {
  return State->LastStatus.load();
}

// [2] Instances

task<void>
pollInstances(asio::io_context &Context, instance_list_client &List,
              instance_kind Kind, data_centre_id DataCentre,
              milliseconds Interval,
              std::function<void(std::vector<instance>)> OnInstances) {
  std::vector<ignored_instance> Logged;
  for (;;) {
    instance_read Read = co_await List.read(Kind, DataCentre);
    if (!Read.Error) {
      for (const ignored_instance &Entry : Read.Ignored)
        if (std::ranges::find(Logged, Entry) == Logged.end())
          writeLog(events::EntryIgnored, {{"entry", "instance " + Entry.Name},
                                          {"reason", Entry.Reason}});
      Logged = std::move(Read.Ignored);
      OnInstances(std::move(Read.Instances));
    }
    co_await sleepFor(Context, Interval);
  }
}

} // namespace galenastage
