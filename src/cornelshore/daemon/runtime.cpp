#include <utility>

#include <cornelshore/daemon/runtime.hpp>

#include <chrono>
#include <csignal>
#include <ctime>
#include <fstream>
#include <random>
#include <sstream>

#include <sys/stat.h>

#include <absl/strings/str_cat.h>
#include <boost/asio/executor_work_guard.hpp>

#include <cornelshore/core/hash.hpp>
#include <cornelshore/core/target.hpp>
#include <cornelshore/log/event.hpp>
#include <cornelshore/wire/message_codec.hpp>

namespace cornelshore::daemon {

namespace {

constexpr std::size_t kMostKeyFileBytes = 64 * 1024;
constexpr std::size_t kMostPeersOfAgent = 64;

/** A restarted process asks others so often until it has caught up; callers
 * send a lost packet again after 200 ms. */
constexpr std::chrono::milliseconds kJoiningRound{ 100 };

absl::StatusOr<std::string>
ReadKeyFile(const std::string& aFile)
{
  struct stat facts
  {};
  if (::stat(aFile.c_str(), &facts) != 0) {
    return absl::NotFoundError(
      absl::StrCat(aFile, ": key file cannot be read; check node.key_file"));
  }
  if ((facts.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    return absl::PermissionDeniedError(
      absl::StrCat(aFile, ": key file is open to others; run chmod 600 on it"));
  }
  std::ifstream stream(aFile, std::ios::binary);
  std::string text(kMostKeyFileBytes, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  return text;
}

/** Public: without authentication a seal shows damage, not who sent it. */
constexpr std::string_view kPublicKey =
  "1 0000000000000000000000000000000000000000000000000000000000000000";

absl::StatusOr<wire::KeyRing>
LoadKeys(const settings::Settings& aSettings)
{
  if (aSettings.authentication_ == settings::Authentication::Off) {
    return wire::KeyRing::Parse(kPublicKey);
  }
  const auto& aFile = aSettings.keyFile_;
  const auto text = ReadKeyFile(aFile);
  if (!text.ok()) {
    return text.status();
  }
  auto keys = wire::KeyRing::Parse(*text);
  if (!keys.ok()) {
    return absl::InvalidArgumentError(
      absl::StrCat(aFile, ": ", keys.status().message()));
  }
  return keys;
}

Incarnation
FreshIncarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation{ static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(now).count()) };
}

} // namespace

TimePoint
Now()
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint{ std::chrono::duration_cast<Duration>(
    std::chrono::seconds{ now.tv_sec } +
    std::chrono::nanoseconds{ now.tv_nsec }) };
}

std::uint64_t
WallMillis()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

Runtime::Runtime(settings::Settings aSettings)
  : settings_(std::move(aSettings))
  , self_(NodeIdOf(settings_.name_))
  , incarnation_(FreshIncarnation())
  , replayCheck_(settings_.authentication_ == settings::Authentication::Off
                   ? wire::ReplayCheck::Skip
                   : wire::ReplayCheck::Refuse)
  , signals_(context_, SIGTERM, SIGINT, SIGHUP)
  , linkMeter_(settings_.LinkBytesPerSecond())
{
}

Runtime::~Runtime()
{
  Stop();
  // The metrics server takes up to two seconds to end its threads. The process
  // ends without them: a planned restart must not last longer for it.
  static_cast<void>(metrics_.release());
}

absl::StatusOr<std::unique_ptr<Runtime>>
Runtime::Open(const settings::Settings& aSettings)
{
  const auto keys = LoadKeys(aSettings);
  if (!keys.ok()) {
    return keys.status();
  }
  std::unique_ptr<Runtime> runtime(new Runtime(aSettings));
  const auto status = runtime->OpenSockets(*keys);
  if (!status.ok()) {
    return status;
  }
  return runtime;
}

absl::Status
Runtime::OpenSockets(const wire::KeyRing& aKeys)
{
  opener_ = std::make_unique<wire::Opener>(aKeys);
  auto socket = net::UdpSocket::Open(context_, settings_.node_);
  if (!socket.ok()) {
    return socket.status();
  }
  socket_ = std::move(*socket);
  if (settings_.role_ == settings::Role::Control) {
    streams_ = std::make_unique<net::PeerStreams>(
      context_, [this](std::string_view aFrame) { Receive({}, aFrame); });
    auto status = streams_->Listen(settings_.node_);
    if (!status.ok()) {
      return status;
    }
  }
  if (settings_.metrics_.port_ != 0) {
    auto metrics = metrics::Publisher::Listen(settings_.metrics_);
    if (!metrics.ok()) {
      return metrics.status();
    }
    metrics_ = std::move(*metrics);
  }
  sender_ = std::make_unique<daemon::Sender>(
    aKeys, self_, incarnation_, *socket_, streams_.get());
  return absl::OkStatus();
}

void
Runtime::SendDecided()
{
  if (sendBy_ == SendBy::DecidingThread) {
    sender_->Poll();
  }
}

void
Runtime::Start(OnMessage aOnMessage,
               std::function<void()> aOnStop,
               SendBy aSendBy)
{
  sendBy_ = aSendBy;
  onMessage_ = std::move(aOnMessage);
  onStop_ = std::move(aOnStop);
  socket_->StartReceiving(
    [this](const Address& aFrom, std::string_view aBytes) {
      Receive(aFrom, aBytes);
    });
  WaitForSignal();
  if (sendBy_ == SendBy::OwnThread) {
    sender_->Start();
  }
  thread_ = std::thread([this] {
    const auto guard = boost::asio::make_work_guard(context_);
    context_.run();
  });
}

