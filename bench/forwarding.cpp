#include <utility>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <bench/support/balancer_fleet.hpp>
#include <bench/support/counted_memory.hpp>
#include <bench/support/report.hpp>
#include <cornelshore/core/check.hpp>
#include <cornelshore/net/ring.hpp>
#include <cornelshore/net/udp_socket.hpp>
#include <cornelshore/wire/message_codec.hpp>
#include <cornelshore/wire/seal.hpp>

/**
 * @brief Measures a balancer's forwarding: the decision, the whole way of a
 * packet beside a bare relay of the same bytes, the tag, and the memory.
 */
namespace cornelshore::bench {

namespace {

constexpr std::size_t kPayloadBytes = 64;
constexpr std::uint64_t kPackets = 300'000;
constexpr std::uint64_t kBurst = 64;
constexpr std::uint64_t kMostUnderWay = 1024;
constexpr std::size_t kTargetAddresses = 1300;
constexpr std::size_t kTargetHosts = 19'000;
constexpr double kMemoryGoalBytes = 128.0 * 1024 * 1024;
constexpr double kRelayGoal = 0.8;
const Address kLoopback = MakeIpv4(0x7F000001U, 0);

double
SecondsOf(const timespec& aTime)
{
  constexpr double kNanos = 1e-9;
  return static_cast<double>(aTime.tv_sec) +
         kNanos * static_cast<double>(aTime.tv_nsec);
}

/** Processor time of the calling thread, in seconds. */
double
ThreadSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return SecondsOf(time);
}

wire::KeyRing
Keys()
{
  return *wire::KeyRing::Parse("1 " + std::string(64, 'a') + "\n");
}

/** Sends packets in bursts, never more under way than buffers hold. */
void
Generate(const Address& aTo, const std::atomic<std::uint64_t>& aRelayed)
{
  boost::asio::io_context context;
  const auto socket = *net::UdpSocket::Open(context, kLoopback);
  std::vector<net::OutDatagram> burst(kBurst);
  for (auto& datagram : burst) {
    datagram = { aTo, std::string(kPayloadBytes, 'x') };
  }
  for (std::uint64_t sent = 0; sent < kPackets; sent += kBurst) {
    while (sent > aRelayed + kMostUnderWay) {
      std::this_thread::yield();
    }
    socket->Send(burst);
  }
}

/** A plain blocking socket on loopback. */
class PlainSocket
{
public:
  PlainSocket()
    : handle_(::socket(AF_INET, SOCK_DGRAM, 0))
  {
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address_);
    auto* const address = reinterpret_cast<sockaddr*>(&address_);
    const bool bound = ::bind(handle_, address, size) == 0 &&
                       ::getsockname(handle_, address, &size) == 0;
    CheckInvariant(bound, "a loopback socket can be bound");
    constexpr int kBufferBytes = 4 * 1024 * 1024;
    ::setsockopt(
      handle_, SOL_SOCKET, SO_RCVBUF, &kBufferBytes, sizeof(kBufferBytes));
  }
  ~PlainSocket() { ::close(handle_); }
  PlainSocket(const PlainSocket&) = delete;
  PlainSocket& operator=(const PlainSocket&) = delete;

  [[nodiscard]] int Handle() const { return handle_; }
  [[nodiscard]] const sockaddr_in& At() const { return address_; }
  [[nodiscard]] Address Local() const
  {
    return MakeIpv4(INADDR_LOOPBACK, ntohs(address_.sin_port));
  }

private:
  int handle_;
  sockaddr_in address_{};
};

