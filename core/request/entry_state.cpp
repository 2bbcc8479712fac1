#include "core/request/entry_state.hpp"

#include "core/request/routing.hpp"

#include <algorithm>

namespace galenastage {
namespace {

entry_snapshot_ptr makeSnapshot(entry_state &State) {
  boost::intrusive_ptr<entry_snapshot> Snapshot = new entry_snapshot;
  Snapshot->Tables = State.Tables;
  Snapshot->DataCentre = State.Settings.DataCentre;
  for (const executor_row &Row : State.Executors) {
    if (Row.IsLeaving || !isInService(*State.Tables, Row.DataCentre))
      continue;
    const int Slots = slotShare(Row.Executor, State.Settings.Self,
                                State.Members, State.Settings.SlotsPerExecutor);
    Snapshot->Executors.push_back({Row, Slots});
  }
  return Snapshot;
}

void publish(entry_state &State, entry_effects &Effects) {
  if (State.Tables)
    Effects.push_back(publish_snapshot{makeSnapshot(State)});
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
  if (State.Executors == Event.Executors)
    return;
  State.Executors = Event.Executors;
  publish(State, Effects);
}

void apply(entry_state &State, const members_seen &Event,
           entry_effects &Effects) {
  std::vector<instance_id> Members = Event.Members;
  // The list lags: this instance counts itself even when it isn't named yet.
  if (std::ranges::find(Members, State.Settings.Self) == Members.end())
    Members.push_back(State.Settings.Self);
  std::ranges::sort(Members);
  if (State.Members == Members)
    return;
  State.Members = std::move(Members);
  publish(State, Effects);
}

} // namespace

entry_effects reduce(entry_state &State, const entry_event &Event) {
  entry_effects Effects;
  std::visit([&](const auto &Body) { apply(State, Body, Effects); },
             Event.Body);
  return Effects;
}

} // namespace galenastage
