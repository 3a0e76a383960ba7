#ifndef CORNELSHORE_TEST_DISSEMINATION_FLEET_HPP
#define CORNELSHORE_TEST_DISSEMINATION_FLEET_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include <cornelshore/core/random.hpp>
#include <cornelshore/dissemination/node.hpp>
#include <cornelshore/dissemination/size.hpp>

namespace cornelshore::dissemination {

/** @brief Fake network of nodes: a queue of messages and a loss function. */
class Fleet
{
public:
  /** @brief Delivery of one message. */
  struct Fate
  {
    std::uint32_t copies_{ 1 }; ///< 0: lost.
    Duration delay_{ std::chrono::milliseconds(1) };
  };

  struct Member
  {
    NodeSettings settings_;
    Node node_;
    bool up_{ true };
    std::uint64_t sent_{};
    std::uint64_t received_{};
    std::vector<ConfigChanged> configs_; ///< Of this run, contents dropped.
    std::uint64_t reverts_{};            ///< Versions that fell in one run.
  };

  explicit Fleet(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  /** @brief Decides the delivery of a message by sender and receiver index. */
  std::function<Fate(std::size_t, std::size_t)> fate_ =
    [](std::size_t, std::size_t) { return Fate{}; };

  static Address AddressAt(std::size_t aIndex)
  {
    return MakeIpv4(0x0A000000U + static_cast<std::uint32_t>(aIndex), 7000);
  }

  static NodeId IdAt(std::size_t aIndex) { return NodeId{ aIndex + 1 }; }

  std::size_t Add(NodeSettings aSettings)
  {
    const auto index = members_.size();
    aSettings.self_ = IdAt(index);
    aSettings.incarnation_ = Incarnation{ 1 };
    aSettings.address_ = AddressAt(index);
    aSettings.seed_ = random_.Next();
    members_.push_back(
      { aSettings, *Node::Builder(aSettings).Build(), true, 0, 0, {}, 0 });
    Start(index);
    return index;
  }

  /** @brief Restarts the process without its state. */
  void Restart(std::size_t aIndex)
  {
    auto& member = members_[aIndex];
    ++member.settings_.incarnation_.value_;
    member.settings_.seed_ = random_.Next();
    member.node_ = *Node::Builder(member.settings_).Build();
    member.up_ = true;
    member.configs_.clear();
    Start(aIndex);
  }

  void Feed(std::size_t aIndex, const Event& aEvent)
  {
    if (!members_[aIndex].up_) {
      return;
    }
    for (auto& action : members_[aIndex].node_.On(now_, aEvent)) {
      if (auto* send = std::get_if<Send>(&action)) {
        Carry(aIndex, std::move(*send));
      } else if (auto* config = std::get_if<ConfigChanged>(&action)) {
        auto& member = members_[aIndex];
        member.reverts_ +=
          !member.configs_.empty() &&
              config->version_ <= member.configs_.back().version_
            ? 1U
            : 0U;
        config->bytes_.clear();
        member.configs_.push_back(std::move(*config));
      }
    }
  }

  void RunFor(Duration aLength)
  {
    RunUntil(now_ + aLength, [] { return false; });
  }

  /** @brief Runs until the condition holds; false at the time limit. */
  bool RunUntil(TimePoint aEnd, const std::function<bool()>& aDone)
  {
    while (!queue_.empty() && queue_.top().at_ <= aEnd) {
      const auto next = queue_.top();
      queue_.pop();
      now_ = next.at_;
      Deliver(next);
      if (aDone()) {
        return true;
      }
    }
    now_ = aEnd;
    return aDone();
  }

  [[nodiscard]] TimePoint Now() const { return now_; }
  [[nodiscard]] std::vector<Member>& Members() { return members_; }
  [[nodiscard]] Node& At(std::size_t aIndex) { return members_[aIndex].node_; }
  [[nodiscard]] Random& Randomness() { return random_; }

  /** @brief Seeds every node with the first few addresses. */
  std::size_t seeds_{ 3 };

  /** @brief Link of a member, by its index; none: as fast as needed. */
  std::function<std::optional<std::uint32_t>(std::size_t)> bytesPerSecond_ =
    [](std::size_t) { return std::nullopt; };

private:
  static constexpr Duration kDownTick = std::chrono::seconds(1);
  static constexpr Duration kMaxLinkQueue = std::chrono::milliseconds(500);

  struct Item
  {
    TimePoint at_;
    std::uint64_t order_{};
    std::size_t to_{};
    std::uint64_t slot_{}; ///< 0: a tick.

    bool operator<(const Item& aOther) const
    {
      return std::tie(aOther.at_, aOther.order_) < std::tie(at_, order_);
    }
  };

  void Start(std::size_t aIndex)
  {
    SeedsChanged seeds;
    for (std::size_t seed = 0; seed < seeds_; ++seed) {
      if (seed != aIndex) {
        seeds.addresses_.push_back(AddressAt(seed));
      }
    }
    Feed(aIndex, seeds);
    const auto offset = random_.Below(1'000'000);
    nextTick_[aIndex] = TimePoint::max();
    Schedule(aIndex, now_ + Duration{ static_cast<std::int64_t>(offset) });
  }

  /** Schedules a member's next tick unless an earlier one is pending. */
  void Schedule(std::size_t aIndex, TimePoint aEarliest)
  {
    const auto at = std::max(aEarliest, members_[aIndex].node_.NextTimer());
    if (at < nextTick_[aIndex]) {
      nextTick_[aIndex] = at;
      Push(at, aIndex, 0);
    }
  }

  void Push(TimePoint aAt, std::size_t aTo, std::uint64_t aSlot)
  {
    queue_.push({ aAt, ++order_, aTo, aSlot });
  }

  void Carry(std::size_t aFrom, Send aSend)
  {
    const auto to = static_cast<std::size_t>(aSend.address_.ip_[13]) << 16U |
                    static_cast<std::size_t>(aSend.address_.ip_[14]) << 8U |
                    aSend.address_.ip_[15];
    const auto bytes = DatagramBytesOf(aSend.message_);
    members_[aFrom].sent_ += bytes;
    const auto fate = fate_(aFrom, to);
    const auto sentAt = PassLink(out_[aFrom], aFrom, now_, bytes);
    const auto arrival =
      sentAt ? PassLink(in_[to], to, *sentAt + fate.delay_, bytes) : sentAt;
    if (!arrival) {
      return;
    }
    for (std::uint32_t copy = 0; copy < fate.copies_; ++copy) {
      const auto slot = ++slots_;
      inFlight_[slot] = { IdAt(aFrom), AddressAt(aFrom), aSend.message_ };
      Push(*arrival, to, slot);
    }
  }

  /** When a message has passed one direction of a member's link; nothing: its
   * queue is full. */
  std::optional<TimePoint> PassLink(TimePoint& aFreeAt,
                                    std::size_t aMember,
                                    TimePoint aAt,
                                    std::size_t aBytes)
  {
    const auto rate = bytesPerSecond_(aMember);
    if (!rate) {
      return aAt;
    }
    if (aFreeAt > aAt + kMaxLinkQueue) {
      return std::nullopt;
    }
    const std::chrono::duration<double> time{ static_cast<double>(aBytes) /
                                              *rate };
    aFreeAt =
      std::max(aFreeAt, aAt) + std::chrono::duration_cast<Duration>(time);
    return aFreeAt;
  }

  void Deliver(const Item& aItem)
  {
    auto& member = members_[aItem.to_];
    if (aItem.slot_ == 0) {
      if (now_ >= nextTick_[aItem.to_]) {
        nextTick_[aItem.to_] = TimePoint::max();
        Feed(aItem.to_, Tick{});
        Schedule(aItem.to_, member.up_ ? now_ : now_ + kDownTick);
      }
      return;
    }
    const auto found = inFlight_.find(aItem.slot_);
    const auto event = std::move(found->second);
    inFlight_.erase(found);
    if (member.up_) {
      member.received_ += DatagramBytesOf(event.message_);
      Feed(aItem.to_, event);
      Schedule(aItem.to_, now_);
    }
  }

  Random random_;
  TimePoint now_{ std::chrono::hours(1) };
  std::vector<Member> members_;
  std::priority_queue<Item> queue_;
  std::map<std::uint64_t, Received> inFlight_;
  std::map<std::size_t, TimePoint> nextTick_;
  std::map<std::size_t, TimePoint> out_; ///< When a link is free again.
  std::map<std::size_t, TimePoint> in_;
  std::uint64_t order_{};
  std::uint64_t slots_{};
};

/** @brief The service of the agents that `Fill` adds. */
inline constexpr ServiceId kService{ 7 };

/** @brief Adds control VMs, then balancers, then agents of one service. */
inline void
Fill(Fleet& aFleet,
     std::size_t aControl,
     std::size_t aBalancers,
     std::size_t aAgents)
{
  NodeSettings settings;
  settings.role_ = membership::NodeRole::Control;
  for (std::size_t index = 0; index < aControl; ++index) {
    aFleet.Add(settings);
  }
  settings.role_ = membership::NodeRole::Balancer;
  for (std::size_t index = 0; index < aBalancers; ++index) {
    aFleet.Add(settings);
  }
  settings.role_ = membership::NodeRole::Agent;
  settings.interest_ = kService;
  for (std::size_t index = 0; index < aAgents; ++index) {
    aFleet.Add(settings);
  }
}

/** @brief Record of the host beside an agent. */
inline HostRecord
RecordOf(const Fleet::Member& aMember,
         std::uint64_t aSequence,
         HostState aState)
{
  HostRecord record;
  record.id_ = HostId{ aMember.settings_.self_.value_ };
  record.incarnation_ = aMember.settings_.incarnation_;
  record.sequence_ = aSequence;
  record.service_ = kService;
  record.agent_ = aMember.settings_.address_;
  record.slots_ = 3;
  record.state_ = aState;
  return record;
}

} // namespace cornelshore::dissemination

#endif
