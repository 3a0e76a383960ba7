// Stand-ins for both ends of flows of segments: a host beside an agent, and
// callers that open flows through balancers, retransmit and count what breaks.
#include <utility>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <boost/endian/conversion.hpp>

#include <cornelshore/net/asio_address.hpp>
#include <cornelshore/net/udp_socket.hpp>
#include <examples/standin/record.hpp>
#include <examples/standin/rotation.hpp>
#include <platform/segment_codec.hpp>

namespace {

namespace asio = boost::asio;
namespace relay = cornelshore::relay;
using asio::ip::tcp;
using cornelshore::Address;
using cornelshore::net::UdpSocket;
using cornelshore::standin::Record;
using cornelshore::standin::Rotation;
using Clock = std::chrono::steady_clock;
using ErrorValue = boost::system::error_code;
using std::chrono::milliseconds;
using Options = std::map<std::string, std::string>;

constexpr std::uint8_t kFin = 1;
constexpr std::uint8_t kAck = 8;
constexpr std::uint8_t kSyn = 16;
constexpr std::uint8_t kReturned = 64;
constexpr std::uint8_t kReset = 128;

/** How long a leaving host goes on. */
constexpr milliseconds kDrain{ 1500 };

/** First retransmission; the interval doubles up to the last one. */
constexpr milliseconds kFirstAgain{ 200 };
constexpr milliseconds kLastAgain{ 1600 };
constexpr milliseconds kPause{ 100 };
constexpr milliseconds kGiveUp{ 12000 };

/** An option's value as a number. */
std::uint64_t
NumberIn(const Options& aOptions,
         const std::string& aName,
         std::uint64_t aUsual)
{
  const auto found = aOptions.find(aName);
  return found == aOptions.end() ? aUsual : std::stoull(found->second);
}

std::string
TextIn(const Options& aOptions, const std::string& aName)
{
  const auto found = aOptions.find(aName);
  return found == aOptions.end() ? std::string() : found->second;
}

std::string
PacketOf(const Address& aFrom,
         const Address& aTo,
         std::uint32_t aSequence,
         std::uint32_t aAcknowledged,
         std::uint8_t aFlags,
         const std::string& aData)
{
  using namespace boost::endian;
  std::string packet(cornelshore::platform::kHeadBytes, '\0');
  auto* const head = reinterpret_cast<std::uint8_t*>(packet.data());
  store_big_u32(head + 4, aSequence);
  store_big_u32(head + 8, aAcknowledged);
  store_big_u16(head + 12, aTo.port_);
  store_big_u16(head + 14, aFrom.port_);
  std::copy_n(aTo.ip_.data() + 12, 4, head + 16);
  std::copy_n(aFrom.ip_.data() + 12, 4, head + 20);
  store_big_u16(head + 24, static_cast<std::uint16_t>(aData.size()));
  head[26] = aFlags;
  return packet + aData;
}

std::string
DataOf(const std::string& aPacket)
{
  return aPacket.substr(cornelshore::platform::kHeadBytes);
}

/** A host: holds flows, answers each request with its own name. */
class Host
{
public:
  Host(asio::io_context& aContext, Options aOptions)
    : context_(aContext)
    , options_(std::move(aOptions))
    , timer_(aContext)
    , outbound_(*cornelshore::ParseAddress(options_["outbound"]))
    , reports_(*cornelshore::ParseAddress(options_["reports"]))
    , socket_(*UdpSocket::Open(aContext,
                               *cornelshore::ParseAddress(options_["listen"])))
    , codec_(cornelshore::platform::SegmentCodec())
    , record_(TextIn(options_, "record"), options_["name"])
    , beat_(NumberIn(options_, "beat-ms", 200))
    , sequence_(NumberIn(options_, "first-seq", 1))
    , born_(std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())
  {
    socket_->StartReceiving([this](const Address&, std::string_view aBytes) {
      OnPacket(std::string(aBytes));
    });
    Beat();
  }

