// Stand-ins for the review's scripts: a host beside an agent, and clients that
// open flows through balancers. Both follow the platform's page on packets,
// flows, hosts and service discovery; times are those of the real clock.
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using Options = std::map<std::string, std::string>;

constexpr std::uint8_t kFin = 1;
constexpr std::uint8_t kAck = 8;
constexpr std::uint8_t kSyn = 16;
constexpr std::uint8_t kBounced = 64;
constexpr std::uint8_t kRst = 128;
constexpr std::size_t kHeadBytes = 32;

/** Most bytes that one end sends in a flow here. */
constexpr std::uint32_t kFlowBytes = 1U << 20U;

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** Appends one line to the record; other processes append to it as well. */
class Record
{
public:
  Record(const std::string& aFile, std::int64_t aBegan)
    : file_(::open(aFile.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644))
    , began_(aBegan)
  {
  }

  void Note(const std::string& aText) const
  {
    const auto line = std::to_string(NowMs() - began_) + " ms: " + aText + "\n";
    static_cast<void>(!::write(file_, line.data(), line.size()));
  }

private:
  int file_;
  std::int64_t began_;
};

struct End
{
  std::uint32_t ip_{};
  std::uint16_t port_{};

  auto operator<=>(const End&) const = default;
};

End
ParseEnd(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  in_addr ip{};
  ::inet_pton(AF_INET, aText.substr(0, colon).c_str(), &ip);
  return { ntohl(ip.s_addr),
           static_cast<std::uint16_t>(std::stoul(aText.substr(colon + 1))) };
}

sockaddr_in
SocketAddressOf(const End& aEnd)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aEnd.ip_);
  address.sin_port = htons(aEnd.port_);
  return address;
}

/** A packet of a flow. */
struct Packet
{
  End from_;
  End to_;
  std::uint32_t sequence_{};
  std::uint32_t acknowledged_{};
  std::uint8_t flags_{};
  std::uint32_t sum_{ 1 }; ///< Not 0: only the system's resets have 0.
  std::string data_;
};

void
Store(std::string& aOut, std::size_t aAt, std::uint32_t aValue, int aBytes)
{
  for (int byte = 0; byte < aBytes; ++byte) {
    aOut[aAt + static_cast<std::size_t>(byte)] =
      static_cast<char>((aValue >> (8 * (aBytes - 1 - byte))) & 0xFFU);
  }
}

std::uint32_t
Load(const std::string& aIn, std::size_t aAt, int aBytes)
{
  std::uint32_t value = 0;
  for (int byte = 0; byte < aBytes; ++byte) {
    value = (value << 8U) | static_cast<std::uint8_t>(
                              aIn[aAt + static_cast<std::size_t>(byte)]);
  }
  return value;
}

std::string
Encode(const Packet& aPacket)
{
  std::string out(kHeadBytes, '\0');
  Store(out, 4, aPacket.sequence_, 4);
  Store(out, 8, aPacket.acknowledged_, 4);
  Store(out, 12, aPacket.to_.port_, 2);
  Store(out, 14, aPacket.from_.port_, 2);
  Store(out, 16, aPacket.to_.ip_, 4);
  Store(out, 20, aPacket.from_.ip_, 4);
  Store(out, 24, static_cast<std::uint32_t>(aPacket.data_.size()), 2);
  out[26] = static_cast<char>(aPacket.flags_);
  Store(out, 28, aPacket.sum_, 4);
  return out + aPacket.data_;
}

std::optional<Packet>
Decode(const std::string& aBytes)
{
  if (aBytes.size() < kHeadBytes ||
      aBytes.size() != kHeadBytes + Load(aBytes, 24, 2)) {
    return std::nullopt;
  }
  Packet packet;
  packet.sequence_ = Load(aBytes, 4, 4);
  packet.acknowledged_ = Load(aBytes, 8, 4);
  packet.to_ = { Load(aBytes, 16, 4),
                 static_cast<std::uint16_t>(Load(aBytes, 12, 2)) };
  packet.from_ = { Load(aBytes, 20, 4),
                   static_cast<std::uint16_t>(Load(aBytes, 14, 2)) };
  packet.flags_ = static_cast<std::uint8_t>(aBytes[26]);
  packet.sum_ = Load(aBytes, 28, 4);
  packet.data_ = aBytes.substr(kHeadBytes);
  return packet;
}

int
OpenUdp(const End& aEnd)
{
  const auto socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const auto address = SocketAddressOf(aEnd);
  if (::bind(socket,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0) {
    std::perror("bind");
    std::exit(2);
  }
  return socket;
}

void
SendUdp(int aSocket, const End& aTo, const std::string& aBytes)
{
  const auto address = SocketAddressOf(aTo);
  static_cast<void>(::sendto(aSocket,
                             aBytes.data(),
                             aBytes.size(),
                             0,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)));
}

