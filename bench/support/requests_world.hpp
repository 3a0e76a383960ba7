#ifndef CORNELSHORE_BENCH_SUPPORT_REQUESTS_WORLD_HPP
#define CORNELSHORE_BENCH_SUPPORT_REQUESTS_WORLD_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <cornelshore/core/random.hpp>
#include <cornelshore/request/agent.hpp>

#include "requests_history.hpp"
#include "requests_host.hpp"
#include "requests_ports.hpp"

namespace cornelshore::bench {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** @brief Sizes and rates of a schedule; rates are in 1/1000. */
struct Shape
{
  std::uint64_t seed_{ 1 };
  std::size_t hosts_{ 7 };
  std::size_t slots_{ 3 };
  std::size_t dataCentres_{ 3 };
  std::size_t balancers_{ 2 };
  std::size_t requests_{ 12 };
  std::size_t ticketPool_{ 0 };
  Duration between_{ milliseconds{ 1 } };  ///< Data centre to data centre.
  Duration toCaller_{ milliseconds{ 3 } }; ///< Caller to balancer.
  Duration arrivals_{ milliseconds{ 1500 } };
  Duration deadline_{ seconds{ 6 } };
  std::uint64_t loss_{ 20 };
  std::uint64_t copies_{ 30 };
  std::uint64_t late_{ 15 }; ///< Copies that come up to 12 minutes later.
  std::uint64_t shed_{ 50 };
  std::uint64_t cancels_{ 100 };
  std::uint64_t resumes_{ 100 }; ///< Submitted again by a restarted caller.
  std::uint64_t repeatable_{ 250 };
  std::size_t answerMost_{ 5'000 };
  Duration runLeast_{ milliseconds{ 2 } };
  Duration runMost_{ milliseconds{ 400 } };
};

/** @brief Processes of one system over a lossy network, in virtual time. */
class World
{
public:
  /** @brief Called for each message that is sent. */
  using Tap = std::function<void(const request::Message&)>;

  World(const Shape& aShape, Ports aPorts)
    : shape_(aShape)
    , ports_(std::move(aPorts))
    , random_(aShape.seed_)
  {
    AddHosts();
    AddBalancers();
    callers_.push_back(NewCaller());
  }

  // Events capture the world.
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  void Tapped(Tap aTap) { tap_ = std::move(aTap); }

  [[nodiscard]] Random& Dice() { return random_; }
  [[nodiscard]] TimePoint Now() const { return now_; }
  [[nodiscard]] const Shape& Sizes() const { return shape_; }
  [[nodiscard]] FakeHost& HostAt(std::size_t aIndex) { return hosts_[aIndex]; }
  [[nodiscard]] const class History& Past() const { return history_; }
  [[nodiscard]] bool Chance(std::uint64_t aPerMille)
  {
    return random_.Below(1000) < aPerMille;
  }

  /** @brief Runs the action after this time. */
  void After(Duration aDelay, std::function<void()> aAction)
  {
    queue_.emplace(std::pair{ now_ + aDelay, ++order_ }, std::move(aAction));
  }

  [[nodiscard]] Duration Between(Duration aLeast, Duration aMost)
  {
    const auto span = static_cast<std::uint64_t>((aMost - aLeast).count());
    return aLeast +
           Duration{ static_cast<Duration::rep>(random_.Below(span + 1)) };
  }

  /** @brief Submits the shape's requests over its arrival time. */
  void SubmitAll()
  {
    for (std::size_t index = 0; index < shape_.requests_; ++index) {
      After(kWarmUp + Between({}, shape_.arrivals_), [this] { SubmitOne(); });
    }
  }

  /** @brief Handles events up to the time; timers stop firing afterwards. */
  void RunUntil(TimePoint aEnd)
  {
    while (!queue_.empty() && queue_.begin()->first.first <= aEnd) {
      Next();
    }
    now_ = std::max(now_, aEnd);
  }

