#include "tests/support/instance_process.hpp"

#include "tests/support/raw_connection.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <arpa/inet.h>

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <future>
#include <sstream>
#include <stdexcept>

namespace galenastage::test {
namespace {

constexpr std::int64_t BytesPerKb = 1'024;
constexpr milliseconds PollInterval{50};
constexpr seconds HangTime{30}; // detects a hang; no bound of the instance

/// Each instance of this process has an address of its own.
std::string nextAddress() {
  static int Last = 0;
  const char *Range = std::getenv("GALENASTAGE_LOOPBACK");
  return "127." + std::string(Range ? Range : "0") + ".20." +
         std::to_string(++Last);
}

std::string printSettings(const machine_limits &Limits,
                          const std::string &Address, const endpoint &Store) {
  std::ostringstream Text;
  Text << R"({"node_name": "edge-1", "zone": "a", "ip": ")" << Address
       << R"(", "listen_addrs": {"frontend": ")" << Address
       << R"(:8521", "ready": ")" << Address
       << R"(:8523"}, "internal_ports": [7000, 7015], )"
       << R"("bounds": {"grace_s": 6}, "limits": {"memory_mb": )"
       << Limits.MemoryMb << R"(, "max_fds": )" << Limits.Descriptors
       << R"(}, "platform": {"address": ")" << printEndpoint(Store)
       << R"(", "ttl_min_ms": 1000}})";
  return Text.str();
}

/// The number after a name in a file of /proc, "VmHWM:     8000 kB".
std::int64_t readNumber(const std::string &Path, const std::string &Name) {
  std::ifstream File(Path);
  std::string Line;
  while (std::getline(File, Line))
    if (Line.starts_with(Name))
      return std::atoll(Line.c_str() + Name.size());
  return 0;
}

/// Bytes that wait unread at the address, summed over its connections.
std::int64_t countUnread(pid_t Process, const std::string &Address) {
  in_addr Binary{};
  inet_pton(AF_INET, Address.c_str(), &Binary);
  std::ostringstream Local;
  Local << std::hex << std::uppercase;
  Local.width(8);
  Local.fill('0');
  Local << Binary.s_addr;
  std::ifstream File("/proc/" + std::to_string(Process) + "/net/tcp");
  std::string Line;
  std::getline(File, Line); // the titles
  std::int64_t Sum = 0;
  while (std::getline(File, Line)) {
    std::istringstream Words(Line);
    std::string Number;
    std::string At;
    std::string From;
    std::string State;
    std::string Queues;
    Words >> Number >> At >> From >> State >> Queues;
    constexpr const char *Listening = "0A";
    if (State != Listening && At.starts_with(Local.str()))
      Sum += std::strtoll(Queues.c_str() + Queues.find(':') + 1, nullptr, 16);
  }
  return Sum;
}

bool askUntilOk(const endpoint &To, const std::string &Request) {
  const auto GiveUp = std::chrono::steady_clock::now() + HangTime;
  while (std::chrono::steady_clock::now() < GiveUp) {
    if (askOnce(To, Request) == 200)
      return true;
    std::this_thread::sleep_for(PollInterval);
  }
  return false;
}

pid_t startProgram(const std::filesystem::path &Settings,
                   const std::filesystem::path &Log, int Descriptors) {
  const pid_t Process = fork();
  if (Process != 0)
    return Process;
  const int Output = open(Log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  dup2(Output, STDOUT_FILENO);
  dup2(Output, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  rlimit Limit{};
  Limit.rlim_cur = Limit.rlim_max = static_cast<rlim_t>(Descriptors);
  setrlimit(RLIMIT_NOFILE, &Limit);
  execl(GALENASTAGE_INSTANCE_PROGRAM, "galenastage-instance",
        "--platform-settings", Settings.c_str(), nullptr);
  _exit(127);
}

} // namespace

const char *const PublicQueueConfig =
    R"({"version":1,"routes":[{"name":"open","host":"h","prefix":"/open/",)"
    R"("service":"s","public":true}],"services":[{"name":"s"}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";

store_thread::store_thread()
    : Thread([this] {
        const auto Guard = asio::make_work_guard(Context);
        Context.run();
      }) {}

store_thread::~store_thread() {
  Context.stop();
  Thread.join();
}

void store_thread::run(
    const std::function<void(standin::metadata_service &)> &Function) {
  std::promise<void> Done;
  asio::post(Context, [&] {
    Function(Service);
    Done.set_value();
  });
  Done.get_future().wait();
}

instance_process::instance_process(const machine_limits &Limits,
                                   const endpoint &Store) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "galenastage-XXXXXX").string();
  if (!mkdtemp(Template.data()))
    throw std::runtime_error("no temporary folder");
  Folder = Template;
  const std::string Address = nextAddress();
  Front = {Address, 8'521};
  Ready = {Address, 8'523};
  const std::filesystem::path Settings = Folder / "settings.json";
  std::ofstream(Settings) << printSettings(Limits, Address, Store);
  Process = startProgram(Settings, Folder / "log", Limits.Descriptors);
  if (!waitUntilReady())
    throw std::runtime_error("the instance doesn't become ready; see " +
                             (Folder / "log").string());
}

instance_process::~instance_process() {
  if (Process > 0) {
    kill(Process, SIGKILL);
    waitpid(Process, nullptr, 0);
  }
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

bool instance_process::isAlive() {
  if (Process > 0 && waitpid(Process, nullptr, WNOHANG) == Process)
    Process = -1;
  return Process > 0;
}

process_usage instance_process::usage() const {
  const std::string Proc = "/proc/" + std::to_string(Process);
  process_usage Usage;
  Usage.PeakBytes = readNumber(Proc + "/status", "VmHWM:") * BytesPerKb;
  Usage.UnreadBytes = countUnread(Process, Front.Address);
  std::error_code Error;
  for (auto Entry = std::filesystem::directory_iterator(Proc + "/fd", Error);
       !Error && Entry != std::filesystem::directory_iterator();
       Entry.increment(Error))
    ++Usage.Descriptors;
  return Usage;
}

bool instance_process::waitUntilReady() const {
  return askUntilOk(Ready, "GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n");
}

bool instance_process::waitUntilServing(const std::string &Request) const {
  return askUntilOk(Front, Request);
}

int askOnce(const endpoint &To, const std::string &Request) {
  raw_connection Connection(To);
  Connection.sendAll(Request);
  return Connection.readStatus();
}

} // namespace galenastage::test
