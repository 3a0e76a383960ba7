// Stand-in for callers: holds flows open, submits requests, and counts what
// became of them. Ends on SIGTERM, then prints figures.
#include <utility>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <unistd.h>

#include <cornelshore/core/random.hpp>
#include <cornelshore/core/target.hpp>
#include <cornelshore/net/udp_socket.hpp>
#include <cornelshore/request/caller.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/request_codec.hpp>
#include <cornelshore/wire/writer.hpp>

namespace {

namespace asio = boost::asio;
namespace request = cornelshore::request;
using cornelshore::Address;
using cornelshore::Duration;
using cornelshore::TimePoint;
using cornelshore::net::UdpSocket;

constexpr std::chrono::milliseconds kFlowPeriod{ 100 };
constexpr std::chrono::seconds kFlowSilence{ 5 };
constexpr std::chrono::seconds kDeadline{ 10 };

struct Options
{
  std::vector<Address> flowsAt_;
  int flows_{ 20 };
  Address requestsAt_;
  std::string service_;
  std::string class_;
  int requestsPerSecond_{ 50 };
  std::uint64_t seed_{ 1 };
};

TimePoint
Now()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

/** One flow: sends a numbered packet each period and checks the answers. */
class Flow
{
public:
  Flow(asio::io_context& aContext, const Address& aTo, int aNumber)
    : to_(aTo)
    , number_(aNumber)
    , socket_(*UdpSocket::Open(aContext, cornelshore::MakeIpv4(0x7F000001U, 0)))
    , lastAnswer_(Now())
  {
    socket_->StartReceiving([this](const Address&, std::string_view aBytes) {
      OnAnswer(std::string(aBytes));
    });
  }

  void SendNext()
  {
    socket_->Send(to_,
                  "flow " + std::to_string(number_) + " packet " +
                    std::to_string(sent_++));
  }

  [[nodiscard]] bool Open() const { return !upstream_.empty(); }
  [[nodiscard]] bool Broken() const { return broken_; }
  [[nodiscard]] bool Silent() const
  {
    return Now() - lastAnswer_ > kFlowSilence;
  }
  [[nodiscard]] int Sent() const { return sent_; }
  [[nodiscard]] int Answered() const { return answered_; }
  [[nodiscard]] const std::string& Upstream() const { return upstream_; }

private:
  void OnAnswer(const std::string& aAnswer)
  {
    const auto space = aAnswer.find(' ');
    const auto upstream = aAnswer.substr(0, space);
    if (aAnswer == "RESET") {
      broken_ |= Open();
      return;
    }
    const auto expected = "flow " + std::to_string(number_) + " ";
    if (space == std::string::npos ||
        aAnswer.compare(space + 1, expected.size(), expected) != 0) {
      broken_ = true;
      return;
    }
    if (!Open()) {
      upstream_ = upstream;
    }
    broken_ |= upstream != upstream_;
    lastAnswer_ = Now();
    ++answered_;
  }

  Address to_;
  int number_;
  std::unique_ptr<UdpSocket> socket_;
  TimePoint lastAnswer_;
  std::string upstream_;
  int sent_{};
  int answered_{};
  bool broken_{};
};

/** Submits requests at a steady rate; each has exactly one outcome. */
class Requests
{
public:
  Requests(asio::io_context& aContext, const Options& aOptions)
    : options_(aOptions)
    , random_(aOptions.seed_ ^ static_cast<std::uint64_t>(::getpid()))
    , socket_(*UdpSocket::Open(aContext, cornelshore::MakeIpv4(0x7F000001U, 0)))
  {
    request::CallerSettings settings;
    settings.balancers_ = { aOptions.requestsAt_ };
    settings.identity_ = random_.Next();
    settings.seed_ = random_.Next();
    caller_ = std::make_unique<request::Caller>(
      *request::CallerBuilder().With(settings).Build());
    socket_->StartReceiving([this](const Address&, std::string_view aBytes) {
      cornelshore::wire::Reader reader(aBytes);
      auto message = request::Decode(reader);
      if (message.ok()) {
        Carry(caller_->On(Now(), *std::move(message)));
      }
    });
  }

  void Submit()
  {
    request::Submission submission;
    submission.id_ = { random_.Next(), random_.Next() };
    submission.service_ = cornelshore::ServiceIdOf(options_.service_);
    submission.class_ =
      cornelshore::ClassIdOf(options_.service_, options_.class_);
    submission.deadline_ = Now() + kDeadline;
    submission.body_ = "submission " + std::to_string(submitted_);
    bodies_[submission.id_] = submission.body_;
    auto actions = caller_->Start(Now(), std::move(submission));
    if (actions.ok()) {
      ++submitted_;
      Carry(*std::move(actions));
    }
  }

  void Tick() { Carry(caller_->Tick(Now())); }

  [[nodiscard]] bool Settled() const { return bodies_.empty(); }

  void Print() const
  {
    std::printf("requests_submitted=%d\n", submitted_);
    for (const auto& [outcome, count] : outcomes_) {
      std::printf("requests_%s=%d\n", outcome.c_str(), count);
    }
    std::printf("requests_without_outcome=%zu\n", bodies_.size());
    std::printf("answers_wrong=%d\n", wrong_);
  }

