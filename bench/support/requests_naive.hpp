#ifndef CORNELSHORE_BENCH_SUPPORT_REQUESTS_NAIVE_HPP
#define CORNELSHORE_BENCH_SUPPORT_REQUESTS_NAIVE_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <cornelshore/core/random.hpp>

#include "requests_ports.hpp"

namespace cornelshore::bench {

/** @brief Runs whatever it gets; keeps nothing of what it ran. */
class NaiveAgent
{
public:
  std::vector<request::Action> On(request::Event aEvent)
  {
    std::vector<request::Action> actions;
    if (auto* received = std::get_if<request::Received>(&aEvent)) {
      Take(std::move(received->message_), actions);
    } else if (auto* started = std::get_if<request::RunStarted>(&aEvent)) {
      Start(started->run_, actions);
    } else if (auto* ended = std::get_if<request::UpstreamFinished>(&aEvent)) {
      Finish(ended->run_, ended->answer_, actions);
    } else if (auto* refused = std::get_if<request::RunRefused>(&aEvent)) {
      Fail(refused->run_, actions);
    } else if (auto* shed = std::get_if<request::UpstreamShed>(&aEvent)) {
      Fail(shed->run_, actions);
    } else if (auto* lost = std::get_if<request::UpstreamLost>(&aEvent)) {
      Fail(lost->run_, actions);
    }
    return actions;
  }

private:
  static constexpr std::size_t kPartBytes = 1'100;

  void Take(request::Message aMessage, std::vector<request::Action>& aActions)
  {
    if (auto* submit = std::get_if<request::Submit>(&aMessage)) {
      const request::RunId run{ ++last_ };
      aActions.emplace_back(request::Offer{ run, submit->work_, {} });
      runs_.emplace(run, std::move(*submit));
    } else if (auto* cancel = std::get_if<request::Cancel>(&aMessage)) {
      for (const auto& [run, held] : std::map(runs_)) {
        if (held.key_ == cancel->key_) {
          aActions.emplace_back(request::CancelRun{ run });
          Fail(run, aActions);
        }
      }
    }
  }

  void Start(request::RunId aRun, std::vector<request::Action>& aActions)
  {
    const auto found = runs_.find(aRun);
    if (found != runs_.end()) {
      const auto& submit = found->second;
      aActions.emplace_back(request::StartRun{
        aRun, submit.key_.id_, submit.work_, submit.timeLeft_, submit.body_ });
    }
  }

  void Finish(request::RunId aRun,
              const std::string& aAnswer,
              std::vector<request::Action>& aActions)
  {
    const auto found = runs_.find(aRun);
    if (found == runs_.end()) {
      return;
    }
    aActions.emplace_back(request::ReleaseSlot{ aRun });
    const auto count = aAnswer.size() / kPartBytes + 1;
    for (std::size_t index = 0; index < count; ++index) {
      request::AnswerPart part;
      part.key_ = found->second.key_;
      part.index_ = static_cast<std::uint16_t>(index);
      part.count_ = static_cast<std::uint16_t>(count);
      part.bytes_ = aAnswer.substr(index * kPartBytes, kPartBytes);
      part.route_ = found->second.route_;
      aActions.emplace_back(
        request::SendToBalancer{ part.route_.balancer_, part });
    }
    runs_.erase(found);
  }

  void Fail(request::RunId aRun, std::vector<request::Action>& aActions)
  {
    const auto found = runs_.find(aRun);
    if (found == runs_.end()) {
      return;
    }
    aActions.emplace_back(request::ReleaseSlot{ aRun });
    request::Outcome outcome;
    outcome.key_ = found->second.key_;
    outcome.verdict_ = request::Verdict::NotRun;
    outcome.reason_ = request::Reason::Overloaded;
    outcome.route_ = found->second.route_;
    aActions.emplace_back(
      request::SendToBalancer{ outcome.route_.balancer_, outcome });
    runs_.erase(found);
  }

  std::uint64_t last_{};
  std::map<request::RunId, request::Submit> runs_;
};

/** @brief Tries another host after a failure or a timeout, thrice at most. */
class NaiveProxy
{
public:
  explicit NaiveProxy(NodeId aSelf)
    : self_(aSelf)
  {
  }

