#include <cornelshore/relay/near_search.hpp>

#include <algorithm>

namespace cornelshore::relay {

namespace {

/** Encoded size of a query's flow, and of its message with seal and IP headers.
 */
constexpr std::size_t kItemBytes = 10;
constexpr std::size_t kMessageBytes = 80;

} // namespace

NearSearch::NearSearch(NearSearchSettings aSettings)
  : settings_(aSettings)
  , budget_(aSettings.bytesPerSecond_, aSettings.burst_)
{
}

void
NearSearch::Add(TimePoint aNow,
                const FlowKey& aKey,
                std::uint32_t aAcknowledged,
                std::vector<HostId> aHosts)
{
  if (queued_.size() >= settings_.maxQueuedFlows_ && !queued_.contains(aKey)) {
    return;
  }
  queued_.insert_or_assign(aKey, Queued{ aAcknowledged, std::move(aHosts) });
  next_ = std::min(next_, aNow + settings_.batchWindow_);
}

std::vector<FarSearch::Outgoing>
NearSearch::Take(TimePoint aNow, const HostTable& aHosts)
{
  std::vector<FarSearch::Outgoing> out;
  if (aNow < next_) {
    return out;
  }
  while (!open_.empty() &&
         aNow - open_.begin()->second.sentAt_ > settings_.queryTimeout_) {
    open_.erase(open_.begin());
  }
  std::map<HostId, Batch> batches;
  for (auto row = queued_.begin(); row != queued_.end();) {
    const auto current = row++;
    const auto& flow = current->second;
    const auto bytes = flow.hosts_.size() * kItemBytes;
    if (!budget_.TrySpend(aNow, bytes, dissemination::Priority::Normal)) {
      break;
    }
    for (const auto host : flow.hosts_) {
      batches[host].emplace_back(current->first, flow.acknowledged_);
    }
    queued_.erase(current);
  }
  for (const auto& [id, flows] : batches) {
    if (const auto* host = aHosts.Find(id)) {
      Send(aNow, id, host->record_.agent_, flows, out);
    }
  }
  next_ = queued_.empty() ? TimePoint::max() : aNow + settings_.batchWindow_;
  return out;
}

void
NearSearch::Send(TimePoint aNow,
                 HostId aHost,
                 const Address& aAgent,
                 const Batch& aFlows,
                 std::vector<FarSearch::Outgoing>& aOut)
{
  for (std::size_t first = 0; first < aFlows.size(); first += kMaxQueryItems) {
    const auto last = std::min(first + kMaxQueryItems, aFlows.size());
    Query query;
    query.id_ = ++lastId_ | kNearQueryBit;
    auto& open = open_[query.id_];
    open.host_ = aHost;
    open.sentAt_ = aNow;
    for (auto index = first; index < last; ++index) {
      const auto& [key, acknowledged] = aFlows[index];
      query.items_.push_back({ ShortHashOf(key), acknowledged });
      open.keys_.push_back(key);
    }
    static_cast<void>(
      budget_.TrySpend(aNow, kMessageBytes, dissemination::Priority::Urgent));
    aOut.push_back({ aAgent, std::move(query) });
  }
}

NearSearch::Findings
NearSearch::OnAnswer(HostId aHost, const QueryAnswer& aAnswer)
{
  Findings findings;
  const auto found = open_.find(aAnswer.id_);
  if (found == open_.end() || found->second.host_ != aHost ||
      found->second.keys_.size() != aAnswer.holdings_.size()) {
    return findings;
  }
  const auto& keys = found->second.keys_;
  for (std::size_t index = 0; index < keys.size(); ++index) {
    switch (aAnswer.holdings_[index]) {
      case Holding::Yes:
        findings.held_.push_back(keys[index]);
        break;
      case Holding::Unsure:
        findings.unsure_.push_back(keys[index]);
        break;
      case Holding::No:
        findings.denied_.push_back(keys[index]);
        break;
    }
  }
  open_.erase(found);
  return findings;
}

} // namespace cornelshore::relay