/** Bare relay: one receive call and one send call a packet, one thread. */
double
BareRelaySeconds()
{
  const PlainSocket sink;
  const PlainSocket in;
  const PlainSocket out;
  std::atomic<std::uint64_t> relayed{ 0 };
  double seconds = 0;
  std::thread relay([&] {
    std::array<char, 2048> buffer{};
    const auto to = sink.At();
    while (relayed < kPackets) {
      const auto size = ::recv(in.Handle(), buffer.data(), buffer.size(), 0);
      ::sendto(out.Handle(),
               buffer.data(),
               static_cast<std::size_t>(size),
               0,
               reinterpret_cast<const sockaddr*>(&to),
               sizeof(to));
      ++relayed;
    }
    seconds = ThreadSeconds();
  });
  Generate(in.Local(), relayed);
  relay.join();
  return seconds;
}

/** The daemon's three threads: receive, decide, send. */
class Pipeline
{
public:
  Pipeline(std::size_t aAddresses, std::size_t aHosts)
    : services_(FleetServices(aAddresses))
    , balancer_(FleetBalancer(aAddresses, aHosts))
    , sealer_(Keys(), NodeId{ 1 }, Incarnation{ 1 })
    , sink_(*net::UdpSocket::Open(context_, kLoopback))
    , in_(*net::UdpSocket::Open(context_, kLoopback))
    , out_(*net::UdpSocket::Open(context_, kLoopback))
    , packets_(kRingCapacity, decideSignal_)
    , messages_(kRingCapacity, sendSignal_)
  {
  }

  /** Processor seconds of the three threads for all packets. */
  double Run()
  {
    std::array<double, 3> seconds{};
    in_->StartReceiving([this](const Address&, std::string_view aBytes) {
      packets_.Push(FleetPacket(received_++, services_, std::string(aBytes)));
    });
    std::thread receive([&] {
      const auto guard = boost::asio::make_work_guard(context_);
      context_.run();
      seconds[0] = ThreadSeconds();
    });
    std::thread decide([&] {
      Decide();
      seconds[1] = ThreadSeconds();
    });
    std::thread send([&] {
      Send();
      seconds[2] = ThreadSeconds();
    });
    Generate(in_->Local(), sent_);
    send.join();
    decide.join();
    context_.stop();
    receive.join();
    return seconds[0] + seconds[1] + seconds[2];
  }

private:
  static constexpr std::size_t kRingCapacity = 16 * 1024;
  static constexpr std::size_t kMostAtOnce = 256;
  static constexpr std::chrono::milliseconds kLongestSleep{ 10 };

  void Decide()
  {
    const auto consume = [this](flow::Packet& aPacket) {
      ++decided_;
      for (auto& action : balancer_->On(kFleetStart, std::move(aPacket))) {
        if (auto* toNode = std::get_if<role::SendToNode>(&action)) {
          messages_.Push(std::move(toNode->message_));
        }
      }
    };
    while (decided_ < kPackets) {
      if (packets_.Drain(kMostAtOnce, consume) == 0) {
        decideSignal_.Sleep([this] { return packets_.HasWork(); },
                            kLongestSleep);
      }
    }
  }

  void Send()
  {
    const auto to = sink_->Local();
    std::vector<net::OutDatagram> batch;
    const auto consume = [&](role::Message& aMessage) {
      sealer_.Seal(wire::EncodeMessage(aMessage),
                   batch.emplace_back(net::OutDatagram{ to, {} }).bytes_);
    };
    while (sent_ < kPackets) {
      if (messages_.Drain(kBurst, consume) == 0) {
        sendSignal_.Sleep([this] { return messages_.HasWork(); },
                          kLongestSleep);
        continue;
      }
      out_->Send(batch);
      sent_ += batch.size();
      batch.clear();
    }
  }

  std::vector<ServiceId> services_;
  std::unique_ptr<role::Balancer> balancer_;
  wire::Sealer sealer_;
  boost::asio::io_context context_;
  std::unique_ptr<net::UdpSocket> sink_;
  std::unique_ptr<net::UdpSocket> in_;
  std::unique_ptr<net::UdpSocket> out_;
  net::Signal decideSignal_;
  net::Signal sendSignal_;
  net::Ring<flow::Packet> packets_;
  net::Ring<role::Message> messages_;
  std::uint64_t received_{};
  std::uint64_t decided_{};
  std::atomic<std::uint64_t> sent_{ 0 };
};

