#include <cornelshore/daemon/sender.hpp>

#include <algorithm>
#include <utility>

#include <cornelshore/wire/message_codec.hpp>

namespace cornelshore::daemon {

namespace {

constexpr std::size_t kRingCapacity = 16 * 1024;
constexpr std::size_t kMostAtOnce = 256;
constexpr std::size_t kBatch = 64;
constexpr std::chrono::milliseconds kLongestSleep{ 1000 };
constexpr std::uint8_t kDatagramLane = 0;
constexpr std::uint8_t kFrameLane = 1;

} // namespace

Sender::Sender(const wire::KeyRing& aKeys,
               NodeId aSelf,
               Incarnation aIncarnation,
               net::UdpSocket& aSocket,
               net::PeerStreams* aStreams)
  : socket_(aSocket)
  , streams_(aStreams)
  , datagrams_(aKeys, aSelf, aIncarnation, kDatagramLane)
  , frames_(aKeys, aSelf, aIncarnation, kFrameLane)
{
  batch_.reserve(kBatch);
}

Sender::~Sender()
{
  Stop();
}

SendRing&
Sender::AddRing()
{
  return *rings_.emplace_back(
    std::make_unique<SendRing>(kRingCapacity, signal_));
}

void
Sender::Start()
{
  thread_ = std::thread([this] { Run(); });
}

void
Sender::Stop()
{
  stopping_ = true;
  signal_.Wake();
  if (thread_.joinable()) {
    thread_.join();
  } else {
    Poll();
  }
}

void
Sender::Poll()
{
  TakeNewKeys();
  while (SendWaiting() != 0) {
  }
}

void
Sender::Rotate(const wire::KeyRing& aKeys)
{
  std::atomic_store(&newKeys_, std::make_shared<const wire::KeyRing>(aKeys));
}

Sender::Counters
Sender::Count() const
{
  Counters counters{ sent_, 0 };
  for (const auto& ring : rings_) {
    counters.dropped_ += ring->Dropped();
  }
  return counters;
}

void
Sender::Run()
{
  const auto hasWork = [this] {
    return stopping_ ||
           std::any_of(rings_.begin(), rings_.end(), [](const auto& aRing) {
             return aRing->HasWork();
           });
  };
  for (;;) {
    TakeNewKeys();
    if (SendWaiting() != 0) {
      continue;
    }
    if (stopping_) {
      return;
    }
    signal_.Sleep(hasWork, kLongestSleep);
  }
}

void
Sender::TakeNewKeys()
{
  if (const auto keys = std::atomic_exchange(
        &newKeys_, std::shared_ptr<const wire::KeyRing>())) {
    datagrams_.Rotate(*keys);
    frames_.Rotate(*keys);
  }
}

std::size_t
Sender::SendWaiting()
{
  std::size_t count = 0;
  for (const auto& ring : rings_) {
    count += ring->Drain(kMostAtOnce,
                         [this](Outgoing& aOutgoing) { Take(aOutgoing); });
  }
  Flush();
  return count;
}

void
Sender::Take(Outgoing& aOutgoing)
{
  ++sent_;
  if (const auto* raw = std::get_if<ToCaller>(&aOutgoing.body_)) {
    CountBytes(role::TrafficPurpose::Packet, raw->bytes_.size());
    raw->socket_->Send(aOutgoing.to_, raw->bytes_);
    return;
  }
  const auto& message = std::get<role::Message>(aOutgoing.body_);
  const auto encoded = wire::EncodeMessage(message);
  if (std::holds_alternative<consensus::Message>(message)) {
    if (streams_ != nullptr) {
      std::string frame;
      frames_.Seal(encoded, frame);
      CountBytes(role::TrafficPurpose::Consensus, frame.size());
      streams_->Send(aOutgoing.to_, std::move(frame));
    }
    return;
  }
  auto& datagram = batch_.emplace_back();
  datagram.to_ = aOutgoing.to_;
  datagrams_.Seal(encoded, datagram.bytes_);
  CountBytes(role::TrafficPurposeOf(message), datagram.bytes_.size());
  if (batch_.size() == kBatch) {
    Flush();
  }
}

void
Sender::CountBytes(role::TrafficPurpose aPurpose, std::size_t aBytes)
{
  bytes_[static_cast<std::size_t>(aPurpose)] += aBytes;
}

void
Sender::Flush()
{
  if (!batch_.empty()) {
    socket_.Send(batch_);
    batch_.clear();
  }
}

} // namespace cornelshore::daemon
