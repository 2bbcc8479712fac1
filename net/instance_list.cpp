#include "net/instance_list.hpp"

#include "core/error.hpp"

#include <nlohmann/json.hpp>

namespace galenastage {
namespace {

using nlohmann::json;

constexpr milliseconds CallTimeout{1'000};

instance_kind kindOf(const std::string &Name) {
  for (instance_kind Kind :
       {instance_kind::Entry, instance_kind::Scheduler, instance_kind::Worker})
    if (Name == name(Kind))
      return Kind;
  return instance_kind::Executor;
}

} // namespace

std::string_view name(instance_kind Kind) {
  switch (Kind) {
  case instance_kind::Entry:
    return "entry";
  case instance_kind::Scheduler:
    return "scheduler";
  case instance_kind::Worker:
    return "worker";
  case instance_kind::Executor:
    break;
  }
  return "executor";
}

void to_json(json &Json, const instance &Instance) {
  Json = {{"name", Instance.Name},
          {"kind", name(Instance.Kind)},
          {"data_centre", Instance.DataCentre.Value},
          {"rack", Instance.Rack.Value},
          {"address", printEndpoint(Instance.Address)},
          {"accelerators", Instance.Accelerators},
          {"service", Instance.Service.Value},
          {"leaving", Instance.IsLeaving}};
}

void from_json(const json &Json, instance &Instance) {
  Instance.Name = Json.at("name").get<std::string>();
  Instance.Kind = kindOf(Json.at("kind").get<std::string>());
  Instance.DataCentre =
      data_centre_id(Json.at("data_centre").get<std::string>());
  Instance.Rack = rack_id(Json.value("rack", ""));
  const auto Address = parseEndpoint(Json.at("address").get<std::string>());
  if (!Address)
    throw std::invalid_argument("address is not a numeric ADDRESS:PORT");
  Instance.Address = *Address;
  Instance.Accelerators = Json.value("accelerators", 0);
  Instance.Service = service_id(Json.value("service", ""));
  Instance.IsLeaving = Json.value("leaving", false);
}

instance_list_client::instance_list_client(asio::io_context &Context,
                                           endpoint Service,
                                           std::string LocalAddress)
    : Http(Context, std::move(LocalAddress)), Service(std::move(Service)) {}

task<instance_read> instance_list_client::read(instance_kind Kind,
                                               data_centre_id DataCentre) {
  http_request Request;
  Request.Target = "/v1/instances?kind=" + std::string(name(Kind)) +
                   "&data_centre=" + DataCentre.Value;
  const http_result Result =
      co_await Http.send(Service, std::move(Request), CallTimeout);
  instance_read Read;
  Read.Error = Result.Error;
  if (Read.Error)
    co_return Read;
  try {
    const json Answer = json::parse(Result.Response.Body);
    Read.Instances = Answer.at("instances").get<std::vector<instance>>();
  } catch (const std::exception &) {
    Read.Error = errc::MalformedAnswer;
  }
  co_return Read;
}

} // namespace galenastage
