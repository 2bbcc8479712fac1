#include "apps/ctl/commands.hpp"

#include "core/config/tables.hpp"
#include "core/config/tables_diff.hpp"
#include "core/job/job.hpp"
#include "core/log_event.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace galenastage {
namespace {

using nlohmann::json;

constexpr milliseconds WaitPoll{200};
constexpr milliseconds WatchInterval{1'000};
constexpr milliseconds MaxHeardAge{10'000}; // older: unresponsive
constexpr seconds FollowTimeout{30};

http_request request(const std::string &Method, const std::string &Target) {
  http_request Request;
  Request.Method = Method;
  Request.Target = Target;
  return Request;
}

/// Prints each changed row on a line, followed by its changed fields.
void printChanges(std::ostream &Stream, const json &Changes) {
  for (const json &Change : Changes) {
    Stream << "\n  " << Change.value("change", "") << " "
           << Change.value("table", "") << "/" << Change.value("row", "");
    for (const json &Field : Change.value("fields", json::array()))
      Stream << "\n    " << Field.value("field", "") << ": "
             << Field.at("before").dump() << " -> " << Field.at("after").dump();
  }
}

/// Prints why a call failed and returns the exit code.
exit_code reportFailure(const http_result &Result) {
  if (Result.Error) {
    std::cerr << "galenastagectl: no answer: " << Result.Error.message()
              << " (verdict " << name(Result.Verdict) << ")\n";
    return exit_code::Unreachable;
  }
  const json Problem = json::parse(Result.Response.Body, nullptr, false);
  std::cerr << "galenastagectl: refused with status " << Result.Response.Status;
  if (Problem.is_object()) {
    std::cerr << ": " << Problem.value("title", "") << " "
              << Problem.value("detail", "");
    printChanges(std::cerr, Problem.value("changes", json::array()));
    for (const json &Item : Problem.value("problems", json::array()))
      std::cerr << "\n  " << Item.value("field", "") << " "
                << Item.value("rule", "");
  }
  std::cerr << "\n";
  return exit_code::Refused;
}

bool isSuccess(const http_result &Result) {
  return !Result.Error && Result.Response.Status / 100 == 2;
}

std::optional<std::string> readFile(const std::string &File) {
  std::ostringstream Text;
  if (File == "-") {
    Text << std::cin.rdbuf();
    return Text.str();
  }
  std::ifstream Stream(File);
  if (!Stream) {
    std::cerr << "galenastagectl: can't read " << File << "\n";
    return std::nullopt;
  }
  Text << Stream.rdbuf();
  return Text.str();
}

void printRow(std::initializer_list<std::string> Cells) {
  constexpr int Width = 18;
  for (const std::string &Cell : Cells)
    std::cout << std::left << std::setw(Width) << Cell << " ";
  std::cout << "\n";
}

std::string textOf(const json &Object, const char *Field) {
  const json &Value = Object.at(Field);
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

void printJobs(const json &Jobs) {
  printRow({"JOB", "ORGANISATION", "PHASE", "TASKS", "DATA CENTRE", "REASON"});
  for (const json &Job : Jobs)
    printRow(
        {textOf(Job, "id"), textOf(Job, "organisation"), textOf(Job, "phase"),
         textOf(Job, "tasks") + " x " + textOf(Job, "accelerators_per_task"),
         textOf(Job, "data_centre"), textOf(Job, "reason")});
}

void printTablesAsText(const json &Tables) {
  std::cout << "version " << Tables.at("version") << " by "
            << textOf(Tables, "author") << ": " << textOf(Tables, "reason")
            << "\n\n";
  printRow({"DATA CENTRE", "REGION", "IN SERVICE"});
  for (const json &Row : Tables.at("data_centres"))
    printRow({textOf(Row, "name"), textOf(Row, "region"),
              textOf(Row, "in_service")});
  std::cout << "\n";
  printRow({"POOL", "ORGANISATION", "WORKERS", "ACCELERATORS"});
  for (const json &Row : Tables.at("pools"))
    printRow({textOf(Row, "name"), textOf(Row, "organisation"),
              textOf(Row.at("guaranteed"), "workers"),
              textOf(Row.at("guaranteed"), "accelerators_per_worker")});
  std::cout << "\n";
  printRow({"ROUTE", "PATH", "SERVICE", "POOL", "CLASS", "IDEMPOTENT"});
  for (const json &Row : Tables.at("routes"))
    printRow({textOf(Row, "name"), textOf(Row, "path_prefix"),
              textOf(Row, "service"), textOf(Row, "pool"), textOf(Row, "class"),
              textOf(Row, "idempotent")});
}

void addAuthor(const command_context &Context, http_request &Request) {
  Request.Headers.set("Galenastage-Author", Context.Author);
  Request.Headers.set("Galenastage-Reason", Context.Reason);
}

/// Prints the response body with --output json, or calls PrintText on it.
template <typename Print>
exit_code finish(const command_context &Context, const http_result &Result,
                 Print PrintText) {
  if (!isSuccess(Result))
    return reportFailure(Result);
  if (Context.IsJson)
    std::cout << Result.Response.Body << "\n";
  else
    PrintText(json::parse(Result.Response.Body));
  return exit_code::Success;
}

/// Rollout of a version over the instances that the called instance knows.
struct rollout_progress {
  int Lagging = 0;      // responsive, with a lower version
  int Unresponsive = 0; // not heard from within MaxHeardAge

  friend bool operator==(const rollout_progress &,
                         const rollout_progress &) = default;
};

rollout_progress rolloutProgress(const json &Status, int Version) {
  rollout_progress Progress;
  if (Status.at("version_in_force").get<int>() < Version)
    ++Progress.Lagging;
  for (const json &Row : Status.at("others")) {
    const json &Heard = Row.at("heard_ms_ago");
    if (Heard.is_null() || Heard.get<int>() > MaxHeardAge.count())
      ++Progress.Unresponsive;
    else if (Row.at("version_in_force").get<int>() < Version)
      ++Progress.Lagging;
  }
  return Progress;
}

/// Waits until every responsive instance uses the version.
exit_code waitForVersion(const command_context &Context, int Version) {
  const auto GiveUp = std::chrono::steady_clock::now() + FollowTimeout;
  std::optional<rollout_progress> Last;
  while (std::chrono::steady_clock::now() < GiveUp) {
    const http_result Result =
        Context.Entry.call(request("GET", "/v1/tables/status"));
    if (!isSuccess(Result))
      return reportFailure(Result);
    const rollout_progress Now =
        rolloutProgress(json::parse(Result.Response.Body), Version);
    if (Now != Last)
      std::cout << "version " << Version << ": " << Now.Lagging
                << " instances have an older version, " << Now.Unresponsive
                << " are unresponsive\n";
    Last = Now;
    if (Now.Lagging == 0)
      return exit_code::Success;
    std::this_thread::sleep_for(WaitPoll);
  }
  std::cerr << "galenastagectl: some instances still have an older version\n";
  return exit_code::Refused;
}

} // namespace

exit_code showTables(const command_context &Context) {
  const http_result Result = Context.Entry.call(request("GET", "/v1/tables"));
  return finish(Context, Result, printTablesAsText);
}

exit_code applyTables(const command_context &Context, const std::string &File) {
  const auto Text = readFile(File);
  if (!Text)
    return exit_code::Usage;
  const http_result Current = Context.Entry.call(request("GET", "/v1/tables"));
  if (!isSuccess(Current))
    return reportFailure(Current);
  http_request Put = request("PUT", "/v1/tables");
  // A document written by "get" contains its version: the edit is based on it.
  const json Document = json::parse(*Text, nullptr, false);
  const bool HasVersion = Document.is_object() && Document.contains("version");
  Put.Headers.set("If-Match",
                  HasVersion
                      ? "\"" + Document.at("version").dump() + "\""
                      : std::string(Current.Response.Headers.find("ETag")));
  addAuthor(Context, Put);
  Put.Body = *Text;
  const http_result Result = Context.Entry.call(std::move(Put));
  return finish(Context, Result, [](const json &Answer) {
    std::cout << "accepted as version " << Answer.at("version") << "\n";
  });
}

exit_code validateTables(const command_context &, const std::string &File) {
  const auto Text = readFile(File);
  if (!Text)
    return exit_code::Usage;
  parsed_tables Parsed = parseTables(*Text);
  if (Parsed.Tables)
    Parsed.Problems = validate(*Parsed.Tables);
  for (const table_problem &Problem : Parsed.Problems)
    std::cerr << File << ": " << Problem.Field << " " << Problem.Rule << "\n";
  return Parsed.Problems.empty() ? exit_code::Success : exit_code::Refused;
}

exit_code setDataCentre(const command_context &Context, const std::string &Name,
                        bool IsInService, bool IsFollowed) {
  const std::string Target = "/v1/tables/data-centres/" + Name;
  const http_result Current = Context.Entry.call(request("GET", Target));
  if (!isSuccess(Current))
    return reportFailure(Current);
  json Row = json::parse(Current.Response.Body);
  Row["in_service"] = IsInService;
  http_request Put = request("PUT", Target);
  Put.Headers.set("If-Match",
                  std::string(Current.Response.Headers.find("ETag")));
  addAuthor(Context, Put);
  Put.Body = Row.dump();
  const http_result Result = Context.Entry.call(std::move(Put));
  const exit_code Code = finish(Context, Result, [&](const json &Answer) {
    std::cout << Name << (IsInService ? " is in service" : " is out of service")
              << " from version " << Answer.at("version") << "\n";
  });
  if (Code != exit_code::Success || !IsFollowed)
    return Code;
  return waitForVersion(
      Context, json::parse(Result.Response.Body).at("version").get<int>());
}

exit_code diffTables(const command_context &Context, const std::string &File) {
  const auto Text = readFile(File);
  if (!Text)
    return exit_code::Usage;
  const parsed_tables Edited = parseTables(*Text);
  for (const table_problem &Problem : Edited.Problems)
    std::cerr << File << ": " << Problem.Field << " " << Problem.Rule << "\n";
  if (!Edited.Tables)
    return exit_code::Refused;
  const http_result Result = Context.Entry.call(request("GET", "/v1/tables"));
  if (!isSuccess(Result))
    return reportFailure(Result);
  const parsed_tables Stored = parseTables(Result.Response.Body);
  if (!Stored.Tables)
    return exit_code::Refused;
  const json Changes = diffTables(*Stored.Tables, *Edited.Tables);
  if (Context.IsJson)
    std::cout << Changes.dump() << "\n";
  else {
    std::cout << Changes.size() << " rows differ from version "
              << Stored.Tables->Version;
    printChanges(std::cout, Changes);
    std::cout << "\n";
  }
  return exit_code::Success;
}

exit_code showHistory(const command_context &Context) {
  const http_result Result =
      Context.Entry.call(request("GET", "/v1/tables/history"));
  return finish(Context, Result, [](const json &Answer) {
    printRow({"VERSION", "AUTHOR", "REASON"});
    for (const json &Row : Answer.at("versions"))
      printRow({textOf(Row, "version"), textOf(Row, "author"),
                textOf(Row, "reason")});
  });
}

exit_code rollBack(const command_context &Context, int Version) {
  const http_result Old = Context.Entry.call(
      request("GET", "/v1/tables/history/" + std::to_string(Version)));
  if (!isSuccess(Old))
    return reportFailure(Old);
  const http_result Current = Context.Entry.call(request("GET", "/v1/tables"));
  if (!isSuccess(Current))
    return reportFailure(Current);
  http_request Put = request("PUT", "/v1/tables");
  Put.Headers.set("If-Match",
                  std::string(Current.Response.Headers.find("ETag")));
  addAuthor(Context, Put);
  if (Context.Reason.empty())
    Put.Headers.set("Galenastage-Reason",
                    "rollback to version " + std::to_string(Version));
  Put.Body = Old.Response.Body;
  const http_result Result = Context.Entry.call(std::move(Put));
  return finish(Context, Result, [&](const json &Answer) {
    std::cout << "the rows of version " << Version
              << " are accepted as version " << Answer.at("version") << "\n";
  });
}

exit_code showStatus(const command_context &Context, bool IsWatched) {
  while (IsWatched) {
    const exit_code Code = showStatus(Context, false);
    if (Code != exit_code::Success)
      return Code;
    std::cout << std::endl;
    std::this_thread::sleep_for(WatchInterval);
  }
  const http_result Result =
      Context.Entry.call(request("GET", "/v1/tables/status"));
  return finish(Context, Result, [](const json &Answer) {
    printRow({"INSTANCE", "DATA CENTRE", "KIND", "VERSION IN FORCE",
              "HEARD MS AGO"});
    printRow({textOf(Answer, "instance"), textOf(Answer, "data_centre"),
              "entry", textOf(Answer, "version_in_force"), "this one"});
    for (const json &Row : Answer.at("others"))
      printRow({textOf(Row, "instance"), textOf(Row, "data_centre"),
                textOf(Row, "kind"), textOf(Row, "version_in_force"),
                Row.at("heard_ms_ago").is_null()
                    ? "never"
                    : textOf(Row, "heard_ms_ago")});
  });
}

exit_code submitJob(const command_context &Context, const std::string &File,
                    const std::string &IdempotencyKey) {
  const auto Text = readFile(File);
  if (!Text)
    return exit_code::Usage;
  http_request Post = request("POST", "/v1/jobs");
  if (!IdempotencyKey.empty())
    Post.Headers.set("Idempotency-Key", IdempotencyKey);
  Post.Body = *Text;
  const http_result Result = Context.Entry.call(std::move(Post));
  return finish(Context, Result, [](const json &Job) {
    std::cout << textOf(Job, "id") << "\n";
  });
}

exit_code listJobs(const command_context &Context,
                   const std::string &Organisation) {
  const std::string Target = Organisation.empty()
                                 ? "/v1/jobs"
                                 : "/v1/jobs?organisation=" + Organisation;
  const http_result Result = Context.Entry.call(request("GET", Target));
  return finish(Context, Result,
                [](const json &Answer) { printJobs(Answer.at("jobs")); });
}

exit_code showJob(const command_context &Context, const std::string &Id) {
  const http_result Result =
      Context.Entry.call(request("GET", "/v1/jobs/" + Id));
  return finish(Context, Result, [](const json &Job) {
    printJobs(json::array({Job}));
    std::cout << "verdict " << textOf(Job, "verdict") << ", placed on "
              << Job.at("placement").dump() << "\n";
  });
}

exit_code cancelJob(const command_context &Context, const std::string &Id) {
  const http_result Result =
      Context.Entry.call(request("DELETE", "/v1/jobs/" + Id));
  return finish(Context, Result, [](const json &Job) {
    std::cout << "cancelling " << textOf(Job, "id") << "\n";
  });
}

exit_code waitForJob(const command_context &Context, const std::string &Id,
                     seconds Limit) {
  const auto GiveUp = std::chrono::steady_clock::now() + Limit;
  while (std::chrono::steady_clock::now() < GiveUp) {
    const http_result Result =
        Context.Entry.call(request("GET", "/v1/jobs/" + Id));
    const json Job = isSuccess(Result)
                         ? json::parse(Result.Response.Body, nullptr, false)
                         : json();
    if (!Result.Error && Result.Response.Status == 404)
      return reportFailure(Result);
    const std::string Phase = Job.is_object() ? textOf(Job, "phase") : "";
    if (Phase == name(job_phase::Finished))
      return finish(Context, Result,
                    [](const json &Row) { printJobs(json::array({Row})); });
    const bool HasEnded = Phase == name(job_phase::Failed) ||
                          Phase == name(job_phase::Cancelled) ||
                          Phase == name(job_phase::Refused);
    if (HasEnded) {
      std::cerr << "galenastagectl: the job " << Phase << ": "
                << textOf(Job, "reason") << "\n";
      return exit_code::Refused;
    }
    std::this_thread::sleep_for(WaitPoll);
  }
  std::cerr << "galenastagectl: the job has not ended within " << Limit.count()
            << " s\n";
  return exit_code::Refused;
}

exit_code printLogEvents() {
  std::cout << printLogCatalogue();
  return exit_code::Success;
}

} // namespace galenastage
