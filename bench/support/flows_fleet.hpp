#ifndef CORNELSHORE_BENCH_SUPPORT_FLOWS_FLEET_HPP
#define CORNELSHORE_BENCH_SUPPORT_FLOWS_FLEET_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <cornelshore/core/check.hpp>
#include <cornelshore/core/random.hpp>
#include <cornelshore/flow/agent.hpp>
#include <cornelshore/flow/balancer.hpp>

/** @brief Fakes at the interfaces of flow: clock, network, membership. */
namespace cornelshore::bench::flows {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** @brief Virtual time: runs closures in the order of their times. */
class Timeline
{
public:
  [[nodiscard]] TimePoint Now() const { return now_; }

  void After(Duration aDelay, std::function<void()> aDo)
  {
    items_.push_back({ now_ + aDelay, ++count_, std::move(aDo) });
    std::push_heap(items_.begin(), items_.end(), Later);
  }

  void RunUntil(TimePoint aEnd)
  {
    while (!items_.empty() && items_.front().at_ <= aEnd) {
      std::pop_heap(items_.begin(), items_.end(), Later);
      const Item item = std::move(items_.back());
      items_.pop_back();
      now_ = item.at_;
      item.do_();
    }
    now_ = aEnd;
  }

private:
  struct Item
  {
    TimePoint at_;
    std::uint64_t order_{};
    std::function<void()> do_;
  };

  static bool Later(const Item& aOne, const Item& aOther)
  {
    return std::pair(aOne.at_, aOne.order_) >
           std::pair(aOther.at_, aOther.order_);
  }

  TimePoint now_{};
  std::uint64_t count_{};
  std::vector<Item> items_;
};

/** @brief How the fakes behave. */
struct Disturbance
{
  Duration hop_{ microseconds(500) }; ///< Shortest time of a datagram.
  Duration late_{ seconds(2) };       ///< Longest time of a late datagram.
  std::uint32_t lateIn10000_{ 50 };
  std::uint32_t lostIn10000_{ 30 };
  std::uint32_t doubledIn10000_{ 100 };
  Duration spread_{ seconds(2) }; ///< Longest time of a membership record.
};

/** @brief One process that membership records reach. */
struct Member
{
  std::set<std::size_t> pending_; ///< Records published but not yet here.
  bool cutOff_{};
  TimePoint cutUntil_{};
  bool up_{ true };
  std::uint32_t run_{};
};

/** @brief One upstream host with its agent. */
struct Host
{
  HostRecord record_;
  std::optional<flow::Agent> agent_;
  std::set<FlowKey> upstream_;
  std::size_t member_{};
  std::optional<TimePoint> leftAt_;
  bool ended_{};
};

/** @brief One balancer, and the naive hash table beside it. */
struct BalancerNode
{
  flow::Balancer balancer_;
  std::map<HostId, HostRecord> records_;
  std::map<ServiceId, std::vector<HostId>> ready_;
  std::size_t member_{};

  void Update(TimePoint aNow, const std::vector<HostRecord>& aRecords)
  {
    balancer_.Update(aNow, aRecords);
    for (const auto& record : aRecords) {
      auto& known = records_[record.id_];
      if (std::pair(known.incarnation_, known.sequence_) <
          std::pair(record.incarnation_, record.sequence_)) {
        known = record;
      }
    }
    ready_.clear();
    for (const auto& [id, record] : records_) {
      if (record.state_ == HostState::Ready) {
        ready_[record.service_].push_back(id);
      }
    }
  }
};

/** @brief Agents and balancers joined by the fake network and membership. */
class Fleet
{
public:
  using OnDeliver = std::function<
    void(HostId aHost, const flow::Deliver& aDeliver, std::uint8_t aHops)>;
  using OnReset = std::function<void(HostId aHost, const flow::Reset& aReset)>;

  Fleet(std::uint64_t aSeed, const Disturbance& aDisturbance)
    : random_(aSeed)
    , disturbance_(aDisturbance)
    , members_(1)
  {
  }

