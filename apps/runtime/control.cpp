#include "apps/runtime/control.hpp"

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>
#include <caf/spawn_options.hpp>

namespace {

using control_work = std::shared_ptr<std::function<void()>>;

} // namespace

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(control_work)

namespace galenastage {
namespace {

/// Runs posted work; an empty function stops the actor once earlier work is
/// done.
class control_actor : public caf::event_based_actor {
public:
  using caf::event_based_actor::event_based_actor;

  caf::behavior make_behavior() override { // NOLINT: CAF's name
    return {[this](const control_work &Work) {
      if (*Work)
        (*Work)();
      else
        quit();
    }};
  }
};

caf::actor_system_config &systemConfig() {
  static caf::actor_system_config Config;
  // The only actor is detached and has its own thread, so the pool is minimal.
  Config.set("scheduler.max-threads", 1);
  return Config;
}

} // namespace

struct control_thread::state {
  caf::actor_system System{systemConfig()};
  caf::actor Actor = System.spawn<control_actor, caf::detached>();
};

control_thread::control_thread() : State(std::make_unique<state>()) {}

control_thread::~control_thread() {
  {
    caf::scoped_actor Self(State->System);
    post({});
    Self->wait_for(State->Actor);
  }
  State->Actor = nullptr;
}

void control_thread::post(std::function<void()> Work) {
  caf::anon_send(State->Actor,
                 std::make_shared<std::function<void()>>(std::move(Work)));
}

} // namespace galenastage
