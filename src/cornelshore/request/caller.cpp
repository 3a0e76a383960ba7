#include <cornelshore/request/caller.hpp>

#include <algorithm>
#include <set>
#include <type_traits>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/random.hpp>
#include <cornelshore/request/answer.hpp>
#include <cornelshore/request/retry_budget.hpp>

namespace cornelshore::request {

namespace {

constexpr std::uint32_t kRetryShare = 100;
constexpr std::uint32_t kRetryBurst = 10;

/** Whether a request not run for this reason may succeed with a new ticket. */
bool
IsRetryableWithNewTicket(Reason aReason)
{
  return aReason == Reason::HomeLost || aReason == Reason::BackupTimeout ||
         aReason == Reason::TicketExpired || aReason == Reason::Leaving;
}

} // namespace

struct Caller::State
{
  using Actions = std::vector<CallerAction>;
  using PoolKey = std::pair<ServiceId, ClassId>;

  struct Entry
  {
    Submission submission_;
    std::optional<Ticket> ticket_;         ///< Set once it is submitted.
    std::optional<Ticket> previousTicket_; ///< Ticket of the previous binding.
    bool repeatable_{};
    bool mayHaveRun_{}; ///< It may have run under an earlier ticket.
    bool stopped_{};
    std::uint32_t bindings_{};
    std::uint32_t requestsSent_{}; ///< Ticket requests sent for this binding.
    Reason lastReason_{ Reason::NoTicket };
    AnswerAssembly assembly_;
    TimePoint due_;
    Duration backoff_{};
  };

  struct PooledTicket
  {
    Ticket ticket_;
    bool repeatable_{};
    TimePoint receivedAt_;
  };

  struct PendingTicket
  {
    PoolKey key_;
    TimePoint requestedAt_;
  };

  explicit State(CallerSettings aSettings)
    : settings_(std::move(aSettings))
    , random_(settings_.seed_)
  {
  }

  CallerSettings settings_;
  Random random_;
  RetryBudget budget_{ kRetryShare, kRetryBurst };
  absl::flat_hash_map<RequestId, Entry> open_;
  absl::flat_hash_map<PoolKey, std::vector<PooledTicket>> pool_;
  absl::flat_hash_map<RequestId, PendingTicket> pendingTickets_;
  std::set<std::pair<TimePoint, RequestId>> timers_;
  CallerDump dump_;

  void Send(Actions& aActions, Message aMessage)
  {
    const auto index = random_.Below(settings_.balancers_.size());
    aActions.emplace_back(
      SendToAddress{ settings_.balancers_[index], std::move(aMessage) });
  }

  void Schedule(TimePoint aNow, Entry& aEntry);
  void SendNext(TimePoint aNow, Entry& aEntry, Actions& aActions);
  void Restart(TimePoint aNow, Entry& aEntry, Actions& aActions);
  void RequestTicket(TimePoint aNow, Entry& aEntry, Actions& aActions);
  void Bind(TimePoint aNow,
            Entry& aEntry,
            const Ticket& aTicket,
            bool aRepeatable,
            Actions& aActions);
  void Finish(RequestId aId, Done aDone, Actions& aActions);
  void FinishNotRun(Entry& aEntry,
                    Reason aReason,
                    Duration aRetryAfter,
                    Actions& aActions);
  void OnDue(TimePoint aNow, Entry& aEntry, Actions& aActions);

  [[nodiscard]] std::optional<PooledTicket> TakePooled(TimePoint aNow,
                                                       const PoolKey& aKey);
  void Refill(TimePoint aNow, const PoolKey& aKey, Actions& aActions);

