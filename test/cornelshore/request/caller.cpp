#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cornelshore/core/hash.hpp>
#include <cornelshore/request/answer.hpp>
#include <cornelshore/request/balancer.hpp>
#include <cornelshore/request/caller.hpp>
#include <cornelshore/request/retry_budget.hpp>

namespace cornelshore::request {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{ 1'000s };
constexpr RequestId kId{ 1, 2 };
constexpr Ticket kFirst{ { { 1 }, { 1 }, { 5 } }, {} };
constexpr Ticket kSecond{ { { 2 }, { 1 }, { 6 } }, {} };

Caller
NewCaller()
{
  CallerSettings settings;
  settings.balancers_ = { MakeIpv4(0xC6336401U, 80) };
  return *CallerBuilder().With(settings).Build();
}

std::vector<CallerAction>
Start(Caller& aCaller)
{
  Submission submission;
  submission.id_ = kId;
  submission.deadline_ = kStart + 5s;
  return *aCaller.Start(kStart, submission);
}

TicketReply
Granted(const Ticket& aTicket, bool aRepeatable = false)
{
  TicketReply reply;
  reply.id_ = kId;
  reply.ticket_ = aTicket;
  reply.repeatable_ = aRepeatable;
  return reply;
}

Outcome
OutcomeOf(const Ticket& aTicket, Verdict aVerdict, Reason aReason)
{
  return { { kId, aTicket }, aVerdict, aReason, {}, {} };
}

template<typename Kind>
std::optional<Kind>
Find(const std::vector<CallerAction>& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* found = std::get_if<Kind>(&action)) {
      return *found;
    }
  }
  return std::nullopt;
}

/** Splits the answer of one attempt into parts. */
std::vector<AnswerPart>
PartsOf(const std::string& aAnswer, std::uint32_t aAttempt, std::size_t aSize)
{
  std::vector<AnswerPart> parts;
  const auto count = aAnswer.size() / aSize + 1;
  for (std::size_t index = 0; index < count; ++index) {
    parts.push_back({ { kId, kFirst },
                      aAttempt,
                      static_cast<std::uint16_t>(index),
                      static_cast<std::uint16_t>(count),
                      static_cast<std::uint32_t>(aAnswer.size()),
                      HashText(aAnswer),
                      aAnswer.substr(index * aSize, aSize),
                      {} });
  }
  return parts;
}

RC_GTEST_PROP(AnswerAssembly, GivesAWholeAnswerOfOneAttemptOrNone, ())
{
  std::vector<AnswerPart> flight;
  std::vector<std::string> answers;
  for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
    const auto size = *rc::gen::inRange<std::size_t>(0, 40);
    answers.emplace_back(size, static_cast<char>('a' + attempt));
    for (const auto& part : PartsOf(answers.back(), attempt, 7)) {
      for (auto copies = *rc::gen::inRange(0, 3); copies > 0; --copies) {
        const auto place = *rc::gen::inRange<std::size_t>(0, flight.size() + 1);
        flight.insert(flight.begin() + static_cast<std::ptrdiff_t>(place),
                      part);
      }
    }
  }
  if (!flight.empty()) {
    flight.front().bytes_ += *rc::gen::arbitrary<bool>() ? "" : "x";
  }
  AnswerAssembly assembly;
  for (auto& part : flight) {
    if (assembly.Take(std::move(part), 100) == PartResult::Complete) {
      const auto whole = assembly.Release();
      RC_ASSERT(std::find(answers.begin(), answers.end(), whole) !=
                answers.end());
    }
  }
}

TEST(Caller, BindsAnIdToOneTicketUntilItsOutcomeIsNotRun)
{
  auto caller = NewCaller();
  Start(caller);
  EXPECT_EQ(Find<Bound>(caller.On(kStart, Granted(kFirst)))->key_.ticket_,
            kFirst);
  EXPECT_TRUE(caller.On(kStart, Granted(kSecond)).empty());
  const auto lost = OutcomeOf(kFirst, Verdict::NotRun, Reason::HomeLost);
  EXPECT_FALSE(Find<Done>(caller.On(kStart, lost)));
  EXPECT_TRUE(caller.On(kStart, Granted(kFirst)).empty());
  EXPECT_EQ(Find<Bound>(caller.On(kStart, Granted(kSecond)))->key_.ticket_,
            kSecond);
  EXPECT_TRUE(caller.On(kStart, lost).empty());
  const auto unknown =
    OutcomeOf(kSecond, Verdict::Unknown, Reason::UpstreamLost);
  const auto done = Find<Done>(caller.On(kStart, unknown));
  EXPECT_EQ(done->verdict_, Verdict::Unknown);
  EXPECT_TRUE(caller.On(kStart, unknown).empty());
  EXPECT_FALSE(caller.NextTimer());
}

