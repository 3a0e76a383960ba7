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
  if (queue_.size() >= settings_.maxQueuedFlows_ ||
      !queryOf_.emplace(aKey, 0).second) {
    return;
  }
  queue_.push_back({ aKey, aAcknowledged });
  queueDue_ = std::min(queueDue_, aNow + settings_.batchWindow_);
  next_ = std::min(next_, queueDue_);
}

void
FarSearch::Forget(const FlowKey& aKey)
{
  Resolve(aKey);
  EraseResolved();
}

void
FarSearch::AddHosts(const std::vector<HostId>& aHosts)
{
  for (auto& [id, open] : open_) {
    if (open.sentAt_ == TimePoint{}) {
      continue;
    }
    for (const auto host : aHosts) {
      std::erase(open.answered_, host);
      for (auto* hosts : { &open.awaited_, &open.unsent_ }) {
        if (std::find(hosts->begin(), hosts->end(), host) == hosts->end()) {
          hosts->push_back(host);
        }
      }
    }
  }
  next_ = open_.empty() ? next_ : TimePoint{};
}

void
FarSearch::Resolve(const FlowKey& aKey)
{
  const auto place = queryOf_.find(aKey);
  if (place == queryOf_.end()) {
    return;
  }
  const auto open = open_.find(place->second);
  if (open != open_.end()) {
    for (auto& item : open->second.items_) {
      item.resolved_ |= item.flow_.key_ == aKey;
    }
  } else {
    std::erase_if(queue_,
                  [&](const auto& aItem) { return aItem.key_ == aKey; });
  }
  queryOf_.erase(place);
}

void
FarSearch::EraseResolved()
{
  std::erase_if(open_, [](const auto& aRow) {
    const auto& items = aRow.second.items_;
    return std::all_of(items.begin(), items.end(), [](const Item& aItem) {
      return aItem.resolved_;
    });
  });
}

void
FarSearch::StartQueries(TimePoint aNow)
{
  if (aNow < queueDue_) {
    return;
  }
  while (!queue_.empty() && open_.size() < settings_.maxOpenQueries_ &&
         budget_ > 0) {
    const auto id = ++lastId_;
    auto& open = open_[id];
    while (!queue_.empty() && open.items_.size() < settings_.maxQueryFlows_) {
      queryOf_[queue_.front().key_] = id;
      open.items_.push_back({ queue_.front(), {}, false });
      queue_.pop_front();
    }
  }
  queueDue_ = queue_.empty() ? TimePoint::max() : aNow + settings_.batchWindow_;
}

void
FarSearch::ListHosts(TimePoint aNow,
                     std::uint32_t aId,
                     Open& aOpen,
                     const HostTable& aHosts) const
{
  aOpen.awaited_.clear();
  aOpen.silent_.clear();
  for (const auto& [id, host] : aHosts.All()) {
    const auto heardAt = host.lastReportAt_.value_or(host.firstSeenAt_);
    const auto answered =
      std::find(aOpen.answered_.begin(), aOpen.answered_.end(), id) !=
      aOpen.answered_.end();
    if (host.record_.state_ != HostState::Gone && !answered &&
        aNow - heardAt < settings_.hostTimeout_) {
      aOpen.awaited_.push_back(id);
      if (aHosts.IsSilent(aNow, id)) {
        aOpen.silent_.push_back(id);
      }
    }
  }
  aOpen.unsent_ = aOpen.awaited_;
  if (!aOpen.unsent_.empty()) {
    const auto first = aId % aOpen.unsent_.size();
    std::rotate(aOpen.unsent_.begin(),
                aOpen.unsent_.begin() + static_cast<std::ptrdiff_t>(first),
                aOpen.unsent_.end());
  }
  aOpen.sentAt_ = aNow;
}

