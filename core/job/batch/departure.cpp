#include "core/job/batch/departure.hpp"

namespace galenastage::batch {

std::string_view name(departure_action Action) {
  switch (Action) {
  case departure_action::Stay:
    return "stay";
  case departure_action::Move:
    return "move";
  case departure_action::Save:
    break;
  }
  return "save";
}

milliseconds usableTime(milliseconds UntilLeaving,
                        const departure_settings &Settings) {
  return UntilLeaving - Settings.ListDelay - Settings.MessageMargin;
}

departure_action chooseAction(const departing_unit &Unit,
                              milliseconds StopTimeout) {
  const bool IsDoneInTime = !Unit.IsLongRunning && Unit.Remaining <= Unit.Left;
  if (IsDoneInTime)
    return departure_action::Stay;
  if (Unit.CanSave)
    return Unit.Left <= StopTimeout ? departure_action::Save
                                    : departure_action::Move;
  // Its work is lost either way; a move loses less of it and is known at once.
  const bool IsStopInTime = Unit.Left > milliseconds(0);
  return IsStopInTime ? departure_action::Move : departure_action::Stay;
}

} // namespace galenastage::batch
