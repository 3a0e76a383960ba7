#include <utility>

#include <cornelshore/tool/commands.hpp>

#include <chrono>
#include <iostream>
#include <map>
#include <random>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/asio/io_context.hpp>

#include <cornelshore/core/hash.hpp>
#include <cornelshore/core/target.hpp>
#include <cornelshore/net/udp_socket.hpp>
#include <cornelshore/request/caller.hpp>
#include <cornelshore/tool/render.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/request_codec.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::tool {

namespace {

constexpr std::chrono::milliseconds kPoll{ 5 };
constexpr std::size_t kMostOpen = 64;

TimePoint
Now()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

std::uint64_t
FreshNumber()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) | device();
}

/** A caller on one socket: submits requests and prints each outcome. */
class Sending
{
public:
  Sending(const Options& aOptions,
          request::Caller aCaller,
          std::unique_ptr<net::UdpSocket> aSocket)
    : options_(aOptions)
    , caller_(std::move(aCaller))
    , socket_(std::move(aSocket))
  {
    socket_->StartReceiving([this](const Address&, std::string_view aBytes) {
      wire::Reader reader(aBytes);
      auto message = request::Decode(reader);
      if (message.ok()) {
        Carry(caller_.On(Now(), *std::move(message)));
      }
    });
  }

  ExitCode Run(boost::asio::io_context& aContext)
  {
    while (done_ < options_.count_) {
      while (submitted_ < options_.count_ &&
             submitted_ - done_ < static_cast<std::int64_t>(kMostOpen)) {
        Submit();
      }
      aContext.run_for(kPoll);
      aContext.restart();
      Carry(caller_.Tick(Now()));
    }
    if (unknown_ > 0) {
      return ExitCode::Unknown;
    }
    return notRun_ > 0 ? ExitCode::NotRun : ExitCode::Done;
  }

private:
  void Submit()
  {
    request::Submission submission;
    submission.id_ = { FreshNumber(), FreshNumber() };
    submission.service_ = ServiceIdOf(options_.service_);
    submission.class_ = ClassIdOf(options_.service_, options_.class_);
    submission.deadline_ =
      Now() + std::chrono::milliseconds(options_.deadlineMillis_);
    submission.body_ = options_.body_;
    ++submitted_;
    auto actions = caller_.Start(Now(), std::move(submission));
    if (actions.ok()) {
      Carry(*std::move(actions));
    }
  }

  void Carry(std::vector<request::CallerAction> aActions)
  {
    for (auto& action : aActions) {
      if (const auto* send = std::get_if<request::SendToAddress>(&action)) {
        std::string bytes;
        wire::Writer writer(bytes);
        request::Encode(writer, send->message_);
        socket_->Send(send->to_, bytes);
      } else if (const auto* end = std::get_if<request::Done>(&action)) {
        Print(*end);
      }
    }
  }

  void Print(const request::Done& aDone)
  {
    ++done_;
    notRun_ += aDone.verdict_ == request::Verdict::NotRun ? 1 : 0;
    unknown_ += aDone.verdict_ == request::Verdict::Unknown ? 1 : 0;
    Json::Value row;
    row["id"] = absl::StrFormat("%016x%016x", aDone.id_.high_, aDone.id_.low_);
    row["outcome"] =
      std::string(NameIn(request::kVerdictNames, aDone.verdict_));
    row["reason"] = std::string(NameIn(request::kReasonNames, aDone.reason_));
    row["retry_after_ms"] = Json::Int64{ aDone.retryAfter_.count() / 1000 };
    row["answer"] = aDone.answer_;
    if (options_.json_) {
      std::cout << ToJsonLine(row) << "\n";
      return;
    }
    std::cout << row["id"].asString() << "  " << row["outcome"].asString();
    if (aDone.verdict_ == request::Verdict::Answered) {
      std::cout << "  " << aDone.answer_;
    } else {
      std::cout << "  reason " << row["reason"].asString() << ", retry after "
                << row["retry_after_ms"].asInt64() << " ms";
    }
    std::cout << "\n";
  }

  const Options& options_;
  request::Caller caller_;
  std::unique_ptr<net::UdpSocket> socket_;
  std::int64_t submitted_{};
  std::int64_t done_{};
  std::int64_t notRun_{};
  std::int64_t unknown_{};
};

ExitCode
Fail(const std::string& aMessage)
{
  std::cerr << aMessage << "\n" << HelpOf("send");
  return ExitCode::Usage;
}

} // namespace

ExitCode
RunSend(const Options& aOptions)
{
  if (aOptions.to_.empty() || aOptions.service_.empty() ||
      aOptions.class_.empty()) {
    return Fail("send needs --to, --service and --class");
  }
  request::CallerSettings settings;
  settings.balancers_ = aOptions.to_;
  settings.identity_ = HashText(aOptions.operator_);
  settings.seed_ = FreshNumber();
  auto caller = request::CallerBuilder().With(settings).Build();
  if (!caller.ok()) {
    return Fail(std::string(caller.status().message()));
  }
  boost::asio::io_context context;
  auto any = IsIpv4(aOptions.to_.front()) ? MakeIpv4(0, 0) : Address{};
  auto socket = net::UdpSocket::Open(context, any);
  if (!socket.ok()) {
    std::cerr << socket.status().message() << "\n";
    return ExitCode::Unreachable;
  }
  Sending sending(aOptions, *std::move(caller), *std::move(socket));
  return sending.Run(context);
}

} // namespace cornelshore::tool
