#pragma once

#include <functional>
#include <memory>

namespace galenastage {

/// The thread that owns control state. Work posted to it runs there one piece
/// at a time, in order; nothing else touches that state. It is a detached CAF
/// actor, kept out of this header because CAF is slow to compile.
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