  void Leave()
  {
    if (!leavingSince_) {
      leavingSince_ = Clock::now();
    }
  }

private:
  void OnPacket(std::string aPacket)
  {
    const auto segment = codec_.parse_(aPacket);
    if (!segment) {
      return;
    }
    const auto flowName = ToString(segment->from_);
    if (segment->opening_) {
      const auto [row, added] = flows_.try_emplace(segment->from_);
      if (added) {
        row->second.start_ = static_cast<std::uint32_t>(random_());
      }
      record_.Write("opening", flowName, row->second.start_ + 1);
      Send(*segment, row->second.start_, kSyn | kAck, "");
      return;
    }
    const auto holds = Holds(*segment);
    record_.Write(holds ? "held" : "foreign", flowName, segment->acknowledged_);
    if (!holds) {
      aPacket[26] = static_cast<char>(aPacket[26] | kReturned);
      aPacket[27] = 0;
      socket_->Send(outbound_, aPacket);
    } else if (segment->payload_ > 0 && flows_[segment->from_].ended_) {
      record_.Write("reset", flowName);
      Send(*segment, segment->acknowledged_, kReset | kAck, "");
    } else if (segment->payload_ > 0) {
      const auto last = leavingSince_ ? kAck | kFin : kAck;
      const auto data = options_["name"] + " " + DataOf(aPacket);
      auto& flow = flows_[segment->from_];
      flow.sentBytes_ =
        std::max(flow.sentBytes_, static_cast<std::uint32_t>(data.size()));
      Send(*segment,
           segment->acknowledged_,
           static_cast<std::uint8_t>(last),
           data);
    } else if (segment->finishing_) {
      record_.Write("finished", flowName);
      Send(*segment, segment->acknowledged_, kAck | kFin, "");
      flows_[segment->from_].ended_ = true;
    }
  }

  struct Flow
  {
    std::uint32_t start_{};     ///< Sequence of the answer to the opening.
    std::uint32_t sentBytes_{}; ///< Callers acknowledge at most this many.
    bool ended_{};
  };

  /** Of several hosts that answered an opening, the one whose sequence the
   * caller acknowledges holds the flow. */
  bool Holds(const relay::Segment& aSegment) const
  {
    const auto found = flows_.find(aSegment.from_);
    return found != flows_.end() &&
           aSegment.acknowledged_ - (found->second.start_ + 1) <=
             found->second.sentBytes_;
  }

  void Send(const relay::Segment& aTo,
            std::uint32_t aSequence,
            std::uint8_t aFlags,
            const std::string& aData)
  {
    socket_->Send(
      outbound_,
      PacketOf(
        aTo.to_, aTo.from_, aSequence, aTo.sequence_ + 1, aFlags, aData));
  }

  void Beat()
  {
    const auto over = leavingSince_ && Clock::now() - *leavingSince_ > kDrain;
    Call(over ? "DELETE" : "PUT");
    timer_.expires_after(beat_);
    timer_.async_wait([this, over](const ErrorValue&) {
      if (over) {
        context_.stop();
      } else {
        Beat();
      }
    });
  }

  /** One blocking call; an agent that is down refuses it at once. */
  void Call(const std::string& aMethod)
  {
    const auto body = R"({"service":")" + options_["service"] +
                      R"(","address":")" + options_["listen"] +
                      R"(","zone":"z","version":"v1","slots":3,"state":")" +
                      (leavingSince_ ? "draining" : "ready") +
                      R"(","warmup-left-ms":0,"seq":)" +
                      std::to_string(sequence_++) + R"(,"born":)" +
                      std::to_string(born_) + "}";
    ErrorValue error;
    tcp::socket socket(context_);
    socket.connect(cornelshore::net::ToEndpoint<tcp>(reports_), error);
    if (error) {
      return;
    }
    asio::write(socket,
                asio::buffer(aMethod + " /cornelshore/instances/" +
                             options_["name"] +
                             " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body),
                error);
  }

  asio::io_context& context_;
  Options options_;
  std::mt19937 random_{ std::random_device{}() };
  asio::steady_timer timer_;
  Address outbound_;
  Address reports_;
  std::unique_ptr<UdpSocket> socket_;
  relay::Codec codec_;
  Record record_;
  milliseconds beat_;
  std::uint64_t sequence_;
  std::int64_t born_;
  std::map<Address, Flow> flows_;
  std::optional<Clock::time_point> leavingSince_;
};

