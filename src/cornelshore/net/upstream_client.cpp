#include <utility>

#include <cornelshore/net/upstream_client.hpp>

#include <cstdio>
#include <deque>
#include <istream>
#include <map>
#include <sstream>

#include <absl/strings/escaping.h>
#include <absl/strings/str_format.h>
#include <boost/asio.hpp>
#include <json/json.h>

#include <cornelshore/net/asio_address.hpp>

namespace cornelshore::net {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorValue = boost::system::error_code;

constexpr std::size_t kLongestLineBytes = 8 * 1024 * 1024;
constexpr std::chrono::milliseconds kReconnectAfter{ 200 };
constexpr std::chrono::milliseconds kHealthEvery{ 500 };
constexpr int kShedCode = -32001;
constexpr std::int64_t kMicrosPerMilli = 1000;

std::string
IdText(const RequestId& aId)
{
  return absl::StrFormat("%016x%016x", aId.high_, aId.low_);
}

std::string
Line(const char* aMethod, Json::Value aParams, std::uint64_t aCall)
{
  Json::Value message;
  message["jsonrpc"] = "2.0";
  message["method"] = aMethod;
  message["params"] = std::move(aParams);
  message["id"] = Json::UInt64(aCall);
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, message) + "\n";
}

bool
Parse(const std::string& aLine, Json::Value& aMessage)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = 16;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  try {
    return reader->parse(
             aLine.data(), aLine.data() + aLine.size(), &aMessage, nullptr) &&
           aMessage.isObject() && aMessage["id"].isUInt64();
  } catch (const Json::Exception&) {
    return false;
  }
}

} // namespace

