#ifndef CORNELSHORE_BENCH_SUPPORT_REQUESTS_HISTORY_HPP
#define CORNELSHORE_BENCH_SUPPORT_REQUESTS_HISTORY_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/request/caller.hpp>

namespace cornelshore::bench {

/** @brief What a history broke, and what callers were told. */
struct Findings
{
  std::uint64_t requests_{};
  std::uint64_t ranTwice_{};        ///< Non-repeatable ids run again.
  std::uint64_t notRunButRan_{};    ///< Told `not run`, and it ran.
  std::uint64_t badAnswers_{};      ///< Not the whole answer of one own run.
  std::uint64_t outcomesMissing_{}; ///< Submissions without one outcome.
  std::uint64_t answered_{};
  std::uint64_t notRun_{};
  std::uint64_t unknown_{};
  std::uint64_t runs_{};

  [[nodiscard]] std::uint64_t Broken() const
  {
    return ranTwice_ + notRunButRan_ + badAnswers_ + outcomesMissing_;
  }

  Findings& operator+=(const Findings& aOther)
  {
    requests_ += aOther.requests_;
    ranTwice_ += aOther.ranTwice_;
    notRunButRan_ += aOther.notRunButRan_;
    badAnswers_ += aOther.badAnswers_;
    outcomesMissing_ += aOther.outcomesMissing_;
    answered_ += aOther.answered_;
    notRun_ += aOther.notRun_;
    unknown_ += aOther.unknown_;
    runs_ += aOther.runs_;
    return *this;
  }
};

/**
 * @brief The naive ledger: one map of what ran and what was told.
 *
 * It sees every run and every outcome in their true order, which no process
 * of the system does, and judges them once nothing is in flight any more.
 */
class History
{
public:
  struct Entry
  {
    bool repeatable_{};
    std::uint64_t starts_{};
    std::vector<std::string> answers_; ///< One for each run.
    std::vector<request::Done> told_;
    TimePoint startedAt_;
    TimePoint toldAt_;
  };

  void Start(TimePoint aNow, RequestId aId, bool aRepeatable)
  {
    auto& entry = entries_[aId];
    entry.startedAt_ = aNow;
    entry.repeatable_ = aRepeatable;
    ++entry.starts_;
  }

  /** @brief The caller that submitted the id is gone, told or not. */
  void Forget(RequestId aId)
  {
    auto& entry = entries_[aId];
    entry.starts_ = entry.told_.size();
  }

  [[nodiscard]] bool WasToldNotRun(RequestId aId) const
  {
    const auto& told = entries_.at(aId).told_;
    return std::any_of(
      told.begin(), told.end(), [](const request::Done& aDone) {
        return aDone.verdict_ == request::Verdict::NotRun;
      });
  }

  /** @brief The upstream runs the id and will answer with this. */
  void Ran(RequestId aId, std::string aAnswer)
  {
    entries_[aId].answers_.push_back(std::move(aAnswer));
  }

  void Tell(TimePoint aNow, request::Done aDone)
  {
    auto& entry = entries_[aDone.id_];
    entry.toldAt_ = aNow;
    entry.told_.push_back(std::move(aDone));
  }

  [[nodiscard]] bool IsTold(RequestId aId) const
  {
    return !entries_.at(aId).told_.empty();
  }

  [[nodiscard]] const std::map<RequestId, Entry>& Entries() const
  {
    return entries_;
  }

  /** @brief Judges everything seen so far. */
  [[nodiscard]] Findings Judge() const
  {
    Findings findings;
    for (const auto& [id, entry] : entries_) {
      Judge(entry, findings);
    }
    return findings;
  }

private:
  static void Judge(const Entry& aEntry, Findings& aFindings)
  {
    ++aFindings.requests_;
    aFindings.runs_ += aEntry.answers_.size();
    if (!aEntry.repeatable_ && aEntry.answers_.size() > 1) {
      ++aFindings.ranTwice_;
    }
    if (aEntry.told_.size() != aEntry.starts_) {
      ++aFindings.outcomesMissing_;
    }
    for (const auto& done : aEntry.told_) {
      Judge(aEntry, done, aFindings);
    }
  }

  static void Judge(const Entry& aEntry,
                    const request::Done& aDone,
                    Findings& aFindings)
  {
    const auto& answers = aEntry.answers_;
    switch (aDone.verdict_) {
      case request::Verdict::Answered:
        ++aFindings.answered_;
        if (std::find(answers.begin(), answers.end(), aDone.answer_) ==
            answers.end()) {
          ++aFindings.badAnswers_;
        }
        break;
      case request::Verdict::NotRun:
        ++aFindings.notRun_;
        if (!answers.empty()) {
          ++aFindings.notRunButRan_;
        }
        break;
      case request::Verdict::Unknown:
        ++aFindings.unknown_;
        break;
    }
  }

  std::map<RequestId, Entry> entries_;
};

} // namespace cornelshore::bench

#endif
