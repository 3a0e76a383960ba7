#ifndef CORNELSHORE_BENCH_SUPPORT_FLOWS_TALLY_HPP
#define CORNELSHORE_BENCH_SUPPORT_FLOWS_TALLY_HPP

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

#include <cornelshore/core/random.hpp>

#include "flows_fleet.hpp"

/** @brief What a schedule consists of, and what came of schedules. */
namespace cornelshore::bench::flows {

/** @brief One service of a site. */
struct ServiceSize
{
  ServiceId id_;
  std::size_t hosts_{};
  std::uint16_t slots_{};
};

/** @brief A site's services and its way between two VMs. */
struct Site
{
  std::array<ServiceSize, 2> services_;
  Duration hop_{};
};

inline constexpr Site kTartu{ { { { { 1 }, 7, 3 }, { { 2 }, 3, 3 } } },
                              microseconds(1000) };
inline constexpr Site kAntioquia{ { { { { 1 }, 7, 4 }, { { 2 }, 4, 4 } } },
                                  microseconds(500) };

/** @brief What one schedule consists of. */
struct Plan
{
  Site site_{ kTartu };
  std::size_t flows_{ 40 };
  std::size_t packets_{ 10 }; ///< Data packets a flow.
  std::size_t changes_{ 8 };
  std::size_t crashes_{}; ///< Agents that restart without handing over.
  std::size_t deaths_{};  ///< Hosts that are lost without notice.
  Duration firstChange_{ seconds(40) };
  Duration changesFor_{ seconds(20) };
  Duration end_{ seconds(130) };
  Duration opensFor_{ seconds(75) }; ///< Flows open in this first time.
  Disturbance disturbance_;
};

/** @brief What came of schedules; sums over all of them. */
struct Tally
{
  std::uint64_t schedules_{};
  std::uint64_t changes_{};
  std::uint64_t flows_{};
  std::uint64_t opened_{};
  std::uint64_t packets_{};
  std::uint64_t brokenByReset_{};
  std::uint64_t brokenByOtherHost_{};
  std::uint64_t brokenByStall_{};
  std::uint64_t twoUpstreams_{};
  std::uint64_t wrongService_{};
  std::uint64_t openingsReset_{};
  std::uint64_t openingsStalled_{};
  std::uint64_t naiveBroken_{};
  std::uint64_t resent_{};
  std::uint64_t onDeadHost_{};
  std::uint64_t brokenOnDeadHost_{};
  Duration longestStall_{};
  Duration newAfterLeave_{};
  Duration sentAfterLeave_{};
  std::vector<std::uint64_t> hops_ = std::vector<std::uint64_t>(256);

  void Add(const Tally& aOther)
  {
    schedules_ += aOther.schedules_;
    changes_ += aOther.changes_;
    flows_ += aOther.flows_;
    opened_ += aOther.opened_;
    packets_ += aOther.packets_;
    brokenByReset_ += aOther.brokenByReset_;
    brokenByOtherHost_ += aOther.brokenByOtherHost_;
    brokenByStall_ += aOther.brokenByStall_;
    twoUpstreams_ += aOther.twoUpstreams_;
    wrongService_ += aOther.wrongService_;
    openingsReset_ += aOther.openingsReset_;
    openingsStalled_ += aOther.openingsStalled_;
    naiveBroken_ += aOther.naiveBroken_;
    resent_ += aOther.resent_;
    onDeadHost_ += aOther.onDeadHost_;
    brokenOnDeadHost_ += aOther.brokenOnDeadHost_;
    longestStall_ = std::max(longestStall_, aOther.longestStall_);
    newAfterLeave_ = std::max(newAfterLeave_, aOther.newAfterLeave_);
    sentAfterLeave_ = std::max(sentAfterLeave_, aOther.sentAfterLeave_);
    for (std::size_t hops = 0; hops < hops_.size(); ++hops) {
      hops_[hops] += aOther.hops_[hops];
    }
  }

  /** @brief Least number of extra hops that this part of packets keep to. */
  [[nodiscard]] std::size_t HopsOf(double aPart) const
  {
    std::uint64_t sum = 0;
    for (const auto count : hops_) {
      sum += count;
    }
    const auto wanted = aPart * static_cast<double>(sum);
    std::uint64_t seen = 0;
    std::size_t hops = 0;
    while (hops + 1 < hops_.size()) {
      seen += hops_[hops];
      if (static_cast<double>(seen) >= wanted) {
        break;
      }
      ++hops;
    }
    return hops;
  }

  [[nodiscard]] std::uint64_t Wrong() const
  {
    return Broken() + twoUpstreams_ + wrongService_ + openingsReset_ +
           openingsStalled_;
  }

  [[nodiscard]] std::uint64_t Broken() const
  {
    return brokenByReset_ + brokenByOtherHost_ + brokenByStall_;
  }
};

/** @brief A plan of planned changes drawn from a seed. */
inline Plan
PlannedChanges(std::uint64_t aSeed)
{
  Random random(aSeed);
  Plan plan;
  plan.site_ = random.Below(2) == 0 ? kTartu : kAntioquia;
  plan.changes_ = 3 + random.Below(12);
  plan.firstChange_ = seconds(random.Below(2) == 0 ? 10 : 40);
  plan.disturbance_.spread_ =
    milliseconds(100 + static_cast<std::int64_t>(random.Below(3900)));
  return plan;
}

} // namespace cornelshore::bench::flows

#endif
