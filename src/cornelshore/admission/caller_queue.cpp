#include <cornelshore/admission/internal/caller_queue.hpp>

#include <algorithm>
#include <utility>

namespace cornelshore::admission::internal {

void
CallerQueue::Push(const Work& aWork)
{
  ++size_;
  for (auto& lane : lanes_) {
    if (lane.caller_ == aWork.caller_) {
      lane.works_.push_back(aWork);
      return;
    }
  }
  lanes_.push_back({ aWork.caller_, { aWork } });
}

const Work&
CallerQueue::Front() const
{
  return lanes_.front().works_.front();
}

Work
CallerQueue::Pop()
{
  Lane lane = std::move(lanes_.front());
  lanes_.pop_front();
  const Work work = lane.works_.front();
  lane.works_.pop_front();
  if (!lane.works_.empty()) {
    lanes_.push_back(std::move(lane));
  }
  --size_;
  return work;
}

std::optional<Work>
CallerQueue::Displace(CallerId aCaller)
{
  const auto longest = std::max_element(
    lanes_.begin(), lanes_.end(), [](const Lane& aLeft, const Lane& aRight) {
      return aLeft.works_.size() < aRight.works_.size();
    });
  if (longest == lanes_.end() ||
      longest->works_.size() < LengthOf(aCaller) + 2) {
    return std::nullopt;
  }
  const Work work = longest->works_.back();
  longest->works_.pop_back();
  --size_;
  return work;
}

std::optional<Work>
CallerQueue::Remove(RequestId aId)
{
  for (auto& lane : lanes_) {
    const auto found =
      std::find_if(lane.works_.begin(),
                   lane.works_.end(),
                   [aId](const Work& aWork) { return aWork.id_ == aId; });
    if (found != lane.works_.end()) {
      const Work work = *found;
      lane.works_.erase(found);
      --size_;
      DropEmptyLanes();
      return work;
    }
  }
  return std::nullopt;
}

std::vector<Work>
CallerQueue::RemoveDueBefore(TimePoint aTime)
{
  std::vector<Work> due;
  for (auto& lane : lanes_) {
    std::erase_if(lane.works_, [&due, aTime](const Work& aWork) {
      if (aWork.deadline_ >= aTime) {
        return false;
      }
      due.push_back(aWork);
      return true;
    });
  }
  size_ -= due.size();
  DropEmptyLanes();
  return due;
}

std::size_t
CallerQueue::CountAhead(CallerId aCaller) const
{
  const auto turns = LengthOf(aCaller) + 1;
  std::size_t ahead = 0;
  for (const auto& lane : lanes_) {
    ahead += std::min(lane.works_.size(), turns);
  }
  return ahead;
}

TimePoint
CallerQueue::EarliestDeadline() const
{
  auto earliest = TimePoint::max();
  for (const auto& lane : lanes_) {
    for (const auto& work : lane.works_) {
      earliest = std::min(earliest, work.deadline_);
    }
  }
  return earliest;
}

std::size_t
CallerQueue::LengthOf(CallerId aCaller) const
{
  for (const auto& lane : lanes_) {
    if (lane.caller_ == aCaller) {
      return lane.works_.size();
    }
  }
  return 0;
}

void
CallerQueue::DropEmptyLanes()
{
  std::erase_if(lanes_, [](const Lane& aLane) { return aLane.works_.empty(); });
}

} // namespace cornelshore::admission::internal