void
Runtime::Stop()
{
  if (sender_) {
    sender_->Stop();
  }
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void
Runtime::Receive(const Address& aFrom, std::string_view aBytes)
{
  const auto opened = opener_->Open(aBytes, replayCheck_);
  ++opened_[static_cast<std::size_t>(opened.outcome_)];
  if (opened.outcome_ != wire::OpenOutcome::Opened) {
    return;
  }
  auto message = wire::DecodeMessage(opened.payload_);
  if (!message.ok()) {
    ++undecodable_;
    return;
  }
  receivedBytes_[static_cast<std::size_t>(role::TrafficPurposeOf(*message))] +=
    aBytes.size();
  onMessage_(
    { opened.sender_, opened.incarnation_, aFrom, *std::move(message) });
}

void
Runtime::WaitForSignal()
{
  signals_.async_wait(
    [this](const boost::system::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        ReloadKeys();
      } else {
        log::Write(log::Level::Info, log::Event("stop_requested"));
        onStop_();
      }
      WaitForSignal();
    });
}

void
Runtime::ReloadKeys()
{
  const auto keys = LoadKeys(settings_);
  if (!keys.ok()) {
    log::Write(log::Level::Error,
               log::Event("keys_not_reloaded")
                 .With("why", std::string(keys.status().message())));
    return;
  }
  opener_->Rotate(*keys);
  sender_->Rotate(*keys);
  log::Write(log::Level::Info,
             log::Event("keys_reloaded")
               .With("keys", std::uint64_t{ keys->size() })
               .With("sealing_key", std::uint64_t{ keys->SealingKey() }));
}

dissemination::NodeSettings
Runtime::NodeSettings() const
{
  std::random_device device;
  dissemination::NodeSettings node;
  node.self_ = self_;
  node.incarnation_ = incarnation_;
  node.dataCentre_ = DataCentreIdOf(settings_.dataCentre_);
  node.address_ = settings_.node_;
  node.joiningRoundInterval_ = kJoiningRound;
  node.round_ = settings_.controlRound_;
  node.bytesPerSecond_ = settings_.controlBytesPerSecond_;
  node.burstBytes_ = settings_.controlBurstBytes_;
  node.linkBytesPerSecond_ = settings_.LinkBytesPerSecond();
  if (settings_.role_ == settings::Role::Agent) {
    node.maxPeers_ = kMostPeersOfAgent;
  }
  const auto drawn = (std::uint64_t{ device() } << 32U) | device();
  node.seed_ = HashPair(drawn, HashPair(self_.value_, incarnation_.value_));
  return node;
}

std::vector<MetricSample>
Runtime::Figures() const
{
  std::vector<MetricSample> figures;
  for (std::size_t index = 0; index < wire::kOpenOutcomeNames.size(); ++index) {
    figures.push_back(
      { "cornelshore_datagrams_received_total",
        "Datagrams and frames of other processes by what opening them gave.",
        MetricKind::Counter,
        { { "outcome", std::string(wire::kOpenOutcomeNames[index].name_) } },
        static_cast<double>(opened_[index].load()) });
  }
  figures.push_back({ "cornelshore_messages_undecodable_total",
                      "Authentic messages that could not be decoded.",
                      MetricKind::Counter,
                      {},
                      static_cast<double>(undecodable_.load()) });
  for (const auto& purpose : role::kTrafficPurposeNames) {
    for (const auto& [direction, bytes] :
         { std::pair("sent", sender_->BytesFor(purpose.value_)),
           std::pair("received",
                     receivedBytes_[static_cast<std::size_t>(purpose.value_)]
                       .load()) }) {
      figures.push_back({ "cornelshore_traffic_bytes_total",
                          "Bytes between processes by what they are for.",
                          MetricKind::Counter,
                          { { "direction", direction },
                            { "purpose", std::string(purpose.name_) } },
                          static_cast<double>(bytes) });
    }
  }
  const auto sent = sender_->Count();
  figures.push_back({ "cornelshore_sent_total",
                      "Messages and answers handed to the sockets.",
                      MetricKind::Counter,
                      {},
                      static_cast<double>(sent.sent_) });
  figures.push_back({ "cornelshore_send_dropped_total",
                      "Messages dropped because a ring was full.",
                      MetricKind::Counter,
                      {},
                      static_cast<double>(sent.dropped_) });
  return figures;
}

std::optional<role::Log>
Runtime::MeasureLink(TimePoint aNow)
{
  role::LinkMeter::Totals sent{};
  role::LinkMeter::Totals received{};
  for (const auto& purpose : role::kTrafficPurposeNames) {
    const auto index = static_cast<std::size_t>(purpose.value_);
    sent.at(index) = sender_->BytesFor(purpose.value_);
    received.at(index) = receivedBytes_.at(index).load();
  }
  return linkMeter_.Observe(aNow, sent, received);
}

void
Runtime::LogRefused()
{
  std::uint64_t refused = undecodable_;
  for (std::size_t index = 1; index < opened_.size(); ++index) {
    refused += opened_[index];
  }
  if (refused == refusedLogged_) {
    return;
  }
  log::Event event("datagrams_refused");
  event.With("since_last", refused - refusedLogged_);
  for (std::size_t index = 1; index < opened_.size(); ++index) {
    event.With(wire::kOpenOutcomeNames[index].name_, opened_[index].load());
  }
  event.With("undecodable", undecodable_.load());
  log::Write(log::Level::Warning, event);
  refusedLogged_ = refused;
}

} // namespace cornelshore::daemon
