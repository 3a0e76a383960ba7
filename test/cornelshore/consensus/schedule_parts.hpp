#ifndef CORNELSHORE_TEST_CONSENSUS_SCHEDULE_PARTS_HPP
#define CORNELSHORE_TEST_CONSENSUS_SCHEDULE_PARTS_HPP

#include <deque>
#include <optional>
#include <tuple>

#include <cornelshore/consensus/replica.hpp>

#include "history.hpp"

namespace cornelshore::consensus {

/** @brief Options of one randomised run of a control group with faults. */
struct ScheduleOptions
{
  std::uint64_t seed_{};
  std::size_t vms_{ 3 };
  Duration length_{ std::chrono::seconds{ 18 } }; ///< Of fault injection.
  bool rollbacks_{ true }; ///< Also roll back and empty disks.
};

/** @brief Result of a run. */
struct ScheduleResult
{
  Breaches breaches_;
  std::uint64_t leadersOfOneTerm_{}; ///< Terms with two leaders.
  std::uint64_t accepted_{};
  std::uint64_t conflicts_{};
  std::uint64_t confirmedReads_{};
  std::uint64_t unconfirmedReads_{};
  std::uint64_t faultsOfRollback_{}; ///< Replicas that detected a rollback.
  bool stuck_{}; ///< Did not recover after the faults ended.

  [[nodiscard]] std::uint64_t Broken() const
  {
    return breaches_.Sum() + leadersOfOneTerm_;
  }
};

/** @brief One control VM of a schedule: its replica, disk and clock. */
struct Vm
{
  std::optional<Replica> replica_;
  DurableState disk_;
  std::deque<DurableState> older_; ///< Copies of the disk, oldest first.
  std::deque<Persist> unsynced_;
  Duration syncDue_{ Duration::max() };
  Duration startDue_{ Duration::max() };
  Duration crashDue_{ Duration::max() }; ///< Crash with an unsynced write.
  Duration tickDue_{ Duration::max() };
  Verification verification_{};
  double rate_{ 1 };
  double offset_{};
  std::uint64_t diskIds_{ 1 };
  bool amnesiac_{}; ///< Lost synced state and has not caught up.
};

/** @brief A message in flight. */
struct Flight
{
  Duration at_{};
  std::uint64_t order_{};
  Message message_;

  bool operator<(const Flight& aOther) const
  {
    return std::tie(aOther.at_, aOther.order_) < std::tie(at_, order_);
  }
};

/** @brief An operator that issues one change or read at a time. */
struct Client
{
  Duration due_{};
  std::optional<std::size_t> operation_; ///< The pending one.
  Change change_;
  ConfigVersion known_;
};

} // namespace cornelshore::consensus

#endif
