// Stand-ins for both ends of flows, by the users' PROTOCOL.md: a host beside an
// agent, and a client that opens one flow from each of some ports, sends one
// request on it, closes it and tells which host ran it. With --pause-ms, a
// client keeps its flows open, pauses, and sends a second request on each.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using Options = std::map<std::string, std::string>;

constexpr std::uint8_t kFin = 1;
constexpr std::uint8_t kAck = 8;
constexpr std::uint8_t kSyn = 16;
constexpr std::uint8_t kBounced = 64;
constexpr std::uint8_t kReset = 128;
constexpr std::size_t kHeadBytes = 32;
constexpr std::size_t kFlagsAt = 26;
constexpr std::size_t kPadAt = 27;

/** A client's attempt ends when no SYN+ACK has come by then. */
constexpr milliseconds kOpenLimit{ 1400 };
constexpr milliseconds kRequestLimit{ 2500 };
constexpr milliseconds kFirstAgain{ 200 };
constexpr milliseconds kLastAgain{ 1600 };
constexpr milliseconds kCallLimit{ 1000 };

volatile std::sig_atomic_t gStop = 0;

void
OnSignal(int)
{
  gStop = 1;
}

struct End
{
  std::uint32_t ip_{};
  std::uint16_t port_{};

  bool operator<(const End& aOther) const
  {
    return ip_ != aOther.ip_ ? ip_ < aOther.ip_ : port_ < aOther.port_;
  }
};

struct Packet
{
  End from_;
  End to_;
  std::uint32_t sequence_{};
  std::uint32_t acknowledged_{};
  std::uint8_t flags_{};
  std::string data_;
  std::uint32_t sum_{};
};

std::uint32_t
Load(const std::string& aBytes, std::size_t aAt, std::size_t aWidth)
{
  std::uint32_t value = 0;
  for (std::size_t byte = 0; byte < aWidth; ++byte) {
    value = (value << 8U) | static_cast<std::uint8_t>(aBytes[aAt + byte]);
  }
  return value;
}

void
Store(std::string& aBytes,
      std::size_t aAt,
      std::size_t aWidth,
      std::uint32_t aValue)
{
  for (std::size_t byte = aWidth; byte-- > 0; aValue >>= 8U) {
    aBytes[aAt + byte] = static_cast<char>(aValue & 0xFFU);
  }
}

std::string
Encode(const Packet& aPacket)
{
  std::string bytes(kHeadBytes, '\0');
  Store(bytes, 4, 4, aPacket.sequence_);
  Store(bytes, 8, 4, aPacket.acknowledged_);
  Store(bytes, 12, 2, aPacket.to_.port_);
  Store(bytes, 14, 2, aPacket.from_.port_);
  Store(bytes, 16, 4, aPacket.to_.ip_);
  Store(bytes, 20, 4, aPacket.from_.ip_);
  Store(bytes, 24, 2, static_cast<std::uint32_t>(aPacket.data_.size()));
  bytes[kFlagsAt] = static_cast<char>(aPacket.flags_);
  // The key of the sum is the platform's; only 0 means something to others.
  Store(bytes, 28, 4, 0x5EA1ED01U ^ aPacket.sequence_ ^ aPacket.from_.port_);
  return bytes + aPacket.data_;
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
  packet.flags_ = static_cast<std::uint8_t>(aBytes[kFlagsAt]);
  packet.data_ = aBytes.substr(kHeadBytes);
  packet.sum_ = Load(aBytes, 28, 4);
  return packet;
}

End
EndOf(const std::string& aText)
{
  const auto colon = aText.find(':');
  in_addr address{};
  if (colon == std::string::npos ||
      ::inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address) != 1) {
    std::fprintf(stderr, "no address and port: %s\n", aText.c_str());
    std::exit(2);
  }
  return { ntohl(address.s_addr),
           static_cast<std::uint16_t>(std::stoul(aText.substr(colon + 1))) };
}

sockaddr_in
SystemAddressOf(const End& aEnd)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aEnd.ip_);
  address.sin_port = htons(aEnd.port_);
  return address;
}

int
BoundSocket(const End& aEnd)
{
  const auto handle = ::socket(AF_INET, SOCK_DGRAM, 0);
  const auto address = SystemAddressOf(aEnd);
  if (handle < 0 || ::bind(handle,
                           reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address)) != 0) {
    std::perror("bind");
    std::exit(2);
  }
  return handle;
}

void
SendTo(int aHandle, const End& aTo, const std::string& aBytes)
{
  const auto address = SystemAddressOf(aTo);
  static_cast<void>(::sendto(aHandle,
                             aBytes.data(),
                             aBytes.size(),
                             0,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)));
}

