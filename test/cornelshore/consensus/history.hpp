#ifndef CORNELSHORE_TEST_CONSENSUS_HISTORY_HPP
#define CORNELSHORE_TEST_CONSENSUS_HISTORY_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <cornelshore/consensus/register.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::consensus {

/** @brief One operation on the register as observed by its caller. */
struct Operation
{
  bool read_{};
  RequestId change_;
  ConfigVersion expected_;
  Duration called_{};
  std::optional<Duration> returned_; ///< Time of the first answer, if any.
  ChangeOutcome outcome_{ ChangeOutcome::Accepted };
  ConfigVersion version_;
  RequestId acceptedChange_;
};

/** @brief Violations found in a history; all zero if it is linearizable. */
struct Breaches
{
  std::uint64_t lost_{};  ///< Accepted, but missing from the final order.
  std::uint64_t twice_{}; ///< Two changes accepted with one version.
  std::uint64_t wrongAnswers_{}; ///< Not the reference register's.
  std::uint64_t reverts_{};      ///< Older than already observed.

  [[nodiscard]] std::uint64_t Sum() const
  {
    return lost_ + twice_ + wrongAnswers_ + reverts_;
  }
};

/** @brief Reference register: one variable, and the change that set it. */
struct NaiveRegister
{
  ConfigVersion version_;
  RequestId acceptedChange_;

  bool Set(const RequestId& aChange, ConfigVersion aExpected)
  {
    if (aExpected != version_) {
      return false;
    }
    ++version_.value_;
    acceptedChange_ = aChange;
    return true;
  }
};

/** @brief Accepted changes by version, as applied by the replicas. */
using Winners = std::map<ConfigVersion, RequestId>;

/** @brief Whether the answer equals that of the reference register at the
 * version. */
inline bool
AnsweredAsNaive(const Operation& aOperation, const Winners& aWinners)
{
  const auto accepted =
    !aOperation.read_ && aOperation.outcome_ == ChangeOutcome::Accepted;
  NaiveRegister naive{ aOperation.version_, {} };
  if (accepted) {
    --naive.version_.value_;
    const auto row = aWinners.find(aOperation.version_);
    return naive.Set(aOperation.change_, aOperation.expected_) &&
           naive.version_ == aOperation.version_ && row != aWinners.end() &&
           row->second == aOperation.change_;
  }
  const auto row = aWinners.find(aOperation.version_);
  const auto winner = row == aWinners.end() ? RequestId{} : row->second;
  return winner == aOperation.acceptedChange_ &&
         (aOperation.read_ ||
          !naive.Set(aOperation.change_, aOperation.expected_));
}

/**
 * @brief Checks a history of one register for linearizability; versions give
 * the order.
 *
 * Each operation has a position in the order of versions: an accepted change
 * creates a version, every other operation observes one. The history is
 * linearizable if each answer equals that of the reference register at its
 * position, and no operation that began after the end of another is ordered
 * before it.
 */
inline Breaches
CheckHistory(std::vector<Operation> aOperations, const Winners& aWinners)
{
  using Place = std::pair<std::uint64_t, int>;
  const auto placeOf = [](const Operation& aOperation) {
    const auto makes =
      !aOperation.read_ && aOperation.outcome_ == ChangeOutcome::Accepted;
    return Place{ aOperation.version_.value_, makes ? 0 : 1 };
  };
  std::erase_if(aOperations, [](const Operation& aOperation) {
    return !aOperation.returned_;
  });
  Breaches breaches;
  std::map<ConfigVersion, RequestId> makers;
  for (const auto& operation : aOperations) {
    breaches.wrongAnswers_ += AnsweredAsNaive(operation, aWinners) ? 0 : 1;
    if (placeOf(operation).second != 0) {
      continue;
    }
    const auto [maker, first] =
      makers.emplace(operation.version_, operation.change_);
    breaches.twice_ += first || maker->second == operation.change_ ? 0 : 1;
    const auto row = aWinners.find(operation.version_);
    const auto kept = row != aWinners.end() && row->second == operation.change_;
    breaches.lost_ += kept ? 0 : 1;
  }
  auto byReturn = aOperations;
  std::sort(byReturn.begin(),
            byReturn.end(),
            [](const auto& aLeft, const auto& aRight) {
              return *aLeft.returned_ < *aRight.returned_;
            });
  std::sort(aOperations.begin(),
            aOperations.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.called_ < aRight.called_;
            });
  Place known{};
  auto ended = byReturn.begin();
  for (const auto& operation : aOperations) {
    while (ended != byReturn.end() && *ended->returned_ < operation.called_) {
      known = std::max(known, placeOf(*ended++));
    }
    const auto place = placeOf(operation);
    const auto later = place > known || (place == known && place.second == 1);
    breaches.reverts_ += later || known == Place{} ? 0 : 1;
  }
  return breaches;
}

} // namespace cornelshore::consensus

#endif
