#ifndef CORNELSHORE_DISSEMINATION_LINK_BUDGET_HPP
#define CORNELSHORE_DISSEMINATION_LINK_BUDGET_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include <cornelshore/core/time.hpp>
#include <cornelshore/dissemination/byte_budget.hpp>

namespace cornelshore::dissemination {

/** @brief Part of a link's bytes a second that dissemination may use on
 * average, and as a burst: in no second more than a quarter of the link. */
inline constexpr std::uint64_t kLinkShareDivisor = 8;

/** @brief Burst on the slowest links, in bytes: a batch of a snapshot. */
inline constexpr std::uint64_t kMinLinkBurst = 10'000;

/** @brief Bytes that a link passes in this part of a second may be queued on
 * it: a longer queue delays callers' packets past their first retransmission.
 */
inline constexpr std::uint64_t kLinkQueueDivisor = 4;

/**
 * @brief Bytes that a node may send: within its own rate, within a share of its
 * VM's link, and only while the traffic of others leaves room on the link.
 */
class LinkBudget
{
public:
  /**
   * @param aPerSecond The node's own rate in bytes per second.
   * @param aBurst The node's own burst in bytes.
   * @param aLinkPerSecond Bandwidth of the link in bytes per second; 0:
   * unknown, the node's own rate alone decides.
   */
  LinkBudget(std::uint32_t aPerSecond,
             std::uint32_t aBurst,
             std::uint64_t aLinkPerSecond) noexcept
    : own_(aPerSecond, aBurst)
  {
    if (aLinkPerSecond > 0) {
      const auto share = aLinkPerSecond / kLinkShareDivisor;
      own_ = ByteBudget(Least(aPerSecond, share),
                        Least(aBurst, std::max(share, kMinLinkBurst)));
      link_.emplace(static_cast<double>(aLinkPerSecond),
                    static_cast<double>(aLinkPerSecond) / kLinkQueueDivisor);
    }
  }

  /** @brief Counts bytes of other traffic, which is sent in any case. */
  void NoteOther(TimePoint aNow, std::size_t aBytes) noexcept
  {
    if (link_) {
      link_->Charge(aNow, aBytes);
    }
  }

  /** @brief Whether enough bytes are left for the priority. */
  [[nodiscard]] bool Allows(TimePoint aNow,
                            std::size_t aBytes,
                            Priority aPriority) noexcept
  {
    return own_.Allows(aNow, aBytes, aPriority) &&
           (!link_ || link_->Allows(aNow, aBytes, aPriority));
  }

  /** @brief Spends the bytes; false when too few are left for the priority. */
  [[nodiscard]] bool TrySpend(TimePoint aNow,
                              std::size_t aBytes,
                              Priority aPriority) noexcept
  {
    if (!Allows(aNow, aBytes, aPriority)) {
      return false;
    }
    own_.Charge(aNow, aBytes);
    NoteOther(aNow, aBytes);
    return true;
  }

  /** @brief Share of the burst that is left, 1 at most; below 0: owed. */
  [[nodiscard]] double ShareLeft(TimePoint aNow) noexcept
  {
    const auto own = own_.ShareLeft(aNow);
    return link_ ? std::min(own, link_->ShareLeft(aNow)) : own;
  }

  /** @brief Whether at least this share of the burst, 0 to 1, is left. */
  [[nodiscard]] bool HasShareLeft(TimePoint aNow, double aShare) noexcept
  {
    return ShareLeft(aNow) >= aShare;
  }

private:
  [[nodiscard]] static double Least(std::uint64_t aOne,
                                    std::uint64_t aOther) noexcept
  {
    return static_cast<double>(std::min(aOne, aOther));
  }

  ByteBudget own_;
  std::optional<ByteBudget> link_;
};

} // namespace cornelshore::dissemination

#endif
