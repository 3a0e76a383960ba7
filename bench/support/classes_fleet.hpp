#ifndef CORNELSHORE_BENCH_SUPPORT_CLASSES_FLEET_HPP
#define CORNELSHORE_BENCH_SUPPORT_CLASSES_FLEET_HPP

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include <cornelshore/admission/host_health.hpp>
#include <cornelshore/admission/internal/hold_estimate.hpp>
#include <cornelshore/admission/shedder.hpp>
#include <cornelshore/core/random.hpp>

#include "bench/support/classes_hosts.hpp"
#include "bench/support/classes_scenario.hpp"

namespace cornelshore::bench {

using admission::internal::FromSeconds;
using admission::internal::Seconds;

/** @brief Seconds between samples of what runs. */
inline constexpr double kSampleSeconds = 0.01;

/** @brief Balancers and hosts of one service, driven by their own time. */
class Fleet
{
public:
  explicit Fleet(Scenario aScenario)
    : scenario_(std::move(aScenario))
    , random_(scenario_.seed_)
    , outcomes_(scenario_.demands_.size())
    , runningNow_(scenario_.demands_.size())
  {
    const auto total = scenario_.hosts_ * scenario_.slots_;
    for (std::uint32_t index = 0; index < scenario_.hosts_; ++index) {
      const admission::FleetSlotRange span{ index * scenario_.slots_,
                                            scenario_.slots_,
                                            total };
      hosts_.push_back(
        { MakeHost(scenario_.policy_, scenario_.target_, span, random_.Next()),
          TimePoint::max() });
      ids_.push_back(HostId{ index + 1 });
    }
    for (std::uint32_t index = 0; index < kBalancers; ++index) {
      balancers_.emplace_back(
        random_.Next(), scenario_.hosts_, scenario_.demands_.size());
      balancers_.back().shedder_.Configure(
        { ConfigVersion{ 1 }, { scenario_.target_ } });
      balancers_.back().health_.SetHosts({}, ids_);
    }
  }

  /** @brief Runs the scenario. */
  std::vector<ClassOutcome>& Run()
  {
    for (std::size_t index = 0; index < outcomes_.size(); ++index) {
      const auto& demand = scenario_.demands_[index];
      if (demand.rate_ > 0.0) {
        Push(FromSeconds(demand.from_), Kind::Arrival, index);
      }
    }
    Push({}, Kind::Sample, 0);
    for (std::size_t index = 0; index < balancers_.size(); ++index) {
      Push(FromSeconds(0.5), Kind::HealthTick, index);
    }
    const TimePoint end{ FromSeconds(scenario_.warmUp_ + scenario_.measure_ +
                                     kDrainSeconds) };
    while (!events_.empty() && events_.top().at_ <= end) {
      const auto event = events_.top();
      events_.pop();
      now_ = event.at_;
      Handle(event);
    }
    CloseRunning(end);
    return outcomes_;
  }

private:
  static constexpr std::size_t kBalancers = 4;
  static constexpr std::uint32_t kAttempts = 2;
  static constexpr double kDrainSeconds = 10.0;

  enum class Kind : std::uint8_t
  {
    Arrival,    ///< Of a work of a class at a balancer.
    Reach,      ///< Of a work at a host.
    Finish,     ///< Of a work at its upstream.
    Answer,     ///< Of a host, at the balancer.
    Report,     ///< Of a host's pushback, at the balancer.
    HostTimer,  ///< Of a host's admission.
    HealthTick, ///< Of a balancer.
    Return,     ///< Of a refused caller.
    Sample,     ///< Of what runs.
  };

  struct Event
  {
    TimePoint at_;
    std::uint64_t order_{};
    Kind kind_{};
    std::size_t subject_{};

    bool operator>(const Event& aOther) const
    {
      return at_ != aOther.at_ ? at_ > aOther.at_ : order_ > aOther.order_;
    }
  };

  struct Host
  {
    std::unique_ptr<HostAdmission> admission_;
    TimePoint timer_;
  };

  struct Balancer
  {
    Balancer(std::uint64_t aSeed, std::size_t aHosts, std::size_t aClasses)
      : shedder_(aSeed)
      , health_(aSeed)
      , inFlight_(aHosts)
      , classInFlight_(aClasses, std::vector<std::uint32_t>(aHosts))
      , reported_(aHosts)
    {
    }
    admission::Shedder shedder_;
    admission::HostHealth health_;
    std::vector<std::uint32_t> inFlight_;
    std::vector<std::vector<std::uint32_t>> classInFlight_;
    std::vector<std::uint32_t> reported_;
  };

