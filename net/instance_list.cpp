#include "net/instance_list.hpp"

#include "core/error.hpp"
#include "core/json_number.hpp"

#include <nlohmann/json.hpp>

namespace galenastage {
namespace {

using nlohmann::json;

constexpr milliseconds CallTimeout{1'000};
constexpr std::size_t MaxListBytes = 16 * 1'024 * 1'024;
constexpr number_range<int> AcceleratorRange{0, 1'024}; // of one instance

instance_kind kindOf(const std::string &Name) {
  for (instance_kind Kind :
       {instance_kind::Entry, instance_kind::Scheduler, instance_kind::Worker})
    if (Name == name(Kind))
      return Kind;
  return instance_kind::Executor;
}

std::string nameOf(const json &Entry, std::size_t Position) {
  const auto Name = Entry.find("name");
  return Name == Entry.end() ? "at " + std::to_string(Position)
                             : describe(*Name);
}

/// Parses a list of which some entries nest too deeply, and leaves these out.
json parseNested(const std::string &Text, instance_read &Read) {
  constexpr int EntryDepth = 2; // within an array in an object
  bool IsNested = false;
  const auto Keeps = [&](int Depth, json::parse_event_t Event, json &Value) {
    using event = json::parse_event_t;
    const bool IsStart =
        Event == event::object_start || Event == event::array_start;
    const bool IsEnd = Event == event::object_end || Event == event::array_end;
    if (IsStart && Depth == EntryDepth)
      IsNested = false;
    if (IsStart && Depth >= MaxJsonDepth) {
      IsNested = true;
      return false;
    }
    if (!IsEnd || Depth != EntryDepth || !IsNested)
      return true;
    Read.Ignored.push_back(
        {nameOf(Value, Read.Ignored.size()), "nests too deeply"});
    return false;
  };
  return json::parse(Text, Keeps);
}

void addInstance(const json &Entry, instance_read &Read) {
  try {
    Read.Instances.push_back(Entry.get<instance>());
  } catch (const std::exception &Error) {
    const std::size_t Position = Read.Instances.size() + Read.Ignored.size();
    Read.Ignored.push_back({nameOf(Entry, Position), reasonOf(Error)});
  }
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
  if (!Address || Address->Port == 0)
    throw std::invalid_argument("address is not a numeric ADDRESS:PORT");
  Instance.Address = *Address;
  Instance.Accelerators =
      readWhole<int>(Json, "accelerators", 0, AcceleratorRange);
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
    const std::string &Text = Result.Response.Body;
    if (Text.size() > MaxListBytes)
      throw std::length_error("the list is too large");
    const bool IsPlain = explainTooComplex(Text, MaxListBytes).empty();
    const json Answer = IsPlain ? json::parse(Text) : parseNested(Text, Read);
    for (const json &Entry : Answer.at("instances"))
      addInstance(Entry, Read);
  } catch (const std::exception &) {
    Read.Error = errc::MalformedAnswer;
  }
  co_return Read;
}

} // namespace galenastage