/** Waits for a datagram; nothing when none comes in time. */
std::optional<std::string>
ReceiveWithin(int aHandle, milliseconds aWait)
{
  pollfd row{ aHandle, POLLIN, 0 };
  if (::poll(&row, 1, static_cast<int>(std::max<long>(aWait.count(), 0))) <=
      0) {
    return std::nullopt;
  }
  std::string bytes(2048, '\0');
  const auto size = ::recv(aHandle, bytes.data(), bytes.size(), 0);
  if (size < 0) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(size));
  return bytes;
}

/** Lines of what a stand-in saw, in a file that several of them share. */
class Record
{
public:
  Record(const Options& aOptions, std::string aWho)
    : file_(aOptions.count("record") > 0 ? aOptions.at("record") : "/dev/null",
            std::ios::app)
    , who_(std::move(aWho))
  {
  }

  void Write(const std::string& aWhat)
  {
    const auto now = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
    file_ << std::to_string(now.count()) + " " + who_ + " " + aWhat + "\n";
    file_.flush();
  }

private:
  std::ofstream file_;
  std::string who_;
};

/** One call over HTTP/1.1; whether its answer was 2xx within a second. */
bool
Call(const End& aTo, const std::string& aHead, const std::string& aBody)
{
  const auto handle = ::socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{ kCallLimit.count() / 1000, 0 };
  ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const auto address = SystemAddressOf(aTo);
  auto good = false;
  if (::connect(handle,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0) {
    const auto text = aHead +
                      " HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n"
                      "Content-Type: application/json\r\nContent-Length: " +
                      std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    static_cast<void>(::send(handle, text.data(), text.size(), MSG_NOSIGNAL));
    char answer[64]{};
    const auto size = ::recv(handle, answer, sizeof(answer) - 1, 0);
    good = size > 9 && std::strncmp(answer, "HTTP/1.1 2", 10) == 0;
  }
  ::close(handle);
  return good;
}

/** A host: holds flows and answers each request with its own name. */
class Host
{
public:
  explicit Host(Options aOptions)
    : options_(std::move(aOptions))
    , record_(options_, options_["name"])
    , socket_(BoundSocket(EndOf(options_["listen"])))
    , outbound_(EndOf(options_["outbound"]))
    , reports_(EndOf(options_["reports"]))
    , born_(std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())
  {
  }

  int Run()
  {
    const milliseconds interval{ std::stol(options_["beat-ms"]) };
    auto beatAt = Clock::now();
    if (options_.count("first-beat-ms") > 0) {
      beatAt += milliseconds{ std::stol(options_["first-beat-ms"]) };
    }
    while (gStop == 0) {
      const auto now = Clock::now();
      if (beatAt <= now) {
        beatAt = now + interval;
        Beat();
      }
      const auto left =
        std::chrono::duration_cast<milliseconds>(beatAt - Clock::now());
      if (const auto bytes = ReceiveWithin(socket_, left)) {
        OnPacket(*bytes);
      }
    }
    return 0;
  }

private:
  struct Flow
  {
    std::uint32_t initial_{};
    std::uint32_t sent_{}; ///< Bytes of answers.
    std::uint32_t last_{}; ///< Sequence of the last request, once there is one.
    std::string answer_;   ///< To it.
    bool ended_{};
  };

  void Beat()
  {
    const auto body = R"({"service":")" + options_["service"] +
                      R"(","address":")" + options_["listen"] +
                      R"(","zone":"tartu-a","version":"v1","slots":3,)"
                      R"("state":"ready","warmup-left-ms":0,"seq":)" +
                      std::to_string(sequence_++) + R"(,"born":)" +
                      std::to_string(born_) + "}";
    const auto taken =
      Call(reports_, "PUT /cornelshore/instances/" + options_["name"], body);
    const auto isFirst = sequence_ == 2;
    if (taken != std::exchange(taken_, taken) || (isFirst && !taken)) {
      record_.Write(taken ? "heartbeat acknowledged"
                          : "heartbeat not answered");
    }
  }

  void OnPacket(std::string aBytes)
  {
    const auto packet = Decode(aBytes);
    if (!packet) {
      return;
    }
    if ((packet->flags_ & kSyn) != 0) {
      const auto [row, added] = flows_.try_emplace(packet->from_);
      if (added || row->second.ended_) {
        row->second = {
          static_cast<std::uint32_t>(random_()), 0, 0, {}, false
        };
        record_.Write("opens " + NameOf(packet->from_));
      }
      Answer(*packet, row->second.initial_, kSyn | kAck, {});
      return;
    }
    const auto found = flows_.find(packet->from_);
    if (found == flows_.end() ||
        packet->acknowledged_ - (found->second.initial_ + 1) >
          found->second.sent_ + 1) {
      record_.Write("bounces " + NameOf(packet->from_));
      aBytes[kFlagsAt] = static_cast<char>(aBytes[kFlagsAt] | kBounced);
      aBytes[kPadAt] = 0;
      SendTo(socket_, outbound_, aBytes);
      return;
    }
    auto& flow = found->second;
    if (!packet->data_.empty()) {
      if (flow.answer_.empty() || packet->sequence_ != flow.last_) {
        record_.Write("runs " + packet->data_ + " of " + NameOf(packet->from_));
        flow.last_ = packet->sequence_;
        flow.answer_ = options_["name"] + " " + packet->data_;
        flow.sent_ += static_cast<std::uint32_t>(flow.answer_.size());
      }
      const auto size = static_cast<std::uint32_t>(flow.answer_.size());
      Answer(
        *packet, flow.initial_ + 1 + flow.sent_ - size, kAck, flow.answer_);
    } else if ((packet->flags_ & kFin) != 0) {
      flow.ended_ = true;
      Answer(*packet, flow.initial_ + 1 + flow.sent_, kAck | kFin, {});
    }
  }

  static std::string NameOf(const End& aEnd)
  {
    return "port " + std::to_string(aEnd.port_);
  }

  void Answer(const Packet& aTo,
              std::uint32_t aSequence,
              std::uint8_t aFlags,
              const std::string& aData)
  {
    const auto size = static_cast<std::uint32_t>(aTo.data_.size());
    const auto more = (aTo.flags_ & (kSyn | kFin)) != 0 ? 1U : size;
    SendTo(socket_,
           outbound_,
           Encode({ aTo.to_,
                    aTo.from_,
                    aSequence,
                    aTo.sequence_ + more,
                    aFlags,
                    aData }));
  }

  Options options_;
  Record record_;
  int socket_;
  End outbound_;
  End reports_;
  std::int64_t born_;
  std::uint64_t sequence_{ 1 };
  bool taken_{};
  std::mt19937 random_{ std::random_device{}() };
  std::map<End, Flow> flows_;
};

