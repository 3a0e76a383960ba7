// Stand-in for the fabric: takes callers' datagrams on one address and hands
// each to a random balancer, either as it is or as an IP packet in UDP.
#include <utility>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/strings/str_split.h>
#include <boost/asio.hpp>

#include <cornelshore/core/random.hpp>
#include <cornelshore/net/udp_socket.hpp>
#include <cornelshore/wire/ip_packet.hpp>

namespace {

namespace asio = boost::asio;
using cornelshore::Address;
using cornelshore::net::UdpSocket;

constexpr std::size_t kMostCallers = 4096;
constexpr std::uint32_t kCallerNet = 0xC0000200U; // 192.0.2.0/24

struct Options
{
  Address listen_;
  std::vector<Address> balancers_;
  Address service_; ///< Zero port: plain datagrams.
  bool tcp_{};
  std::uint64_t seed_{ 1 };
};

/** Plain datagrams: one socket a caller, so that answers find their way. */
class PlainFabric
{
public:
  PlainFabric(asio::io_context& aContext,
              const Options& aOptions,
              UdpSocket& aFront)
    : context_(aContext)
    , options_(aOptions)
    , front_(aFront)
    , random_(aOptions.seed_)
  {
    front_.StartReceiving(
      [this](const Address& aFrom, std::string_view aBytes) {
        FromCaller(aFrom, aBytes);
      });
  }

private:
  void FromCaller(const Address& aFrom, std::string_view aBytes)
  {
    auto& socket = sockets_[aFrom];
    if (!socket) {
      if (sockets_.size() > kMostCallers) {
        sockets_.erase(aFrom);
        return;
      }
      auto opened =
        UdpSocket::Open(context_, cornelshore::MakeIpv4(0x7F000001U, 0));
      if (!opened.ok()) {
        return;
      }
      socket = std::move(*opened);
      socket->StartReceiving(
        [this, aFrom](const Address&, std::string_view aAnswer) {
          front_.Send(aFrom, aAnswer);
        });
    }
    const auto& balancers = options_.balancers_;
    socket->Send(balancers[random_.Below(balancers.size())], aBytes);
  }

  asio::io_context& context_;
  const Options& options_;
  UdpSocket& front_;
  cornelshore::Random random_;
  std::map<Address, std::unique_ptr<UdpSocket>> sockets_;
};

/** IP packets in UDP: each caller gets a documentation address. */
class GueFabric
{
public:
  GueFabric(const Options& aOptions, UdpSocket& aFront, UdpSocket& aBack)
    : options_(aOptions)
    , front_(aFront)
    , back_(aBack)
    , random_(aOptions.seed_)
  {
    front_.StartReceiving(
      [this](const Address& aFrom, std::string_view aBytes) {
        FromCaller(aFrom, aBytes);
      });
    back_.StartReceiving([this](const Address&, std::string_view aBytes) {
      const auto packet = cornelshore::wire::ParseIpPacket(aBytes);
      if (packet.ok()) {
        const auto caller = callers_.find(packet->key_.service_);
        if (caller != callers_.end()) {
          front_.Send(caller->second,
                      packet->payload_.empty() ? "RESET" : packet->payload_);
        }
      }
    });
  }

private:
  void FromCaller(const Address& aFrom, std::string_view aBytes)
  {
    using cornelshore::Transport;
    using cornelshore::wire::TcpFlags;
    const auto [inner, opening] = InnerAddress(aFrom);
    const auto packet = cornelshore::wire::BuildIpPacket(
      inner,
      options_.service_,
      options_.tcp_ ? Transport::Tcp : Transport::Udp,
      opening ? TcpFlags::Syn : TcpFlags::Ack,
      aBytes);
    const auto& balancers = options_.balancers_;
    back_.Send(balancers[random_.Below(balancers.size())], packet);
  }

  std::pair<Address, bool> InnerAddress(const Address& aFrom)
  {
    const auto known = inner_.find(aFrom);
    if (known != inner_.end()) {
      return { known->second, false };
    }
    const auto index = static_cast<std::uint32_t>(inner_.size());
    const auto address = cornelshore::MakeIpv4(
      kCallerNet + 1 + index % 250, static_cast<std::uint16_t>(1024 + index));
    inner_.emplace(aFrom, address);
    callers_.emplace(address, aFrom);
    return { address, true };
  }

  const Options& options_;
  UdpSocket& front_;
  UdpSocket& back_;
  cornelshore::Random random_;
  std::map<Address, Address> inner_;
  std::map<Address, Address> callers_;
};

bool
Take(Options& aOptions, const std::string& aKey, const std::string& aValue)
{
  const auto address = [](const std::string& aText, Address& aOut) {
    const auto parsed = cornelshore::ParseAddress(aText);
    aOut = parsed.value_or(Address{});
    return parsed.ok();
  };
  if (aKey == "--balancers") {
    for (const auto& part :
         std::vector<std::string>(absl::StrSplit(aValue, ','))) {
      if (!address(part, aOptions.balancers_.emplace_back())) {
        return false;
      }
    }
    return true;
  }
  if (aKey == "--seed") {
    aOptions.seed_ = std::strtoull(aValue.c_str(), nullptr, 10);
    return true;
  }
  if (aKey == "--transport") {
    aOptions.tcp_ = aValue == "tcp";
    return true;
  }
  return (aKey == "--listen" && address(aValue, aOptions.listen_)) ||
         (aKey == "--service" && address(aValue, aOptions.service_));
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
  const auto front = UdpSocket::Open(context, options.listen_);
  const auto back =
    UdpSocket::Open(context, cornelshore::MakeIpv4(0x7F000001U, 0));
  if (!front.ok() || !back.ok() || options.balancers_.empty()) {
    std::cerr << front.status() << ' ' << back.status() << '\n';
    return 1;
  }
  std::unique_ptr<PlainFabric> plain;
  std::unique_ptr<GueFabric> gue;
  if (options.service_.port_ == 0) {
    plain = std::make_unique<PlainFabric>(context, options, **front);
  } else {
    gue = std::make_unique<GueFabric>(options, **front, **back);
  }
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait(
    [&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}
