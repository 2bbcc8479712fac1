#include "core/job/batch/admission.hpp"

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>
#include <cmath>

namespace galenastage::batch {
namespace {

double workOf(const backlog_entry &Entry) {
  return Entry.Waiting + Entry.Running;
}

double workOf(const service_backlog &Service) {
  double Work = 0;
  for (const backlog_entry &Entry : Service.Entries)
    Work += workOf(Entry);
  return Work;
}

/// What is left of the work; a running unit is half done on average.
double remainingWork(const backlog_entry &Entry) {
  constexpr double HalfDone = 0.5;
  return Entry.Waiting + HalfDone * Entry.Running;
}

int peakAccelerators(const job_spec &Job) {
  int Peak = 0;
  for (const step_spec &Step : Job.Steps)
    Peak = std::max(Peak, Step.Count * Step.Needs.Accelerators);
  return Peak;
}

milliseconds objectiveOf(const job_spec &Job) {
  const auto Path =
      static_cast<double>(detail::remainingCriticalPath(Job, nullptr).count());
  return milliseconds(std::llround(Path * Job.Queue.StretchFactor)) +
         Job.Queue.TargetDuration;
}

milliseconds fromSeconds(double Seconds) {
  constexpr double Longest = 1e6; // beyond any objective
  constexpr double MsPerSecond = 1e3;
  return milliseconds(std::llround(std::min(Seconds, Longest) * MsPerSecond));
}

/// The delay, up to one and a half times that: clients that are refused
/// together don't return together.
milliseconds spread(milliseconds Delay, const job_id &Job) {
  constexpr std::uint64_t Basis = 14695981039346656037U; // of FNV-1a, 64 bits
  constexpr std::uint64_t Prime = 1099511628211U;
  constexpr std::uint64_t Parts = 1'000;
  std::uint64_t Hash = Basis;
  for (const char Byte : Job.Value)
    Hash = (Hash ^ static_cast<unsigned char>(Byte)) * Prime;
  const auto Part = static_cast<std::int64_t>((Hash >> 32U) % (Parts + 1));
  return Delay + Delay * Part / (2 * static_cast<std::int64_t>(Parts));
}

bool differs(double Left, double Right, double Least) {
  constexpr double Notable = 0.05;
  const double Difference = std::abs(Left - Right);
  return Difference > Notable * std::max(std::abs(Left), std::abs(Right)) &&
         Difference > Least;
}

bool differsNotably(const std::vector<backlog_entry> &Left,
                    const std::vector<backlog_entry> &Right, double Least) {
  return !std::ranges::equal(
      Left, Right, [&](const auto &One, const auto &Other) {
        return One.Organisation == Other.Organisation &&
               One.Priority == Other.Priority &&
               !differs(remainingWork(One), remainingWork(Other), Least) &&
               !differs(One.Accelerators, Other.Accelerators, 0);
      });
}

} // namespace

void limitSize(backlog &Backlog) {
  if (Backlog.Services.size() > MaxBacklogServices) {
    std::ranges::stable_sort(Backlog.Services,
                             [](const auto &Left, const auto &Right) {
                               return workOf(Left) > workOf(Right);
                             });
    Backlog.Services.resize(MaxBacklogServices);
  }
  for (service_backlog &Service : Backlog.Services) {
    std::map<organisation_id, double> Work;
    for (const backlog_entry &Entry : Service.Entries)
      Work[Entry.Organisation] += workOf(Entry);
    if (Work.size() <= MaxBacklogOrganisations)
      continue;
    std::vector<std::pair<double, organisation_id>> Order;
    Order.reserve(Work.size());
    for (const auto &[Organisation, Amount] : Work)
      Order.emplace_back(Amount, Organisation);
    std::ranges::sort(Order, std::greater());
    Order.resize(MaxBacklogOrganisations);
    std::set<organisation_id> Listed;
    for (const auto &[Amount, Organisation] : Order)
      Listed.insert(Organisation);
    std::map<int, backlog_entry> Others;
    std::erase_if(Service.Entries, [&](const backlog_entry &Entry) {
      if (Listed.contains(Entry.Organisation))
        return false;
      backlog_entry &Sum = Others[Entry.Priority];
      Sum.Priority = Entry.Priority;
      Sum.Waiting += Entry.Waiting;
      Sum.Running += Entry.Running;
      Sum.Accelerators += Entry.Accelerators;
      return true;
    });
    for (const auto &[Priority, Sum] : Others)
      Service.Others.push_back(Sum);
  }
}

bool differsNotably(const backlog &Left, const backlog &Right) {
  constexpr double LeastSeconds = 0.1;
  return !std::ranges::equal(
      Left.Services, Right.Services, [](const auto &One, const auto &Other) {
        const double Least = LeastSeconds * One.Capacity;
        return One.Service == Other.Service &&
               !differs(One.Capacity, Other.Capacity, 0) &&
               !differs(One.Rate, Other.Rate, LeastSeconds * One.Capacity) &&
               !differsNotably(One.Entries, Other.Entries, Least) &&
               !differsNotably(One.Others, Other.Others, Least);
      });
}

std::optional<admission_refusal>
findRefusal(const backlog &Backlog, const job_spec &Job, int Guarantee,
            const admission_settings &Settings) {
  const auto Service = std::ranges::find(Backlog.Services, Job.Queue.Service,
                                         &service_backlog::Service);
  // Without an estimate the objective says nothing either.
  const bool IsJudged =
      Settings.IsEnabled && Service != Backlog.Services.end() &&
      Service->Capacity > 0 && Job.Schedule.Repetitions == 0 &&
      std::ranges::none_of(Job.Steps, [](const step_spec &Step) {
        return Step.IsLongRunning || Step.Estimate.count() <= 0;
      });
  if (!IsJudged)
    return std::nullopt;

  const int Priority = Job.Queue.Priority;
  double Higher = 0; // work of higher priority
  double Own = detail::workOf(Job);
  int OwnAccelerators = peakAccelerators(Job);
  std::map<organisation_id, double> Beside; // of the others, same priority
  for (const backlog_entry &Entry : Service->Entries) {
    const bool IsOwn = Entry.Organisation == Job.Organisation;
    if (Entry.Priority < Priority)
      Higher += remainingWork(Entry);
    else if (Entry.Priority == Priority && IsOwn)
      Own += remainingWork(Entry);
    else if (Entry.Priority == Priority)
      Beside[Entry.Organisation] += remainingWork(Entry);
    if (Entry.Priority == 0 && IsOwn)
      OwnAccelerators += Entry.Accelerators;
  }
  const bool IsGuaranteed =
      Priority == 0 && Guarantee > 0 && OwnAccelerators <= Guarantee;
  if (IsGuaranteed)
    return std::nullopt;

  // With even shares each other organisation gets as much done as this one
  // until this one's work is done, or all of its own if that is less.
  double Ahead = Higher + Own;
  for (const auto &[Organisation, Work] : Beside)
    Ahead += std::min(Work, Own);
  for (const backlog_entry &Entry : Service->Others)
    if (Entry.Priority < Priority)
      Ahead += remainingWork(Entry);
    else if (Entry.Priority == Priority)
      Ahead += std::min(remainingWork(Entry), Own);
  const double Throughput =
      std::max(Service->Capacity, Service->Rate) * Settings.Optimism;
  double Seconds = Ahead / Throughput;
  // A guarantee gives urgent work at least its part of the service.
  if (Priority == 0 && Guarantee > 0 && Service->Accelerators > 0) {
    const double Part =
        std::min(1.0, static_cast<double>(Guarantee) / Service->Accelerators);
    Seconds = std::min(Seconds, Own / (Throughput * Part));
  }

  const milliseconds Expected = fromSeconds(Seconds);
  const milliseconds Limit =
      fromSeconds(std::chrono::duration<double>(objectiveOf(Job)).count() *
                  Settings.MaxObjectives);
  if (Expected <= Limit)
    return std::nullopt;
  constexpr milliseconds LeastDelay{1'000};
  const milliseconds Delay =
      std::clamp(Expected - Limit, LeastDelay, Settings.MaxRetryDelay);
  return admission_refusal{Expected, Limit, spread(Delay, Job.Id),
                           Ahead,    Own,   Throughput};
}

} // namespace galenastage::batch