/** Callers with one flow each; a lost flow is counted and opened anew. */
class Callers
{
public:
  Callers(asio::io_context& aContext,
          Options aOptions,
          std::vector<Address> aBalancers)
    : options_(std::move(aOptions))
    , balancers_(std::move(aBalancers))
    , timer_(aContext)
    , service_(*cornelshore::ParseAddress(options_["service"]))
    , socket_(*UdpSocket::Open(aContext,
                               *cornelshore::ParseAddress(options_["listen"])))
    , codec_(cornelshore::platform::SegmentCodec())
    , record_(TextIn(options_, "record"), "caller")
    , random_(static_cast<std::mt19937::result_type>(
        NumberIn(options_, "seed", std::random_device{}())))
    , openLimit_(NumberIn(options_, "open-limit-ms", kGiveUp.count()))
    , leastPause_(NumberIn(options_, "least-pause-ms", kPause.count()))
    , mostPause_(NumberIn(options_, "most-pause-ms", kPause.count()))
    , mostRequests_(
        static_cast<std::uint32_t>(NumberIn(options_, "most-requests", 0)))
  {
    if (const auto ready = NumberIn(options_, "readiness-port", 0); ready > 0) {
      rotation_.emplace(
        aContext, balancers_, static_cast<std::uint16_t>(ready));
    }
    flows_.resize(std::stoul(options_["flows"]));
    for (auto& flow : flows_) {
      Renew(flow);
    }
    socket_->StartReceiving([this](const Address&, std::string_view aBytes) {
      OnPacket(std::string(aBytes));
    });
    Tick();
  }

  void Report() const
  {
    std::cout << "opened=" << opened_ << "\nanswered=" << answered_
              << "\nreset=" << reset_ << "\nsilent=" << silent_
              << "\nwrong=" << wrong_ << "\nunopened=" << unopened_
              << std::endl;
  }

private:
  struct Flow
  {
    std::uint16_t port_{};
    std::string host_;
    std::uint32_t requests_{};
    std::uint32_t requestsLeft_{}; ///< 0 when there is no limit.
    std::uint32_t next_{ 1 };
    std::uint32_t acknowledged_{};
    bool open_{};
    bool closing_{};
    bool waiting_{};
    unsigned tries_{};
    Clock::time_point since_;
    Clock::time_point due_;
  };

  void Renew(Flow& aFlow)
  {
    aFlow = {};
    aFlow.port_ = ++lastPort_;
    aFlow.requestsLeft_ =
      mostRequests_ == 0 ? 0 : Draw<std::uint32_t>(2, mostRequests_);
    aFlow.due_ = aFlow.since_ = Clock::now();
  }

  template<typename Number>
  Number Draw(Number aLeast, Number aMost)
  {
    return std::uniform_int_distribution<Number>(aLeast, aMost)(random_);
  }

  std::string NameOf(const Flow& aFlow) const
  {
    auto from = socket_->Local();
    from.port_ = aFlow.port_;
    return ToString(from);
  }