/** Nanoseconds of processor time for one call, over many. */
double
NanosOf(std::uint64_t aCalls, const std::function<void(std::uint64_t)>& aCall)
{
  constexpr double kNanosPerSecond = 1e9;
  const auto start = ThreadSeconds();
  for (std::uint64_t call = 0; call < aCalls; ++call) {
    aCall(call);
  }
  return kNanosPerSecond * (ThreadSeconds() - start) /
         static_cast<double>(aCalls);
}

void
MeasureDecision(Report& aReport, std::size_t aAddresses)
{
  constexpr std::uint64_t kCalls = 400'000;
  constexpr std::size_t kPrepared = 4096;
  const auto hosts =
    std::max<std::size_t>(2, aAddresses * kTargetHosts / kTargetAddresses);
  const auto balancer = FleetBalancer(aAddresses, hosts);
  const auto services = FleetServices(aAddresses);
  std::vector<flow::Packet> packets;
  packets.reserve(kPrepared);
  for (std::size_t index = 0; index < kPrepared; ++index) {
    packets.push_back(
      FleetPacket(index * 7919, services, std::string(kPayloadBytes, 'x')));
  }
  std::uint64_t sent = 0;
  const auto copying = NanosOf(kCalls, [&](std::uint64_t aCall) {
    auto packet = packets[aCall % kPrepared];
    sent += packet.payload_.size();
  });
  const auto deciding = NanosOf(kCalls, [&](std::uint64_t aCall) {
    auto packet = packets[aCall % kPrepared];
    sent += balancer->On(kFleetStart, std::move(packet)).size();
  });
  const auto key = "decision_ns.addresses_" + std::to_string(aAddresses);
  aReport.Value(key, deciding - copying);
}

void
MeasureSealing(Report& aReport)
{
  constexpr std::uint64_t kCalls = 300'000;
  wire::Sealer sealer(Keys(), NodeId{ 1 }, Incarnation{ 1 });
  for (const std::size_t size : { 64U, 1400U }) {
    const std::string payload(size, 'x');
    std::string out;
    aReport.Value(
      "seal_ns.bytes_" + std::to_string(size),
      NanosOf(kCalls, [&](std::uint64_t) { sealer.Seal(payload, out); }));
  }
}

void
MeasureRelay(Report& aReport)
{
  const auto bare = static_cast<double>(kPackets) / BareRelaySeconds();
  Pipeline pipeline(100, 1500);
  const auto ours = static_cast<double>(kPackets) / pipeline.Run();
  aReport.Value("payload_bytes", kPayloadBytes);
  aReport.Value("bare_relay_packets_a_core_second", bare);
  aReport.Value("balancer_packets_a_core_second", ours);
  aReport.AtLeast("balancer_over_bare_relay", ours / bare, kRelayGoal);
}

void
MeasureMemory(Report& aReport)
{
  const auto before = AllocatedBytes();
  const auto balancer = FleetBalancer(kTargetAddresses, kTargetHosts);
  const auto held = static_cast<double>(AllocatedBytes() - before);
  aReport.AtMost(
    "memory_bytes.addresses_1300.hosts_19000", held, kMemoryGoalBytes);
}

} // namespace

} // namespace cornelshore::bench

int
main(int aCount, char** aArguments)
{
  using namespace cornelshore::bench;
  const auto options = ParseOptions(aCount, aArguments);
  if (!options.valid_) {
    return 2;
  }
  Report report;
  report.Value("seed", static_cast<double>(options.seed_));
  for (const std::size_t addresses : { 1U, 100U, 1300U }) {
    MeasureDecision(report, addresses);
  }
  MeasureSealing(report);
  MeasureMemory(report);
  MeasureRelay(report);
  return report.ExitCode();
}
