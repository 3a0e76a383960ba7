#include <cornelshore/membership/health_watcher.hpp>

#include <functional>
#include <map>
#include <set>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/membership/announcer.hpp>

namespace cornelshore::membership {
namespace {

constexpr std::uint64_t kFirstHost = 1000;

/** Watchers and hosts in data centres, linked by a reachability function. */
class Ward
{
public:
  Ward(std::size_t aWatchers, std::size_t aHosts, std::size_t aDataCentres)
    : dataCentres_(aDataCentres)
  {
    BalancersChanged known;
    for (std::uint64_t id = 1; id <= aWatchers; ++id) {
      known.balancers_.push_back(NodeId{ id });
      HealthSettings settings;
      settings.self_ = NodeId{ id };
      settings.seed_ = id;
      watchers_.emplace(NodeId{ id },
                        *HealthWatcher::Builder(settings).Build());
    }
    HostRecordsChanged seen;
    for (std::uint64_t id = kFirstHost; id < kFirstHost + aHosts; ++id) {
      HostRecord record;
      record.id_ = HostId{ id };
      record.incarnation_ = Incarnation{ 1 };
      record.service_ = ServiceId{ 1 };
      record.dataCentre_ = Home(id);
      record.state_ = HostState::Ready;
      hosts_.emplace(record.id_, *Announcer::Builder(record).Build());
      seen.records_.push_back(hosts_.at(record.id_).Record());
    }
    for (auto& [id, watcher] : watchers_) {
      Feed(id, known);
      Feed(id, seen);
    }
  }

  [[nodiscard]] DataCentreId Home(std::uint64_t aId) const
  {
    return DataCentreId{ static_cast<std::uint32_t>(1 + aId % dataCentres_) };
  }

  /** Whether a message from one process reaches another. */
  std::function<bool(std::uint64_t, std::uint64_t)> reaches_ =
    [](std::uint64_t, std::uint64_t) { return true; };

  void RunFor(Duration aLength)
  {
    constexpr Duration kStep = std::chrono::milliseconds(100);
    for (const auto end = now_ + aLength; now_ < end; now_ += kStep) {
      const bool second =
        now_.time_since_epoch() % std::chrono::seconds(1) == Duration::zero();
      for (auto& [id, watcher] : watchers_) {
        if (second) {
          HearDataCentres(id);
        }
        if (now_ >= watcher.NextTimer()) {
          Feed(id, HealthTick{});
        }
      }
      for (auto& [id, host] : hosts_) {
        Announce(host.Tick(now_));
      }
    }
  }

  void Announce(const std::optional<HostRecord>& aRecord)
  {
    if (aRecord) {
      announced_.push_back(*aRecord);
      for (auto& [id, watcher] : watchers_) {
        if (reaches_(aRecord->id_.value_, id.value_)) {
          Feed(id, HostRecordsChanged{ { *aRecord } });
        }
      }
    }
  }

  Announcer& Host(std::uint64_t aId) { return hosts_.at(HostId{ aId }); }
  HealthWatcher& Watcher(std::uint64_t aId)
  {
    return watchers_.at(NodeId{ aId });
  }
  void Feed(NodeId aWatcher, const HealthEvent& aEvent)
  {
    for (const auto& action : watchers_.at(aWatcher).On(now_, aEvent)) {
      if (const auto* send = std::get_if<HealthSend>(&action)) {
        Carry(aWatcher, *send);
      } else {
        Declare(aWatcher, std::get<HostDeclaredGone>(action).record_);
      }
    }
  }

  TimePoint now_{ std::chrono::hours(1) };
  std::set<HostId> dead_;          ///< Hosts that do not answer.
  std::map<HostId, int> declared_; ///< Number of versions declared gone.
  std::map<HostId, TimePoint> declaredAt_;
  std::vector<HostRecord> announced_;
  std::map<NodeId, HealthWatcher> watchers_;

private:
  void Carry(NodeId aFrom, const HealthSend& aSend)
  {
    if (!reaches_(aFrom.value_, aSend.to_.value_)) {
      return;
    }
    if (watchers_.contains(aSend.to_)) {
      Feed(aSend.to_, MessageReceived{ aFrom, aSend.message_ });
      return;
    }
    const auto* probe = std::get_if<Probe>(&aSend.message_);
    const HostId host{ aSend.to_.value_ };
    if (probe != nullptr && !dead_.contains(host) &&
        reaches_(aSend.to_.value_, aFrom.value_)) {
      Feed(aFrom, MessageReceived{ aSend.to_, ProbeAnswer{ probe->token_ } });
    }
  }

  void Declare(NodeId aBy, const HostRecord& aRecord)
  {
    const auto version = std::pair{ aRecord.id_, aRecord.sequence_ };
    if (versions_.insert(version).second) {
      ++declared_[aRecord.id_];
      declaredAt_[aRecord.id_] = now_;
    }
    for (auto& [id, watcher] : watchers_) {
      if (id != aBy && reaches_(aBy.value_, id.value_)) {
        Feed(id, HostRecordsChanged{ { aRecord } });
      }
    }
    auto& host = hosts_.at(aRecord.id_);
    if (!dead_.contains(aRecord.id_) &&
        reaches_(aBy.value_, aRecord.id_.value_)) {
      Announce(host.Seen(now_, aRecord));
    }
  }

