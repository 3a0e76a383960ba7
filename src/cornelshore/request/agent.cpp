#include <cornelshore/request/agent.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>

#include <cornelshore/request/backup.hpp>
#include <cornelshore/request/executor.hpp>
#include <cornelshore/request/home.hpp>
#include <cornelshore/request/peers.hpp>
#include <cornelshore/request/step.hpp>

namespace cornelshore::request {

using internal::Step;

/** The agent's three roles and its view of other agents. */
struct Agent::State
{
  AgentSettings settings_;
  internal::Home home_;
  internal::Backup backup_;
  internal::Executor executor_;
  internal::Peers peers_;
  TimePoint last_{};
  bool leaving_{};
  bool drained_{};

  State(const AgentSettings& aSettings, RepeatableHook aRepeatable)
    : settings_(aSettings)
    , home_(aSettings, std::move(aRepeatable))
  {
  }

  void RunTimers(Step& aStep)
  {
    home_.OnTimers(aStep, executor_);
    executor_.OnTimers(aStep);
    backup_.OnTimers(aStep);
    peers_.OnTimers(aStep.now_, settings_, aStep.actions_);
  }

  void DeliverNotice(Step& aStep, std::optional<internal::Notice> aNotice)
  {
    if (aNotice) {
      home_.OnNotice(aStep, executor_, std::move(*aNotice));
    }
  }

  void End(Step& aStep, RunId aRun, RunResult aResult, bool aHoldsSlot = true)
  {
    DeliverNotice(aStep,
                  executor_.OnEnd(aStep, aRun, std::move(aResult), aHoldsSlot));
  }

  void Handle(Step& aStep, Received aEvent);
  void Handle(Step& aStep, RunStarted aEvent);
  void Handle(Step& aStep, RunRefused aEvent);
  void Handle(Step& aStep, UpstreamFinished aEvent);
  void Handle(Step& aStep, UpstreamShed aEvent);
  void Handle(Step& aStep, UpstreamCancelled aEvent);
  void Handle(Step& aStep, UpstreamLost aEvent);
  void Handle(Step& aStep, MembershipChanged aEvent);
  void Handle(Step& aStep, Tick aEvent);
  void Handle(Step& aStep, LeaveRequested aEvent);

  struct Sender
  {
    HostId host_;
    Incarnation incarnation_;

    [[nodiscard]] bool Is(const Authority& aAuthority) const
    {
      return host_ == aAuthority.host_ &&
             incarnation_ == aAuthority.incarnation_;
    }
  };