TEST(Caller, NeverTellsNotRunOnceAnEarlierTicketMayHaveRun)
{
  auto caller = NewCaller();
  Start(caller);
  EXPECT_TRUE(Find<Bound>(caller.On(kStart, Granted(kFirst, true))));
  const auto lost = OutcomeOf(kFirst, Verdict::Unknown, Reason::HomeLost);
  EXPECT_FALSE(Find<Done>(caller.On(kStart, lost)));
  const auto bound = Find<Bound>(caller.On(kStart, Granted(kSecond, true)));
  EXPECT_TRUE(bound->mayHaveRun_);
  const auto done = Find<Done>(
    caller.On(kStart, OutcomeOf(kSecond, Verdict::NotRun, Reason::Overloaded)));
  EXPECT_EQ(done->verdict_, Verdict::Unknown);
}

TEST(Caller, TellsNotRunAtTheDeadlineOnlyWithoutATicket)
{
  auto waiting = NewCaller();
  Start(waiting);
  EXPECT_EQ(Find<Done>(waiting.Tick(kStart + 5s))->verdict_, Verdict::NotRun);
  auto bound = NewCaller();
  Start(bound);
  EXPECT_TRUE(Find<Bound>(bound.On(kStart, Granted(kFirst))));
  const auto actions = bound.Tick(kStart + 5s);
  EXPECT_EQ(Find<Done>(actions)->reason_, Reason::NoAnswer);
  EXPECT_EQ(Find<Done>(actions)->verdict_, Verdict::Unknown);
}

TEST(Balancer, RefusesTicketsOnlyAndRelaysByTheTicketAlone)
{
  auto balancer = *BalancerBuilder()
                     .WithSelf({ 1000 })
                     .WithAdmission([](TimePoint, const Work&) {
                       return std::optional(Refusal{ Reason::Overloaded, 7s });
                     })
                     .Build();
  HostRecord host;
  host.id_ = { 3 };
  host.incarnation_ = { 2 };
  host.state_ = HostState::Ready;
  auto gone = host;
  gone.id_ = { 4 };
  gone.state_ = HostState::Gone;
  const std::vector hosts{ host, gone };
  const auto relay = [&](Message aMessage) {
    return balancer
      .FromCaller(kStart, MakeIpv4(1, 2), std::move(aMessage), hosts)
      .front();
  };
  const auto refused = std::get<SendToCaller>(relay(TicketRequest{}));
  EXPECT_EQ(std::get<TicketReply>(refused.message_).retryAfter_, 7s);
  Submit submit;
  submit.key_.ticket_ = { { { 3 }, { 2 }, {} }, { { 4 }, { 1 }, {} } };
  EXPECT_EQ(std::get<SendToHost>(relay(submit)).to_, HostId{ 3 });
  submit.key_.ticket_ = { { { 4 }, { 2 }, {} }, { { 3 }, { 2 }, {} } };
  EXPECT_EQ(std::get<SendToHost>(relay(submit)).to_, HostId{ 3 });
  submit.key_.ticket_ = { { { 5 }, { 1 }, {} }, { { 3 }, { 2 }, {} } };
  EXPECT_EQ(std::get<SendToHost>(relay(submit)).to_, HostId{ 5 });
  submit.key_.ticket_ = { { { 3 }, { 1 }, {} }, { { 4 }, { 2 }, {} } };
  const auto nobody = std::get<SendToCaller>(relay(submit));
  EXPECT_EQ(std::get<Outcome>(nobody.message_).verdict_, Verdict::Unknown);
}

TEST(RetryBudget, AllowsTheBurstAndTheShareOfLaterFirstAttempts)
{
  RetryBudget budget(100, 5);
  int retries = 0;
  for (int first = 0; first < 1'000; ++first) {
    budget.First();
    while (budget.Take()) {
      ++retries;
    }
  }
  EXPECT_EQ(retries, 5 + 99);
}

} // namespace
} // namespace cornelshore::request