/** Waits up to a time for a datagram. */
std::optional<std::string>
Receive(int aSocket, int aWaitMs)
{
  pollfd waits{ aSocket, POLLIN, 0 };
  if (::poll(&waits, 1, aWaitMs) <= 0) {
    return std::nullopt;
  }
  std::array<char, 2048> buffer{};
  const auto size = ::recv(aSocket, buffer.data(), buffer.size(), 0);
  return size < 0 ? std::nullopt
                  : std::optional(std::string(buffer.data(),
                                              static_cast<std::size_t>(size)));
}

std::string
PortOf(const End& aCaller)
{
  return std::to_string(aCaller.port_);
}

/**
 * @brief A host: holds flows, answers each request with its own id.
 *
 * Reports itself every `--beat-ms`, first `--first-beat-ms` after its start and
 * with the count `--first-seq`.
 */
class Host
{
public:
  explicit Host(Options& aOptions)
    : options_(aOptions)
    , record_(aOptions["log"], std::stoll(aOptions["began"]))
    , outbound_(ParseEnd(aOptions["outbound"]))
    , socket_(OpenUdp(ParseEnd(aOptions["listen"])))
    , born_(NowMs())
  {
  }

  void Run()
  {
    record_.Note("host " + options_["id"] + " starts");
    std::thread beats([this] { Beats(); });
    for (;;) {
      if (const auto bytes = Receive(socket_, 1000)) {
        OnPacket(*bytes);
      }
    }
  }

private:
  struct Flow
  {
    std::uint32_t start_{};
    bool open_{};
    std::string lastRequest_;
  };

  void OnPacket(const std::string& aBytes)
  {
    const auto packet = Decode(aBytes);
    if (!packet) {
      return;
    }
    const auto found = flows_.find(packet->from_);
    if ((packet->flags_ & kSyn) != 0) {
      auto& flow = flows_[packet->from_];
      if (found == flows_.end()) {
        flow.start_ = random_();
      }
      Answer(*packet, flow.start_, kSyn | kAck, "");
      return;
    }
    const auto holds =
      found != flows_.end() &&
      packet->acknowledged_ - (found->second.start_ + 1) < kFlowBytes;
    if (!holds) {
      Bounce(aBytes, packet->from_);
      return;
    }
    auto& flow = found->second;
    if (!flow.open_) {
      flow.open_ = true;
      record_.Note("host " + options_["id"] + ": flow of port " +
                   PortOf(packet->from_) + " is open");
    }
    if (!packet->data_.empty()) {
      if (flow.lastRequest_ != packet->data_) {
        flow.lastRequest_ = packet->data_;
        record_.Note("host " + options_["id"] + " ran request " +
                     packet->data_);
      }
      Answer(*packet,
             packet->acknowledged_,
             kAck,
             options_["id"] + " " + packet->data_);
    } else if ((packet->flags_ & kFin) != 0) {
      Answer(*packet, packet->acknowledged_, kFin | kAck, "");
    }
  }

  void Answer(const Packet& aTo,
              std::uint32_t aSequence,
              int aFlags,
              const std::string& aData)
  {
    const auto length =
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(aTo.data_.size()));
    SendUdp(socket_,
            outbound_,
            Encode({ aTo.to_,
                     aTo.from_,
                     aSequence,
                     aTo.sequence_ + length,
                     static_cast<std::uint8_t>(aFlags),
                     1,
                     aData }));
  }

  void Bounce(std::string aBytes, const End& aCaller)
  {
    aBytes[26] = static_cast<char>(aBytes[26] | kBounced);
    aBytes[27] = 0;
    record_.Note("host " + options_["id"] + " returns a packet of port " +
                 PortOf(aCaller));
    SendUdp(socket_, outbound_, aBytes);
  }

  void Beats()
  {
    const auto first = options_.contains("first-beat-ms")
                         ? std::stoi(options_["first-beat-ms"])
                         : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(first));
    const auto firstSequence =
      options_.contains("first-seq") ? std::stoull(options_["first-seq"]) : 1;
    for (std::uint64_t sequence = firstSequence;; ++sequence) {
      const auto acknowledged = Beat(sequence);
      if (sequence == firstSequence || acknowledged != acknowledged_) {
        record_.Note("host " + options_["id"] + ": heartbeat " +
                     std::to_string(sequence) +
                     (acknowledged ? " acknowledged" : " not acknowledged"));
      }
      acknowledged_ = acknowledged;
      std::this_thread::sleep_for(
        std::chrono::milliseconds(std::stoi(options_["beat-ms"])));
    }
  }

  /** One call; true for a 2xx within a second. */
  bool Beat(std::uint64_t aSequence)
  {
    const auto body =
      R"({"service":")" + options_["service"] + R"(","address":")" +
      options_["listen"] +
      R"(","zone":"ant-a","version":"v1","slots":4,"state":"ready",)" +
      R"("warmup-left-ms":0,"seq":)" + std::to_string(aSequence) +
      R"(,"born":)" + std::to_string(born_) + "}";
    const auto text = "PUT /cornelshore/instances/" + options_["id"] +
                      " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                      "Content-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval second{ 1, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &second, sizeof(second));
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &second, sizeof(second));
    const auto address = SocketAddressOf(ParseEnd(options_["reports"]));
    std::array<char, 256> reply{};
    const auto good =
      ::connect(socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0 &&
      ::send(socket, text.data(), text.size(), MSG_NOSIGNAL) > 0 &&
      ::recv(socket, reply.data(), reply.size() - 1, 0) > 0 &&
      std::strncmp(reply.data(), "HTTP/1.1 2", 10) == 0;
    ::close(socket);
    return good;
  }

  Options& options_;
  Record record_;
  End outbound_;
  int socket_;
  std::int64_t born_;
  std::mt19937 random_{ std::random_device{}() };
  std::map<End, Flow> flows_;
  bool acknowledged_{ true };
};

