#pragma once

// Decides which runs leave an executor that is about to go. Pure functions: the
// time is an argument.

#include "core/types.hpp"

#include <string_view>

namespace galenastage::batch {

struct departure_settings {
  bool IsEnabled = true;
  milliseconds ListDelay{700};     // until the polled list shows a departure
  milliseconds MessageMargin{500}; // until a lost stop is sent again
  int MaxMoves = 5;                // of one unit in one term of leadership

  friend bool operator==(const departure_settings &,
                         const departure_settings &) = default;
};

/// A unit with runs on executors that are about to go.
struct departing_unit {
  milliseconds Remaining{0};  // run time until it is done
  milliseconds Left{0};       // usable time until its first executor goes
  bool IsLongRunning = false; // never done by itself
  bool CanSave = false;       // a stop saves its work

  friend bool operator==(const departing_unit &,
                         const departing_unit &) = default;
};

enum class departure_action {
  Stay, // it is done in time, or a stop gains nothing any more
  Move, // stop it if there is room elsewhere
  Save, // stop it in any case: the time left just suffices for a stop
};

std::string_view name(departure_action Action);

/// The time that can be relied on, of the time until the executor goes.
milliseconds usableTime(milliseconds UntilLeaving,
                        const departure_settings &Settings);

/// StopTimeout: the longest time that a stop takes.
departure_action chooseAction(const departing_unit &Unit,
                              milliseconds StopTimeout);

} // namespace galenastage::batch