/** Opens one flow from each of some ports, one after the other. */
class Client
{
public:
  explicit Client(Options aOptions)
    : options_(std::move(aOptions))
    , record_(options_, "client")
    , local_(EndOf(options_["listen"]))
    , socket_(BoundSocket(local_))
    , balancer_(EndOf(options_["balancer"]))
    , service_(EndOf(options_["to"]))
  {
  }

  int Run()
  {
    const auto first = std::stoul(options_["first-port"]);
    const auto count = std::stoul(options_["ports"]);
    std::vector<Flow> flows;
    for (auto port = first; port < first + count && gStop == 0; ++port) {
      flows.push_back({ { local_.ip_, static_cast<std::uint16_t>(port) } });
      if (!Open(flows.back()) || !Ask(flows.back(), options_["id"])) {
        flows.pop_back();
      } else if (options_.count("pause-ms") == 0) {
        Close(flows.back());
      }
    }
    if (options_.count("pause-ms") == 0) {
      return 0;
    }
    Tell("pauses on " + std::to_string(flows.size()) + " open flows");
    const auto until =
      Clock::now() + milliseconds{ std::stol(options_["pause-ms"]) };
    while (Clock::now() < until && gStop == 0) {
      ReceiveWithin(socket_, milliseconds{ 20 });
    }
    for (auto& flow : flows) {
      if (Ask(flow, options_["id"] + "-again")) {
        Close(flow);
      }
    }
    return 0;
  }

private:
  enum class Ended
  {
    Answered,
    Reset,
    Silent,
  };

  /** An open flow; the next bytes to send and to acknowledge. */
  struct Flow
  {
    End self_;
    std::uint32_t next_{};
    std::uint32_t acknowledged_{};
  };

  bool Open(Flow& aFlow)
  {
    const auto start = static_cast<std::uint32_t>(random_());
    record_.Write("opens a flow from port " +
                  std::to_string(aFlow.self_.port_));
    Packet answer;
    const auto ended = Exchange(
      { aFlow.self_, service_, start, 0, kSyn, {} }, kSyn, kOpenLimit, answer);
    if (ended != Ended::Answered) {
      Tell("port " + std::to_string(aFlow.self_.port_) +
           " not opened: " + NameOf(ended));
      return false;
    }
    aFlow.next_ = start + 1;
    aFlow.acknowledged_ = answer.sequence_ + 1;
    return true;
  }