  void HearDataCentres(NodeId aWatcher)
  {
    for (const auto& [other, watcher] : watchers_) {
      if (other != aWatcher && reaches_(other.value_, aWatcher.value_)) {
        Feed(aWatcher, DataCentreContact{ Home(other.value_) });
      }
    }
  }

  std::size_t dataCentres_;
  std::map<HostId, Announcer> hosts_;
  std::set<std::pair<HostId, std::uint64_t>> versions_;
};

TEST(HealthWatcher, DeclaresADeadHostOnceAndSoon)
{
  Ward ward(12, 60, 3);
  ward.RunFor(std::chrono::seconds(30));
  EXPECT_TRUE(ward.declared_.empty());
  const auto diedAt = ward.now_;
  const HostId host{ kFirstHost + 7 };
  ward.dead_.insert(host);
  ward.RunFor(std::chrono::seconds(60));
  ASSERT_EQ(ward.declared_.size(), 1U);
  EXPECT_EQ(ward.declared_[host], 1);
  EXPECT_LE(ward.declaredAt_[host] - diedAt, std::chrono::seconds(20));
}

TEST(HealthWatcher, HoldsBackWhenADataCentreIsCutOff)
{
  Ward ward(12, 60, 3);
  ward.RunFor(std::chrono::seconds(30));
  ward.reaches_ = [&ward](std::uint64_t aFrom, std::uint64_t aTo) {
    return (ward.Home(aFrom).value_ == 1) == (ward.Home(aTo).value_ == 1);
  };
  ward.RunFor(std::chrono::minutes(62));
  EXPECT_TRUE(ward.declared_.empty());
  ward.reaches_ = [](std::uint64_t, std::uint64_t) { return true; };
  ward.RunFor(std::chrono::seconds(30));
  EXPECT_TRUE(ward.declared_.empty());
  for (auto& [id, watcher] : ward.watchers_) {
    const auto dump = watcher.Dump(ward.now_);
    EXPECT_EQ(dump.byJudgement_[0], dump.watched_);
  }
}

TEST(HealthWatcher, IgnoresOneObserverThatIsCutOff)
{
  Ward ward(12, 60, 3);
  for (const bool oneWay : { true, false }) {
    ward.reaches_ = [oneWay](std::uint64_t aFrom, std::uint64_t aTo) {
      return aTo != 1 && (oneWay || aFrom != 1);
    };
    ward.RunFor(std::chrono::minutes(5));
    EXPECT_TRUE(ward.declared_.empty()) << oneWay;
  }
}

TEST(HealthWatcher, SparesAStartingHostUntilItsGraceEnds)
{
  Ward ward(12, 9, 3);
  HostRecord record;
  record.id_ = HostId{ kFirstHost };
  record.incarnation_ = Incarnation{ 2 };
  record.sequence_ = 1;
  record.service_ = ServiceId{ 1 };
  record.dataCentre_ = ward.Home(kFirstHost);
  record.state_ = HostState::Starting;
  ward.Announce(record);
  ward.dead_.insert(record.id_);
  ward.RunFor(std::chrono::minutes(9));
  EXPECT_TRUE(ward.declared_.empty());
  ward.RunFor(std::chrono::minutes(2));
  EXPECT_EQ(ward.declared_.size(), 1U);
}

TEST(HealthWatcher, DampsAHostThatComesAndGoes)
{
  Ward ward(12, 60, 3);
  const HostId host{ kFirstHost + 3 };
  for (int minute = 0; minute < 30; ++minute) {
    ward.dead_.insert(host);
    ward.RunFor(std::chrono::seconds(30));
    ward.dead_.erase(host);
    ward.Announce(ward.Host(host.value_).Seen(ward.now_, [&ward, host] {
      auto record = ward.Host(host.value_).Record();
      record.state_ = HostState::Gone;
      return record;
    }()));
    ward.RunFor(std::chrono::seconds(30));
  }
  EXPECT_EQ(ward.declared_.size(), 1U);
  EXPECT_GE(ward.declared_[host], 3);
  EXPECT_LE(ward.declared_[host], 12);
}

TEST(HealthWatcher, JudgesByResultsWhenProbesAreAnsweredAllTheSame)
{
  Ward ward(5, 20, 1);
  const HostId host{ kFirstHost };
  for (int second = 0; second < 20; ++second) {
    for (std::uint64_t watcher = 1; watcher <= 5; ++watcher) {
      ward.Feed(NodeId{ watcher }, HostResultObserved{ host, false });
    }
    ward.RunFor(std::chrono::seconds(1));
  }
  EXPECT_GE(ward.declared_[host], 1);
  EXPECT_EQ(ward.declared_.size(), 1U);
  EXPECT_FALSE(ward.announced_.empty());
}

} // namespace
} // namespace cornelshore::membership
