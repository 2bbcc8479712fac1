// Orders of the simulation: calls that executors carry out, refuse, answer or
// don't answer.

#include "tests/support/batch_world_internal.hpp"

namespace galenastage::batch::test::detail {

void world::order(const executor_target &To, const order_work &Carry,
                  const std::function<void(bool)> &Unanswered) {
  const bool IsLost = chance(Settings.Faults.LostOrders);
  const bool IsLate = IsLost && chance(Settings.Faults.LateOrders);
  const milliseconds Delay =
      IsLate ? milliseconds(draw(1'000, 12'000)) : Latency;
  const bool Arrives = !IsLost || IsLate || chance(0.5);
  if (IsLost)
    after(CallTimeout, [Unanswered] { Unanswered(true); });
  if (!Arrives)
    return;
  const std::int64_t SentTo = Executors[To.Id].Report.Incarnation;
  after(Delay, [=, this] {
    fake_executor &Executor = Executors[To.Id];
    if (Executor.IsGone || Now < Executor.DownUntil) {
      if (!IsLost)
        after(Latency, [Unanswered] { Unanswered(true); });
      return;
    }
    if (Now < Executor.RefusesUntil) {
      if (!IsLost)
        after(Latency, [Unanswered] { Unanswered(false); });
      return;
    }
    if (Now < Executor.CutUntil) {
      if (!IsLost)
        after(CallTimeout, [Unanswered] { Unanswered(true); });
      return;
    }
    Carry(Executor, !IsLost, Executor.Report.Incarnation != SentTo);
  });
}

void world::carryOut(const std::shared_ptr<fake_leader> &Leader,
                     start_run &Start) {
  const start_run Order = Start;
  History.noteOrder(Order.Run, Now);
  cutIdle(Executors[Order.To.Id]);
  answer_source From{Order.To.Incarnation};
  From.Sent = now();
  order(
      Order.To,
      [this, Leader, Order, From](fake_executor &Executor, bool IsAnswered,
                                  bool IsStray) {
        const std::string Refusal = begin(Executor, Order, IsStray);
        if (!IsAnswered)
          return;
        if (!Refusal.empty())
          History.noteRefusal(Order.Run);
        start_answered Answer{Order.To.Id, Order.Run,
                              Refusal.empty() ? order_outcome::Accepted
                                              : order_outcome::Refused,
                              Refusal, From};
        Answer.From.ClockMs = (Now - Executor.BornAt).count();
        after(Latency, [=, this] { post(Leader, Order.To.Term, Answer); });
      },
      [this, Leader, Order, From](bool MayHaveRun) {
        const start_answered Answer{
            Order.To.Id, Order.Run,
            MayHaveRun ? order_outcome::Unknown : order_outcome::Refused,
            MayHaveRun ? "" : "connection refused", From};
        after(Latency, [=, this] { post(Leader, Order.To.Term, Answer); });
      });
}

void world::cutIdle(fake_executor &Executor) {
  const bool IsCut = Settings.Faults.IdleCuts > IdleCuts &&
                     Now < Settings.Faulty && Executor.Runs.empty() &&
                     Now >= Executor.RefusesUntil && chance(0.3);
  if (!IsCut)
    return;
  ++IdleCuts;
  Executor.RefusesUntil = Now + milliseconds(draw(500, 4'000));
  trace(Executor.Report.Id.Value + " refuses all calls until " +
        std::to_string(Executor.RefusesUntil.count()));
}

void world::carryOut(const std::shared_ptr<fake_leader> &Leader,
                     stop_run &Stop) {
  const stop_run Order = Stop;
  answer_source From{Order.To.Incarnation};
  From.Sent = now();
  order(
      Order.To,
      [this, Leader, Order, From](fake_executor &Executor, bool IsAnswered,
                                  bool) {
        if (Order.To.Token < Executor.Token)
          return;
        Executor.Token = Order.To.Token;
        int &Closed = Executor.Closed[Order.Run.Task];
        Closed = std::max(Closed, Order.Run.Attempt);
        const auto Found = Executor.Runs.find(Order.Run);
        if (Found != Executor.Runs.end() && !Found->second.IsStopping) {
          Found->second.IsStopping = true;
          Found->second.StoppedAt = Now;
          after(Settings.StopTime,
                [this, Id = Executor.Report.Id, Run = Order.Run,
                 ExpectedIncarnation = Executor.Report.Incarnation] {
                  if (Executors[Id].Report.Incarnation == ExpectedIncarnation)
                    finish(Executors[Id], Run, run_end::Stopped);
                });
        }
        if (!IsAnswered)
          return;
        stop_answered Answer{Order.To.Id, Order.Run, true, From};
        Answer.From.ClockMs = (Now - Executor.BornAt).count();
        after(Latency, [=, this] { post(Leader, Order.To.Term, Answer); });
      },
      [this, Leader, Order](bool) {
        post(Leader, Order.To.Term,
             stop_answered{Order.To.Id, Order.Run, false});
      });
}

void world::carryOut(const std::shared_ptr<fake_leader> &Leader,
                     hold_executor &Hold) {
  const hold_executor Order = Hold;
  ++Report.Holds;
  const instant Sent = now();
  const auto Fail = [this, Leader, Order](hold_failure Failure) {
    post(Leader, Order.To.Term,
         hold_failed{Order.To.Id, Order.To.Incarnation, Failure});
  };
  after(Latency, [this, Leader, Order, Sent, Fail] {
    fake_executor &Executor = Executors[Order.To.Id];
    if (Now < Executor.CutUntil) {
      after(CallTimeout, [Fail] { Fail(hold_failure::NoAnswer); });
      return;
    }
    if (Executor.IsGone || Now < Executor.DownUntil) {
      const bool IsBack = Now >= Executor.DownUntil;
      after(Latency, [Fail, IsBack] {
        Fail(IsBack ? hold_failure::Replaced : hold_failure::ConnectionLost);
      });
      return;
    }
    if (Now < Executor.RefusesUntil) {
      after(Latency, [Fail] { Fail(hold_failure::ConnectionLost); });
      return;
    }
    if (Order.To.Token < Executor.Token) {
      after(Latency, [Fail] { Fail(hold_failure::Fenced); });
      return;
    }
    acknowledge(Executor, Order);
    const auto Reply = [this, Leader, To = Order.To, Sent] {
      answerHold(Leader, To, Sent);
    };
    if (Order.Wait.count() == 0 || !Executor.Ends.empty()) {
      Reply();
      return;
    }
    const auto IsReplied = std::make_shared<bool>(false);
    const auto ReplyOnce = [IsReplied, Reply] {
      if (!std::exchange(*IsReplied, true))
        Reply();
    };
    Executor.Waiting.push_back(ReplyOnce);
    after(Order.Wait, ReplyOnce);
  });
}

void world::acknowledge(fake_executor &Executor, const hold_executor &Hold) {
  Executor.Token = Hold.To.Token;
  if (Executor.LeaseEnd < Now)
    Executor.LastLapse = Executor.LeaseEnd;
  std::erase_if(Executor.Ends, [&](const fake_end &End) {
    if (End.Number > Hold.LastSeen)
      return false;
    // An end before the last expiry of the executor's lease does not count: the
    // leader was right to consider the run lost.
    if (End.End == run_end::Done && Executor.LastLapse < End.At) {
      Acknowledged.insert(End.Name.Task);
      if (LastStarts[End.Name.Task] > End.At)
        violate(print(End.Name) + " had ended as done, and another attempt "
                                  "started before that was noted");
    }
    return true;
  });
  if (Hold.LeaseEndMs)
    Executor.LeaseEnd =
        std::max(Executor.LeaseEnd, leaseEnd(Executor, *Hold.LeaseEndMs));
}

void world::answerHold(const std::shared_ptr<fake_leader> &Leader,
                       const executor_target &To, instant Sent) {
  const fake_executor &Executor = Executors[To.Id];
  const bool IsLost = Executor.IsGone || Now < Executor.DownUntil ||
                      Now < Executor.RefusesUntil;
  if (IsLost) {
    after(Latency, [this, Leader, To] {
      post(Leader, To.Term,
           hold_failed{To.Id, 0, hold_failure::ConnectionLost});
    });
    return;
  }
  if (Now < Executor.CutUntil) {
    after(CallTimeout, [this, Leader, To] {
      post(Leader, To.Term, hold_failed{To.Id, 0, hold_failure::NoAnswer});
    });
    return;
  }
  runs_reported Answer;
  Answer.Executor = To.Id;
  Answer.Incarnation = Executor.Report.Incarnation;
  Answer.ClockMs = (Now - Executor.BornAt).count();
  Answer.Sent = Sent;
  for (const auto &[Name, Run] : Executor.Runs)
    Answer.Active.push_back(
        {Name, checkpointOf(Run, run_end::Lapsed), percentOf(Run)});
  for (const fake_end &End : Executor.Ends)
    if (Answer.Ended.size() < Settings.EndsPerReport)
      Answer.Ended.push_back({End.Number, End.Name, End.End, End.Checkpoint});
  Answer.IsWhole = Answer.Ended.size() < Settings.EndsPerReport;
  after(Latency, [=, this] { post(Leader, To.Term, Answer); });
}

} // namespace galenastage::batch::test::detail