  BalancerPort::Actions FromCaller(TimePoint aNow,
                                   const Address& aCaller,
                                   request::Message aMessage,
                                   BalancerPort::Hosts aHosts)
  {
    BalancerPort::Actions actions;
    if (auto* submit = std::get_if<request::Submit>(&aMessage)) {
      const auto id = submit->key_.id_;
      submit->route_ = { aCaller, self_ };
      const auto [found, fresh] = pending_.try_emplace(id);
      found->second.submit_ = std::move(*submit);
      if (fresh) {
        Try(aNow, found->second, aHosts, actions);
      }
    } else if (auto* cancel = std::get_if<request::Cancel>(&aMessage)) {
      const auto found = pending_.find(cancel->key_.id_);
      if (found != pending_.end()) {
        cancel->route_ = { aCaller, self_ };
        actions.emplace_back(request::SendToHost{ found->second.at_, *cancel });
      }
    }
    return actions;
  }

  BalancerPort::Actions FromHost(TimePoint aNow,
                                 request::Message aMessage,
                                 BalancerPort::Hosts aHosts)
  {
    BalancerPort::Actions actions;
    if (auto* part = std::get_if<request::AnswerPart>(&aMessage)) {
      pending_.erase(part->key_.id_);
      actions.emplace_back(
        request::SendToCaller{ part->route_.caller_, std::move(*part) });
    } else if (auto* outcome = std::get_if<request::Outcome>(&aMessage)) {
      const auto found = pending_.find(outcome->key_.id_);
      if (found != pending_.end()) {
        Try(aNow, found->second, aHosts, actions);
      }
    }
    return actions;
  }

  BalancerPort::Actions Tick(TimePoint aNow, BalancerPort::Hosts aHosts)
  {
    BalancerPort::Actions actions;
    std::vector<RequestId> due;
    for (const auto& [id, pending] : pending_) {
      if (pending.due_ <= aNow) {
        due.push_back(id);
      }
    }
    for (const auto id : due) {
      Try(aNow, pending_.at(id), aHosts, actions);
    }
    return actions;
  }

  [[nodiscard]] std::optional<TimePoint> NextTimer() const
  {
    std::optional<TimePoint> next;
    for (const auto& [id, pending] : pending_) {
      next = next ? std::min(*next, pending.due_) : pending.due_;
    }
    return next;
  }

private:
  static constexpr std::uint32_t kTries = 3;
  static constexpr Duration kTimeout = std::chrono::milliseconds{ 600 };

  struct Pending
  {
    request::Submit submit_;
    std::uint32_t tries_{};
    HostId at_;
    TimePoint due_;
  };

  void Try(TimePoint aNow,
           Pending& aPending,
           BalancerPort::Hosts aHosts,
           BalancerPort::Actions& aActions)
  {
    const auto& submit = aPending.submit_;
    const auto id = submit.key_.id_;
    if (aPending.tries_ == kTries) {
      request::Outcome outcome;
      outcome.key_ = submit.key_;
      outcome.verdict_ = request::Verdict::NotRun;
      outcome.reason_ = request::Reason::HomeLost;
      const auto caller = submit.route_.caller_;
      aActions.emplace_back(request::SendToCaller{ caller, outcome });
      pending_.erase(id);
      return;
    }
    aPending.at_ =
      request::PickHome(id, submit.work_.service_, aHosts, aPending.tries_);
    ++aPending.tries_;
    aPending.due_ = aNow + kTimeout;
    if (aPending.at_.value_ != 0) {
      aActions.emplace_back(request::SendToHost{ aPending.at_, submit });
    }
  }

  NodeId self_;
  std::map<RequestId, Pending> pending_;
};

/** @brief Resends on a timeout; joins parts by their place alone. */
class NaiveCaller
{
public:
  explicit NaiveCaller(request::CallerSettings aSettings)
    : settings_(std::move(aSettings))
    , random_(settings_.seed_)
  {
  }

  CallerPort::Actions Start(TimePoint aNow, request::Submission aSubmission)
  {
    CallerPort::Actions actions;
    const auto id = aSubmission.id_;
    open_[id].submission_ = std::move(aSubmission);
    actions.emplace_back(request::Bound{ { id, request::Ticket{} }, false });
    Send(aNow, open_[id], actions);
    return actions;
  }

  CallerPort::Actions Stop(RequestId aId)
  {
    CallerPort::Actions actions;
    if (open_.contains(aId)) {
      request::Cancel cancel;
      cancel.key_.id_ = aId;
      actions.emplace_back(request::SendToAddress{ Balancer(), cancel });
    }
    return actions;
  }

  CallerPort::Actions On(request::Message aMessage)
  {
    CallerPort::Actions actions;
    if (auto* part = std::get_if<request::AnswerPart>(&aMessage)) {
      Take(std::move(*part), actions);
    } else if (auto* outcome = std::get_if<request::Outcome>(&aMessage)) {
      request::Done done;
      done.verdict_ = outcome->verdict_;
      done.reason_ = outcome->reason_;
      Finish(outcome->key_.id_, std::move(done), actions);
    }
    return actions;
  }