/**
 * @brief Clients: open a flow every `--every-ms`, send a request on each, and
 * one more `--pause-ms` after the first was answered.
 *
 * Copies of an opening go out after 200 and 600 ms, data again after 200 ms and
 * then at doubled intervals, each copy through the balancer that the fabric
 * picks for the flow. A flow whose opening fails is opened anew from another
 * port.
 */
class Clients
{
public:
  explicit Clients(Options& aOptions)
    : options_(aOptions)
    , record_(aOptions["log"], std::stoll(aOptions["began"]))
    , service_(ParseEnd(aOptions["service"]))
    , local_(ParseEnd(aOptions["listen"]))
    , socket_(OpenUdp(local_))
    , limit_(std::stoi(aOptions["limit-ms"]))
    , pause_(std::stoi(aOptions["pause-ms"]))
  {
    std::string rest = aOptions["via"];
    while (!rest.empty()) {
      const auto comma = std::min(rest.find(','), rest.size());
      balancers_.push_back(ParseEnd(rest.substr(0, comma)));
      rest.erase(0, comma + 1);
    }
  }

  /** Ends once every flow has ended. */
  void Run()
  {
    const auto count = std::stoul(options_["flows"]);
    const auto every = std::stoi(options_["every-ms"]);
    auto next = NowMs();
    for (;;) {
      const auto now = NowMs();
      if (flows_.size() < count && now >= next) {
        next = now + every;
        flows_.emplace_back();
        Open(flows_.back(), now);
      }
      for (auto& flow : flows_) {
        OnTime(flow, now);
      }
      const auto ended =
        std::all_of(flows_.begin(), flows_.end(), [](const Flow& aFlow) {
          return aFlow.phase_ == Phase::Ended;
        });
      if (ended && flows_.size() == count) {
        return;
      }
      if (const auto bytes = Receive(socket_, 2)) {
        if (const auto packet = Decode(*bytes)) {
          OnPacket(*packet, NowMs());
        }
      }
    }
  }

private:
  enum class Phase
  {
    Opening,
    Asking,
    Pausing,
    Ended,
  };

  struct Flow
  {
    Phase phase_{ Phase::Opening };
    std::uint16_t port_{};
    std::uint32_t sequence_{};
    std::uint32_t acknowledged_{};
    unsigned requests_{};
    unsigned copies_{};
    std::int64_t since_{}; ///< Start of the opening, request or pause.
    std::int64_t due_{};   ///< Next copy.
    std::string request_;
    std::string host_;
  };

  void Open(Flow& aFlow, std::int64_t aNow)
  {
    aFlow = {};
    aFlow.port_ = ++lastPort_;
    aFlow.since_ = aNow;
    record_.Note("client opens a flow from port " +
                 std::to_string(aFlow.port_));
    SendCopy(aFlow, aNow);
  }

  void Ask(Flow& aFlow, std::int64_t aNow)
  {
    aFlow.phase_ = Phase::Asking;
    aFlow.copies_ = 0;
    aFlow.since_ = aNow;
    ++aFlow.requests_;
    aFlow.request_ =
      std::to_string(aFlow.port_) + "/" + std::to_string(aFlow.requests_);
    record_.Note("client sends request " + aFlow.request_);
    SendCopy(aFlow, aNow);
  }