  bool Ask(Flow& aFlow, const std::string& aId)
  {
    const auto request = aId + "-" + std::to_string(aFlow.self_.port_);
    Packet answer;
    const auto ended = Exchange({ aFlow.self_,
                                  service_,
                                  aFlow.next_,
                                  aFlow.acknowledged_,
                                  kAck,
                                  request },
                                0,
                                kRequestLimit,
                                answer);
    if (ended != Ended::Answered) {
      Tell(request + " " + NameOf(ended));
      return false;
    }
    aFlow.next_ += static_cast<std::uint32_t>(request.size());
    aFlow.acknowledged_ =
      answer.sequence_ + static_cast<std::uint32_t>(answer.data_.size());
    SendTo(
      socket_,
      balancer_,
      Encode(
        { aFlow.self_, service_, aFlow.next_, aFlow.acknowledged_, kAck, {} }));
    Tell(request + " answered by " +
         answer.data_.substr(0, answer.data_.find(' ')));
    return true;
  }

  void Close(Flow& aFlow)
  {
    Packet answer;
    const auto ended = Exchange({ aFlow.self_,
                                  service_,
                                  aFlow.next_,
                                  aFlow.acknowledged_,
                                  kAck | kFin,
                                  {} },
                                kFin,
                                kRequestLimit,
                                answer);
    SendTo(socket_,
           balancer_,
           Encode({ aFlow.self_,
                    service_,
                    aFlow.next_ + 1,
                    aFlow.acknowledged_ + 1,
                    kAck,
                    {} }));
    Tell("port " + std::to_string(aFlow.self_.port_) +
         (ended == Ended::Answered ? " closed by both ends" : " not closed"));
  }

  static std::string NameOf(Ended aEnded)
  {
    return aEnded == Ended::Reset ? "reset by the system" : "no answer";
  }

  void Tell(const std::string& aWhat)
  {
    record_.Write(aWhat);
    std::printf("%s\n", aWhat.c_str());
    std::fflush(stdout);
  }

  /** Sends a packet until its answer comes: one with `aFlag`, or data. */
  Ended Exchange(Packet aPacket,
                 std::uint8_t aFlag,
                 milliseconds aLimit,
                 Packet& aAnswer)
  {
    const auto opens = (aPacket.flags_ & kSyn) != 0;
    const auto begun = Clock::now();
    auto again = kFirstAgain;
    auto due = begun;
    while (Clock::now() - begun < aLimit && gStop == 0) {
      if (due <= Clock::now()) {
        SendTo(socket_, balancer_, Encode(aPacket));
        due += again;
        again = std::min(2 * again, kLastAgain);
        // Copies of a SYN follow after 200 ms and 600 ms, and no more.
        if (opens && ++aPacket.acknowledged_ == 3) {
          due = begun + 2 * aLimit;
        }
      }
      const auto until = std::min(due, begun + aLimit);
      const auto bytes = ReceiveWithin(
        socket_,
        std::chrono::duration_cast<milliseconds>(until - Clock::now()) +
          milliseconds{ 1 });
      const auto packet = bytes ? Decode(*bytes) : std::nullopt;
      if (!packet || packet->to_.port_ != aPacket.from_.port_) {
        continue;
      }
      if ((packet->flags_ & kReset) != 0) {
        record_.Write(
          "gets a reset at port " + std::to_string(packet->to_.port_) +
          (packet->sum_ == 0 ? ", the system's own" : ", of a host"));
        return packet->sum_ == 0 ? Ended::Reset : Ended::Silent;
      }
      const auto fits =
        aFlag != 0 ? (packet->flags_ & aFlag) != 0 : !packet->data_.empty();
      if (fits) {
        aAnswer = *packet;
        return Ended::Answered;
      }
    }
    return Ended::Silent;
  }

  Options options_;
  Record record_;
  End local_;
  int socket_;
  End balancer_;
  End service_;
  std::mt19937 random_{ std::random_device{}() };
};

} // namespace

/** Usage: flows host|client [--KEY VALUE]... */
int
main(int aCount, char** aArguments)
{
  const std::vector<std::string> words(aArguments, aArguments + aCount);
  Options options;
  for (std::size_t index = 2; index + 1 < words.size(); index += 2) {
    options[words[index].substr(2)] = words[index + 1];
  }
  struct sigaction action
  {};
  action.sa_handler = OnSignal;
  ::sigaction(SIGTERM, &action, nullptr);
  ::sigaction(SIGINT, &action, nullptr);
  if (aCount > 1 && words[1] == "host") {
    return Host(options).Run();
  }
  if (aCount > 1 && words[1] == "client") {
    return Client(options).Run();
  }
  return 2;
}