  [[nodiscard]] bool Good() const { return wrong_ == 0 && bodies_.empty(); }

private:
  void Carry(std::vector<request::CallerAction> aActions)
  {
    for (auto& action : aActions) {
      if (const auto* send = std::get_if<request::SendToAddress>(&action)) {
        std::string bytes;
        cornelshore::wire::Writer writer(bytes);
        request::Encode(writer, send->message_);
        socket_->Send(send->to_, bytes);
      } else if (const auto* done = std::get_if<request::Done>(&action)) {
        Finish(*done);
      }
    }
  }

  void Finish(const request::Done& aDone)
  {
    auto name = std::string(NameIn(request::kVerdictNames, aDone.verdict_));
    if (aDone.verdict_ != request::Verdict::Answered) {
      name += "_" + std::string(NameIn(request::kReasonNames, aDone.reason_));
    } else if (aDone.answer_ != bodies_[aDone.id_]) {
      ++wrong_;
    }
    ++outcomes_[name];
    bodies_.erase(aDone.id_);
  }

  const Options& options_;
  cornelshore::Random random_;
  std::unique_ptr<UdpSocket> socket_;
  std::unique_ptr<request::Caller> caller_;
  std::map<cornelshore::RequestId, std::string> bodies_;
  std::map<std::string, int> outcomes_;
  int submitted_{};
  int wrong_{};
};

bool
Take(Options& aOptions, const std::string& aKey, const std::string& aValue)
{
  const auto parsed = cornelshore::ParseAddress(aValue);
  if (aKey == "--flows-at") {
    aOptions.flowsAt_.push_back(parsed.value_or(Address{}));
    return parsed.ok();
  }
  if (aKey == "--requests-at") {
    aOptions.requestsAt_ = parsed.value_or(Address{});
    return parsed.ok();
  }
  const auto number = std::atoi(aValue.c_str());
  if (aKey == "--flows") {
    aOptions.flows_ = number;
  } else if (aKey == "--rate") {
    aOptions.requestsPerSecond_ = number;
  } else if (aKey == "--seed") {
    aOptions.seed_ = static_cast<std::uint64_t>(number);
  } else if (aKey == "--service") {
    aOptions.service_ = aValue;
  } else if (aKey == "--class") {
    aOptions.class_ = aValue;
  } else {
    return false;
  }
  return true;
}

int
PrintFlows(const std::vector<std::unique_ptr<Flow>>& aFlows)
{
  int open = 0;
  int broken = 0;
  int silent = 0;
  int sent = 0;
  int answered = 0;
  std::map<std::string, int> upstreams;
  for (const auto& flow : aFlows) {
    open += flow->Open() ? 1 : 0;
    broken += flow->Broken() ? 1 : 0;
    silent += flow->Silent() ? 1 : 0;
    sent += flow->Sent();
    answered += flow->Answered();
    ++upstreams[flow->Upstream()];
  }
  std::printf("flows=%zu\nflows_opened=%d\nflows_broken=%d\nflows_silent=%d\n"
              "packets_sent=%d\npackets_answered=%d\n",
              aFlows.size(),
              open,
              broken,
              silent,
              sent,
              answered);
  for (const auto& [upstream, count] : upstreams) {
    std::printf("flows_at_%s=%d\n",
                upstream.empty() ? "nobody" : upstream.c_str(),
                count);
  }
  return broken + silent + (static_cast<int>(aFlows.size()) - open);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Options options;
  for (int index = 1; index + 1 < aCount; index += 2) {
    if (!Take(options, aArguments[index], aArguments[index + 1])) {
      std::fprintf(stderr, "bad option %s\n", aArguments[index]);
      return 2;
    }
  }
  asio::io_context context;
  std::vector<std::unique_ptr<Flow>> flows;
  for (int index = 0; index < options.flows_ && !options.flowsAt_.empty();
       ++index) {
    const auto at = static_cast<std::size_t>(index) % options.flowsAt_.size();
    flows.push_back(
      std::make_unique<Flow>(context, options.flowsAt_[at], index));
  }
  std::unique_ptr<Requests> requests;
  if (options.requestsAt_.port_ != 0) {
    requests = std::make_unique<Requests>(context, options);
  }
  bool ending = false;
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait(
    [&](const boost::system::error_code&, int) { ending = true; });
  auto flowAt = Now();
  auto requestAt = Now();
  const Duration requestPeriod =
    std::chrono::microseconds(1'000'000 / options.requestsPerSecond_);
  auto endBy = TimePoint::max();
  while (!ending || (requests && !requests->Settled() && Now() < endBy)) {
    context.run_for(std::chrono::milliseconds(5));
    context.restart();
    const auto now = Now();
    if (ending && endBy == TimePoint::max()) {
      endBy = now + 2 * kDeadline;
    }
    if (flowAt <= now) {
      flowAt = now + kFlowPeriod;
      for (const auto& flow : flows) {
        flow->SendNext();
      }
    }
    while (requests && !ending && requestAt <= now) {
      requestAt += requestPeriod;
      requests->Submit();
    }
    if (requests) {
      requests->Tick();
    }
  }
  const auto bad = PrintFlows(flows);
  if (requests) {
    requests->Print();
  }
  return bad == 0 && (!requests || requests->Good()) ? 0 : 1;
}
