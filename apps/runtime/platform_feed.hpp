#pragma once

#include "core/config/tables.hpp"
#include "platform/instance_list.hpp"
#include "platform/store.hpp"

#include <functional>

namespace galenastage {

/// Keeps a process informed of the tables: reads them, then watches them, and
/// reads again at an interval, which both confirms their age and catches a
/// watch that was cut without notice. Ends with its io_context.
task<void> feedTables(asio::io_context &Context, store_client &Store,
                      milliseconds ConfirmInterval,
                      std::function<void(tables_seen)> OnTables);

/// Reads the instances of one kind at an interval. An error reports nothing:
/// the last list stays in force.
task<void>
feedInstances(asio::io_context &Context, instance_list_client &List,
              instance_kind Kind, data_centre_id DataCentre,
              milliseconds Interval,
              std::function<void(std::vector<instance>)> OnInstances);

} // namespace galenastage