  Timeline time_;
  Random random_;
  Disturbance disturbance_;
  flow::Limits limits_;
  OnDeliver onDeliver_;
  OnReset onReset_;
  std::map<HostId, Host> hosts_;
  std::vector<std::unique_ptr<BalancerNode>> balancers_;
  std::vector<Member> members_;

  [[nodiscard]] std::uint64_t PublishedCount() const { return log_.size(); }
  [[nodiscard]] const HostRecord& Published(std::size_t aIndex) const
  {
    return log_[aIndex].record_;
  }

  /** @brief Starts a host's agent for the first time, or again. */
  void StartHost(HostId aId,
                 ServiceId aService,
                 std::uint16_t aSlots,
                 Duration aReadyAfter)
  {
    auto& host = hosts_[aId];
    host.record_.id_ = aId;
    host.record_.service_ = aService;
    host.record_.slots_ = aSlots;
    host.record_.sequence_ = 0;
    ++host.record_.incarnation_.value_;
    host.leftAt_.reset();
    host.ended_ = false;
    StartAgent(host);
    time_.After(aReadyAfter, [this, aId, run = Run(host)] {
      if (Runs(hosts_[aId], run)) {
        Feed(aId, flow::ReadinessChanged{ true });
      }
    });
  }

  /**
   * @brief Ends the agent's process; its upstream goes on.
   * @param aHandsOver Whether the run before hands over its list of flows.
   */
  void RestartAgent(HostId aId,
                    Duration aDownFor,
                    Duration aReadyAfter,
                    bool aHandsOver)
  {
    std::optional<flow::FlowsListed> listed;
    if (aHandsOver && hosts_[aId].agent_) {
      listed = hosts_[aId].agent_->HandOver();
    }
    StopAgent(hosts_[aId]);
    time_.After(aDownFor, [this, aId, aReadyAfter, listed] {
      auto& host = hosts_[aId];
      if (host.ended_ || host.agent_) {
        return;
      }
      ++host.record_.incarnation_.value_;
      host.record_.sequence_ = 0;
      StartAgent(host);
      if (listed) {
        Feed(aId, *listed);
      }
      time_.After(aReadyAfter, [this, aId, run = Run(host)] {
        auto& again = hosts_[aId];
        if (!Runs(again, run)) {
          return;
        }
        if (again.leftAt_) {
          Feed(aId, flow::LeaveRequested{});
        } else {
          Feed(aId, flow::ReadinessChanged{ true });
        }
      });
    });
  }

  void Leave(HostId aId)
  {
    hosts_[aId].leftAt_ = time_.Now();
    Feed(aId, flow::LeaveRequested{});
  }

  /** @brief The host is lost; the membership learns it after a time. */
  void Kill(HostId aId, Duration aNoticedAfter)
  {
    auto& host = hosts_[aId];
    StopAgent(host);
    host.ended_ = true;
    host.upstream_.clear();
    time_.After(aNoticedAfter, [this, aId] {
      auto& dead = hosts_[aId];
      if (dead.ended_) {
        PublishGone(dead);
      }
    });
  }

  std::size_t StartBalancer()
  {
    auto node = std::make_unique<BalancerNode>();
    node->member_ = AddMember();
    balancers_.push_back(std::move(node));
    const auto index = balancers_.size() - 1;
    Bootstrap(balancers_[index]->member_);
    return index;
  }

  void StopBalancer(std::size_t aIndex)
  {
    members_[balancers_[aIndex]->member_].up_ = false;
  }

  [[nodiscard]] bool BalancerUp(std::size_t aIndex) const
  {
    return members_[balancers_[aIndex]->member_].up_;
  }

  /** @brief Cuts a process off from membership, not from packets. */
  void CutOff(std::size_t aMember, Duration aFor)
  {
    members_[aMember].cutOff_ = true;
    members_[aMember].cutUntil_ = time_.Now() + aFor + disturbance_.spread_;
    time_.After(aFor, [this, aMember] {
      members_[aMember].cutOff_ = false;
      const auto pending = members_[aMember].pending_;
      for (const auto index : pending) {
        ScheduleRecord(aMember, index, disturbance_.spread_);
      }
    });
  }

