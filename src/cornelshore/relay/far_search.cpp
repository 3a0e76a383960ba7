#include <cornelshore/relay/far_search.hpp>

#include <algorithm>
#include <utility>

namespace cornelshore::relay {

FarSearch::FarSearch(FarSearchSettings aSettings)
  : settings_(aSettings)
  , budget_(aSettings.burst_)
{
}

void
FarSearch::Refill(TimePoint aNow)
{
  const std::chrono::duration<double> passed = aNow - refilledAt_;
  budget_ =
    std::min(settings_.burst_, budget_ + settings_.perSecond_ * passed.count());
  refilledAt_ = aNow;
}

void
FarSearch::Add(TimePoint aNow, const FlowKey& aKey, std::uint32_t aAcknowledged)
{
  if (queue_.size() >= settings_.mostQueued_ ||
      !where_.emplace(aKey, 0).second) {
    return;
  }
  queue_.push_back({ aKey, aAcknowledged });
  queueDue_ = std::min(queueDue_, aNow + settings_.gather_);
  next_ = std::min(next_, queueDue_);
}

void
FarSearch::Forget(const FlowKey& aKey)
{
  Settle(aKey);
  EraseSettled();
}

void
FarSearch::Settle(const FlowKey& aKey)
{
  const auto place = where_.find(aKey);
  if (place == where_.end()) {
    return;
  }
  const auto open = open_.find(place->second);
  if (open != open_.end()) {
    for (auto& item : open->second.items_) {
      item.settled_ |= item.query_.key_ == aKey;
    }
  } else {
    std::erase_if(queue_,
                  [&](const auto& aItem) { return aItem.key_ == aKey; });
  }
  where_.erase(place);
}

void
FarSearch::EraseSettled()
{
  std::erase_if(open_, [](const auto& aRow) {
    const auto& items = aRow.second.items_;
    return std::all_of(items.begin(), items.end(), [](const Item& aItem) {
      return aItem.settled_;
    });
  });
}

void
FarSearch::StartQueries(TimePoint aNow)
{
  if (aNow < queueDue_) {
    return;
  }
  while (!queue_.empty() && open_.size() < settings_.mostOpen_ && budget_ > 0) {
    const auto id = ++lastId_;
    auto& open = open_[id];
    open.since_ = aNow;
    while (!queue_.empty() && open.items_.size() < kMaxQueryItems) {
      where_[queue_.front().key_] = id;
      open.items_.push_back({ queue_.front(), {}, false });
      queue_.pop_front();
    }
  }
  queueDue_ = queue_.empty() ? TimePoint::max() : aNow + settings_.gather_;
}

void
FarSearch::AskAll(TimePoint aNow,
                  std::uint32_t aId,
                  Open& aOpen,
                  const HostTable& aHosts,
                  std::vector<Outgoing>& aOut)
{
  Query query;
  query.id_ = aId;
  for (const auto& item : aOpen.items_) {
    query.items_.push_back(item.query_);
  }
  aOpen.sentAt_ = aNow;
  aOpen.awaited_.clear();
  for (const auto& [id, host] : aHosts.All()) {
    const auto heardAt = host.heardAt_.value_or(host.knownAt_);
    const auto answered =
      std::find(aOpen.answered_.begin(), aOpen.answered_.end(), id) !=
      aOpen.answered_.end();
    if (host.record_.state_ != HostState::Gone && !answered &&
        aNow - heardAt < settings_.hostLife_) {
      aOpen.awaited_.push_back(id);
      aOut.push_back({ host.record_.agent_, query });
      budget_ -= 1;
    }
  }
}

void
FarSearch::GiveUp(Open& aOpen, std::vector<Unresolved>& aOut)
{
  for (const auto& item : aOpen.items_) {
    if (item.settled_) {
      continue;
    }
    auto silent = aOpen.awaited_;
    silent.insert(silent.end(), item.unsure_.begin(), item.unsure_.end());
    aOut.push_back({ item.query_.key_, std::move(silent) });
    where_.erase(item.query_.key_);
  }
}

FarSearch::Due
FarSearch::Take(TimePoint aNow, const HostTable& aHosts)
{
  Due due;
  Refill(aNow);
  for (auto row = open_.begin(); row != open_.end();) {
    const auto current = row++;
    if (aNow - current->second.since_ >= settings_.giveUp_) {
      GiveUp(current->second, due.unresolved_);
      open_.erase(current);
    }
  }
  StartQueries(aNow);
  next_ = queueDue_;
  for (auto& [id, open] : open_) {
    const auto first = open.sentAt_ == TimePoint{};
    const auto again = aNow - open.sentAt_ >= settings_.again_ && budget_ > 0;
    if (first || again) {
      AskAll(aNow, id, open, aHosts, due.queries_);
    }
    const auto goesOn =
      std::max(open.sentAt_ + settings_.again_, aNow + settings_.gather_);
    next_ = std::min({ next_, goesOn, open.since_ + settings_.giveUp_ });
  }
  return due;
}

void
FarSearch::Conclude(Open& aOpen, std::vector<FlowKey>& aDenied)
{
  if (!aOpen.awaited_.empty() || aOpen.answered_.empty()) {
    return;
  }
  for (const auto& item : aOpen.items_) {
    if (!item.settled_ && item.unsure_.empty()) {
      aDenied.push_back(item.query_.key_);
    }
  }
}

FarSearch::Findings
FarSearch::OnAnswer(HostId aHost, const QueryAnswer& aAnswer)
{
  Findings findings;
  const auto found = open_.find(aAnswer.id_);
  if (found == open_.end() ||
      aAnswer.holdings_.size() != found->second.items_.size()) {
    return findings;
  }
  auto& open = found->second;
  if (std::erase(open.awaited_, aHost) == 0) {
    return findings;
  }
  open.answered_.push_back(aHost);
  for (std::size_t index = 0; index < open.items_.size(); ++index) {
    auto& item = open.items_[index];
    if (item.settled_) {
      continue;
    }
    if (aAnswer.holdings_[index] == Holding::Yes) {
      findings.held_.push_back(item.query_.key_);
    } else if (aAnswer.holdings_[index] == Holding::Unsure) {
      item.unsure_.push_back(aHost);
      findings.unsure_.push_back(item.query_.key_);
    }
  }
  for (const auto& key : findings.held_) {
    Settle(key);
  }
  Conclude(open, findings.denied_);
  for (const auto& key : findings.denied_) {
    Settle(key);
  }
  EraseSettled();
  return findings;
}

bool
FarSearch::OnDenied(HostId aHost, const FlowKey& aKey)
{
  const auto place = where_.find(aKey);
  const auto found =
    place == where_.end() ? open_.end() : open_.find(place->second);
  if (found == open_.end()) {
    return false;
  }
  for (auto& item : found->second.items_) {
    if (item.query_.key_ == aKey) {
      std::erase(item.unsure_, aHost);
    }
  }
  std::vector<FlowKey> denied;
  Conclude(found->second, denied);
  const auto lost = std::find(denied.begin(), denied.end(), aKey);
  if (lost == denied.end()) {
    return false;
  }
  Forget(aKey);
  return true;
}

} // namespace cornelshore::relay
