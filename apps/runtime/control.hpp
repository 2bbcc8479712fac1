#pragma once

#include <functional>
#include <memory>

namespace galenastage {

/// The thread that owns control state. Posted work runs on it in order, one
/// item at a time; no other thread accesses that state. Implemented as a
/// detached CAF actor, which this header hides because CAF is slow to compile.
class control_thread {
public:
  control_thread();
  ~control_thread(); // finishes the work posted so far
  control_thread(const control_thread &) = delete;
  control_thread &operator=(const control_thread &) = delete;

  /// Runs Work on the control thread. Safe from every thread.
  void post(std::function<void()> Work);

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace galenastage
