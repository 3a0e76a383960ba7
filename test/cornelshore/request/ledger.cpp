#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cornelshore/request/agent.hpp>

#include "../../../bench/support/requests_faults.hpp"

namespace cornelshore::request {
namespace {

using namespace std::chrono_literals;

/** Agent's reply to a caller: the verdict, its reason and the answer. */
struct Reply
{
  std::uint64_t id_{};
  Verdict verdict_{};
  Reason reason_{};
  std::string answer_;

  bool operator==(const Reply&) const = default;
};

/** Reference model: one map with an entry per id. */
class Ledger
{
public:
  enum class State : std::uint8_t
  {
    Queued,
    Running,
    Told,
  };

  struct Entry
  {
    State state_{ State::Queued };
    Reply reply_;
  };

  std::optional<Reply> Submit(std::uint64_t aId)
  {
    const auto [found, fresh] = entries_.try_emplace(aId);
    return Told(found->second);
  }

  std::optional<Reply> Cancel(std::uint64_t aId)
  {
    auto& entry = entries_[aId];
    if (entry.state_ == State::Queued) {
      Tell(entry, { aId, Verdict::NotRun, Reason::Cancelled, "" });
    }
    return Told(entry);
  }

  std::optional<Reply> End(std::uint64_t aId, Reply aReply)
  {
    auto& entry = entries_[aId];
    Tell(entry, std::move(aReply));
    return Told(entry);
  }

  void Start(std::uint64_t aId) { entries_[aId].state_ = State::Running; }

  std::map<std::uint64_t, Entry> entries_;

private:
  static void Tell(Entry& aEntry, Reply aReply)
  {
    aEntry.state_ = State::Told;
    aEntry.reply_ = std::move(aReply);
  }