  struct Item
  {
    Work work_;
    std::size_t class_{};
    std::size_t balancer_{};
    std::size_t host_{};
    std::size_t lastHost_{};
    std::uint32_t attempts_{};
    TimePoint arrivedAt_;
    TimePoint sentAt_;
    TimePoint startedAt_;
    Duration retryAfter_{};
    bool running_{};
    bool done_{};
    bool measured_{};
  };

  struct Report
  {
    std::size_t balancer_{};
    std::size_t host_{};
    admission::Pushback pushback_;
  };

  void Push(Duration aAt, Kind aKind, std::size_t aSubject)
  {
    events_.push({ TimePoint{ aAt }, ++order_, aKind, aSubject });
  }
  void PushIn(double aSeconds, Kind aKind, std::size_t aSubject)
  {
    Push(now_.time_since_epoch() + FromSeconds(aSeconds), aKind, aSubject);
  }
  double Exponential(double aMean)
  {
    return -aMean * std::log(1.0 - random_.Unit());
  }
  [[nodiscard]] bool Measured(TimePoint aAt) const
  {
    const auto at = Seconds(aAt.time_since_epoch());
    return at >= scenario_.warmUp_ &&
           at < scenario_.warmUp_ + scenario_.measure_;
  }

  void Handle(const Event& aEvent)
  {
    switch (aEvent.kind_) {
      case Kind::Arrival:
        return Arrive(aEvent.subject_);
      case Kind::Reach:
        return Reach(aEvent.subject_);
      case Kind::Finish:
        return Finish(aEvent.subject_);
      case Kind::Answer:
        return Answer(aEvent.subject_);
      case Kind::Report:
        return Hear(aEvent.subject_);
      case Kind::HostTimer:
        return OnHostTimer(aEvent.subject_);
      case Kind::HealthTick:
        balancers_[aEvent.subject_].health_.Tick(now_);
        return PushIn(0.5, Kind::HealthTick, aEvent.subject_);
      case Kind::Return:
        return Enter(aEvent.subject_);
      case Kind::Sample:
        return Sample();
    }
  }

  std::size_t NewItem(std::size_t aClass)
  {
    std::size_t index = items_.size();
    if (free_.empty()) {
      items_.emplace_back();
    } else {
      index = free_.back();
      free_.pop_back();
    }
    const auto& demand = scenario_.demands_[aClass];
    const bool heavy = random_.Unit() < demand.heavyPart_;
    const auto caller =
      heavy ? 0 : 1 + random_.Below(demand.callers_) + 1000000 * aClass;
    Item item;
    item.class_ = aClass;
    item.arrivedAt_ = now_;
    item.measured_ = Measured(now_);
    item.balancer_ = random_.Below(kBalancers);
    item.lastHost_ = hosts_.size();
    item.work_ = { RequestId{ ++order_, index },
                   scenario_.target_.classes_[aClass].id_,
                   admission::CallerId{ caller },
                   now_ + FromSeconds(demand.deadline_),
                   demand.longLived_ };
    items_[index] = item;
    return index;
  }

  void Arrive(std::size_t aClass)
  {
    const auto& demand = scenario_.demands_[aClass];
    const auto next = Exponential(1.0 / demand.rate_);
    if (Seconds(now_.time_since_epoch()) + next < demand.until_) {
      PushIn(next, Kind::Arrival, aClass);
    }
    Enter(NewItem(aClass));
  }

  /** A work comes to its balancer, for the first time or again. */
  void Enter(std::size_t aItem)
  {
    auto& item = items_[aItem];
    auto& outcome = outcomes_[item.class_];
    const bool heavy = item.work_.caller_.value_ == 0;
    outcome.offered_ += item.measured_ ? 1 : 0;
    outcome.heavyOffered_ += item.measured_ && heavy ? 1 : 0;
    CountIn(outcome.arrivals_, Seconds(now_.time_since_epoch()));
    if (scenario_.shed_ && scenario_.policy_ == Policy::Targets) {
      const auto admission = balancers_[item.balancer_].shedder_.Admit(
        now_, scenario_.target_.id_, item.work_.class_, item.work_.caller_);
      if (!admission.passed_) {
        outcome.shed_ += item.measured_ ? 1 : 0;
        return GiveUp(aItem, admission.retryAfter_);
      }
    }
    Send(aItem);
  }

  static void CountIn(std::vector<std::uint32_t>& aBins, double aAt)
  {
    const auto bin = static_cast<std::size_t>(aAt);
    if (bin >= aBins.size()) {
      aBins.resize(bin + 1);
    }
    ++aBins[bin];
  }

