#include "core/request/request_flow.hpp"

#include <algorithm>

namespace galenastage {
namespace {

constexpr seconds MinRetryAfter{1};
constexpr seconds MaxRetryAfter{60};

/// One step of SplitMix64 on a state into which the events' random numbers are
/// mixed.
std::uint64_t nextRandom(request_state &State) {
  State.Random += 0x9e3779b97f4a7c15;
  std::uint64_t Mixed = State.Random;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111eb;
  return Mixed ^ (Mixed >> 31);
}

seconds retryAfter(milliseconds Wait) {
  const seconds Whole = std::chrono::ceil<seconds>(Wait);
  return std::clamp(Whole, MinRetryAfter, MaxRetryAfter);
}

milliseconds expectedServiceTime(const request_state &State,
                                 const request_attributes &Ask) {
  const auto Times = State.Queue.Times.find(Ask.Query.Service);
  if (Times == State.Queue.Times.end())
    return milliseconds(0);
  return expectedServiceTime(Times->second, Ask.Class);
}

void refuse(request_state &State, request_number Number, refusal Reason,
            seconds RetryAfter, request_effects &Effects) {
  const auto Found = State.Active.find(Number);
  if (Found == State.Active.end())
    return;
  Effects.push_back(
      refuse_request{Number, Reason, Found->second.Verdict, RetryAfter});
  State.Active.erase(Found);
}

void finish(request_state &State, request_number Number,
            request_effects &Effects) {
  const auto Found = State.Active.find(Number);
  Effects.push_back(
      finish_request{Number, Found->second.Verdict, Found->second.Tries});
  State.Active.erase(Found);
}

void send(request_state &State, request_number Number,
          upstream_executor &Executor, request_effects &Effects) {
  active_request &Request = State.Active.at(Number);
  Request.Executor = Executor.Row.Executor;
  ++Request.Tries;
  ++Executor.Outstanding;
  if (Request.Ask.Class == work_class::Patient)
    ++State.PatientRunning[Request.Ask.Query.Service];
  Effects.push_back(send_request{Number, Executor.Row});
}

/// Whether patient work already uses its full share of the slots.
bool isPatientShareFull(const request_state &State,
                        const request_attributes &Ask) {
  if (Ask.Class != work_class::Patient)
    return false;
  const auto Running = State.PatientRunning.find(Ask.Query.Service);
  if (Running == State.PatientRunning.end() || Running->second == 0)
    return false;
  const int Capacity = capacityFor(State.Upstreams, Ask.Query);
  return Running->second + 1 > Capacity * request_state::PatientShare;
}

/// Sends waiting requests to executors with a free slot, in fair order.
void sendWaiting(request_state &State, instant Now, request_effects &Effects) {
  while (State.Queue.Waiting > 0) {
    upstream_executor *Executor = nullptr;
    const auto Next = dequeue(State.Queue, [&](const request_attributes &Ask) {
      if (isPatientShareFull(State, Ask))
        return false;
      upstream_executor *Found =
          chooseExecutor(State.Upstreams, Ask.Query, nextRandom(State), Now);
      if (Found)
        Executor = Found;
      return Found != nullptr;
    });
    if (!Next)
      return;
    send(State, Next->Number, *Executor, Effects);
  }
}

/// Refuses a request, or queues it and sends what has a free slot.
void admit(request_state &State, request_number Number, instant Now,
           request_effects &Effects) {
  const request_attributes &Ask = State.Active.at(Number).Ask;
  const auto Refusal = refusalNow(State, Number, Ask, Now);
  if (Refusal) {
    refuse(State, Number, Refusal->Reason, Refusal->RetryAfter, Effects);
    return;
  }
  enqueue(State.Queue, Number, Ask);
  sendWaiting(State, Now, Effects);
}

void apply(request_state &State, const request_arrived &Event, instant Now,
           request_effects &Effects) {
  State.Random ^= Event.Random;
  addRetryTokens(State.Budget);
  active_request Request;
  Request.Ask = Event.Ask;
  State.Active.emplace(Event.Number, std::move(Request));
  admit(State, Event.Number, Now, Effects);
}

bool mayRetry(request_state &State, const active_request &Request,
              const try_ended &Event, instant RetryAt) {
  // All tries count: after one that may have run, a retry could be a second
  // run.
  const verdict Verdict = combineVerdicts(Request.Verdict, Event.Verdict);
  if (!isRetrySafe(Verdict, Request.Ask.Query.IsIdempotent))
    return false;
  if (Request.Tries >= request_state::MaxTries ||
      RetryAt >= Request.Ask.Deadline)
    return false;
  return takeRetryToken(State.Budget);
}

void apply(request_state &State, const try_ended &Event, instant Now,
           request_effects &Effects) {
  State.Random ^= Event.Random;
  const auto Found = State.Active.find(Event.Number);
  if (Found == State.Active.end())
    return;
  active_request &Request = Found->second;
  if (auto *Executor = findExecutor(State.Upstreams, Request.Executor)) {
    releaseSlot(*Executor, Event.Outcome, Now);
    noteOutcome(State.Upstreams, *Executor, Event.Outcome, Now);
  }
  if (Request.Ask.Class == work_class::Patient)
    --State.PatientRunning[Request.Ask.Query.Service];
  if (Event.Verdict == verdict::Ran)
    noteServiceTime(State.Queue.Times[Request.Ask.Query.Service],
                    Request.Ask.Class, Event.Took);

  const milliseconds Delay = retryDelay(Request.LastDelay, nextRandom(State));
  const bool Retries = mayRetry(State, Request, Event, Now + Delay);
  Request.Verdict = combineVerdicts(Request.Verdict, Event.Verdict);
  if (Retries) {
    Request.LastDelay = Delay;
    Request.RetryAt = Now + Delay;
    Request.Ask.Query.Avoid = Request.Executor;
    State.Retrying.push_back(Event.Number);
  } else {
    finish(State, Event.Number, Effects);
  }
  sendWaiting(State, Now, Effects);
}

void apply(request_state &State, const executors_listed &Event, instant Now,
           request_effects &Effects) {
  replaceExecutors(State.Upstreams, Event.Executors);
  sendWaiting(State, Now, Effects);
}

void admitRetries(request_state &State, instant Now, request_effects &Effects) {
  std::vector<request_number> Due;
  std::erase_if(State.Retrying, [&](request_number Number) {
    const bool IsDue = State.Active.at(Number).RetryAt <= Now;
    if (IsDue)
      Due.push_back(Number);
    return IsDue;
  });
  for (const request_number Number : Due)
    admit(State, Number, Now, Effects);
}

void apply(request_state &State, const time_passed &, instant Now,
           request_effects &Effects) {
  releaseAbandoned(State.Upstreams, Now);
  const auto Late = removeIf(State.Queue, [&](const request_attributes &Ask) {
    return Now + expectedServiceTime(State, Ask) >= Ask.Deadline;
  });
  for (const waiting_request &Request : Late) {
    const int Capacity = capacityFor(State.Upstreams, Request.Ask.Query);
    const milliseconds Wait = expectedWait(State.Queue, Request.Ask, Capacity);
    refuse(State, Request.Number, refusal::DeadlineTooSoon, retryAfter(Wait),
           Effects);
  }
  admitRetries(State, Now, Effects);
  sendWaiting(State, Now, Effects);
}

std::size_t waitingInFlow(const request_queue &Queue,
                          const request_attributes &Ask) {
  const auto Flow =
      Queue.Flows.find({Ask.Query.Service, Ask.Organisation, Ask.Class});
  return Flow == Queue.Flows.end() ? 0 : Flow->second.Waiting.size();
}

} // namespace

std::optional<refuse_request> refusalNow(const request_state &State,
                                         request_number Number,
                                         const request_attributes &Ask,
                                         instant Now) {
  const int Capacity = capacityFor(State.Upstreams, Ask.Query);
  if (Capacity == 0)
    return refuse_request{Number, refusal::NoExecutor, verdict::NotRun,
                          MinRetryAfter};
  if (Now >= Ask.Deadline)
    return refuse_request{Number, refusal::DeadlineTooSoon, verdict::NotRun,
                          MinRetryAfter};
  if (State.Queue.Waiting == 0)
    return std::nullopt;
  const milliseconds Wait = expectedWait(State.Queue, Ask, Capacity);
  if (waitingInFlow(State.Queue, Ask) >= MaxWaitingInFlow ||
      State.Queue.Waiting >= MaxWaiting)
    return refuse_request{Number, refusal::QueueFull, verdict::NotRun,
                          retryAfter(Wait)};
  if (Now + Wait + expectedServiceTime(State, Ask) >= Ask.Deadline)
    return refuse_request{Number, refusal::DeadlineTooSoon, verdict::NotRun,
                          retryAfter(Wait)};
  return std::nullopt;
}

request_effects reduce(request_state &State, const request_event &Event) {
  request_effects Effects;
  std::visit([&](const auto &Body) { apply(State, Body, Event.Now, Effects); },
             Event.Body);
  return Effects;
}

} // namespace galenastage
