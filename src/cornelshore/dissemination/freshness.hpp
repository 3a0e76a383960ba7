#ifndef CORNELSHORE_DISSEMINATION_FRESHNESS_HPP
#define CORNELSHORE_DISSEMINATION_FRESHNESS_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/dissemination/message.hpp>

namespace cornelshore::dissemination {

/** @brief Keeps the most recent confirmation by control. */
class ConfirmationTracker
{
public:
  /** @param aLife Age up to which a confirmation counts. */
  explicit ConfirmationTracker(Duration aLife) noexcept
    : life_(aLife)
  {
  }

  /** @brief Stores a confirmation unless it is older or of an earlier term. */
  void Take(TimePoint aNow, const Confirmation& aConfirmation)
  {
    const auto madeAt = aNow - std::max(aConfirmation.age_, Duration::zero());
    const bool older =
      held_ && (aConfirmation.term_ < held_->term_ ||
                aConfirmation.version_ < held_->version_ || madeAt <= madeAt_);
    if (!older && aConfirmation.age_ < life_) {
      held_ = aConfirmation;
      madeAt_ = madeAt;
    }
  }

  /** @brief The confirmation with its age at this time. */
  [[nodiscard]] std::optional<Confirmation> Held(TimePoint aNow) const
  {
    auto held = held_;
    if (held) {
      held->age_ = aNow - madeAt_;
    }
    return held;
  }

  /** @brief Whether a confirmation younger than its life covers a version. */
  [[nodiscard]] bool Covers(TimePoint aNow, ConfigVersion aVersion) const
  {
    return held_ && aVersion >= held_->version_ && aNow - madeAt_ < life_;
  }

private:
  Duration life_;
  std::optional<Confirmation> held_;
  TimePoint madeAt_;
};

/** @brief Times of the last synchronisations with distinct peers. */
class SyncTracker
{
public:
  /** @brief Records that this node and a peer held the same records. */
  void Note(NodeId aPeer, TimePoint aAt)
  {
    std::erase_if(notes_,
                  [aPeer](const auto& aNote) { return aNote.peer_ == aPeer; });
    notes_.push_back({ aPeer, aAt });
    std::sort(
      notes_.begin(), notes_.end(), [](const auto& aOne, const auto& aOther) {
        return aOne.at_ > aOther.at_;
      });
    if (notes_.size() > kNotes) {
      notes_.pop_back();
    }
  }

  /** @brief Earliest of the last synchronisations with this many peers. */
  [[nodiscard]] std::optional<TimePoint> Since(std::size_t aOthers) const
  {
    if (aOthers == 0 || notes_.size() < aOthers) {
      return std::nullopt;
    }
    return notes_[aOthers - 1].at_;
  }

private:
  static constexpr std::size_t kNotes = 4;

  struct Entry
  {
    NodeId peer_;
    TimePoint at_;
  };

  std::vector<Entry> notes_; ///< The newest comes first.
};

} // namespace cornelshore::dissemination

#endif
