#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/core/hash.hpp>
#include <cornelshore/request/agent.hpp>

namespace cornelshore::request {
namespace {

constexpr std::size_t kHome = 0;
constexpr std::size_t kBackup = 1;
constexpr ServiceId kService{ 7 };
constexpr RequestId kId{ 11, 12 };
constexpr Route kRoute{ {}, NodeId{ 1000 } };

/** A possible next step of the exploration. */
struct Pending
{
  enum class Kind : std::uint8_t
  {
    Event,    ///< An event of the node.
    Either,   ///< A message deliverable to home or backup.
    Upstream, ///< The upstream finishes or refuses the run.
    Kill,     ///< One of the two nodes crashes.
    Restart,  ///< The crashed node restarts with a new incarnation.
    TimeOut,  ///< Time advances at the home only.
    Gone,     ///< The node sees the other one as gone.
  };

  std::uint64_t id_{}; ///< Equal for copies of one message.
  Kind kind_{ Kind::Event };
  std::size_t node_{};
  Event event_{ Tick{} };
  RunId run_;
};

struct Node
{
  Agent agent_;
  TimePoint now_;
  std::uint64_t past_{}; ///< Hash of the events so far, in their order.
  std::uint64_t incarnation_{ 1 };
  bool alive_{ true };
};

HostId
IdOf(std::size_t aNode)
{
  return { aNode + 1 };
}

Agent
NewAgent(std::size_t aNode, std::uint64_t aIncarnation, bool aRepeatable)
{
  AgentSettings settings;
  settings.self_ = IdOf(aNode);
  settings.incarnation_ = { aIncarnation };
  settings.dataCentre_ = { static_cast<std::uint32_t>(aNode) };
  settings.service_ = kService;
  return *AgentBuilder()
            .With(settings)
            .WithRepeatable([aRepeatable](ClassId) { return aRepeatable; })
            .Build();
}

std::vector<HostRecord>
View(std::size_t aOther, HostState aState)
{
  HostRecord record;
  record.id_ = IdOf(aOther);
  record.incarnation_ = { 1 };
  record.service_ = kService;
  record.dataCentre_ = { static_cast<std::uint32_t>(aOther) };
  record.state_ = aState;
  return { record };
}

/** Without timers, acknowledgements have no effect. */
bool
Matters(const Message& aMessage)
{
  return !std::holds_alternative<StampRequest>(aMessage) &&
         !std::holds_alternative<ResultAck>(aMessage) &&
         !std::holds_alternative<RunResultAck>(aMessage);
}

/** State of the exploration: both nodes and all pending steps. */
struct State
{
  std::array<Node, 2> nodes_;
  std::vector<Pending> pending_;
  int runs_{};
  bool toldNotRun_{};
  bool toldAnswer_{};
};

/** Steps that an exploration includes besides the cancel. */
struct Options
{
  const char* name_{};
  bool repeatable_{};
  bool returns_{}; ///< The crashed node restarts.
  bool sheds_{};   ///< The upstream may refuse.
  std::size_t copies_{ 1 };
  std::vector<Pending::Kind> kinds_;
};

/** Explores every order of the pending steps. */
class Explorer
{
public:
  explicit Explorer(const Options& aOptions)
    : options_(aOptions)
  {
  }

  void Run(State aState) { Visit(std::move(aState)); }

  std::size_t states_{};
  std::size_t ranTwice_{};
  std::size_t notRunButRan_{};
  std::size_t answeredUnrun_{};
  std::size_t endsAnswered_{};
  std::size_t endsNotRun_{};

  [[nodiscard]] State Start() const;
  void Apply(State& aState, std::size_t aNode, Event aEvent) const;

  static constexpr std::size_t kMostStates = 4'000'000;

private:
  void Visit(State aState)
  {
    if (states_ >= kMostStates) {
      return;
    }
    if (!seen_.insert(SignatureOf(aState)).second) {
      return;
    }
    ++states_;
    ranTwice_ += !options_.repeatable_ && aState.runs_ > 1 ? 1 : 0;
    notRunButRan_ += aState.toldNotRun_ && aState.runs_ > 0 ? 1 : 0;
    answeredUnrun_ += aState.toldAnswer_ && aState.runs_ == 0 ? 1 : 0;
    if (aState.pending_.empty()) {
      endsAnswered_ += aState.toldAnswer_ ? 1 : 0;
      endsNotRun_ += aState.toldNotRun_ ? 1 : 0;
    }
    std::unordered_set<std::uint64_t> tried;
    for (std::size_t index = 0; index < aState.pending_.size(); ++index) {
      if (tried.insert(aState.pending_[index].id_).second) {
        Branch(aState, index);
      }
    }
  }

