// Room that is kept free for guaranteed work.

#include "core/job/batch/scheduler_internal.hpp"

namespace galenastage::batch::detail {

std::vector<executor_filter>
event_handler::preferredRoom(const placement_query & /*Query*/) const {
  return {executor_filter::all()};
}

} // namespace galenastage::batch::detail