  template<typename Relayed>
  void Route(Step& aStep, const Sender& aSender, Relayed aMessage);
  template<typename Relayed>
  void HandleAsBackup(Step& aStep, const Sender& aSender, Relayed aMessage);
  void Take(Step& aStep, const Sender&, Submit aMessage);
  void Take(Step& aStep, const Sender&, Cancel aMessage);
  template<typename Other>
  void Take(Step& aStep, const Sender& aSender, Other aMessage);
};

namespace {

/** Reports that the home is lost and no backup can answer for it. */
void
SendHomeLost(Step& aStep, const RequestKey& aKey, const Route& aRoute)
{
  const internal::OutcomeInfo outcome{
    Verdict::Unknown, Reason::HomeLost, {}, 0
  };
  internal::SendOutcome(aStep, aKey, aRoute, outcome, {});
}

} // namespace

void
Agent::State::Take(Step& aStep, const Sender&, Submit aMessage)
{
  home_.OnSubmit(aStep, executor_, std::move(aMessage));
}

void
Agent::State::Take(Step& aStep, const Sender&, Cancel aMessage)
{
  home_.OnCancel(aStep, executor_, aMessage);
}

template<typename Relayed>
void
Agent::State::Route(Step& aStep, const Sender& aSender, Relayed aMessage)
{
  const auto& ticket = aMessage.key_.ticket_;
  if (aStep.IsSelf(ticket.home_)) {
    Take(aStep, aSender, std::move(aMessage));
  } else if (ticket.backup_.host_ == settings_.self_) {
    HandleAsBackup(aStep, aSender, std::move(aMessage));
  } else if (ticket.home_.host_ == settings_.self_ &&
             ticket.home_.incarnation_ < settings_.incarnation_) {
    if (ticket.backup_.host_.value_ != 0) {
      aStep.ToHost(ticket.backup_.host_, std::move(aMessage));
    } else {
      SendHomeLost(aStep, aMessage.key_, aMessage.route_);
    }
  }
}

template<typename Relayed>
void
Agent::State::HandleAsBackup(Step& aStep,
                             const Sender& aSender,
                             Relayed aMessage)
{
  const auto& ticket = aMessage.key_.ticket_;
  const bool byHome = aSender.host_ == ticket.home_.host_;
  const bool restarted =
    byHome && aSender.incarnation_ > ticket.home_.incarnation_;
  if (!restarted && !peers_.HasEnded(ticket.home_)) {
    if (!byHome) {
      aStep.ToHost(ticket.home_.host_, std::move(aMessage));
    }
    return;
  }
  if (aStep.IsSelf(ticket.backup_)) {
    constexpr bool kIsCancel = std::is_same_v<Relayed, Cancel>;
    backup_.AnswerForHome(aStep,
                          aMessage.key_,
                          aMessage.route_,
                          kIsCancel ? Reason::Cancelled : Reason::HomeLost);
  } else {
    SendHomeLost(aStep, aMessage.key_, aMessage.route_);
  }
}

template<typename Other>
void
Agent::State::Take(Step& aStep, const Sender& aSender, Other aMessage)
{
  const auto from = aSender.host_;
  if constexpr (std::is_same_v<Other, TicketRequest>) {
    home_.OnTicketRequest(aStep, aMessage);
  } else if constexpr (std::is_same_v<Other, StampRequest>) {
    if (!leaving_) {
      aStep.ToHost(from, StampReply{ StampOf(aStep.now_) });
    }
  } else if constexpr (std::is_same_v<Other, StampReply>) {
    peers_.OnStamp(aStep.now_, from, aSender.incarnation_, aMessage.stamp_);
  } else if constexpr (std::is_same_v<Other, Intent>) {
    if (aSender.Is(aMessage.key_.ticket_.home_)) {
      backup_.OnIntent(aStep, from, aMessage);
    }
  } else if constexpr (std::is_same_v<Other, IntentReply>) {
    if (from == aMessage.key_.ticket_.backup_.host_) {
      home_.OnIntentReply(aStep, executor_, aMessage);
    }
  } else if constexpr (std::is_same_v<Other, Result>) {
    backup_.OnResult(aStep, from, std::move(aMessage));
  } else if constexpr (std::is_same_v<Other, ResultAck>) {
    home_.OnResultAck(aMessage);
    executor_.OnResultAcknowledged({ aMessage.key_, aMessage.attempt_ });
  } else if constexpr (std::is_same_v<Other, Run>) {
    if (aSender.Is(aMessage.key_.ticket_.home_)) {
      executor_.OnRun(aStep, from, std::move(aMessage));
    }
  } else if constexpr (std::is_same_v<Other, RunCancel>) {
    if (aSender.Is(aMessage.key_.ticket_.home_)) {
      executor_.OnRunCancel(aStep, from, aMessage);
    }
  } else if constexpr (std::is_same_v<Other, RunResult>) {
    home_.OnRunResult(aStep, executor_, from, std::move(aMessage));
  } else if constexpr (std::is_same_v<Other, RunResultAck>) {
    executor_.OnResultAcknowledged({ aMessage.key_, aMessage.attempt_ });
  }
}

void
Agent::State::Handle(Step& aStep, Received aEvent)
{
  const Sender sender{ HostId{ aEvent.from_.value_ }, aEvent.incarnation_ };
  peers_.OnMessage(sender.host_, sender.incarnation_);
  const auto handle = [&](auto& aMessage) {
    using Kind = std::decay_t<decltype(aMessage)>;
    if constexpr (std::is_same_v<Kind, Submit> ||
                  std::is_same_v<Kind, Cancel>) {
      Route(aStep, sender, std::move(aMessage));
    } else {
      Take(aStep, sender, std::move(aMessage));
    }
  };
  std::visit(handle, aEvent.message_);
}

void
Agent::State::Handle(Step& aStep, RunStarted aEvent)
{
  DeliverNotice(aStep, executor_.OnStarted(aStep, aEvent.run_));
}

void
Agent::State::Handle(Step& aStep, RunRefused aEvent)
{
  RunResult result;
  result.end_ = RunEnd::Refused;
  result.reason_ = aEvent.reason_;
  result.retryAfter_ = aEvent.retryAfter_;
  End(aStep, aEvent.run_, std::move(result), false);
}

void
Agent::State::Handle(Step& aStep, UpstreamFinished aEvent)
{
  RunResult result;
  result.end_ = RunEnd::Finished;
  result.answer_ = std::move(aEvent.answer_);
  End(aStep, aEvent.run_, std::move(result));
}

void
Agent::State::Handle(Step& aStep, UpstreamShed aEvent)
{
  RunResult result;
  result.end_ = RunEnd::Refused;
  result.reason_ = Reason::UpstreamShed;
  result.retryAfter_ = aEvent.retryAfter_;
  End(aStep, aEvent.run_, std::move(result));
}

void
Agent::State::Handle(Step& aStep, UpstreamCancelled aEvent)
{
  RunResult result;
  result.end_ = RunEnd::Cancelled;
  result.reason_ = Reason::CancelledInRun;
  End(aStep, aEvent.run_, std::move(result));
}

void
Agent::State::Handle(Step& aStep, UpstreamLost aEvent)
{
  RunResult result;
  result.end_ = RunEnd::Lost;
  result.reason_ = Reason::UpstreamLost;
  End(aStep, aEvent.run_, std::move(result));
}

void
Agent::State::Handle(Step& aStep, MembershipChanged aEvent)
{
  peers_.Update(aStep.now_, aEvent.hosts_, settings_);
  peers_.OnTimers(aStep.now_, settings_, aStep.actions_);
  home_.OnMembership(aStep, executor_);
}

void
Agent::State::Handle(Step&, Tick)
{
}

void
Agent::State::Handle(Step& aStep, LeaveRequested)
{
  leaving_ = true;
  home_.Leave(aStep, executor_);
  executor_.Leave(aStep);
}

Agent::Agent(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

Agent::Agent(const Agent& aOther)
  : state_(std::make_unique<State>(*aOther.state_))
{
}

Agent&
Agent::operator=(const Agent& aOther)
{
  if (this != &aOther) {
    state_ = std::make_unique<State>(*aOther.state_);
  }
  return *this;
}

Agent::Agent(Agent&& aOther) noexcept = default;
Agent& Agent::operator=(Agent&& aOther) noexcept = default;
Agent::~Agent() = default;

std::vector<Action>
Agent::On(TimePoint aNow, Event aEvent)
{
  auto& state = *state_;
  state.last_ = std::max(state.last_, aNow);
  std::vector<Action> actions;
  Step step{ state.last_, state.settings_, state.peers_, actions };
  state.RunTimers(step);
  std::visit([&](auto& aKind) { state.Handle(step, std::move(aKind)); },
             aEvent);
  if (state.leaving_ && !state.drained_ && state.home_.Idle() &&
      state.executor_.Idle()) {
    state.drained_ = true;
    actions.emplace_back(Drained{});
  }
  return actions;
}

std::optional<TimePoint>
Agent::NextTimer() const
{
  using internal::Earlier;
  return Earlier(
    Earlier(state_->home_.NextTimer(), state_->executor_.NextTimer()),
    Earlier(state_->backup_.NextTimer(), state_->peers_.NextTimer()));
}

AgentDump
Agent::Dump(TimePoint aNow) const
{
  AgentDump dump;
  state_->home_.FillDump(dump);
  dump.answerBytes_ += state_->backup_.AnswerBytes();
  dump.backupIds_ = state_->backup_.EntryCount();
  dump.runs_ = state_->executor_.EntryCount();
  dump.runsInProgress_ = state_->executor_.InProgress();
  dump.peers_ = state_->peers_.CountFresh(aNow, state_->settings_);
  dump.backupOutcomes_ = state_->backup_.Outcomes();
  return dump;
}

AgentBuilder&
AgentBuilder::With(AgentSettings aSettings)
{
  settings_ = aSettings;
  return *this;
}

AgentBuilder&
AgentBuilder::WithRepeatable(RepeatableHook aHook)
{
  repeatable_ = std::move(aHook);
  return *this;
}

absl::StatusOr<Agent>
AgentBuilder::Build() const
{
  if (auto status = Check(settings_); !status.ok()) {
    return status;
  }
  return Agent(std::make_unique<Agent::State>(settings_, repeatable_));
}

} // namespace cornelshore::request