  void Branch(const State& aState, std::size_t aIndex)
  {
    using Kind = Pending::Kind;
    const auto kind = aState.pending_[aIndex].kind_;
    const bool two = kind == Kind::Either || kind == Kind::Kill ||
                     (kind == Kind::Upstream && options_.sheds_);
    for (std::size_t choice = 0; choice < (two ? 2U : 1U); ++choice) {
      auto next = aState;
      const auto pending = next.pending_[aIndex];
      next.pending_.erase(next.pending_.begin() +
                          static_cast<std::ptrdiff_t>(aIndex));
      Step(next, pending, choice);
      Visit(std::move(next));
    }
  }

  void Step(State& aState, const Pending& aPending, std::size_t aChoice) const;
  void Kill(State& aState, std::size_t aNode) const;
  void Emit(State& aState, std::size_t aNode, Action aAction) const;
  static std::uint64_t SignatureOf(const State& aState);

  Options options_;
  std::unordered_set<std::uint64_t> seen_;
};

void
Explorer::Step(State& aState,
               const Pending& aPending,
               std::size_t aChoice) const
{
  using Kind = Pending::Kind;
  const auto node = aPending.node_;
  const bool chosen =
    aPending.kind_ == Kind::Either || aPending.kind_ == Kind::Kill;
  auto& past = aState.nodes_[chosen ? aChoice : node].past_;
  past = HashPair(past, HashPair(aPending.id_, aChoice));
  auto& at = aState.nodes_[node];
  switch (aPending.kind_) {
    case Kind::Event:
      Apply(aState, node, aPending.event_);
      break;
    case Kind::Either:
      Apply(aState, aChoice, aPending.event_);
      break;
    case Kind::Upstream:
      if (aChoice == 1) {
        Apply(aState, node, UpstreamShed{ aPending.run_ });
      } else if (at.alive_) {
        ++aState.runs_;
        aState.pending_.push_back({ HashPair(aPending.id_, 1),
                                    Kind::Event,
                                    node,
                                    UpstreamFinished{ aPending.run_, "ok" },
                                    {} });
      }
      break;
    case Kind::Kill:
      Kill(aState, aChoice);
      break;
    case Kind::Restart:
      at.agent_ = NewAgent(node, ++at.incarnation_, options_.repeatable_);
      at.alive_ = true;
      break;
    case Kind::TimeOut:
      at.now_ += std::chrono::milliseconds{ 600 };
      Apply(aState, node, Tick{});
      break;
    case Kind::Gone: {
      const auto view = View(1 - node, HostState::Gone);
      Apply(aState, node, MembershipChanged{ view });
      break;
    }
  }
}

void
Explorer::Kill(State& aState, std::size_t aNode) const
{
  auto& node = aState.nodes_[aNode];
  node.alive_ = false;
  std::erase_if(aState.pending_, [&](const Pending& aPending) {
    const bool message = std::holds_alternative<Received>(aPending.event_);
    const bool own = aPending.kind_ == Pending::Kind::Upstream ||
                     aPending.kind_ == Pending::Kind::Event ||
                     aPending.kind_ == Pending::Kind::TimeOut ||
                     aPending.kind_ == Pending::Kind::Gone;
    return aPending.node_ == aNode && own && !(message && options_.returns_);
  });
  if (options_.returns_) {
    aState.pending_.push_back(
      { node.past_, Pending::Kind::Restart, aNode, Tick{}, {} });
  }
}

void
Explorer::Apply(State& aState, std::size_t aNode, Event aEvent) const
{
  auto& node = aState.nodes_[aNode];
  if (!node.alive_) {
    return;
  }
  auto actions = node.agent_.On(node.now_, std::move(aEvent));
  for (auto& action : actions) {
    Emit(aState, aNode, std::move(action));
  }
}

void
Explorer::Emit(State& aState, std::size_t aNode, Action aAction) const
{
  using Kind = Pending::Kind;
  auto& node = aState.nodes_[aNode];
  node.past_ = HashPair(node.past_, aAction.index() + 100);
  const auto add = [&](Kind aKind, std::size_t aAt, Event aEvent, RunId aRun) {
    aState.pending_.push_back(
      { node.past_, aKind, aAt, std::move(aEvent), aRun });
  };
  if (auto* send = std::get_if<SendToHost>(&aAction)) {
    if (Matters(send->message_)) {
      add(Kind::Event,
          send->to_.value_ - 1,
          Received{ NodeId{ IdOf(aNode).value_ },
                    { node.incarnation_ },
                    std::move(send->message_) },
          {});
    }
  } else if (auto* reply = std::get_if<SendToBalancer>(&aAction)) {
    const auto* outcome = std::get_if<Outcome>(&reply->message_);
    const bool part = std::holds_alternative<AnswerPart>(reply->message_);
    aState.toldAnswer_ |= part;
    aState.toldNotRun_ |=
      outcome != nullptr && outcome->verdict_ == Verdict::NotRun;
  } else if (const auto* offer = std::get_if<Offer>(&aAction)) {
    add(Kind::Event, aNode, RunStarted{ offer->run_ }, {});
  } else if (const auto* start = std::get_if<StartRun>(&aAction)) {
    add(Kind::Upstream, aNode, Tick{}, start->run_);
  } else if (const auto* stop = std::get_if<CancelRun>(&aAction)) {
    add(Kind::Event, aNode, UpstreamCancelled{ stop->run_ }, {});
  }
}

/** Each node's event history and the pending steps determine the state. */
std::uint64_t
Explorer::SignatureOf(const State& aState)
{
  std::uint64_t left = 0;
  for (const auto& pending : aState.pending_) {
    left += HashPair(
      pending.id_,
      HashPair(pending.node_, static_cast<std::uint64_t>(pending.kind_)));
  }
  const auto told = (aState.toldNotRun_ ? 1U : 0U) +
                    (aState.toldAnswer_ ? 2U : 0U) +
                    static_cast<unsigned>(aState.runs_) * 4U;
  return HashPair(
    HashPair(aState.nodes_[kHome].past_, aState.nodes_[kBackup].past_),
    HashPair(left, told));
}

State
Explorer::Start() const
{
  const TimePoint now{ std::chrono::seconds{ 100 } };
  State state{ { Node{ NewAgent(kHome, 1, options_.repeatable_), now },
                 Node{ NewAgent(kBackup, 1, options_.repeatable_), now } },
               {} };
  for (const auto node : { kHome, kBackup }) {
    const auto other = 1 - node;
    const auto view = View(other, HostState::Ready);
    Apply(state, node, MembershipChanged{ view });
    Apply(state,
          node,
          Received{
            NodeId{ IdOf(other).value_ }, { 1 }, StampReply{ StampOf(now) } });
  }
  return state;
}

Ticket
TakeTicket(State& aState)
{
  const TicketRequest request{ kId, { kService, {}, 1 }, 0, kRoute };
  auto& home = aState.nodes_[kHome];
  const auto actions =
    home.agent_.On(home.now_, Received{ kRoute.balancer_, { 1 }, request });
  return std::get<TicketReply>(
           std::get<SendToBalancer>(actions.front()).message_)
    .ticket_;
}

void
Explore(const Options& aOptions)
{
  Explorer explorer(aOptions);
  auto state = explorer.Start();
  const auto ticket = TakeTicket(state);
  ASSERT_EQ(ticket.backup_.host_.value_ == 0, aOptions.repeatable_);
  const Submit submit{ { kId, ticket },
                       { kService, {}, 1 },
                       std::chrono::seconds{ 5 },
                       "body",
                       kRoute };
  const Cancel cancel{ { kId, ticket }, kRoute };
  const Received copy{ kRoute.balancer_, { 1 }, submit };
  const Received stop{ kRoute.balancer_, { 1 }, cancel };
  state.pending_.push_back({ 1, Pending::Kind::Either, 0, stop, {} });
  std::uint64_t id = 2;
  for (std::size_t index = 0; index < aOptions.copies_; ++index) {
    state.pending_.push_back({ id, Pending::Kind::Either, 0, copy, {} });
  }
  for (const auto kind : aOptions.kinds_) {
    const auto node = kind == Pending::Kind::Gone ? kBackup : kHome;
    state.pending_.push_back({ ++id, kind, node, Tick{}, {} });
  }
  explorer.Run(std::move(state));
  EXPECT_LT(explorer.states_, Explorer::kMostStates);
  EXPECT_EQ(explorer.ranTwice_, 0U);
  EXPECT_EQ(explorer.notRunButRan_, 0U);
  EXPECT_EQ(explorer.answeredUnrun_, 0U);
  EXPECT_GT(explorer.endsAnswered_, 0U);
  EXPECT_GT(explorer.endsNotRun_, 0U);
  testing::Test::RecordProperty(std::string(aOptions.name_) + "_states",
                                static_cast<int>(explorer.states_));
  std::printf("%s: %zu states\n", aOptions.name_, explorer.states_);
}

constexpr auto kKill = Pending::Kind::Kill;
constexpr auto kGone = Pending::Kind::Gone;
constexpr auto kTimeOut = Pending::Kind::TimeOut;

TEST(Exploration, CopiesCancelDeathAndChangeOfHome)
{
  Explore({ "death", false, false, false, 2, { kKill, kGone } });
}

TEST(Exploration, CopiesCancelLapsedConsentAndChangeOfHome)
{
  Explore({ "timeout", false, false, true, 1, { kTimeOut, kGone } });
}

TEST(Exploration, CancelDeathReturnAndChangeOfHome)
{
  Explore({ "return", false, true, true, 1, { kKill, kGone } });
}

TEST(Exploration, RepeatableCopiesCancelDeathAndChangeOfHome)
{
  Explore({ "repeatable", true, true, true, 2, { kKill, kGone } });
}

} // namespace
} // namespace cornelshore::request
