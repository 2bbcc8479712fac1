#include "core/request/entry_state.hpp"

#include "core/request/routing.hpp"

#include <algorithm>

namespace galenastage {
namespace {

entry_snapshot_ptr makeSnapshot(const entry_state &State) {
  const entry_settings &Settings = State.Settings;
  boost::intrusive_ptr<entry_snapshot> Snapshot = new entry_snapshot;
  Snapshot->Tables = State.Tables;
  Snapshot->DataCentre = Settings.DataCentre;
  for (const executor_row &Row : State.Executors) {
    if (Row.IsLeaving || !isInService(*State.Tables, Row.DataCentre))
      continue;
    const int Slots = safeShare(State.Members, Row.Executor, Settings.Self,
                                Settings.SlotsPerExecutor);
    Snapshot->Executors.push_back({Row, Slots});
  }
  Snapshot->IsShareSettled = isSettled(State.Members, Settings.Self);
  Snapshot->IdleConnections = idleConnectionShare(
      Settings.ConnectionsPerExecutor, Settings.SlotsPerExecutor,
      fewestMembers(State.Members), Settings.Threads);
  return Snapshot;
}

bool isSame(const entry_snapshot &Left, const entry_snapshot &Right) {
  return Left.Tables == Right.Tables && Left.Executors == Right.Executors &&
         Left.IdleConnections == Right.IdleConnections &&
         Left.IsShareSettled == Right.IsShareSettled;
}

void publish(entry_state &State, entry_effects &Effects) {
  if (!State.Tables)
    return;
  entry_snapshot_ptr Snapshot = makeSnapshot(State);
  if (State.Published && isSame(*State.Published, *Snapshot))
    return;
  State.Published = Snapshot;
  Effects.push_back(publish_snapshot{std::move(Snapshot)});
}

void apply(entry_state &State, const tables_seen &Event,
           entry_effects &Effects) {
  const bool IsNew =
      !State.Tables || State.Tables->Version < Event.Tables->Version;
  if (!IsNew)
    return;
  State.Tables = Event.Tables;
  Effects.push_back(
      write_log{{&events::TablesInForce,
                 {{"version", std::to_string(State.Tables->Version)}}}});
  publish(State, Effects);
}

void apply(entry_state &State, const executors_seen &Event,
           entry_effects &Effects) {
  State.Executors = Event.Executors;
  publish(State, Effects);
}

void apply(entry_state &State, const members_seen &Event, instant Now,
           entry_effects &Effects) {
  noteMembers(State.Members, Event.Members, Now, State.Settings.ShareWait);
  publish(State, Effects);
}

void apply(entry_state &State, const auto &Event, instant,
           entry_effects &Effects) {
  apply(State, Event, Effects);
}

} // namespace

entry_effects reduce(entry_state &State, const entry_event &Event) {
  entry_effects Effects;
  std::visit([&](const auto &Body) { apply(State, Body, Event.Now, Effects); },
             Event.Body);
  return Effects;
}

} // namespace galenastage