  /** @brief Hands an event to a host's agent and carries out its actions. */
  void Feed(HostId aId, flow::Event aEvent)
  {
    auto& host = hosts_[aId];
    if (!host.agent_) {
      return;
    }
    std::uint8_t hops = 0;
    if (const auto* arrived = std::get_if<flow::EnvelopeArrived>(&aEvent)) {
      hops = arrived->envelope_.hops_;
    }
    auto actions = host.agent_->On(time_.Now(), std::move(aEvent));
    for (auto& action : actions) {
      std::visit([&](auto& aAny) { Carry(aId, aAny, hops); }, action);
    }
  }

  /** @brief Sends a datagram; it may be lost, late or doubled. */
  void Send(HostId aTo, flow::Envelope&& aEnvelope)
  {
    if (Chance(disturbance_.doubledIn10000_)) {
      auto copy = aEnvelope;
      Arrive(aTo, std::move(copy));
    }
    if (!Chance(disturbance_.lostIn10000_)) {
      Arrive(aTo, std::move(aEnvelope));
    }
  }

private:
  struct Published_
  {
    HostRecord record_;
    TimePoint at_;
  };

  [[nodiscard]] bool Chance(std::uint32_t aIn10000)
  {
    return random_.Below(10000) < aIn10000;
  }

  [[nodiscard]] Duration Uniform(Duration aMost)
  {
    return Duration(static_cast<std::int64_t>(
      random_.Below(static_cast<std::uint64_t>(aMost.count()) + 1)));
  }

  [[nodiscard]] std::uint32_t Run(const Host& aHost) const
  {
    return members_[aHost.member_].run_;
  }

  [[nodiscard]] bool Runs(const Host& aHost, std::uint32_t aRun) const
  {
    return aHost.agent_ && Run(aHost) == aRun;
  }

  void Arrive(HostId aTo, flow::Envelope&& aEnvelope)
  {
    auto delay = disturbance_.hop_ + Uniform(disturbance_.hop_);
    if (Chance(disturbance_.lateIn10000_)) {
      delay += Uniform(disturbance_.late_);
    }
    auto event = std::make_shared<flow::EnvelopeArrived>(
      flow::EnvelopeArrived{ std::move(aEnvelope) });
    time_.After(delay, [this, aTo, event] { Feed(aTo, std::move(*event)); });
  }

  std::size_t AddMember()
  {
    members_.emplace_back();
    return members_.size() - 1;
  }

  void StartAgent(Host& aHost)
  {
    if (aHost.member_ == 0) {
      aHost.member_ = AddMember();
    }
    auto& member = members_[aHost.member_];
    member.up_ = true;
    ++member.run_;
    member.pending_.clear();
    auto agent =
      flow::AgentBuilder().SetSelf(aHost.record_).SetLimits(limits_).Build();
    CheckInvariant(agent.ok(), "the limits of a run are valid");
    aHost.agent_.emplace(*std::move(agent));
    Bootstrap(aHost.member_);
    Confirm(aHost.record_.id_, member.run_);
    TickLater(aHost.record_.id_, member.run_);
  }

  void StopAgent(Host& aHost)
  {
    aHost.agent_.reset();
    auto& member = members_[aHost.member_];
    member.up_ = false;
    ++member.run_;
  }

  void TickLater(HostId aId, std::uint32_t aRun)
  {
    time_.After(milliseconds(500), [this, aId, aRun] {
      if (Runs(hosts_[aId], aRun)) {
        Feed(aId, flow::Tick{});
        TickLater(aId, aRun);
      }
    });
  }

