#include "core/request/admission.hpp"

#include <algorithm>
#include <cmath>

namespace galenastage {
namespace {

flow_key keyOf(const request_attributes &Ask) {
  return {Ask.Query.Service, Ask.Organisation, Ask.Class};
}

double updatedMean(double Mean, double Sample) {
  if (Mean == 0)
    return Sample;
  return Mean + service_times::SampleWeight * (Sample - Mean);
}

/// Sum of the weights of a service's flows that have waiting requests. Own
/// always counts.
double activeWeight(const request_queue &Queue, const flow_key &Own) {
  double Sum = weightOf(Own.Class);
  for (const auto &[Key, Flow] : Queue.Flows)
    if (Key.Service == Own.Service && Key != Own && !Flow.Waiting.empty())
      Sum += weightOf(Key.Class);
  return Sum;
}

std::size_t waitingOfService(const request_queue &Queue,
                             const service_id &Service) {
  std::size_t Count = 0;
  for (const auto &[Key, Flow] : Queue.Flows)
    Count += Key.Service == Service ? Flow.Waiting.size() : 0;
  return Count;
}

} // namespace

double weightOf(work_class Class) {
  switch (Class) {
  case work_class::Urgent:
    return 16;
  case work_class::Ordinary:
    return 4;
  case work_class::Patient:
    break;
  }
  return 1;
}

void noteServiceTime(service_times &Times, work_class Class,
                     milliseconds Took) {
  const double Sample = std::max<double>(1, static_cast<double>(Took.count()));
  double &ClassMean = Times.ClassMeanMs[static_cast<std::size_t>(Class)];
  ClassMean = updatedMean(ClassMean, Sample);
  Times.MeanMs = updatedMean(Times.MeanMs, Sample);
}

milliseconds expectedServiceTime(const service_times &Times, work_class Class) {
  const double Mean = Times.ClassMeanMs[static_cast<std::size_t>(Class)];
  return milliseconds(std::llround(Mean));
}

milliseconds expectedWait(const request_queue &Queue,
                          const request_attributes &Ask, int Capacity) {
  const flow_key Key = keyOf(Ask);
  const auto Times = Queue.Times.find(Key.Service);
  if (Times == Queue.Times.end() || Capacity <= 0)
    return milliseconds(0);
  const auto Flow = Queue.Flows.find(Key);
  const double Ahead = Flow == Queue.Flows.end()
                           ? 0
                           : static_cast<double>(Flow->second.Waiting.size());
  // This flow gets one of every (sum of weights / own weight) turns. The wait
  // is bounded by all requests that wait now.
  const double FairTurns =
      (Ahead + 1) * activeWeight(Queue, Key) / weightOf(Key.Class);
  const double AllTurns =
      static_cast<double>(waitingOfService(Queue, Key.Service)) + 1;
  const double Turns = std::min(FairTurns, AllTurns);
  return milliseconds(std::llround(Turns * Times->second.MeanMs / Capacity));
}

bool enqueue(request_queue &Queue, request_number Number,
             request_attributes Ask) {
  const flow_key Key = keyOf(Ask);
  request_flow &Flow = Queue.Flows[Key];
  if (Flow.Waiting.size() >= MaxWaitingInFlow || Queue.Waiting >= MaxWaiting)
    return false;
  const double Start =
      std::max(Queue.VirtualTime[Key.Service], Flow.LastFinish);
  Flow.LastFinish = Start + 1 / weightOf(Key.Class);
  Flow.Waiting.push_back({Number, std::move(Ask), Start});
  ++Queue.Waiting;
  return true;
}

std::optional<waiting_request>
dequeue(request_queue &Queue,
        const std::function<bool(const request_attributes &)> &CanStart) {
  request_flow *Best = nullptr;
  for (auto &[Key, Flow] : Queue.Flows) {
    if (Flow.Waiting.empty())
      continue;
    const waiting_request &Head = Flow.Waiting.front();
    if (Best && Best->Waiting.front().Start <= Head.Start)
      continue;
    if (CanStart(Head.Ask))
      Best = &Flow;
  }
  if (!Best)
    return std::nullopt;
  waiting_request Next = std::move(Best->Waiting.front());
  Best->Waiting.pop_front();
  --Queue.Waiting;
  double &Virtual = Queue.VirtualTime[Next.Ask.Query.Service];
  Virtual = std::max(Virtual, Next.Start);
  return Next;
}

std::vector<waiting_request>
removeIf(request_queue &Queue,
         const std::function<bool(const request_attributes &)> &Drops) {
  std::vector<waiting_request> Removed;
  for (auto &[Key, Flow] : Queue.Flows) {
    std::erase_if(Flow.Waiting, [&](waiting_request &Request) {
      if (!Drops(Request.Ask))
        return false;
      Removed.push_back(std::move(Request));
      return true;
    });
    // Requests that never ran aren't charged to their flow.
    if (Flow.Waiting.empty())
      Flow.LastFinish = 0;
  }
  Queue.Waiting -= Removed.size();
  // An empty flow that isn't ahead of the virtual time holds no state.
  std::erase_if(Queue.Flows, [&](const auto &Entry) {
    return Entry.second.Waiting.empty() &&
           Entry.second.LastFinish <= Queue.VirtualTime[Entry.first.Service];
  });
  return Removed;
}

} // namespace galenastage