  /** A refused work ends, or its caller comes back later. */
  void GiveUp(std::size_t aItem, Duration aRetryAfter)
  {
    if (scenario_.retry_ == Retry::None) {
      free_.push_back(aItem);
      return;
    }
    const bool fixed = scenario_.retry_ == Retry::Fixed;
    const auto delay = fixed ? kFixedRetrySeconds : Seconds(aRetryAfter);
    auto& item = items_[aItem];
    const TimePoint back = now_ + FromSeconds(delay);
    item.attempts_ = 0;
    item.lastHost_ = hosts_.size();
    item.arrivedAt_ = back;
    item.measured_ = Measured(back);
    item.work_.id_.high_ = ++order_;
    item.work_.deadline_ =
      back + FromSeconds(scenario_.demands_[item.class_].deadline_);
    PushIn(delay, Kind::Return, aItem);
  }

  void Sample()
  {
    for (std::size_t index = 0; index < outcomes_.size(); ++index) {
      outcomes_[index].running_.push_back(runningNow_[index]);
    }
    PushIn(kSampleSeconds, Kind::Sample, 0);
  }

  std::size_t Candidate(Balancer& aBalancer, std::size_t aNot)
  {
    constexpr int kTries = 16;
    auto host = random_.Below(hosts_.size());
    for (int attempt = 0; attempt < kTries; ++attempt) {
      const bool allowed =
        !scenario_.health_ || aBalancer.health_.TryAdmit(now_, ids_[host]);
      if (host != aNot && allowed) {
        break;
      }
      host = random_.Below(hosts_.size());
    }
    return host;
  }

  std::size_t Choose(Balancer& aBalancer, std::size_t aClass, std::size_t aNot)
  {
    const auto first = Candidate(aBalancer, aNot);
    const auto second = Candidate(aBalancer, aNot);
    if (scenario_.choice_ == Choice::ReportedLoad) {
      const auto& loads = aBalancer.reported_;
      return loads[second] < loads[first] ? second : first;
    }
    const auto load = [&](std::size_t aHost) {
      return std::pair(aBalancer.classInFlight_[aClass][aHost],
                       aBalancer.inFlight_[aHost]);
    };
    return load(second) < load(first) ? second : first;
  }

  void Send(std::size_t aItem)
  {
    auto& item = items_[aItem];
    auto& balancer = balancers_[item.balancer_];
    item.host_ = Choose(balancer, item.class_, item.lastHost_);
    ++item.attempts_;
    ++balancer.inFlight_[item.host_];
    ++balancer.classInFlight_[item.class_][item.host_];
    item.sentAt_ = now_;
    PushIn(scenario_.oneWay_, Kind::Reach, aItem);
  }

  void Reach(std::size_t aItem)
  {
    const auto host = items_[aItem].host_;
    const auto offered =
      hosts_[host].admission_->Offer(now_, items_[aItem].work_);
    if (offered.outcome_ == Outcome::Started) {
      Start(aItem);
    } else if (offered.outcome_ == Outcome::Refused) {
      Turn(aItem, offered.retryAfter_);
    }
    Take(host, offered.released_);
  }

  void Take(std::size_t aHost, const std::vector<QueueRelease>& aReleased)
  {
    for (const auto& released : aReleased) {
      const auto item = static_cast<std::size_t>(released.work_.id_.low_);
      if (released.outcome_ == Outcome::Started) {
        Start(item);
      } else {
        Turn(item, released.retryAfter_);
      }
    }
    auto& host = hosts_[aHost];
    const auto next = host.admission_->NextTimer();
    if (next && *next < host.timer_) {
      host.timer_ = std::max(*next, now_);
      Push(host.timer_.time_since_epoch(), Kind::HostTimer, aHost);
    }
  }

  void OnHostTimer(std::size_t aHost)
  {
    if (hosts_[aHost].timer_ != now_) {
      return;
    }
    hosts_[aHost].timer_ = TimePoint::max();
    Take(aHost, hosts_[aHost].admission_->Tick(now_));
  }

  void Start(std::size_t aItem)
  {
    auto& item = items_[aItem];
    item.startedAt_ = now_;
    item.running_ = true;
    ++runningNow_[item.class_];
    if (item.measured_) {
      outcomes_[item.class_].waits_.push_back(Seconds(now_ - item.arrivedAt_) -
                                              scenario_.oneWay_);
    }
    const bool slow = item.host_ < scenario_.slowHosts_;
    const auto hold = Exponential(scenario_.demands_[item.class_].hold_) *
                      (slow ? scenario_.slowness_ : 1.0);
    PushIn(hold, Kind::Finish, aItem);
  }