  static std::optional<Reply> Told(const Entry& aEntry)
  {
    return aEntry.state_ == State::Told ? std::optional(aEntry.reply_)
                                        : std::nullopt;
  }
};

constexpr TimePoint kStart{ 1'000s };

AgentSettings
Settings()
{
  AgentSettings settings;
  settings.self_ = { 1 };
  settings.incarnation_ = { 1 };
  settings.service_ = { 7 };
  return settings;
}

RequestKey
KeyOf(std::uint64_t aId, TimePoint aIssued)
{
  return { { aId, 0 }, { { { 1 }, { 1 }, StampOf(aIssued) }, {} } };
}

Event
SubmitOf(std::uint64_t aId, TimePoint aIssued, std::string aBody = "body")
{
  Submit submit;
  submit.key_ = KeyOf(aId, aIssued);
  submit.work_.service_ = { 7 };
  submit.timeLeft_ = 30s;
  submit.body_ = std::move(aBody);
  submit.route_.balancer_ = { 1000 };
  return Received{ { 1000 }, { 1 }, submit };
}

Event
CancelOf(std::uint64_t aId, TimePoint aIssued)
{
  return Received{ { 1000 },
                   { 1 },
                   Cancel{ KeyOf(aId, aIssued), { {}, { 1000 } } } };
}

/** One agent without peers, and the runs that it offered and started. */
struct Driver
{
  Agent agent_{ *AgentBuilder().With(Settings()).Build() };
  std::map<std::uint64_t, RunId> offered_;
  std::map<std::uint64_t, RunId> running_;
  std::vector<RequestId> started_;

  std::optional<Reply> On(TimePoint aNow, Event aEvent, std::uint64_t aId)
  {
    std::optional<Reply> reply;
    for (const auto& action : agent_.On(aNow, std::move(aEvent))) {
      if (const auto* offer = std::get_if<Offer>(&action)) {
        offered_[aId] = offer->run_;
      } else if (const auto* start = std::get_if<StartRun>(&action)) {
        started_.push_back(start->id_);
      } else if (const auto* send = std::get_if<SendToBalancer>(&action)) {
        reply = ReplyOf(send->message_);
      }
    }
    return reply;
  }

  static Reply ReplyOf(const Message& aMessage)
  {
    if (const auto* part = std::get_if<AnswerPart>(&aMessage)) {
      return {
        part->key_.id_.high_, Verdict::Answered, Reason::None, part->bytes_
      };
    }
    const auto& outcome = std::get<Outcome>(aMessage);
    return { outcome.key_.id_.high_, outcome.verdict_, outcome.reason_, "" };
  }
};

RC_GTEST_PROP(Ledger, TellsWhatTheAgentTells, ())
{
  Driver driver;
  Ledger ledger;
  auto now = kStart;
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
    200, rc::gen::arbitrary<std::uint32_t>());
  for (const auto step : steps) {
    now += 1ms;
    const std::uint64_t id = step / 8 % 6 + 1;
    const auto run = driver.offered_[id];
    const auto found = ledger.entries_.find(id);
    const bool held = found != ledger.entries_.end();
    const bool queued = held && found->second.state_ == Ledger::State::Queued;
    const bool running = held && found->second.state_ == Ledger::State::Running;
    if (step % 8 < 2) {
      const auto reply = driver.On(now, SubmitOf(id, kStart), id);
      RC_ASSERT(reply == ledger.Submit(id));
    } else if (step % 8 == 2) {
      const auto reply = driver.On(now, CancelOf(id, kStart), id);
      RC_ASSERT(reply == ledger.Cancel(id));
    } else if (step % 8 < 5 && queued) {
      RC_ASSERT(!driver.On(now, RunStarted{ run }, id));
      ledger.Start(id);
    } else if (step % 8 == 5 && running) {
      const Reply answer{ id, Verdict::Answered, Reason::None, "answer" };
      const auto reply = driver.On(now, UpstreamFinished{ run, "answer" }, id);
      RC_ASSERT(reply == ledger.End(id, answer));
    } else if (step % 8 == 6 && running) {
      const Reply lost{ id, Verdict::Unknown, Reason::UpstreamLost, "" };
      const auto reply = driver.On(now, UpstreamLost{ run }, id);
      RC_ASSERT(reply == ledger.End(id, lost));
    } else if (step % 8 == 7 && queued) {
      const Reply refused{ id, Verdict::NotRun, Reason::Overloaded, "" };
      const auto reply = driver.On(now, RunRefused{ run }, id);
      RC_ASSERT(reply == ledger.End(id, refused));
    }
  }
  auto started = driver.started_;
  std::sort(started.begin(), started.end());
  RC_ASSERT(std::adjacent_find(started.begin(), started.end()) ==
            started.end());
}

TEST(Ledger, ForgetsNoIdThatCouldRunAgain)
{
  Driver driver;
  const auto settings = Settings();
  driver.On(kStart, SubmitOf(1, kStart), 1);
  driver.On(kStart, RunStarted{ driver.offered_[1] }, 1);
  driver.On(kStart, UpstreamFinished{ driver.offered_[1], "a" }, 1);
  const auto again =
    driver.On(kStart + settings.window_, SubmitOf(1, kStart), 1);
  EXPECT_EQ(again->answer_, "a");
  const auto unseen =
    driver.On(kStart + settings.window_, SubmitOf(2, kStart), 2);
  EXPECT_EQ(unseen->verdict_, Verdict::NotRun);
  EXPECT_EQ(unseen->reason_, Reason::TicketExpired);
  for (const std::uint64_t id : { 1, 2, 3 }) {
    const auto late =
      driver.On(kStart + settings.retention_ + 1s, SubmitOf(id, kStart), id);
    EXPECT_EQ(late->verdict_, Verdict::Unknown);
    EXPECT_EQ(late->reason_, Reason::RetentionPassed);
  }
  EXPECT_EQ(driver.started_.size(), 1U);
  EXPECT_EQ(driver.agent_.Dump(kStart).ids_, 0U);
}

TEST(Ledger, RefusesAtOnceAndForGoodWhenFull)
{
  auto settings = Settings();
  settings.idLimit_ = 2;
  Driver driver;
  driver.agent_ = *AgentBuilder().With(settings).Build();
  driver.On(kStart, SubmitOf(1, kStart), 1);
  driver.On(kStart, SubmitOf(2, kStart), 2);
  const auto full = driver.On(kStart, SubmitOf(3, kStart), 3);
  EXPECT_EQ(full->verdict_, Verdict::NotRun);
  EXPECT_EQ(full->reason_, Reason::TableFull);
  driver.On(kStart, CancelOf(1, kStart), 1);
  const auto later = kStart + settings.window_;
  driver.On(later, Tick{}, 0);
  ASSERT_LT(driver.agent_.Dump(later).ids_, 2U);
  driver.offered_.clear();
  const auto copy = driver.On(later - 1s, SubmitOf(3, kStart), 3);
  EXPECT_EQ(copy->verdict_, Verdict::NotRun);
  driver.On(later, SubmitOf(4, later), 4);
  EXPECT_EQ(driver.offered_.size(), 1U);
}

TEST(Ledger, LeavesWithATrueNotRunForTheQueuedAndFinishesTheRunning)
{
  Driver driver;
  driver.On(kStart, SubmitOf(1, kStart), 1);
  driver.On(kStart, RunStarted{ driver.offered_[1] }, 1);
  driver.On(kStart, SubmitOf(2, kStart), 2);
  const auto queued = driver.On(kStart, LeaveRequested{}, 2);
  EXPECT_EQ(queued->id_, 2U);
  EXPECT_EQ(queued->reason_, Reason::Leaving);
  EXPECT_FALSE(driver.On(kStart, RunStarted{ driver.offered_[2] }, 2));
  EXPECT_EQ(driver.On(kStart, SubmitOf(3, kStart), 3)->reason_,
            Reason::Leaving);
  const auto actions =
    driver.agent_.On(kStart, UpstreamFinished{ driver.offered_[1], "whole" });
  EXPECT_TRUE(std::holds_alternative<Drained>(actions.back()));
  EXPECT_EQ(driver.started_.size(), 1U);
}

// Guards against a request that is accepted after the stop began and is cut off
// without an answer: several tickets of one microsecond bear stamps ahead of
// the clock, and a bound of the clock alone does not cover them.
TEST(Ledger, RefusesTheTicketsOfTheLastMicrosecondOnceItLeaves)
{
  Driver driver;
  std::vector<Ticket> tickets;
  for (std::uint64_t id = 1; id <= 5; ++id) {
    TicketRequest request;
    request.id_ = { id, 0 };
    request.work_.service_ = { 7 };
    request.route_.balancer_ = { 1000 };
    for (const auto& action :
         driver.agent_.On(kStart, Received{ { 1000 }, { 1 }, request })) {
      if (const auto* send = std::get_if<SendToBalancer>(&action)) {
        tickets.push_back(std::get<TicketReply>(send->message_).ticket_);
      }
    }
  }
  ASSERT_EQ(tickets.size(), 5U);
  const auto actions = driver.agent_.On(kStart, LeaveRequested{});
  ASSERT_FALSE(actions.empty());
  EXPECT_TRUE(std::holds_alternative<Drained>(actions.back()));
  for (std::uint64_t id = 1; id <= 5; ++id) {
    Submit submit;
    submit.key_ = { { id, 0 }, tickets[id - 1] };
    submit.work_.service_ = { 7 };
    submit.timeLeft_ = 30s;
    submit.route_.balancer_ = { 1000 };
    const auto reply = driver.On(
      kStart + 1ms, Received{ { 1000 }, { 1 }, std::move(submit) }, id);
    ASSERT_TRUE(reply) << id;
    EXPECT_EQ(reply->verdict_, Verdict::NotRun) << id;
    EXPECT_EQ(reply->reason_, Reason::Leaving) << id;
  }
  EXPECT_TRUE(driver.offered_.empty());
}

TEST(Ledger, TellsAnotherSubmissionUnderTheSameIdSo)
{
  Driver driver;
  driver.On(kStart, SubmitOf(1, kStart), 1);
  const auto reused = driver.On(kStart, SubmitOf(1, kStart, "other"), 1);
  EXPECT_EQ(reused->verdict_, Verdict::Unknown);
  EXPECT_EQ(reused->reason_, Reason::IdReused);
  const auto future = driver.On(kStart, SubmitOf(2, kStart + 1s), 2);
  EXPECT_EQ(future->reason_, Reason::InvalidTicket);
}

TEST(Ledger, TellsUnknownUnderANewTicketOnceAnOldOneMayHaveRun)
{
  Driver driver;
  driver.agent_ = *AgentBuilder()
                     .With(Settings())
                     .WithRepeatable([](ClassId) { return true; })
                     .Build();
  driver.On(kStart, SubmitOf(1, kStart), 1);
  driver.On(kStart, RunStarted{ driver.offered_[1] }, 1);
  const auto lost = driver.On(kStart, UpstreamLost{ driver.offered_[1] }, 1);
  EXPECT_EQ(lost->verdict_, Verdict::Unknown);
  const auto later = kStart + 1s;
  EXPECT_FALSE(driver.On(later, SubmitOf(1, later), 1));
  EXPECT_FALSE(driver.On(later, SubmitOf(1, kStart), 1));
  const auto stopped = driver.On(later, CancelOf(1, later), 1);
  EXPECT_EQ(stopped->verdict_, Verdict::Unknown);
  const auto expired = later + Settings().window_;
  EXPECT_FALSE(driver.On(expired, SubmitOf(1, kStart), 1));
}

TEST(Schedules, KeepEveryPromiseUnderTwoFaults)
{
  bench::Findings sum;
  for (std::uint64_t seed = 1; seed <= 1'500; ++seed) {
    bench::Shape shape;
    shape.seed_ = seed;
    shape.ticketPool_ = seed % 2 * 2;
    const auto findings = bench::RunSchedule(shape, bench::ProductPorts(), 2);
    EXPECT_EQ(findings.Broken(), 0U) << "seed " << seed;
    sum += findings;
  }
  EXPECT_GT(sum.answered_, sum.requests_ * 8 / 10);
  EXPECT_GT(sum.notRun_, 0U);
  EXPECT_GT(sum.unknown_, 0U);
}

TEST(Schedules, KnowEveryOutcomeWithoutDeaths)
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    bench::Shape shape;
    shape.seed_ = seed;
    shape.loss_ = 50;
    shape.cancels_ = 0;
    const auto findings = bench::RunSchedule(shape, bench::ProductPorts(), 0);
    EXPECT_EQ(findings.Broken(), 0U) << "seed " << seed;
    EXPECT_EQ(findings.unknown_, 0U) << "seed " << seed;
  }
}

} // namespace
} // namespace cornelshore::request