  CallerPort::Actions Tick(TimePoint aNow)
  {
    CallerPort::Actions actions;
    std::vector<RequestId> due;
    for (const auto& [id, entry] : open_) {
      if (entry.due_ <= aNow) {
        due.push_back(id);
      }
    }
    for (const auto id : due) {
      if (open_.at(id).submission_.deadline_ <= aNow) {
        request::Done done;
        done.reason_ = request::Reason::NoAnswer;
        Finish(id, std::move(done), actions);
      } else {
        Send(aNow, open_.at(id), actions);
      }
    }
    return actions;
  }

  [[nodiscard]] std::optional<TimePoint> NextTimer() const
  {
    std::optional<TimePoint> next;
    for (const auto& [id, entry] : open_) {
      next = next ? std::min(*next, entry.due_) : entry.due_;
    }
    return next;
  }

private:
  static constexpr Duration kTimeout = std::chrono::milliseconds{ 800 };

  struct Entry
  {
    request::Submission submission_;
    std::vector<std::optional<std::string>> parts_;
    TimePoint due_;
  };

  [[nodiscard]] Address Balancer()
  {
    return settings_.balancers_[random_.Below(settings_.balancers_.size())];
  }

  void Send(TimePoint aNow, Entry& aEntry, CallerPort::Actions& aActions)
  {
    const auto& submission = aEntry.submission_;
    request::Submit submit;
    submit.key_.id_ = submission.id_;
    submit.work_ = { submission.service_, submission.class_, 0 };
    submit.timeLeft_ = submission.deadline_ - aNow;
    submit.body_ = submission.body_;
    aActions.emplace_back(request::SendToAddress{ Balancer(), submit });
    aEntry.due_ = std::min(aNow + kTimeout, submission.deadline_);
  }

  void Take(request::AnswerPart aPart, CallerPort::Actions& aActions)
  {
    const auto found = open_.find(aPart.key_.id_);
    if (found == open_.end()) {
      return;
    }
    auto& parts = found->second.parts_;
    parts.resize(aPart.count_);
    if (aPart.index_ < parts.size()) {
      parts[aPart.index_] = std::move(aPart.bytes_);
    }
    request::Done done;
    done.verdict_ = request::Verdict::Answered;
    for (const auto& part : parts) {
      if (!part) {
        return;
      }
      done.answer_ += *part;
    }
    Finish(found->first, std::move(done), aActions);
  }

  void Finish(RequestId aId, request::Done aDone, CallerPort::Actions& aActions)
  {
    if (open_.erase(aId) != 0) {
      aDone.id_ = aId;
      aActions.emplace_back(std::move(aDone));
    }
  }

  request::CallerSettings settings_;
  Random random_;
  std::map<RequestId, Entry> open_;
};

/** @brief The retrying proxy, its agents and callers. */
inline Ports
NaivePorts()
{
  Ports ports;
  ports.agent_ = [](const request::AgentSettings&) {
    auto agent = std::make_shared<NaiveAgent>();
    return AgentPort{
      [agent](TimePoint, request::Event aEvent) {
        return agent->On(std::move(aEvent));
      },
      [] { return std::optional<TimePoint>{}; },
    };
  };
  ports.balancer_ = [](NodeId aSelf) {
    auto proxy = std::make_shared<NaiveProxy>(aSelf);
    return BalancerPort{
      [proxy](TimePoint aNow,
              const Address& aCaller,
              request::Message aMessage,
              BalancerPort::Hosts aHosts) {
        return proxy->FromCaller(aNow, aCaller, std::move(aMessage), aHosts);
      },
      [proxy](
        TimePoint aNow, request::Message aMessage, BalancerPort::Hosts aHosts) {
        return proxy->FromHost(aNow, std::move(aMessage), aHosts);
      },
      [proxy](TimePoint aNow, BalancerPort::Hosts aHosts) {
        return proxy->Tick(aNow, aHosts);
      },
      [proxy] { return proxy->NextTimer(); },
    };
  };
  ports.caller_ = [](request::CallerSettings aSettings) {
    auto caller = std::make_shared<NaiveCaller>(std::move(aSettings));
    return CallerPort{
      [caller](TimePoint aNow, request::Submission aSubmission) {
        return caller->Start(aNow, std::move(aSubmission));
      },
      [caller](TimePoint, RequestId aId) { return caller->Stop(aId); },
      [caller](TimePoint, request::Message aMessage) {
        return caller->On(std::move(aMessage));
      },
      [caller](TimePoint aNow) { return caller->Tick(aNow); },
      [caller] { return caller->NextTimer(); },
    };
  };
  return ports;
}

} // namespace cornelshore::bench

#endif
