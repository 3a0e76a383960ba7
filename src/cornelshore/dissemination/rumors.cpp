#include <cornelshore/dissemination/rumors.hpp>

#include <algorithm>

namespace cornelshore::dissemination {

void
Rumors::Add(NodeId aSubject, Priority aPriority, std::uint32_t aCopies)
{
  const auto same = [aSubject](const Rumor& aRumor) {
    return aRumor.subject_ == aSubject;
  };
  std::erase_if(bulk_, same);
  const bool wasUrgent = std::erase_if(urgent_, same) > 0;
  auto& queue = wasUrgent || aPriority == Priority::Urgent ? urgent_ : bulk_;
  queue.push_front({ aSubject, aCopies });
  if (size() > kMost) {
    auto& longer = bulk_.empty() ? urgent_ : bulk_;
    longer.pop_back();
  }
}

std::vector<NodeId>
Rumors::Take(std::size_t aMost)
{
  std::vector<NodeId> taken;
  TakeFrom(urgent_, aMost, taken);
  TakeFrom(bulk_, aMost, taken);
  return taken;
}

void
Rumors::TakeFrom(Queue& aQueue, std::size_t aMost, std::vector<NodeId>& aTaken)
{
  const auto count = std::min(aQueue.size(), aMost - aTaken.size());
  for (std::size_t index = 0; index < count; ++index) {
    auto rumor = aQueue.front();
    aQueue.pop_front();
    aTaken.push_back(rumor.subject_);
    if (--rumor.copies_ > 0) {
      aQueue.push_back(rumor);
    }
  }
}

} // namespace cornelshore::dissemination
