#include "measure/edit_latency.hpp"

#include "net/http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>

namespace galenastage {
namespace {

using nlohmann::json;
using measuring_clock = std::chrono::steady_clock;

constexpr milliseconds CallTimeout{2'000};
constexpr milliseconds Poll{2};
constexpr milliseconds GiveUpAfter{10'000};

struct edit_options {
  std::vector<std::string> Entries;
  std::string Platform; // of the stand-in, for its count of calls
  int Edits = 100;
  int PauseMilliseconds = 200;
  int QuietSeconds = 10;
};

struct edit_run {
  asio::io_context Context{1};
  http_client Http{Context};
  std::vector<endpoint> Entries;
  edit_options Options;
  std::vector<milliseconds> Spreads; // one for each edit

  task<json> call(endpoint To, http_request Request) {
    const http_result Result =
        co_await Http.send(std::move(To), std::move(Request), CallTimeout);
    if (Result.Error || Result.Response.Status != 200)
      co_return json();
    co_return json::parse(Result.Response.Body, nullptr, false);
  }

  task<json> get(endpoint To, std::string Target) {
    http_request Request;
    Request.Target = std::move(Target);
    co_return co_await call(std::move(To), std::move(Request));
  }

  task<void> pause(milliseconds Duration) {
    asio::steady_timer Timer(Context, Duration);
    co_await Timer.async_wait(asio::use_awaitable);
  }

  /// Stores the same tables as a new version, through one entry instance after
  /// the other. Returns the version; 0 when it was refused.
  task<std::uint64_t> edit(int Index) {
    const endpoint To = Entries[Index % Entries.size()];
    json Tables = co_await get(To, "/v1/tables");
    if (!Tables.is_object())
      co_return 0;
    http_request Request;
    Request.Method = "PUT";
    Request.Target = "/v1/tables";
    Request.Headers.set("If-Match", "\"" + Tables.at("version").dump() + "\"");
    Request.Headers.set("Galenastage-Author", "measure");
    Request.Headers.set("Galenastage-Reason", "edit " + std::to_string(Index));
    Request.Body = Tables.dump();
    const json Answer = co_await call(To, std::move(Request));
    co_return Answer.is_object() ? Answer.value("version", 0) : 0;
  }

  task<void> awaitVersion(endpoint Entry, std::uint64_t Version,
                          measuring_clock::time_point GiveUp, int &Waiting) {
    while (measuring_clock::now() < GiveUp) {
      const json Status = co_await get(Entry, "/v1/tables/status");
      const bool IsInForce = Status.is_object() &&
                             Status.value("version_in_force", 0ULL) >= Version;
      if (IsInForce) {
        --Waiting;
        co_return;
      }
      co_await pause(Poll);
    }
  }

  task<void> measureEdit(int Index) {
    const std::uint64_t Version = co_await edit(Index);
    const auto AcceptedAt = measuring_clock::now();
    if (Version == 0)
      co_return;
    int Waiting = static_cast<int>(Entries.size());
    for (const endpoint &Entry : Entries)
      asio::co_spawn(
          Context,
          awaitVersion(Entry, Version, AcceptedAt + GiveUpAfter, Waiting),
          [](std::exception_ptr) {});
    while (Waiting > 0 && measuring_clock::now() < AcceptedAt + GiveUpAfter)
      co_await pause(milliseconds(1));
    if (Waiting == 0)
      Spreads.push_back(
          std::chrono::ceil<milliseconds>(measuring_clock::now() - AcceptedAt));
    co_await pause(milliseconds(Options.PauseMilliseconds));
  }

  task<void> printCalls(const json Before, const json After, double Seconds) {
    for (const char *Kind : {"reads", "writes", "leases", "watches_started"})
      std::cout << "  " << Kind << " " << std::fixed << std::setprecision(2)
                << static_cast<double>(After.value(Kind, 0) -
                                       Before.value(Kind, 0)) /
                       Seconds
                << "/s\n";
    std::cout << "  watches waiting " << After.value("watches_waiting", 0)
              << "\n";
    co_return;
  }

  task<std::uint64_t> peerBytes() {
    std::uint64_t Sum = 0;
    for (const endpoint &Entry : Entries) {
      const json Status = co_await get(Entry, "/v1/tables/status");
      if (Status.is_object())
        Sum += Status.value("peer_bytes", 0ULL);
    }
    co_return Sum;
  }

  task<void> measureQuiet(endpoint Platform) {
    const json Before = co_await get(Platform, "/calls");
    const std::uint64_t BytesBefore = co_await peerBytes();
    co_await pause(seconds(Options.QuietSeconds));
    const json After = co_await get(Platform, "/calls");
    const std::uint64_t BytesAfter = co_await peerBytes();
    std::cout << "store calls while nothing is edited, over "
              << Options.QuietSeconds << " s:\n";
    co_await printCalls(Before, After, Options.QuietSeconds);
    const double Share = static_cast<double>(BytesAfter - BytesBefore) /
                         static_cast<double>(Entries.size()) /
                         Options.QuietSeconds;
    std::cout << "  peer messages sent by an entry instance " << Share
              << " bytes/s (mean)\n";
  }

  void printSpreads() {
    std::cout << "edits in force on " << Entries.size()
              << " entry instances: " << Spreads.size() << " of "
              << Options.Edits << "\n";
    if (Spreads.empty())
      return;
    std::ranges::sort(Spreads);
    const auto At = [&](double Quantile) {
      const auto Last = static_cast<double>(Spreads.size() - 1);
      return Spreads[static_cast<std::size_t>(std::lround(Quantile * Last))]
          .count();
    };
    std::cout << "  accepted to in force everywhere: p50 " << At(0.5)
              << " ms, p99 " << At(0.99) << " ms, longest " << At(1) << " ms\n";
  }

  task<void> run() {
    const auto Platform = parseEndpoint(Options.Platform);
    if (Platform)
      co_await measureQuiet(*Platform);
    for (int I = 0; I < Options.Edits; ++I)
      co_await measureEdit(I);
    printSpreads();
  }
};

void measureEdits(const edit_options &Options) {
  edit_run Run;
  Run.Options = Options;
  for (const std::string &Text : Options.Entries) {
    const auto Entry = parseEndpoint(Text);
    if (!Entry)
      throw CLI::ValidationError("--entry", Text + " is not ADDRESS:PORT");
    Run.Entries.push_back(*Entry);
  }
  asio::co_spawn(Run.Context, Run.run(), [](std::exception_ptr Error) {
    if (Error)
      std::rethrow_exception(Error);
  });
  Run.Context.run();
}

} // namespace

void addEditLatency(CLI::App &App) {
  auto Options = std::make_shared<edit_options>();
  CLI::App *Command = App.add_subcommand(
      "edits", "time edits of a running system until they are in force");
  Command->add_option("--entry", Options->Entries, "every entry instance")
      ->required();
  Command->add_option("--platform", Options->Platform,
                      "the stand-in, for its count of store calls");
  Command->add_option("--edits", Options->Edits, "number of edits")
      ->check(CLI::Range(1, 100'000))
      ->capture_default_str();
  Command
      ->add_option("--pause-ms", Options->PauseMilliseconds,
                   "between two edits")
      ->check(CLI::Range(0, 60'000))
      ->capture_default_str();
  Command
      ->add_option("--quiet-s", Options->QuietSeconds,
                   "time to count store calls without edits")
      ->check(CLI::Range(1, 600))
      ->capture_default_str();
  Command->callback([Options] { measureEdits(*Options); });
}

} // namespace galenastage