  void CountSlotTime(const Item& aItem, TimePoint aEnd)
  {
    const TimePoint begin{ FromSeconds(scenario_.warmUp_) };
    const TimePoint end{ FromSeconds(scenario_.warmUp_ + scenario_.measure_) };
    const auto from = std::max(begin, aItem.startedAt_);
    const auto until = std::min(end, aEnd);
    outcomes_[aItem.class_].slotSeconds_ +=
      std::max(0.0, Seconds(until - from));
  }

  void Finish(std::size_t aItem)
  {
    auto& item = items_[aItem];
    CountSlotTime(item, now_);
    item.running_ = false;
    --runningNow_[item.class_];
    item.done_ = true;
    const auto host = item.host_;
    const auto released = hosts_[host].admission_->Finish(now_, item.work_.id_);
    SendAnswer(aItem);
    Take(host, released);
  }

  /** A host turns a work away. */
  void Turn(std::size_t aItem, Duration aRetryAfter)
  {
    items_[aItem].retryAfter_ = aRetryAfter;
    SendAnswer(aItem);
  }

  void SendAnswer(std::size_t aItem)
  {
    const auto& item = items_[aItem];
    auto& host = *hosts_[item.host_].admission_;
    const bool lies = item.host_ + scenario_.liars_ >= hosts_.size();
    if (scenario_.choice_ == Choice::ReportedLoad) {
      balancers_[item.balancer_].reported_[item.host_] =
        lies ? 0 : host.Load(now_);
    }
    auto pushback = host.TakePushback(now_);
    if (pushback && random_.Unit() >= scenario_.lostReports_) {
      if (lies) {
        for (auto& load : pushback->classes_) {
          load.refused_ = 0;
        }
      }
      reports_.push_back({ item.balancer_, item.host_, *pushback });
      PushIn(scenario_.oneWay_ + scenario_.lateReports_,
             Kind::Report,
             reports_.size() - 1);
    }
    PushIn(scenario_.oneWay_, Kind::Answer, aItem);
  }

  void Hear(std::size_t aReport)
  {
    const auto& report = reports_[aReport];
    balancers_[report.balancer_].shedder_.OnPushback(
      now_, ids_[report.host_], report.pushback_);
  }

  void Answer(std::size_t aItem)
  {
    auto& item = items_[aItem];
    auto& balancer = balancers_[item.balancer_];
    --balancer.inFlight_[item.host_];
    --balancer.classInFlight_[item.class_][item.host_];
    const bool late = now_ > item.work_.deadline_;
    auto result = admission::HostResult::Refused;
    if (item.done_) {
      result =
        late ? admission::HostResult::Late : admission::HostResult::Answered;
    }
    balancer.health_.OnResult(
      now_, ids_[item.host_], item.work_.class_, result, now_ - item.sentAt_);
    if (!item.done_ && item.attempts_ < kAttempts && hosts_.size() > 1) {
      item.lastHost_ = item.host_;
      return Send(aItem);
    }
    Close(aItem, late);
  }

  void Close(std::size_t aItem, bool aLate)
  {
    const auto& item = items_[aItem];
    auto& outcome = outcomes_[item.class_];
    const bool heavy = item.work_.caller_.value_ == 0;
    if (item.measured_) {
      outcome.done_ += item.done_ ? 1 : 0;
      outcome.late_ += item.done_ && aLate ? 1 : 0;
      outcome.refused_ += item.done_ ? 0 : 1;
      outcome.heavyDone_ += item.done_ && heavy ? 1 : 0;
    }
    if (item.done_) {
      free_.push_back(aItem);
    } else {
      GiveUp(aItem, item.retryAfter_);
    }
  }

  void CloseRunning(TimePoint aEnd)
  {
    for (const auto& item : items_) {
      if (item.running_) {
        CountSlotTime(item, aEnd);
      }
    }
  }

  Scenario scenario_;
  Random random_;
  std::vector<ClassOutcome> outcomes_;
  std::vector<std::uint32_t> runningNow_;
  std::vector<Host> hosts_;
  std::vector<HostId> ids_;
  std::vector<Balancer> balancers_;
  std::vector<Item> items_;
  std::vector<std::size_t> free_;
  std::vector<Report> reports_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_{};
  TimePoint now_{};
};

} // namespace cornelshore::bench

#endif