void
FarSearch::SendQuery(TimePoint aNow,
                     std::uint32_t aId,
                     Open& aOpen,
                     const HostTable& aHosts,
                     std::vector<Outgoing>& aOut)
{
  Query query;
  query.id_ = aId;
  for (const auto& item : aOpen.items_) {
    query.items_.push_back(
      { ShortHashOf(item.flow_.key_), item.flow_.acknowledged_ });
  }
  while (!aOpen.unsent_.empty() && budget_ > 0) {
    const auto* host = aHosts.Find(aOpen.unsent_.back());
    aOpen.unsent_.pop_back();
    if (host != nullptr) {
      aOut.push_back({ host->record_.agent_, query });
      budget_ -= 1;
    }
    aOpen.sentAt_ = aNow;
  }
}

void
FarSearch::ReportUnresolved(Open& aOpen, std::vector<Unresolved>& aOut)
{
  for (const auto& item : aOpen.items_) {
    if (item.resolved_) {
      continue;
    }
    aOut.push_back({ item.flow_.key_, aOpen.awaited_, item.unsure_ });
    queryOf_.erase(item.flow_.key_);
  }
}

FarSearch::Due
FarSearch::Take(TimePoint aNow, const HostTable& aHosts)
{
  Due due;
  Refill(aNow);
  for (auto row = open_.begin(); row != open_.end();) {
    const auto current = row++;
    auto& open = current->second;
    if (open.unsent_.empty() &&
        aNow - open.firstRoundAt_ >= settings_.queryTimeout_) {
      ReportUnresolved(open, due.unresolved_);
      open_.erase(current);
    }
  }
  StartQueries(aNow);
  next_ = queueDue_;
  for (auto& [id, open] : open_) {
    const auto first = open.sentAt_ == TimePoint{};
    const auto again = open.unsent_.empty() && budget_ > 0 &&
                       aNow - open.sentAt_ >= settings_.retryInterval_;
    if (first || again) {
      ListHosts(aNow, id, open, aHosts);
    }
    SendQuery(aNow, id, open, aHosts, due.queries_);
    if (!open.wasSentToAll_) {
      open.firstRoundAt_ = aNow;
      open.wasSentToAll_ = open.unsent_.empty();
    }
    const auto retryAt = open.unsent_.empty()
                           ? std::max(open.sentAt_ + settings_.retryInterval_,
                                      aNow + settings_.batchWindow_)
                           : aNow + settings_.batchWindow_;
    next_ = std::min({ next_,
                       retryAt,
                       std::max(open.firstRoundAt_ + settings_.queryTimeout_,
                                aNow + settings_.batchWindow_) });
  }
  return due;
}

void
FarSearch::CollectAnswered(const Open& aOpen, Findings& aOut)
{
  const auto complete = std::all_of(
    aOpen.awaited_.begin(), aOpen.awaited_.end(), [&](HostId aHost) {
      const auto& silent = aOpen.silent_;
      return std::find(silent.begin(), silent.end(), aHost) != silent.end();
    });
  if (!complete || aOpen.answered_.empty()) {
    return;
  }
  for (const auto& item : aOpen.items_) {
    if (item.resolved_) {
      continue;
    }
    if (item.unsure_.empty() && aOpen.awaited_.empty()) {
      aOut.denied_.push_back(item.flow_.key_);
    } else if (!item.unsure_.empty()) {
      aOut.undecided_.push_back(
        { item.flow_.key_, item.unsure_, !aOpen.awaited_.empty() });
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
    if (item.resolved_) {
      continue;
    }
    if (aAnswer.holdings_[index] == Holding::Yes) {
      findings.held_.push_back(item.flow_.key_);
    } else if (aAnswer.holdings_[index] == Holding::Unsure) {
      item.unsure_.push_back(aHost);
    }
  }
  for (const auto& key : findings.held_) {
    Resolve(key);
  }
  CollectAnswered(open, findings);
  for (const auto& key : findings.denied_) {
    Resolve(key);
  }
  for (const auto& undecided : findings.undecided_) {
    Resolve(undecided.key_);
  }
  EraseResolved();
  return findings;
}

} // namespace cornelshore::relay
