#include "measure/load.hpp"

#include "apps/runtime/process.hpp"
#include "measure/load_report.hpp"
#include "net/http.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdio>
#include <random>

namespace galenastage::measure {
namespace {

using steady = std::chrono::steady_clock;

constexpr milliseconds LedgerTimeout{60'000};
// Beyond a request's own time limit; a longer silence means a lost answer.
constexpr milliseconds AnswerGrace{5'000};

struct load_settings {
  std::vector<std::string> Entries{"127.0.1.1:8080"};
  std::vector<std::string> Direct; // executors to call without an entry
  std::string Platform = "127.0.0.1:2380";
  std::vector<std::string> Kinds{"/tiles/1=3", "/permits/1=1"};
  std::vector<std::string> Once{"/permits"};
  std::vector<std::string> Faults;
  double Rate = 100; // requests a second, all kinds together
  int Seconds = 5;
  int TimeoutMs = 5'000;
  int WorkMs = 5;
  int BodyBytes = 64;
  std::uint64_t Seed = 1;
};

/// A fault of the stand-in that is switched on or off at a moment.
struct planned_fault {
  milliseconds At{0};
  std::string Path;
  std::string Body;
};

/// Reads "2000:/faults/store:{"down":true}".
std::optional<planned_fault> parseFault(const std::string &Text) {
  const std::size_t First = Text.find(':');
  const std::size_t Second = Text.find(':', First + 1);
  if (First == std::string::npos || Second == std::string::npos)
    return std::nullopt;
  int At = 0;
  std::from_chars(Text.data(), Text.data() + First, At);
  return planned_fault{milliseconds(At),
                       Text.substr(First + 1, Second - First - 1),
                       Text.substr(Second + 1)};
}

/// Reads "/tiles/7=3".
load_kind parseKind(const std::string &Text, const load_settings &Settings) {
  load_kind Kind;
  const std::size_t Equals = Text.rfind('=');
  Kind.Name = Text.substr(0, Equals);
  Kind.Path = Kind.Name + "?work_ms=" + std::to_string(Settings.WorkMs);
  if (Equals != std::string::npos)
    std::from_chars(Text.data() + Equals + 1, Text.data() + Text.size(),
                    Kind.Weight);
  for (const std::string &Prefix : Settings.Once)
    Kind.IsOnce = Kind.IsOnce || Kind.Name.starts_with(Prefix);
  return Kind;
}

std::vector<endpoint> parseEndpoints(const std::vector<std::string> &Texts) {
  std::vector<endpoint> Endpoints;
  for (const std::string &Text : Texts)
    if (const auto Endpoint = parseEndpoint(Text))
      Endpoints.push_back(*Endpoint);
  return Endpoints;
}

/// Sends requests at moments that don't depend on the answers, and measures
/// each from the moment at which it was due: a stall of the system or of this
/// program counts in full.
class load_run {
public:
  explicit load_run(const load_settings &Settings)
      : Settings(Settings), Entries(parseEndpoints(Settings.Entries)),
        Executors(parseEndpoints(Settings.Direct)),
        Platform(*parseEndpoint(Settings.Platform)), Random(Settings.Seed),
        KeyPrefix("load-" + randomHex(8) + "-") {
    for (const std::string &Text : Settings.Kinds)
      Kinds.push_back(parseKind(Text, Settings));
    if (!Executors.empty())
      addDirectKind();
    Reports.resize(Kinds.size());
  }

  int run() {
    const load_ledger Before = fetchLedger();
    asio::co_spawn(Context, sendAll(), asio::detached);
    for (const std::string &Text : Settings.Faults)
      if (const auto Fault = parseFault(Text))
        asio::co_spawn(Context, switchFault(*Fault), asio::detached);
    Context.run();
    Context.restart();
    const load_ledger After = fetchLedger();
    const ledger_check Check = checkLedger(Kinds, Outcomes, Before, After);
    const std::string Report =
        printReport(Kinds, Reports, Settings.Seconds, Check, After);
    std::fputs(Report.c_str(), stdout);
    return Check == ledger_check{} ? 0 : 1;
  }

private:
  /// Adds as many direct calls as there are other requests.
  void addDirectKind() {
    load_kind Kind = parseKind("direct", Settings);
    Kind.Path = "/direct?work_ms=" + std::to_string(Settings.WorkMs);
    Kind.IsDirect = true;
    Kind.Weight = 0;
    for (const load_kind &Other : Kinds)
      Kind.Weight += Other.Weight;
    Kinds.push_back(Kind);
  }

  task<void> sendAll() {
    std::vector<double> Weights;
    for (const load_kind &Kind : Kinds)
      Weights.push_back(Kind.Weight);
    std::discrete_distribution<std::size_t> ChooseKind(Weights.begin(),
                                                       Weights.end());
    std::exponential_distribution<double> ChooseGap(Settings.Rate);
    const auto Began = steady::now();
    const auto End = Began + std::chrono::seconds(Settings.Seconds);
    std::chrono::duration<double> Offset{0};
    asio::steady_timer Timer(Context);
    while (true) {
      Offset += std::chrono::duration<double>(ChooseGap(Random));
      const auto Due =
          Began + std::chrono::duration_cast<steady::duration>(Offset);
      if (Due >= End)
        co_return;
      Timer.expires_at(Due);
      co_await Timer.async_wait(asio::use_awaitable);
      asio::co_spawn(Context, sendOne(ChooseKind(Random), Due), asio::detached);
    }
  }

  task<void> sendOne(std::size_t KindIndex, steady::time_point Due) {
    const load_kind &Kind = Kinds[KindIndex];
    const std::uint64_t Number = ++LastNumber;
    load_outcome Outcome;
    Outcome.Kind = KindIndex;
    Outcome.Key = KeyPrefix + std::to_string(Number);
    http_request Request;
    Request.Method = "POST";
    Request.Target = (Kind.IsDirect ? "" : "/v1/requests") + Kind.Path;
    Request.Body = Outcome.Key + " ";
    Request.Body.resize(
        std::max<std::size_t>(Settings.BodyBytes, Request.Body.size()), 'x');
    Request.Headers.set("Idempotency-Key", Outcome.Key);
    if (Kind.IsDirect)
      Request.Headers.set("Galenastage-Request-Id", Outcome.Key);
    Request.Headers.set("Galenastage-Timeout-Ms",
                        std::to_string(Settings.TimeoutMs));
    const std::string Body = Request.Body;
    const auto &Targets = Kind.IsDirect ? Executors : Entries;
    const http_result Result = co_await Client.send(
        Targets[Number % Targets.size()], std::move(Request),
        milliseconds(Settings.TimeoutMs) + AnswerGrace);
    note(std::move(Outcome), Result, Body, steady::now() - Due);
  }

  void note(load_outcome Outcome, const http_result &Result,
            const std::string &Body, steady::duration Latency) {
    Outcome.IsAnswered = !Result.Error;
    Outcome.Status = Result.Error ? 0 : Result.Response.Status;
    const std::string_view Told =
        Result.Response.Headers.find("Galenastage-Verdict");
    Outcome.Verdict = !Told.empty()  ? std::string(Told)
                      : Result.Error ? std::string(name(Result.Verdict))
                                     : "ran";
    kind_report &Report = Reports[Outcome.Kind];
    if (Outcome.Status == 200) {
      Outcome.IsMixed = echoOf(Result.Response.Body) != Body;
      Report.Latency.add(
          std::chrono::duration_cast<std::chrono::microseconds>(Latency));
    }
    ++Report.Sent;
    ++Report.Verdicts[Outcome.Verdict];
    ++Report.Statuses[Outcome.Status];
    Outcomes.push_back(std::move(Outcome));
  }

  static std::string echoOf(const std::string &Answer) {
    const auto Json = nlohmann::json::parse(Answer, nullptr, false);
    return Json.is_object() ? Json.value("echo", "") : "";
  }

  task<void> switchFault(planned_fault Fault) {
    co_await sleepFor(Context, Fault.At);
    http_request Request;
    Request.Method = Fault.Body.empty() ? "DELETE" : "PUT";
    Request.Target = Fault.Path;
    Request.Body = Fault.Body;
    const http_result Result =
        co_await Client.send(Platform, std::move(Request), AnswerGrace);
    if (Result.Error || Result.Response.Status != 200)
      std::fprintf(stderr, "fault not applied: %s %s\n", Fault.Path.c_str(),
                   Fault.Body.c_str());
  }

  load_ledger fetchLedger() {
    load_ledger Ledger;
    asio::co_spawn(Context, readLedger(Ledger),
                   [](const std::exception_ptr &Error) {
                     if (Error)
                       std::rethrow_exception(Error);
                   });
    Context.run();
    Context.restart();
    return Ledger;
  }

  task<void> readLedger(load_ledger &Ledger) {
    http_request Request;
    Request.Target = "/ledger";
    const http_result Result =
        co_await Client.send(Platform, std::move(Request), LedgerTimeout);
    if (Result.Error)
      throw std::system_error(Result.Error, "the ledger can't be read");
    Ledger = parseLedger(Result.Response.Body);
  }

  load_settings Settings;
  asio::io_context Context{1};
  http_client Client{Context};
  std::vector<endpoint> Entries;
  std::vector<endpoint> Executors;
  endpoint Platform;
  std::mt19937_64 Random;
  std::string KeyPrefix;
  std::uint64_t LastNumber = 0;
  std::vector<load_kind> Kinds;
  std::vector<kind_report> Reports;
  std::vector<load_outcome> Outcomes;
};

bool isValid(const load_settings &Settings) {
  const auto AreEndpoints = [](const std::vector<std::string> &Texts) {
    return parseEndpoints(Texts).size() == Texts.size();
  };
  return AreEndpoints(Settings.Entries) && AreEndpoints(Settings.Direct) &&
         AreEndpoints({Settings.Platform});
}

int runLoad(const load_settings &Settings) {
  if (!isValid(Settings)) {
    std::fputs("an address must be IP:PORT\n", stderr);
    return 2;
  }
  try {
    return load_run(Settings).run();
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
    return 2;
  }
}

} // namespace

void addLoadCommand(CLI::App &App, int &ExitCode) {
  CLI::App *Command = App.add_subcommand(
      "load", "Open-loop load on a running system, checked against the "
              "executors' ledger.");
  auto Settings = std::make_shared<load_settings>();
  Command->add_option("--entry", Settings->Entries, "entry instances");
  Command->add_option("--direct", Settings->Direct,
                      "executors that get as many calls directly");
  Command->add_option("--platform", Settings->Platform, "the stand-in");
  Command->add_option("--kind", Settings->Kinds, "PATH=WEIGHT");
  Command->add_option("--once", Settings->Once,
                      "path prefixes that run at most once");
  Command->add_option("--fault", Settings->Faults, "MS:PATH:JSON, PUT then");
  Command->add_option("--rate", Settings->Rate, "requests a second")
      ->check(CLI::PositiveNumber);
  Command->add_option("--seconds", Settings->Seconds, "duration")
      ->check(CLI::PositiveNumber);
  Command->add_option("--timeout-ms", Settings->TimeoutMs, "of each request")
      ->check(CLI::PositiveNumber);
  Command->add_option("--work-ms", Settings->WorkMs, "at the executor");
  Command->add_option("--body-bytes", Settings->BodyBytes, "of each request");
  Command->add_option("--seed", Settings->Seed, "of arrivals and kinds");
  Command->callback([Settings, &ExitCode] { ExitCode = runLoad(*Settings); });
}

} // namespace galenastage::measure