  void SendCopy(Flow& aFlow, std::int64_t aNow)
  {
    const End from{ local_.ip_, aFlow.port_ };
    const auto opening = aFlow.phase_ == Phase::Opening;
    const Packet packet{ from,
                         service_,
                         aFlow.sequence_,
                         opening ? aFlow.copies_ : aFlow.acknowledged_,
                         opening ? kSyn : kAck,
                         1,
                         opening ? "" : aFlow.request_ };
    SendUdp(
      socket_, balancers_[aFlow.port_ % balancers_.size()], Encode(packet));
    const auto wait = opening
                        ? (aFlow.copies_ == 0 ? 200 : 400)
                        : std::min(200 << std::min(aFlow.copies_, 3U), 1600);
    ++aFlow.copies_;
    aFlow.due_ =
      opening && aFlow.copies_ == 3 ? aFlow.since_ + 1400 : aNow + wait;
  }

  void OnTime(Flow& aFlow, std::int64_t aNow)
  {
    if (aFlow.phase_ == Phase::Opening && aNow >= aFlow.due_) {
      if (aFlow.copies_ == 3) {
        record_.Note("client gives up the opening from port " +
                     std::to_string(aFlow.port_));
        Open(aFlow, aNow);
      } else {
        SendCopy(aFlow, aNow);
      }
    } else if (aFlow.phase_ == Phase::Asking) {
      if (aNow - aFlow.since_ >= limit_) {
        record_.Note("client gives up request " + aFlow.request_);
        aFlow.phase_ = Phase::Ended;
      } else if (aNow >= aFlow.due_) {
        SendCopy(aFlow, aNow);
      }
    } else if (aFlow.phase_ == Phase::Pausing &&
               aNow - aFlow.since_ >= pause_) {
      Ask(aFlow, aNow);
    }
  }

  void OnPacket(const Packet& aPacket, std::int64_t aNow)
  {
    for (auto& flow : flows_) {
      if (flow.port_ == aPacket.to_.port_ && flow.phase_ != Phase::Ended) {
        OnPacket(flow, aPacket, aNow);
      }
    }
  }

  void OnPacket(Flow& aFlow, const Packet& aPacket, std::int64_t aNow)
  {
    if ((aPacket.flags_ & kRst) != 0) {
      OnReset(aFlow, aPacket, aNow);
    } else if (aFlow.phase_ == Phase::Opening && (aPacket.flags_ & kSyn) != 0) {
      aFlow.sequence_ = 1;
      aFlow.acknowledged_ = aPacket.sequence_ + 1;
      Ask(aFlow, aNow);
    } else if (aFlow.phase_ == Phase::Asking) {
      const auto space = aPacket.data_.find(' ');
      if (space == std::string::npos ||
          aPacket.data_.substr(space + 1) != aFlow.request_) {
        return;
      }
      aFlow.host_ = aPacket.data_.substr(0, space);
      record_.Note("client has the answer to " + aFlow.request_ +
                   " from host " + aFlow.host_);
      aFlow.acknowledged_ += static_cast<std::uint32_t>(aPacket.data_.size());
      aFlow.sequence_ += static_cast<std::uint32_t>(aFlow.request_.size());
      aFlow.phase_ = aFlow.requests_ == 1 ? Phase::Pausing : Phase::Ended;
      aFlow.since_ = aNow;
    }
  }

  void OnReset(Flow& aFlow, const Packet& aPacket, std::int64_t aNow)
  {
    const auto fromSystem = aPacket.sum_ == 0;
    const std::string sender = fromSystem ? "the system" : "the host";
    if (aFlow.phase_ == Phase::Opening) {
      record_.Note("client gets a reset of " + sender +
                   " for the opening from port " + std::to_string(aFlow.port_));
      Open(aFlow, aNow);
      return;
    }
    record_.Note("client gets a reset of " + sender + " on the flow of port " +
                 std::to_string(aFlow.port_) + ", request " + aFlow.request_ +
                 (aFlow.host_.empty()
                    ? ", no answer before"
                    : ", answered before by host " + aFlow.host_));
    aFlow.phase_ = Phase::Ended;
  }

  Options& options_;
  Record record_;
  End service_;
  End local_;
  int socket_;
  std::int64_t limit_;
  std::int64_t pause_;
  std::vector<End> balancers_;
  std::vector<Flow> flows_;
  std::uint16_t lastPort_{ 10000 };
};

} // namespace

/** Usage: standin host|clients [--KEY VALUE]... */
int
main(int aCount, char** aArguments)
{
  Options options;
  for (int index = 2; index + 1 < aCount; index += 2) {
    options[std::string(aArguments[index]).substr(2)] = aArguments[index + 1];
  }
  const std::string role = aCount > 1 ? aArguments[1] : "";
  if (role == "host") {
    Host(options).Run();
  } else if (role == "clients") {
    Clients(options).Run();
  } else {
    std::cerr << "usage: standin host|clients [--KEY VALUE]...\n";
    return 2;
  }
  return 0;
}
