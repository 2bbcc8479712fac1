#pragma once

#include "net/http.hpp"

#include <nlohmann/json_fwd.hpp>

namespace galenastage {

enum class instance_kind { Entry, Scheduler, Worker, Executor };

std::string_view name(instance_kind Kind);

/// One row of the platform's instance list. The list lags behind the actual
/// state.
struct instance {
  std::string Name;                          //
  instance_kind Kind = instance_kind::Entry; //
  data_centre_id DataCentre;                 //
  rack_id Rack;                              // workers only
  endpoint Address;                          //
  int Accelerators = 0;                      // workers only
  service_id Service;                        // executors only
  bool IsLeaving = false;                    // shutting down: gets no new work

  friend bool operator==(const instance &, const instance &) = default;
};

void to_json(nlohmann::json &Json, const instance &Instance);
void from_json(const nlohmann::json &Json, instance &Instance);

/// An entry that can't be read; the others hold.
struct ignored_instance {
  std::string Name; // or its place in the list
  std::string Reason;

  friend bool operator==(const ignored_instance &,
                         const ignored_instance &) = default;
};

struct instance_read {
  std::error_code Error;
  std::vector<instance> Instances;
  std::vector<ignored_instance> Ignored;
};

/// Client of the platform's instance list.
class instance_list_client {
public:
  instance_list_client(asio::io_context &Context, endpoint Service,
                       std::string LocalAddress = "");

  /// Reads the instances of one kind in one data centre.
  task<instance_read> read(instance_kind Kind, data_centre_id DataCentre);

private:
  http_client Http;
  endpoint Service;
};

} // namespace galenastage
