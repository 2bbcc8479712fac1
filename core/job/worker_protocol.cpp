#include "core/job/worker_protocol.hpp"

#include "core/json_number.hpp"

#include <nlohmann/json.hpp>

namespace galenastage {

using nlohmann::json;

namespace {

constexpr number_range<int> AcceleratorRange{0, 1'024}; // of one worker

void writeAttempt(json &Json, const attempt_id &Attempt) {
  Json["job"] = Attempt.Job.Value;
  Json["attempt"] = Attempt.Attempt;
}

attempt_id readAttempt(const json &Json) {
  return {job_id(Json.at("job").get<std::string>()),
          readWhole<std::uint32_t>(Json.at("attempt"), "attempt")};
}

milliseconds readMilliseconds(const json &Json, const char *Field) {
  return milliseconds(
      readWhole<std::int64_t>(Json.at(Field), Field, DurationRange));
}

task_state readState(const json &Json) {
  const auto Name = Json.at("state").get<std::string>();
  for (task_state State : {task_state::Reserved, task_state::Armed,
                           task_state::Running, task_state::Succeeded})
    if (Name == name(State))
      return State;
  return task_state::Failed;
}

} // namespace

std::string_view name(task_state State) {
  switch (State) {
  case task_state::Reserved:
    return "reserved";
  case task_state::Armed:
    return "armed";
  case task_state::Running:
    return "running";
  case task_state::Succeeded:
    return "succeeded";
  case task_state::Failed:
    break;
  }
  return "failed";
}

void to_json(json &Json, const reserve_request &Request) {
  Json = {{"epoch", Request.Epoch},
          {"tasks", Request.Tasks},
          {"accelerators", Request.Accelerators},
          {"life_ms", Request.Lifetime.count()}};
  writeAttempt(Json, Request.Attempt);
}

void to_json(json &Json, const start_request &Request) {
  Json = {{"epoch", Request.Epoch},
          {"lease_ms", Request.Lease.count()},
          {"declared_ms", Request.DeclaredRunTime.count()}};
  writeAttempt(Json, Request.Attempt);
}

void to_json(json &Json, const renew_request &Request) {
  Json = {{"epoch", Request.Epoch}, {"lease_ms", Request.Lease.count()}};
  json &List = Json["attempts"] = json::array();
  for (const renewed_attempt &Renewed : Request.Attempts) {
    json Item = {{"confirmed", Renewed.IsConfirmed}};
    writeAttempt(Item, Renewed.Attempt);
    List.push_back(std::move(Item));
  }
}

void to_json(json &Json, const release_request &Request) {
  Json = {{"epoch", Request.Epoch},
          {"keep_checkpoint", Request.KeepCheckpoint}};
  writeAttempt(Json, Request.Attempt);
}

void to_json(json &Json, const throttle_request &Request) {
  Json = {{"epoch", Request.Epoch}, {"speed_percent", Request.SpeedPercent}};
  writeAttempt(Json, Request.Attempt);
}

void to_json(json &Json, const usage_report &Report) {
  Json = {{"busy_accelerators", Report.BusyAccelerators},
          {"age_ms", Report.AgeAtAnswer.count()}};
}

void to_json(json &Json, const worker_answer &Answer) {
  Json = {{"accepted", Answer.IsAccepted},
          {"highest_epoch", Answer.HighestEpoch},
          {"reason", Answer.Reason}};
}

void to_json(json &Json, const worker_report &Report) {
  Json = {{"worker", Report.Worker.Value},
          {"data_centre", Report.DataCentre.Value},
          {"rack", Report.Rack.Value},
          {"accelerators", Report.Accelerators},
          {"highest_epoch", Report.HighestEpoch}};
  json &List = Json["tasks"] = json::array();
  for (const task_report &Task : Report.Tasks) {
    json Item = {{"state", name(Task.State)},
                 {"tasks", Task.Tasks},
                 {"accelerators", Task.Accelerators},
                 {"progress_ms", Task.Progress.count()}};
    writeAttempt(Item, Task.Attempt);
    List.push_back(std::move(Item));
  }
}

void from_json(const json &Json, reserve_request &Request) {
  Request.Epoch = readWhole<epoch>(Json.at("epoch"), "epoch");
  Request.Attempt = readAttempt(Json);
  Request.Tasks = readWhole<int>(Json.at("tasks"), "tasks");
  Request.Accelerators =
      readWhole<int>(Json.at("accelerators"), "accelerators");
  Request.Lifetime = readMilliseconds(Json, "life_ms");
}

void from_json(const json &Json, start_request &Request) {
  Request.Epoch = readWhole<epoch>(Json.at("epoch"), "epoch");
  Request.Attempt = readAttempt(Json);
  Request.Lease = readMilliseconds(Json, "lease_ms");
  Request.DeclaredRunTime = readMilliseconds(Json, "declared_ms");
}

void from_json(const json &Json, renew_request &Request) {
  Request.Epoch = readWhole<epoch>(Json.at("epoch"), "epoch");
  Request.Lease = readMilliseconds(Json, "lease_ms");
  for (const json &Item : Json.at("attempts"))
    Request.Attempts.push_back(
        {readAttempt(Item), Item.at("confirmed").get<bool>()});
}

void from_json(const json &Json, release_request &Request) {
  Request.Epoch = readWhole<epoch>(Json.at("epoch"), "epoch");
  Request.Attempt = readAttempt(Json);
  Request.KeepCheckpoint = Json.at("keep_checkpoint").get<bool>();
}

void from_json(const json &Json, throttle_request &Request) {
  Request.Epoch = readWhole<epoch>(Json.at("epoch"), "epoch");
  Request.Attempt = readAttempt(Json);
  Request.SpeedPercent =
      readWhole<int>(Json.at("speed_percent"), "speed_percent");
}

void from_json(const json &Json, usage_report &Report) {
  Report.BusyAccelerators =
      readWhole<int>(Json.at("busy_accelerators"), "busy_accelerators");
  Report.AgeAtAnswer = readMilliseconds(Json, "age_ms");
}

void from_json(const json &Json, worker_answer &Answer) {
  Answer.IsAccepted = Json.at("accepted").get<bool>();
  Answer.HighestEpoch =
      readWhole<epoch>(Json.at("highest_epoch"), "highest_epoch");
  Answer.Reason = Json.value("reason", "");
}

void from_json(const json &Json, worker_report &Report) {
  Report.Worker = worker_id(Json.at("worker").get<std::string>());
  Report.DataCentre = data_centre_id(Json.at("data_centre").get<std::string>());
  Report.Rack = rack_id(Json.at("rack").get<std::string>());
  Report.Accelerators =
      readWhole<int>(Json.at("accelerators"), "accelerators", AcceleratorRange);
  Report.HighestEpoch =
      readWhole<epoch>(Json.at("highest_epoch"), "highest_epoch");
  for (const json &Item : Json.at("tasks"))
    Report.Tasks.push_back(
        {readAttempt(Item), readState(Item),
         readWhole<int>(Item.at("tasks"), "tasks"),
         readWhole<int>(Item.at("accelerators"), "accelerators"),
         readMilliseconds(Item, "progress_ms")});
}

template <typename Message>
std::optional<Message> parseWorkerMessage(std::string_view Text) {
  try {
    return parseJson(Text).get<Message>();
  } catch (const std::exception &) { // also of readWhole
    return std::nullopt;
  }
}

template std::optional<reserve_request>
    parseWorkerMessage<reserve_request>(std::string_view);
template std::optional<start_request>
    parseWorkerMessage<start_request>(std::string_view);
template std::optional<renew_request>
    parseWorkerMessage<renew_request>(std::string_view);
template std::optional<release_request>
    parseWorkerMessage<release_request>(std::string_view);
template std::optional<throttle_request>
    parseWorkerMessage<throttle_request>(std::string_view);
template std::optional<usage_report>
    parseWorkerMessage<usage_report>(std::string_view);
template std::optional<worker_answer>
    parseWorkerMessage<worker_answer>(std::string_view);
template std::optional<worker_report>
    parseWorkerMessage<worker_report>(std::string_view);

} // namespace galenastage
