// Orders of the simulation: calls that executors carry out, refuse, answer or
// don't answer.

#include "tests/support/batch_world_internal.hpp"

namespace galenastage::batch::test::detail {

void world::order(const executor_target &To, const order_work &Carry,
                  const std::function<void(bool)> &Unanswered) {
  checkToken(To);
  const milliseconds LostUntil = Settings.Faults.LostOrdersUntil;
  const bool IsLost = chance(Settings.Faults.LostOrders) &&
                      (LostUntil.count() == 0 || Now < LostUntil);
  const bool IsLate = IsLost && chance(Settings.Faults.LateOrders);
  const milliseconds Delay =
      IsLate ? milliseconds(draw(1'000, static_cast<int>(LongestDelay.count())))
             : Latency;
  const bool Arrives = !IsLost || IsLate || chance(0.5);
  if (IsLost)
    after(CallTimeout, [Unanswered] { Unanswered(true); });
  if (!Arrives)
    return;
  const std::int64_t SentTo = lifeOf(Executors[To.Id]);
  const bool EvenIfCut = IsLate && Settings.Faults.hasLives();
  const auto Arrive = [=, this](bool IsLost) {
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
    if (Now < Executor.CutUntil && !EvenIfCut) {
      if (!IsLost)
        after(CallTimeout, [Unanswered] { Unanswered(true); });
      return;
    }
    Carry(Executor, !IsLost, Executor.Report.Incarnation != SentTo);
  };
  after(Delay, [=, this, Sent = Now] {
    const time_point Handled = std::max(Now, Executors[To.Id].WaitsUntil);
    if (Handled == Now) {
      Arrive(IsLost);
      return;
    }
    const bool TimesOut = Handled - Sent >= CallTimeout;
    if (TimesOut && !IsLost)
      at(Sent + CallTimeout, [Unanswered] { Unanswered(true); });
    if (Handled - Sent <= LongestDelay)
      at(Handled, [=] { Arrive(IsLost || TimesOut); });
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
        Answer.From.ClockMs = clockOf(Executor);
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
        if (Order.To.Token < Executor.Token) {
          if (IsAnswered && Settings.Faults.hasLives())
            after(Latency, [=, this] {
              post(Leader, Order.To.Term,
                   stop_answered{Order.To.Id, Order.Run, false, From});
            });
          return;
        }
        noteToken(Executor, Order.To);
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
        Answer.From.ClockMs = clockOf(Executor);
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
  checkToken(Order.To);
  const instant Sent = now();
  const time_point TimesOut = Now + Order.Wait + CallTimeout;
  const auto IsReplied = std::make_shared<bool>(false);
  const auto Fail = [this, Leader, Order, IsReplied](hold_failure Failure) {
    if (!std::exchange(*IsReplied, true))
      post(Leader, Order.To.Term,
           hold_failed{Order.To.Id, Order.To.Incarnation, Failure, "",
                       Order.Number});
  };
  const double LateHolds = Settings.Faults.LateHolds;
  if (LateHolds > 0 && Now < Settings.Faulty && chance(LateHolds)) {
    at(TimesOut, [Fail] { Fail(hold_failure::NoAnswer); });
    time_point &Troubled = Executors[Order.To.Id].TroubledUntil;
    Troubled = std::max(Troubled, TimesOut);
    holdLate(Order);
    return;
  }
  const auto Arrive = [this, Leader, Order, Sent, Fail, IsReplied] {
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
    traceHold(Executor, Order);
    const auto Reply = [this, Leader, Order, Sent, IsReplied,
                        Life = Executor.Report.Incarnation] {
      if (!std::exchange(*IsReplied, true))
        answerHold(Leader, Order, Sent, Life);
    };
    if (Order.Wait.count() == 0 || !Executor.Ends.empty()) {
      Reply();
      return;
    }
    Executor.Waiting.push_back(Reply);
    after(Order.Wait, Reply);
  };
  after(Latency, [=, this] {
    if (Executors[Order.To.Id].IsRecutByHold && Order.LeaseEndMs)
      beginRecut(Executors[Order.To.Id]);
    const time_point Handled = std::max(Now, Executors[Order.To.Id].WaitsUntil);
    if (Handled == Now) {
      Arrive();
      return;
    }
    at(TimesOut, [Fail] { Fail(hold_failure::NoAnswer); });
    at(Handled, Arrive);
  });
}

void world::acknowledge(fake_executor &Executor, const hold_executor &Hold) {
  noteToken(Executor, Hold.To);
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
                       const hold_executor &Order, instant Sent,
                       std::int64_t Life) {
  fake_executor &Executor = Executors[Order.To.Id];
  const auto Fail = [this, Leader, Order](hold_failure Failure) {
    post(Leader, Order.To.Term,
         hold_failed{Order.To.Id, 0, Failure, "", Order.Number});
  };
  const bool IsLost = Executor.IsGone || Now < Executor.DownUntil ||
                      Now < Executor.RefusesUntil || Executor.IsBreaking;
  if (IsLost) {
    after(Latency, [Fail] { Fail(hold_failure::ConnectionLost); });
    return;
  }
  const bool IsQuiet = Now < Executor.WaitsUntil || Life < Executor.QuietLife;
  if (IsQuiet)
    Executor.TroubledUntil =
        std::max(Executor.TroubledUntil, Now + CallTimeout);
  if (Now < Executor.CutUntil || IsQuiet) {
    after(CallTimeout, [Fail] { Fail(hold_failure::NoAnswer); });
    return;
  }
  runs_reported Answer;
  Answer.Executor = Order.To.Id;
  Answer.Incarnation = Executor.Report.Incarnation;
  Answer.ClockMs = clockOf(Executor);
  Answer.Sent = Sent;
  Answer.Number = Order.Number;
  for (const auto &[Name, Run] : Executor.Runs)
    Answer.Active.push_back(
        {Name, checkpointOf(Run, run_end::Lapsed), percentOf(Run)});
  for (const fake_end &End : Executor.Ends)
    if (Answer.Ended.size() < Settings.EndsPerReport)
      Answer.Ended.push_back({End.Number, End.Name, End.End, End.Checkpoint});
  Answer.IsWhole = Answer.Ended.size() < Settings.EndsPerReport;
  after(Latency, [=, this] { post(Leader, Order.To.Term, Answer); });
}

} // namespace galenastage::batch::test::detail