  static std::uint64_t MillisSince(Clock::time_point aTime)
  {
    return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Clock::now() - aTime).count());
  }

  Address BalancerFor(const Flow& aFlow) const
  {
    return rotation_
             ? rotation_->PickFor(aFlow.port_)
             : balancers_[(aFlow.port_ + aFlow.tries_) % balancers_.size()];
  }

  std::string RequestOf(const Flow& aFlow) const
  {
    return std::to_string(aFlow.port_) + "/" + std::to_string(aFlow.requests_);
  }

  void Send(Flow& aFlow)
  {
    auto from = socket_->Local();
    from.port_ = aFlow.port_;
    const auto packet = aFlow.open_
                          ? PacketOf(from,
                                     service_,
                                     aFlow.next_,
                                     aFlow.acknowledged_,
                                     static_cast<std::uint8_t>(
                                       aFlow.closing_ ? kAck | kFin : kAck),
                                     aFlow.closing_ ? "" : RequestOf(aFlow))
                          : PacketOf(from, service_, 0, aFlow.tries_, kSyn, "");
    socket_->Send(BalancerFor(aFlow), packet);
    const auto wait = kFirstAgain * (1U << std::min(aFlow.tries_, 3U));
    aFlow.due_ = Clock::now() + std::min<milliseconds>(wait, kLastAgain);
    ++aFlow.tries_;
    aFlow.waiting_ = true;
  }

  void Tick()
  {
    const auto now = Clock::now();
    for (auto& flow : flows_) {
      const auto waited = now - flow.since_;
      if (flow.waiting_ && !flow.open_ && openLimit_ < kGiveUp &&
          waited > openLimit_) {
        ++unopened_;
        Renew(flow);
      } else if (flow.waiting_ && waited > kGiveUp) {
        ++silent_;
        record_.Write("gave_up", NameOf(flow), MillisSince(flow.since_));
        Renew(flow);
      }
      if (flow.due_ <= now) {
        Send(flow);
      }
    }
    timer_.expires_after(milliseconds{ 10 });
    timer_.async_wait([this](const ErrorValue&) { Tick(); });
  }

  void OnPacket(const std::string& aPacket)
  {
    const auto segment = codec_.parse_(aPacket);
    for (auto& flow : flows_) {
      if (segment && segment->to_.port_ == flow.port_) {
        OnSegment(flow, *segment, DataOf(aPacket));
        return;
      }
    }
  }

  void OnSegment(Flow& aFlow,
                 const relay::Segment& aSegment,
                 const std::string& aData)
  {
    if (aSegment.reset_) {
      reset_ += aFlow.open_ ? 1 : 0;
      record_.Write("reset", NameOf(aFlow), aFlow.open_ ? 1 : 0);
      Renew(aFlow);
      aFlow.due_ = Clock::now() + kPause;
    } else if (aSegment.opening_ && !aFlow.open_) {
      ++opened_;
      aFlow.open_ = true;
      aFlow.acknowledged_ = aSegment.sequence_ + 1;
      record_.Write("opened", NameOf(aFlow), aFlow.acknowledged_);
      Next(aFlow, milliseconds{ 0 });
    } else if (aFlow.closing_ && aSegment.finishing_) {
      record_.Write("closed", NameOf(aFlow), MillisSince(aFlow.since_));
      Renew(aFlow);
    } else if (aFlow.open_ && aFlow.waiting_ && !aData.empty()) {
      const auto name = aData.substr(0, aData.find(' '));
      const auto fits = aData.substr(name.size() + 1) == RequestOf(aFlow);
      if (!fits) {
        return;
      }
      wrong_ += aFlow.host_.empty() || aFlow.host_ == name ? 0 : 1;
      aFlow.host_ = name;
      ++answered_;
      record_.Write("answered", NameOf(aFlow), MillisSince(aFlow.since_));
      if (aSegment.finishing_) {
        record_.Write("closed", NameOf(aFlow));
        Renew(aFlow);
        return;
      }
      aFlow.closing_ = mostRequests_ > 0 && --aFlow.requestsLeft_ == 0;
      Next(aFlow, Draw(leastPause_, mostPause_));
    }
  }

  milliseconds Draw(milliseconds aLeast, milliseconds aMost)
  {
    return milliseconds{ Draw(aLeast.count(), aMost.count()) };
  }

  void Next(Flow& aFlow, milliseconds aPause)
  {
    ++aFlow.requests_;
    ++aFlow.next_;
    aFlow.tries_ = 0;
    aFlow.waiting_ = false;
    aFlow.since_ = aFlow.due_ = Clock::now() + aPause;
  }

  Options options_;
  std::vector<Address> balancers_;
  asio::steady_timer timer_;
  Address service_;
  std::unique_ptr<UdpSocket> socket_;
  relay::Codec codec_;
  Record record_;
  std::mt19937 random_;
  milliseconds openLimit_;
  milliseconds leastPause_;
  milliseconds mostPause_;
  std::uint32_t mostRequests_; ///< On a flow; 0 when there is no limit.
  std::optional<Rotation> rotation_;
  std::vector<Flow> flows_;
  std::uint16_t lastPort_{ 10000 };
  std::uint64_t opened_{};
  std::uint64_t answered_{};
  std::uint64_t reset_{};
  std::uint64_t silent_{};
  std::uint64_t wrong_{};
  std::uint64_t unopened_{};
};

} // namespace

/** Usage: standin_segments host|callers [--KEY VALUE]... [--balancer
 * ADDRESS]... */
int
main(int aCount, char** aArguments)
{
  const std::vector<std::string> words(aArguments, aArguments + aCount);
  Options options;
  std::vector<Address> balancers;
  for (std::size_t index = 2; index + 1 < words.size(); index += 2) {
    if (words[index] == "--balancer") {
      balancers.push_back(*cornelshore::ParseAddress(words[index + 1]));
    } else {
      options[words[index].substr(2)] = words[index + 1];
    }
  }
  asio::io_context context;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  if (words.size() > 1 && words[1] == "host") {
    Host host(context, options);
    signals.async_wait([&](const ErrorValue&, int) { host.Leave(); });
    context.run();
    return 0;
  }
  Callers callers(context, options, balancers);
  signals.async_wait([&](const ErrorValue&, int) { context.stop(); });
  context.run();
  callers.Report();
  return 0;
}