  void On(TimePoint aNow, TicketReply aReply, Actions& aActions);
  void On(TimePoint aNow, AnswerPart aPart, Actions& aActions);
  void On(TimePoint aNow, const Outcome& aOutcome, Actions& aActions);
  void OnPoolReply(TimePoint aNow, const TicketReply& aReply);
  [[nodiscard]] Entry* Find(const RequestKey& aKey);
};

void
Caller::State::Schedule(TimePoint aNow, Entry& aEntry)
{
  const auto id = aEntry.submission_.id_;
  const auto half = aEntry.backoff_ / 2;
  const auto jitter = static_cast<Duration::rep>(
    random_.Below(static_cast<std::uint64_t>(half.count()) + 1));
  timers_.erase({ aEntry.due_, id });
  aEntry.due_ =
    std::min(aNow + half + Duration{ jitter }, aEntry.submission_.deadline_);
  aEntry.backoff_ = std::min(aEntry.backoff_ * 2, settings_.maxResendAfter_);
  timers_.emplace(aEntry.due_, id);
}

void
Caller::State::SendNext(TimePoint aNow, Entry& aEntry, Actions& aActions)
{
  const auto& submission = aEntry.submission_;
  const Work work{ submission.service_,
                   submission.class_,
                   settings_.identity_ };
  if (!aEntry.ticket_) {
    Send(aActions,
         TicketRequest{ submission.id_, work, aEntry.requestsSent_ / 2, {} });
    ++aEntry.requestsSent_;
  } else if (aEntry.stopped_) {
    Send(aActions, Cancel{ { submission.id_, *aEntry.ticket_ }, {} });
  } else {
    Send(aActions,
         Submit{ { submission.id_, *aEntry.ticket_ },
                 work,
                 submission.deadline_ - aNow,
                 submission.body_,
                 {} });
  }
  Schedule(aNow, aEntry);
}

void
Caller::State::Restart(TimePoint aNow, Entry& aEntry, Actions& aActions)
{
  aEntry.backoff_ = settings_.resendAfter_;
  SendNext(aNow, aEntry, aActions);
}

void
Caller::State::RequestTicket(TimePoint aNow, Entry& aEntry, Actions& aActions)
{
  aEntry.previousTicket_ = aEntry.ticket_;
  aEntry.ticket_.reset();
  aEntry.assembly_ = {};
  aEntry.requestsSent_ = 0;
  Restart(aNow, aEntry, aActions);
}

void
Caller::State::Bind(TimePoint aNow,
                    Entry& aEntry,
                    const Ticket& aTicket,
                    bool aRepeatable,
                    Actions& aActions)
{
  aEntry.ticket_ = aTicket;
  aEntry.repeatable_ = aRepeatable;
  ++aEntry.bindings_;
  aActions.emplace_back(
    Bound{ { aEntry.submission_.id_, aTicket }, aEntry.mayHaveRun_ });
  Restart(aNow, aEntry, aActions);
}

void
Caller::State::Finish(RequestId aId, Done aDone, Actions& aActions)
{
  const auto found = open_.find(aId);
  timers_.erase({ found->second.due_, aId });
  open_.erase(found);
  dump_.outcomes_.Add(aDone.verdict_, aDone.reason_);
  aDone.id_ = aId;
  aActions.emplace_back(std::move(aDone));
}

void
Caller::State::FinishNotRun(Entry& aEntry,
                            Reason aReason,
                            Duration aRetryAfter,
                            Actions& aActions)
{
  Done done;
  done.verdict_ = aEntry.mayHaveRun_ ? Verdict::Unknown : Verdict::NotRun;
  done.reason_ = aReason;
  done.retryAfter_ = aRetryAfter;
  Finish(aEntry.submission_.id_, std::move(done), aActions);
}

void
Caller::State::OnDue(TimePoint aNow, Entry& aEntry, Actions& aActions)
{
  if (aNow < aEntry.submission_.deadline_) {
    ++dump_.resends_;
    SendNext(aNow, aEntry, aActions);
    return;
  }
  const auto id = aEntry.submission_.id_;
  if (!aEntry.ticket_) {
    FinishNotRun(aEntry, aEntry.lastReason_, {}, aActions);
    return;
  }
  Send(aActions, Cancel{ { id, *aEntry.ticket_ }, {} });
  Done done;
  done.reason_ = Reason::NoAnswer;
  Finish(id, std::move(done), aActions);
}

std::optional<Caller::State::PooledTicket>
Caller::State::TakePooled(TimePoint aNow, const PoolKey& aKey)
{
  auto& tickets = pool_[aKey];
  while (!tickets.empty()) {
    const auto pooled = tickets.back();
    tickets.pop_back();
    if (aNow - pooled.receivedAt_ < settings_.ticketAge_) {
      return pooled;
    }
  }
  return std::nullopt;
}

void
Caller::State::Refill(TimePoint aNow, const PoolKey& aKey, Actions& aActions)
{
  std::size_t requested = 0;
  absl::erase_if(pendingTickets_, [&](const auto& aWanted) {
    return aNow - aWanted.second.requestedAt_ > settings_.maxResendAfter_;
  });
  for (const auto& [id, pending] : pendingTickets_) {
    requested += pending.key_ == aKey ? 1 : 0;
  }
  for (auto held = pool_[aKey].size() + requested; held < settings_.ticketPool_;
       ++held) {
    const RequestId id{ random_.Next(), random_.Next() };
    pendingTickets_.emplace(id, PendingTicket{ aKey, aNow });
    const Work work{ aKey.first, aKey.second, settings_.identity_ };
    Send(aActions, TicketRequest{ id, work, 0, {} });
  }
}

void
Caller::State::OnPoolReply(TimePoint aNow, const TicketReply& aReply)
{
  const auto pending = pendingTickets_.find(aReply.id_);
  if (pending == pendingTickets_.end()) {
    return;
  }
  auto& tickets = pool_[pending->second.key_];
  if (aReply.reason_ == Reason::None &&
      tickets.size() < settings_.ticketPool_) {
    tickets.push_back({ aReply.ticket_, aReply.repeatable_, aNow });
  }
  pendingTickets_.erase(pending);
}

void
Caller::State::On(TimePoint aNow, TicketReply aReply, Actions& aActions)
{
  const auto found = open_.find(aReply.id_);
  if (found == open_.end()) {
    OnPoolReply(aNow, aReply);
    return;
  }
  auto& entry = found->second;
  if (entry.ticket_ || aReply.reason_ == Reason::Leaving ||
      (aReply.reason_ == Reason::None &&
       entry.previousTicket_ == aReply.ticket_)) {
    return;
  }
  if (aReply.reason_ == Reason::None) {
    Bind(aNow, entry, aReply.ticket_, aReply.repeatable_, aActions);
  } else {
    FinishNotRun(entry, aReply.reason_, aReply.retryAfter_, aActions);
  }
}

Caller::State::Entry*
Caller::State::Find(const RequestKey& aKey)
{
  const auto found = open_.find(aKey.id_);
  const bool current =
    found != open_.end() && found->second.ticket_ == aKey.ticket_;
  return current ? &found->second : nullptr;
}

void
Caller::State::On(TimePoint aNow, AnswerPart aPart, Actions& aActions)
{
  auto* entry = Find(aPart.key_);
  if (entry == nullptr) {
    ++dump_.partsRejected_;
    return;
  }
  const auto id = aPart.key_.id_;
  const auto effect =
    entry->assembly_.Take(std::move(aPart), settings_.answerLimit_);
  if (effect == PartResult::Rejected) {
    ++dump_.partsRejected_;
  } else if (effect == PartResult::Kept) {
    entry->backoff_ = settings_.resendAfter_;
    Schedule(aNow, *entry);
  } else if (effect == PartResult::Complete) {
    Done done;
    done.verdict_ = Verdict::Answered;
    done.answer_ = entry->assembly_.Release();
    Finish(id, std::move(done), aActions);
  }
}

void
Caller::State::On(TimePoint aNow, const Outcome& aOutcome, Actions& aActions)
{
  auto* entry = Find(aOutcome.key_);
  if (entry == nullptr || aOutcome.verdict_ == Verdict::Answered) {
    return;
  }
  const bool more = !entry->stopped_ &&
                    entry->bindings_ < settings_.bindings_ &&
                    aNow < entry->submission_.deadline_;
  entry->lastReason_ = aOutcome.reason_;
  if (aOutcome.verdict_ == Verdict::NotRun) {
    if (more && IsRetryableWithNewTicket(aOutcome.reason_)) {
      ++dump_.rebound_;
      RequestTicket(aNow, *entry, aActions);
    } else {
      FinishNotRun(*entry, aOutcome.reason_, aOutcome.retryAfter_, aActions);
    }
    return;
  }
  entry->mayHaveRun_ = true;
  if (more && entry->repeatable_ && budget_.Take()) {
    ++dump_.rebound_;
    RequestTicket(aNow, *entry, aActions);
  } else {
    FinishNotRun(*entry, aOutcome.reason_, aOutcome.retryAfter_, aActions);
  }
}

Caller::Caller(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

Caller::Caller(const Caller& aOther)
  : state_(std::make_unique<State>(*aOther.state_))
{
}

Caller&
Caller::operator=(const Caller& aOther)
{
  if (this != &aOther) {
    state_ = std::make_unique<State>(*aOther.state_);
  }
  return *this;
}

Caller::Caller(Caller&& aOther) noexcept = default;
Caller& Caller::operator=(Caller&& aOther) noexcept = default;
Caller::~Caller() = default;

absl::StatusOr<std::vector<CallerAction>>
Caller::Start(TimePoint aNow, Submission aSubmission)
{
  auto& state = *state_;
  if (state.open_.contains(aSubmission.id_)) {
    return absl::AlreadyExistsError("request id is already open");
  }
  if (state.open_.size() >= state.settings_.limit_) {
    return absl::ResourceExhaustedError("too many open submissions");
  }
  std::vector<CallerAction> actions;
  const auto id = aSubmission.id_;
  const State::PoolKey key{ aSubmission.service_, aSubmission.class_ };
  auto& entry = state.open_[id];
  entry.submission_ = std::move(aSubmission);
  entry.mayHaveRun_ = entry.submission_.mayHaveRun_;
  state.budget_.First();
  if (entry.submission_.ticket_) {
    state.Bind(aNow, entry, *entry.submission_.ticket_, false, actions);
  } else if (aNow >= entry.submission_.deadline_) {
    state.FinishNotRun(entry, Reason::DeadlinePassed, {}, actions);
  } else if (const auto pooled = state.TakePooled(aNow, key)) {
    state.Bind(aNow, entry, pooled->ticket_, pooled->repeatable_, actions);
  } else {
    state.Restart(aNow, entry, actions);
  }
  state.Refill(aNow, key, actions);
  return actions;
}

std::vector<CallerAction>
Caller::Stop(TimePoint aNow, RequestId aId)
{
  std::vector<CallerAction> actions;
  const auto found = state_->open_.find(aId);
  if (found == state_->open_.end()) {
    return actions;
  }
  auto& entry = found->second;
  entry.stopped_ = true;
  if (entry.ticket_) {
    state_->Restart(aNow, entry, actions);
  } else {
    state_->FinishNotRun(entry, Reason::Cancelled, {}, actions);
  }
  return actions;
}

std::vector<CallerAction>
Caller::On(TimePoint aNow, Message aMessage)
{
  std::vector<CallerAction> actions;
  const auto handle = [&](auto& aReply) {
    using Reply = std::decay_t<decltype(aReply)>;
    if constexpr (std::is_same_v<Reply, TicketReply> ||
                  std::is_same_v<Reply, AnswerPart> ||
                  std::is_same_v<Reply, Outcome>) {
      state_->On(aNow, std::move(aReply), actions);
    }
  };
  std::visit(handle, aMessage);
  return actions;
}

std::vector<CallerAction>
Caller::Tick(TimePoint aNow)
{
  std::vector<CallerAction> actions;
  auto& timers = state_->timers_;
  while (!timers.empty() && timers.begin()->first <= aNow) {
    const auto id = timers.begin()->second;
    timers.erase(timers.begin());
    state_->OnDue(aNow, state_->open_.at(id), actions);
  }
  return actions;
}

std::optional<TimePoint>
Caller::NextTimer() const
{
  if (state_->timers_.empty()) {
    return std::nullopt;
  }
  return state_->timers_.begin()->first;
}

CallerDump
Caller::Dump() const
{
  auto dump = state_->dump_;
  dump.open_ = state_->open_.size();
  for (const auto& [key, tickets] : state_->pool_) {
    dump.pooled_ += tickets.size();
  }
  return dump;
}

CallerBuilder&
CallerBuilder::With(CallerSettings aSettings)
{
  settings_ = std::move(aSettings);
  return *this;
}

absl::StatusOr<Caller>
CallerBuilder::Build() const
{
  if (settings_.balancers_.empty()) {
    return absl::InvalidArgumentError("no balancer addresses");
  }
  if (settings_.resendAfter_ <= Duration::zero() ||
      settings_.maxResendAfter_ < settings_.resendAfter_) {
    return absl::InvalidArgumentError(
      "resendAfter must be above 0 and at most maxResendAfter");
  }
  if (settings_.bindings_ == 0 || settings_.limit_ == 0) {
    return absl::InvalidArgumentError("bindings and limit must be above 0");
  }
  return Caller(std::make_unique<Caller::State>(settings_));
}

} // namespace cornelshore::request