class UpstreamClient::Implementation
  : public std::enable_shared_from_this<Implementation>
{
public:
  Implementation(asio::io_context& aContext,
                 const Address& aUpstream,
                 OnResult aOnResult,
                 OnReady aOnReady)
    : strand_(asio::make_strand(aContext))
    , socket_(strand_)
    , timer_(strand_)
    , upstream_(aUpstream)
    , onResult_(std::move(aOnResult))
    , onReady_(std::move(aOnReady))
    , buffer_(kLongestLineBytes)
  {
  }

  void Post(std::function<void()> aWork)
  {
    asio::post(strand_, std::move(aWork));
  }

  void Connect()
  {
    if (stopped_) {
      return;
    }
    const auto self = shared_from_this();
    socket_.async_connect(ToEndpoint<tcp>(upstream_),
                          [self](const ErrorValue& aError) {
                            if (aError) {
                              self->Broken();
                              return;
                            }
                            self->connected_ = true;
                            self->ReadLine();
                            self->PollHealth();
                          });
  }

  void Stop()
  {
    stopped_ = true;
    Broken();
  }

  void Run(const UpstreamRun& aRun)
  {
    if (!connected_) {
      onResult_({ aRun.id_, aRun.attempt_, UpstreamOutcome::Shed, {} });
      return;
    }
    Json::Value params;
    params["id"] = IdText(aRun.id_);
    params["attempt"] = Json::UInt64(aRun.attempt_);
    params["class"] = aRun.class_;
    params["deadline_ms"] =
      Json::Int64(aRun.timeLeft_.count() / kMicrosPerMilli);
    params["body"] = absl::Base64Escape(aRun.body_);
    const auto call = ++lastCall_;
    runs_[call] = { aRun.id_, aRun.attempt_, UpstreamOutcome::Lost, {} };
    Write(Line("run", std::move(params), call));
  }

  void Cancel(const RequestId& aId)
  {
    if (connected_) {
      Json::Value params;
      params["id"] = IdText(aId);
      Write(Line("cancel", std::move(params), ++lastCall_));
    }
  }

private:
  void PollHealth()
  {
    if (connected_) {
      healthCall_ = ++lastCall_;
      Write(Line("health", Json::Value(Json::objectValue), healthCall_));
      WaitThen(kHealthEvery, [this] { PollHealth(); });
    }
  }

  template<typename Work>
  void WaitThen(std::chrono::milliseconds aTime, Work aWork)
  {
    timer_.expires_after(aTime);
    const auto self = shared_from_this();
    timer_.async_wait([self, aWork](const ErrorValue& aError) {
      if (!aError) {
        aWork();
      }
    });
  }

  void Broken()
  {
    ErrorValue ignored;
    timer_.cancel(ignored);
    socket_.close(ignored);
    connected_ = false;
    outgoing_.clear();
    buffer_.consume(buffer_.size());
    SetReady(false);
    const auto lost = std::exchange(runs_, {});
    for (const auto& [call, result] : lost) {
      onResult_(result);
    }
    if (!stopped_) {
      WaitThen(kReconnectAfter, [this] { Connect(); });
    }
  }

  void SetReady(bool aReady)
  {
    if (aReady != ready_) {
      ready_ = aReady;
      onReady_(aReady);
    }
  }

  void Write(std::string aLine)
  {
    outgoing_.push_back(std::move(aLine));
    if (outgoing_.size() == 1) {
      WriteNext();
    }
  }

  void WriteNext()
  {
    const auto self = shared_from_this();
    asio::async_write(socket_,
                      asio::buffer(outgoing_.front()),
                      [self](const ErrorValue& aError, std::size_t) {
                        if (aError || !self->connected_) {
                          return;
                        }
                        self->outgoing_.pop_front();
                        if (!self->outgoing_.empty()) {
                          self->WriteNext();
                        }
                      });
  }

  void ReadLine()
  {
    const auto self = shared_from_this();
    asio::async_read_until(
      socket_, buffer_, '\n', [self](const ErrorValue& aError, std::size_t) {
        if (!self->connected_) {
          return;
        }
        if (aError || !self->TakeLine()) {
          self->Broken();
          return;
        }
        self->ReadLine();
      });
  }

  bool TakeLine()
  {
    std::istream input(&buffer_);
    std::string line;
    std::getline(input, line);
    Json::Value message;
    if (!Parse(line, message)) {
      return false;
    }
    const auto call = message["id"].asUInt64();
    const auto& result = message["result"];
    if (call == healthCall_) {
      SetReady(result.isObject() && result["ready"].isBool() &&
               result["ready"].asBool());
      return true;
    }
    const auto run = runs_.find(call);
    if (run != runs_.end()) {
      auto ended = run->second;
      runs_.erase(run);
      Finish(std::move(ended), message);
    }
    return true;
  }

  void Finish(UpstreamResult aEnded, const Json::Value& aMessage)
  {
    const auto& result = aMessage["result"];
    const auto& error = aMessage["error"];
    if (error.isObject() && error["code"].isInt() &&
        error["code"].asInt() == kShedCode) {
      aEnded.outcome_ = UpstreamOutcome::Shed;
    } else if (result.isObject() && result["body"].isString() &&
               absl::Base64Unescape(result["body"].asString(), &aEnded.body_)) {
      aEnded.outcome_ = UpstreamOutcome::Finished;
    }
    onResult_(std::move(aEnded));
  }

  asio::strand<asio::io_context::executor_type> strand_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  Address upstream_;
  OnResult onResult_;
  OnReady onReady_;
  asio::streambuf buffer_;
  std::deque<std::string> outgoing_;
  std::map<std::uint64_t, UpstreamResult> runs_;
  std::uint64_t lastCall_{ 0 };
  std::uint64_t healthCall_{ 0 };
  bool connected_{ false };
  bool ready_{ false };
  bool stopped_{ false };
};

UpstreamClient::UpstreamClient(asio::io_context& aContext,
                               const Address& aUpstream,
                               OnResult aOnResult,
                               OnReady aOnReady)
  : implementation_(std::make_shared<Implementation>(aContext,
                                                     aUpstream,
                                                     std::move(aOnResult),
                                                     std::move(aOnReady)))
{
}

UpstreamClient::~UpstreamClient() = default;

void
UpstreamClient::Start()
{
  auto self = implementation_;
  self->Post([self] { self->Connect(); });
}

void
UpstreamClient::Stop()
{
  auto self = implementation_;
  self->Post([self] { self->Stop(); });
}

void
UpstreamClient::Run(UpstreamRun aRun)
{
  auto self = implementation_;
  self->Post([self, run = std::move(aRun)] { self->Run(run); });
}

void
UpstreamClient::Cancel(const RequestId& aId)
{
  auto self = implementation_;
  self->Post([self, aId] { self->Cancel(aId); });
}

} // namespace cornelshore::net