  /** @brief Delivers all that is still in flight, however late. */
  void Drain()
  {
    ticking_ = false;
    shape_.copies_ = 0;
    shape_.late_ = 0;
    while (!queue_.empty()) {
      Next();
    }
  }

  /** @brief Agent and upstream of the host end; nobody is told. */
  void Kill(std::size_t aHost)
  {
    auto& host = hosts_[aHost];
    host.alive_ = false;
    ++host.life_;
    host.running_.clear();
    auto record = host.record_;
    record.state_ = HostState::Gone;
    Announce(record, milliseconds{ 500 }, milliseconds{ 2'500 });
  }

  /** @brief The agent starts anew; the upstream keeps running. */
  void Restart(std::size_t aHost)
  {
    auto& host = hosts_[aHost];
    ++host.life_;
    ++host.record_.incarnation_.value_;
    host.record_.state_ = HostState::Ready;
    host.record_.sequence_ = 0;
    host.alive_ = true;
    StartAgent(aHost);
    Announce(host.record_, milliseconds{ 20 }, milliseconds{ 500 });
  }

  /** @brief The host stands still; its clock may stand still with it. */
  void Pause(std::size_t aHost, Duration aFor, bool aFrozenClock)
  {
    hosts_[aHost].paused_ = true;
    After(aFor, [this, aHost, aFor, aFrozenClock] {
      auto& host = hosts_[aHost];
      host.paused_ = false;
      host.clock_ -= aFrozenClock ? aFor : Duration{};
      while (!host.held_.empty()) {
        const auto event = std::move(host.held_.front());
        host.held_.pop_front();
        event();
      }
    });
  }

  void CutOff(std::size_t aHost, Duration aFor)
  {
    hosts_[aHost].cutOff_ = true;
    After(aFor, [this, aHost] { hosts_[aHost].cutOff_ = false; });
  }

  void CrashUpstream(std::size_t aHost)
  {
    const auto running = std::exchange(hosts_[aHost].running_, {});
    for (const auto& [run, id] : running) {
      ToAgent(aHost, request::UpstreamLost{ run });
    }
  }

  void Leave(std::size_t aHost)
  {
    auto& record = hosts_[aHost].record_;
    record.state_ = HostState::Leaving;
    Announce(record, milliseconds{ 20 }, milliseconds{ 500 });
    ToAgent(aHost, request::LeaveRequested{});
  }

  /** @brief One node takes the host for dead for a while. */
  void Suspect(std::size_t aNode, std::size_t aHost, Duration aFor)
  {
    auto record = hosts_[aHost].record_;
    record.state_ = HostState::Gone;
    Learn(aNode, record);
    After(aFor, [this, aNode, aHost] { Learn(aNode, hosts_[aHost].record_); });
  }

  void LoseMore(std::uint64_t aPerMille, Duration aFor)
  {
    const auto before = std::exchange(shape_.loss_, aPerMille);
    After(aFor, [this, before] { shape_.loss_ = before; });
  }

  void KillBalancer(std::size_t aBalancer, Duration aFor)
  {
    balancers_[aBalancer].alive_ = false;
    After(aFor, [this, aBalancer] {
      auto& balancer = balancers_[aBalancer];
      balancer.port_ = ports_.balancer_(BalancerId(aBalancer));
      balancer.alive_ = true;
    });
  }

  /** @brief Home and backup of each id as its caller last bound it. */
  [[nodiscard]] const std::map<RequestId, request::Bound>& Bindings() const
  {
    return bound_;
  }

  /** @brief Index of a host by its id. */
  [[nodiscard]] static std::size_t IndexOf(HostId aHost)
  {
    return static_cast<std::size_t>(aHost.value_ - 1);
  }

private:
  static constexpr Duration kWarmUp = milliseconds{ 50 };

  [[nodiscard]] static HostId IdOf(std::size_t aHost) { return { aHost + 1 }; }
  [[nodiscard]] static NodeId BalancerId(std::size_t aBalancer)
  {
    return { 1'000 + aBalancer };
  }
  [[nodiscard]] static Address BalancerAddress(std::size_t aBalancer)
  {
    return MakeIpv4(0xC6336401U + static_cast<std::uint32_t>(aBalancer), 80);
  }
  [[nodiscard]] static Address CallerAddress(std::size_t aCaller)
  {
    return MakeIpv4(0xC0000201U, static_cast<std::uint16_t>(4000 + aCaller));
  }

  void Next()
  {
    auto node = queue_.extract(queue_.begin());
    now_ = node.key().first;
    node.mapped()();
  }

  void AddHosts()
  {
    hosts_.resize(shape_.hosts_);
    std::vector<HostRecord> view;
    for (std::size_t index = 0; index < shape_.hosts_; ++index) {
      auto& record = hosts_[index].record_;
      record.id_ = IdOf(index);
      record.incarnation_ = { 1 };
      record.service_ = service_;
      record.dataCentre_ = { static_cast<std::uint32_t>(
        index % shape_.dataCentres_ + 1) };
      record.slots_ = static_cast<std::uint16_t>(shape_.slots_);
      record.state_ = HostState::Ready;
      hosts_[index].clock_ = Between(seconds{ 3'000 }, seconds{ 90'000 });
      view.push_back(record);
    }
    for (std::size_t index = 0; index < shape_.hosts_; ++index) {
      hosts_[index].view_ = view;
      StartAgent(index);
    }
  }

  void AddBalancers()
  {
    for (std::size_t index = 0; index < shape_.balancers_; ++index) {
      FakeBalancer balancer;
      balancer.port_ = ports_.balancer_(BalancerId(index));
      balancer.view_ = hosts_.front().view_;
      balancers_.push_back(std::move(balancer));
    }
  }

  void StartAgent(std::size_t aHost)
  {
    auto& host = hosts_[aHost];
    request::AgentSettings settings;
    settings.self_ = host.record_.id_;
    settings.incarnation_ = host.record_.incarnation_;
    settings.dataCentre_ = host.record_.dataCentre_;
    settings.service_ = service_;
    host.agent_ = ports_.agent_(settings);
    host.scheduler_ = FakeScheduler(shape_.slots_, 2 * shape_.slots_);
    host.held_.clear();
    host.tickAt_ = TimePoint::max();
    ToAgent(aHost, request::MembershipChanged{ host.view_ });
  }

  [[nodiscard]] CallerPort NewCaller()
  {
    request::CallerSettings settings;
    for (std::size_t index = 0; index < shape_.balancers_; ++index) {
      settings.balancers_.push_back(BalancerAddress(index));
    }
    settings.seed_ = random_.Next();
    settings.ticketPool_ = shape_.ticketPool_;
    return ports_.caller_(std::move(settings));
  }

  void SubmitOne()
  {
    request::Submission submission;
    submission.id_ = { random_.Next(), random_.Next() };
    submission.service_ = service_;
    const bool repeatable = Chance(shape_.repeatable_);
    submission.class_ = { repeatable ? 1U : 2U };
    submission.deadline_ = now_ + shape_.deadline_;
    submission.body_.assign(random_.Below(400), 'b');
    history_.Start(now_, submission.id_, repeatable);
    const auto id = submission.id_;
    std::size_t caller = 0;
    if (Chance(shape_.resumes_)) {
      callers_.push_back(NewCaller());
      caller = callers_.size() - 1;
      After(Between(milliseconds{ 10 }, seconds{ 4 }),
            [this, caller, submission] { Resume(caller, submission); });
    }
    if (Chance(shape_.cancels_)) {
      After(Between({}, milliseconds{ 80 }), [this, caller, id] {
        if (callers_[caller].on_) {
          ToCaller(caller, callers_[caller].stop_(now_, id));
        }
      });
    }
    ToCaller(caller, callers_[caller].start_(now_, submission));
  }

  /**
   * The caller restarts and resends the id under the ticket that it kept,
   * unless it was told `not run`: then a resend would be a new request.
   */
  void Resume(std::size_t aCaller, request::Submission aSubmission)
  {
    callers_[aCaller] = {};
    history_.Forget(aSubmission.id_);
    const auto bound = bound_.find(aSubmission.id_);
    if (bound == bound_.end() || history_.WasToldNotRun(aSubmission.id_)) {
      return;
    }
    aSubmission.ticket_ = bound->second.key_.ticket_;
    aSubmission.mayHaveRun_ = bound->second.mayHaveRun_;
    aSubmission.deadline_ = now_ + shape_.deadline_;
    const bool repeatable = IsRepeatableClass(aSubmission.class_);
    history_.Start(now_, aSubmission.id_, repeatable);
    callers_.push_back(NewCaller());
    const auto caller = callers_.size() - 1;
    ToCaller(caller, callers_[caller].start_(now_, std::move(aSubmission)));
  }

  void FromNetwork(std::size_t aCaller, request::Message aMessage)
  {
    auto& caller = callers_[aCaller];
    if (caller.on_) {
      ToCaller(aCaller, caller.on_(now_, std::move(aMessage)));
    }
  }

  void ToCaller(std::size_t aCaller, CallerPort::Actions aActions)
  {
    for (auto& action : aActions) {
      if (auto* send = std::get_if<request::SendToAddress>(&action)) {
        SendFromCaller(aCaller, *send);
      } else if (const auto* bound = std::get_if<request::Bound>(&action)) {
        bound_[bound->key_.id_] = *bound;
      } else if (auto* done = std::get_if<request::Done>(&action)) {
        history_.Tell(now_, std::move(*done));
      }
    }
    ArmCaller(aCaller);
  }

  void ArmCaller(std::size_t aCaller)
  {
    const auto next = callers_[aCaller].nextTimer_();
    if (!next || !ticking_) {
      return;
    }
    After(std::max(*next - now_, Duration{}), [this, aCaller] {
      if (!callers_[aCaller].on_) {
        return;
      }
      const auto due = callers_[aCaller].nextTimer_();
      if (due && *due <= now_) {
        ToCaller(aCaller, callers_[aCaller].tick_(now_));
      }
    });
  }

  /** Sends a message, perhaps not at all, twice, or once more much later. */
  void Transmit(const request::Message& aMessage,
                Duration aDelay,
                const std::function<void(request::Message)>& aDeliver)
  {
    if (tap_) {
      tap_(aMessage);
    }
    const auto deliver = [aDeliver, aMessage] { aDeliver(aMessage); };
    if (!Chance(shape_.loss_)) {
      After(Between(aDelay / 2, aDelay * 3 / 2), deliver);
    }
    if (Chance(shape_.copies_)) {
      After(Between(aDelay, milliseconds{ 300 }), deliver);
    }
    if (Chance(shape_.late_)) {
      After(Between(seconds{ 1 }, seconds{ 720 }), deliver);
    }
  }

  void SendFromCaller(std::size_t aCaller, const request::SendToAddress& aSend)
  {
    std::size_t to = 0;
    while (BalancerAddress(to) != aSend.to_) {
      ++to;
    }
    const auto deliver = [this, aCaller, to](request::Message aMessage) {
      auto& balancer = balancers_[to];
      if (balancer.alive_) {
        ToBalancer(
          to,
          balancer.port_.fromCaller_(
            now_, CallerAddress(aCaller), std::move(aMessage), balancer.view_));
      }
    };
    Transmit(aSend.message_, shape_.toCaller_, deliver);
  }

  void ToBalancer(std::size_t aFrom, BalancerPort::Actions aActions)
  {
    for (auto& action : aActions) {
      if (auto* send = std::get_if<request::SendToHost>(&action)) {
        SendToHost(BalancerId(aFrom), { 1 }, *send);
      } else if (auto* reply = std::get_if<request::SendToCaller>(&action)) {
        const auto caller = static_cast<std::size_t>(reply->to_.port_) - 4000;
        Transmit(reply->message_,
                 shape_.toCaller_,
                 [this, caller](request::Message aMessage) {
                   FromNetwork(caller, std::move(aMessage));
                 });
      }
    }
    ArmBalancer(aFrom);
  }

  void ArmBalancer(std::size_t aBalancer)
  {
    auto& balancer = balancers_[aBalancer];
    const auto next = balancer.port_.nextTimer_();
    if (!next || !ticking_ || *next >= balancer.tickAt_) {
      return;
    }
    balancer.tickAt_ = *next;
    After(std::max(*next - now_, Duration{}), [this, aBalancer] {
      auto& due = balancers_[aBalancer];
      due.tickAt_ = TimePoint::max();
      ToBalancer(aBalancer, due.port_.tick_(now_, due.view_));
    });
  }

  void SendToHost(NodeId aFrom,
                  Incarnation aIncarnation,
                  const request::SendToHost& aSend)
  {
    const auto to = IndexOf(aSend.to_);
    const auto deliver = [=, this](request::Message aMessage) {
      if (!IsCut(aFrom) && !hosts_[to].cutOff_) {
        ToAgent(to,
                request::Received{ aFrom, aIncarnation, std::move(aMessage) });
      }
    };
    Transmit(aSend.message_, shape_.between_, deliver);
  }

  [[nodiscard]] bool IsCut(NodeId aNode) const
  {
    return aNode.value_ <= hosts_.size() &&
           hosts_[IndexOf(HostId{ aNode.value_ })].cutOff_;
  }

  void ToAgent(std::size_t aHost, request::Event aEvent)
  {
    auto& host = hosts_[aHost];
    if (!host.alive_) {
      return;
    }
    if (host.paused_) {
      host.held_.emplace_back(
        [this, aHost, aEvent] { ToAgent(aHost, aEvent); });
      return;
    }
    if (std::holds_alternative<request::MembershipChanged>(aEvent)) {
      aEvent = request::MembershipChanged{ host.view_ };
    }
    Carry(aHost, host.agent_.on_(now_ + host.clock_, std::move(aEvent)));
  }

  void Carry(std::size_t aHost, const std::vector<request::Action>& aActions)
  {
    for (const auto& action : aActions) {
      std::visit([&](const auto& aKind) { Carry(aHost, aKind); }, action);
    }
    StartRuns(aHost);
    ArmAgent(aHost);
  }

  void ArmAgent(std::size_t aHost)
  {
    auto& host = hosts_[aHost];
    const auto next = host.agent_.nextTimer_();
    if (!next || !ticking_ || *next - host.clock_ >= host.tickAt_) {
      return;
    }
    host.tickAt_ = *next - host.clock_;
    const auto life = host.life_;
    After(std::max(host.tickAt_ - now_, Duration{}), [this, aHost, life] {
      if (hosts_[aHost].life_ == life) {
        hosts_[aHost].tickAt_ = TimePoint::max();
        ToAgent(aHost, request::Tick{});
      }
    });
  }

  void Carry(std::size_t aHost, const request::SendToHost& aAction)
  {
    const auto& record = hosts_[aHost].record_;
    SendToHost(NodeId{ record.id_.value_ }, record.incarnation_, aAction);
  }

  void Carry(std::size_t aHost, const request::SendToBalancer& aAction)
  {
    const auto to = static_cast<std::size_t>(aAction.to_.value_ - 1'000);
    const NodeId from{ IdOf(aHost).value_ };
    const auto deliver = [this, from, to](request::Message aMessage) {
      auto& balancer = balancers_[to];
      if (balancer.alive_ && !IsCut(from)) {
        ToBalancer(
          to,
          balancer.port_.fromHost_(now_, std::move(aMessage), balancer.view_));
      }
    };
    Transmit(aAction.message_, shape_.between_, deliver);
  }

  void Carry(std::size_t aHost, const request::Offer& aAction)
  {
    if (!hosts_[aHost].scheduler_.Take(aAction.run_)) {
      const request::RunRefused refused{ aAction.run_ };
      Later(aHost, {}, [this, aHost, refused] { ToAgent(aHost, refused); });
    }
  }

  void Carry(std::size_t aHost, const request::ReleaseSlot& aAction)
  {
    hosts_[aHost].scheduler_.Release(aAction.run_);
  }

  void StartRuns(std::size_t aHost)
  {
    for (const auto run : hosts_[aHost].scheduler_.Start()) {
      Later(aHost, {}, [this, aHost, run] {
        ToAgent(aHost, request::RunStarted{ run });
      });
    }
  }

  /** Runs the action unless the agent died in between. */
  void Later(std::size_t aHost,
             Duration aDelay,
             const std::function<void()>& aAction)
  {
    const auto life = hosts_[aHost].life_;
    After(aDelay, [this, aHost, life, aAction] {
      if (hosts_[aHost].life_ == life) {
        aAction();
      }
    });
  }

  void Carry(std::size_t aHost, const request::StartRun& aAction)
  {
    const auto run = aAction.run_;
    if (Chance(shape_.shed_)) {
      Later(aHost, milliseconds{ 1 }, [this, aHost, run] {
        ToAgent(aHost, request::UpstreamShed{ run });
      });
      return;
    }
    auto answer = std::to_string(++runs_) + "/" + std::to_string(aHost) + "/";
    answer.append(random_.Below(shape_.answerMost_ + 1),
                  static_cast<char>('a' + runs_ % 26));
    history_.Ran(aAction.id_, answer);
    hosts_[aHost].running_.emplace(run, aAction.id_);
    const auto took = Between(shape_.runLeast_, shape_.runMost_);
    Later(aHost, took, [this, aHost, run, answer] {
      if (hosts_[aHost].running_.erase(run) != 0) {
        ToAgent(aHost, request::UpstreamFinished{ run, answer });
      }
    });
  }

  void Carry(std::size_t aHost, const request::CancelRun& aAction)
  {
    const auto run = aAction.run_;
    if (Chance(500)) {
      return;
    }
    Later(aHost, milliseconds{ 1 }, [this, aHost, run] {
      if (hosts_[aHost].running_.erase(run) != 0) {
        ToAgent(aHost, request::UpstreamCancelled{ run });
      }
    });
  }

  void Carry(std::size_t, const request::Drained&) {}

  /** Every node learns of the record within these times. */
  void Announce(const HostRecord& aRecord, Duration aLeast, Duration aMost)
  {
    auto record = aRecord;
    record.sequence_ = ++sequence_;
    auto& own = hosts_[IndexOf(record.id_)].record_;
    if (own.incarnation_ == record.incarnation_) {
      own.sequence_ = record.sequence_;
    }
    for (std::size_t node = 0; node < hosts_.size() + balancers_.size();
         ++node) {
      After(Between(aLeast, aMost),
            [this, node, record] { Learn(node, record); });
    }
  }

  /** Nodes are numbered hosts first, then balancers. */
  void Learn(std::size_t aNode, const HostRecord& aRecord)
  {
    const bool isHost = aNode < hosts_.size();
    auto& view =
      isHost ? hosts_[aNode].view_ : balancers_[aNode - hosts_.size()].view_;
    auto& known = view[IndexOf(aRecord.id_)];
    if (std::pair{ aRecord.incarnation_, aRecord.sequence_ } <
        std::pair{ known.incarnation_, known.sequence_ }) {
      return;
    }
    known = aRecord;
    if (isHost) {
      ToAgent(aNode, request::MembershipChanged{ hosts_[aNode].view_ });
    }
  }

  Shape shape_;
  Ports ports_;
  Random random_;
  Tap tap_;
  ServiceId service_{ 7 };
  TimePoint now_{ seconds{ 1'000 } };
  std::uint64_t order_{};
  std::uint64_t runs_{};
  std::uint64_t sequence_{};
  bool ticking_{ true };
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> queue_;
  std::vector<FakeHost> hosts_;
  std::vector<FakeBalancer> balancers_;
  std::vector<CallerPort> callers_;
  std::map<RequestId, request::Bound> bound_;
  class History history_;
};

} // namespace cornelshore::bench

#endif