  void Confirm(HostId aId, std::uint32_t aRun)
  {
    time_.After(seconds(1), [this, aId, aRun] {
      const auto& host = hosts_[aId];
      if (!Runs(host, aRun)) {
        return;
      }
      const auto& member = members_[host.member_];
      if (!member.cutOff_) {
        const auto& pending = member.pending_;
        const auto asOf =
          pending.empty() ? time_.Now() : log_[*pending.begin()].at_;
        Feed(aId, flow::ViewConfirmed{ asOf });
      }
      Confirm(aId, aRun);
    });
  }

  void Bootstrap(std::size_t aMember)
  {
    const auto known = time_.Now() - Uniform(disturbance_.spread_);
    std::map<HostId, std::size_t> newest;
    for (std::size_t index = 0; index < log_.size(); ++index) {
      if (log_[index].at_ <= known) {
        newest[log_[index].record_.id_] = index;
      } else {
        members_[aMember].pending_.insert(index);
        const auto age = time_.Now() - log_[index].at_;
        ScheduleRecord(aMember, index, disturbance_.spread_ - age);
      }
    }
    std::vector<HostRecord> records;
    for (const auto& [id, index] : newest) {
      records.push_back(log_[index].record_);
    }
    HandRecords(aMember, std::move(records));
  }

  void Publish(const HostRecord& aRecord)
  {
    log_.push_back({ aRecord, time_.Now() });
    const auto index = log_.size() - 1;
    for (std::size_t member = 1; member < members_.size(); ++member) {
      if (members_[member].up_) {
        members_[member].pending_.insert(index);
        ScheduleRecord(member, index, disturbance_.spread_);
      }
    }
  }

  void PublishGone(Host& aHost)
  {
    auto record = aHost.record_;
    record.sequence_ += 1U << 20U;
    record.state_ = HostState::Gone;
    record.held_.reset();
    Publish(record);
  }

  void ScheduleRecord(std::size_t aMember, std::size_t aIndex, Duration aWithin)
  {
    const auto run = members_[aMember].run_;
    time_.After(Uniform(aWithin), [this, aMember, aIndex, run] {
      auto& member = members_[aMember];
      if (member.run_ != run || !member.up_ || member.cutOff_) {
        return;
      }
      member.pending_.erase(aIndex);
      HandRecords(aMember, { log_[aIndex].record_ });
    });
  }

  void HandRecords(std::size_t aMember, std::vector<HostRecord> aRecords)
  {
    for (auto& balancer : balancers_) {
      if (balancer->member_ == aMember) {
        balancer->Update(time_.Now(), aRecords);
        return;
      }
    }
    for (auto& [id, host] : hosts_) {
      if (host.member_ == aMember) {
        Feed(id, flow::MembershipChanged{ std::move(aRecords) });
        return;
      }
    }
  }

  void Carry(HostId aId, flow::Deliver& aDeliver, std::uint8_t aHops)
  {
    onDeliver_(aId, aDeliver, aHops);
  }

  void Carry(HostId /*aId*/, flow::Forward& aForward, std::uint8_t /*aHops*/)
  {
    Send(aForward.to_, std::move(aForward.envelope_));
  }

  void Carry(HostId aId, flow::Reset& aReset, std::uint8_t /*aHops*/)
  {
    onReset_(aId, aReset);
  }

  void Carry(HostId aId, flow::Announce& aAnnounce, std::uint8_t /*aHops*/)
  {
    auto& record = hosts_[aId].record_;
    ++record.sequence_;
    record.state_ = aAnnounce.state_;
    record.held_ = aAnnounce.held_;
    Publish(record);
  }

  void Carry(HostId aId, flow::Stopped& /*aStopped*/, std::uint8_t /*aHops*/)
  {
    auto& host = hosts_[aId];
    host.ended_ = true;
    PublishGone(host);
    time_.After(Duration{}, [this, aId] {
      auto& ended = hosts_[aId];
      if (ended.ended_) {
        StopAgent(ended);
      }
    });
  }

  std::vector<Published_> log_;
};

} // namespace cornelshore::bench::flows

#endif
