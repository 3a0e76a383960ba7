#ifndef CORNELSHORE_BENCH_SUPPORT_FLOWS_MEASURES_HPP
#define CORNELSHORE_BENCH_SUPPORT_FLOWS_MEASURES_HPP

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <cornelshore/core/check.hpp>
#include <cornelshore/core/hash.hpp>
#include <cornelshore/flow/agent.hpp>
#include <cornelshore/flow/balancer.hpp>
#include <cornelshore/wire/writer.hpp>

#include "report.hpp"

/** @brief Measurements of flow that need no schedule of changes. */
namespace cornelshore::bench::flows {

/** @brief Agents of one service that answer each other at once. */
class Direct
{
public:
  static constexpr ServiceId kService{ 1 };

  explicit Direct(std::uint16_t aSlots)
    : slots_(aSlots)
  {
    limits_.udpIdle_ = std::chrono::hours(100);
  }

  void Grow(std::size_t aHosts)
  {
    while (agents_.size() < aHosts) {
      const HostId id{ HashPair(++lastHost_, 11) };
      HostRecord record;
      record.id_ = id;
      record.incarnation_ = { 1 };
      record.service_ = kService;
      record.slots_ = slots_;
      auto agent =
        flow::AgentBuilder().SetSelf(record).SetLimits(limits_).Build();
      CheckInvariant(agent.ok(), "the limits of a run are valid");
      records_[id] = record;
      agents_.emplace(id, *std::move(agent));
      Feed(id, flow::ViewConfirmed{ now_ });
      Feed(id, flow::ReadinessChanged{ true });
    }
    changed_ = AllRecords();
    Settle();
  }

  /** @brief Lets time pass, a second at a time, until nothing changes. */
  void Pass(std::chrono::seconds aTime)
  {
    for (std::int64_t second = 0; second < aTime.count(); ++second) {
      now_ += std::chrono::seconds(1);
      for (auto& [id, agent] : agents_) {
        Feed(id, flow::ViewConfirmed{ now_ });
        Feed(id, flow::Tick{});
      }
      Settle();
    }
  }

  void Feed(HostId aId, flow::Event aEvent)
  {
    const auto found = agents_.find(aId);
    if (found == agents_.end()) {
      return;
    }
    for (auto& action : found->second.On(now_, std::move(aEvent))) {
      if (auto* forward = std::get_if<flow::Forward>(&action)) {
        waiting_.emplace_back(forward->to_, std::move(forward->envelope_));
      } else if (auto* announce = std::get_if<flow::Announce>(&action)) {
        auto& record = records_[aId];
        ++record.sequence_;
        record.state_ = announce->state_;
        record.held_ = announce->held_;
        changed_.push_back(record);
        ++announcements_;
      } else if (std::holds_alternative<flow::Deliver>(action)) {
        deliveredAt_ = aId;
      }
    }
  }

  /** @brief Sends one packet through a balancer; says where it ended. */
  HostId Send(const flow::Packet& aPacket)
  {
    auto copy = aPacket;
    auto decision = balancer_.OnPacket(now_, std::move(copy));
    deliveredAt_ = {};
    if (auto* send = std::get_if<flow::Send>(&decision)) {
      waiting_.emplace_back(send->to_, std::move(send->envelope_));
    }
    Drain();
    return deliveredAt_;
  }

  std::map<HostId, flow::Agent> agents_;
  std::uint64_t announcements_{};
  TimePoint now_{ std::chrono::seconds(1000) };

private:
  std::vector<HostRecord> AllRecords() const
  {
    std::vector<HostRecord> all;
    for (const auto& [id, record] : records_) {
      if (record.sequence_ != 0) {
        all.push_back(record);
      }
    }
    return all;
  }

  void Drain()
  {
    while (!waiting_.empty()) {
      auto [to, envelope] = std::move(waiting_.front());
      waiting_.pop_front();
      Feed(to, flow::EnvelopeArrived{ std::move(envelope) });
    }
  }

  void Settle()
  {
    while (!changed_.empty()) {
      const auto records = std::exchange(changed_, {});
      balancer_.Update(now_, records);
      for (auto& [id, agent] : agents_) {
        Feed(id, flow::MembershipChanged{ records });
      }
    }
  }

  std::uint16_t slots_;
  flow::Limits limits_;
  flow::Balancer balancer_;
  std::uint64_t lastHost_{};
  std::map<HostId, HostRecord> records_;
  std::vector<HostRecord> changed_;
  std::deque<std::pair<HostId, flow::Envelope>> waiting_;
  HostId deliveredAt_;
};

/** @brief The opening packet of one flow. */
inline flow::Packet
OpeningPacket(std::uint64_t aFlow)
{
  flow::Packet packet;
  packet.service_ = Direct::kService;
  packet.key_.caller_ =
    MakeIpv4(0x0A000000U + static_cast<std::uint32_t>(aFlow >> 14U),
             static_cast<std::uint16_t>(1024 + (aFlow & 0x3FFFU)));
  packet.key_.service_ = MakeIpv4(0xC6336401U, 443);
  packet.key_.transport_ = Transport::Tcp;
  packet.opening_ = flow::Opening::Yes;
  return packet;
}

/** @brief Bytes of a host's record with every field written out. */
inline std::size_t
RecordBytes(const HostRecord& aRecord)
{
  std::string out;
  wire::Writer writer(out);
  writer.Write(aRecord.id_);
  writer.Write(aRecord.incarnation_);
  writer.Uint(aRecord.sequence_);
  writer.Write(aRecord.service_);
  writer.Write(aRecord.dataCentre_);
  writer.Write(aRecord.agent_);
  writer.Uint(aRecord.slots_);
  writer.Uint(aRecord.connectionLimit_);
  writer.Uint(static_cast<std::uint8_t>(aRecord.state_));
  writer.Bytes(std::string(kBucketCount / 8, '\0'));
  return out.size();
}

/**
 * @brief Records that one join and one leave cause until all is quiet, in
 * bytes that each process receives; flows stay open throughout.
 */
inline void
MeasureControlTraffic(Report& aReport, std::size_t aHosts)
{
  Direct fleet(3);
  fleet.Grow(aHosts);
  fleet.Pass(std::chrono::seconds(31));
  const std::uint64_t flows = aHosts * 100;
  for (std::uint64_t flow = 0; flow < flows; ++flow) {
    fleet.Send(OpeningPacket(flow));
  }
  fleet.Pass(std::chrono::seconds(5));
  const auto idle = fleet.announcements_;
  fleet.Pass(std::chrono::seconds(5));
  const auto before = fleet.announcements_;
  fleet.Grow(aHosts + 1);
  for (std::uint64_t flow = flows; flow < flows + flows / 4; ++flow) {
    fleet.Send(OpeningPacket(flow));
  }
  fleet.Pass(std::chrono::seconds(5));
  const auto joined = fleet.announcements_;
  fleet.Feed(fleet.agents_.begin()->first, flow::LeaveRequested{});
  for (std::uint64_t flow = 2 * flows; flow < 2 * flows + flows / 4; ++flow) {
    fleet.Send(OpeningPacket(flow));
  }
  fleet.Pass(std::chrono::seconds(5));
  const auto left = fleet.announcements_;
  HostRecord record;
  record.id_ = { ~std::uint64_t{} };
  record.incarnation_ = { std::uint64_t{ 1 } << 40U };
  record.sequence_ = 70000;
  record.service_ = { ~std::uint32_t{} };
  record.dataCentre_ = { ~std::uint32_t{} };
  const auto bytes = static_cast<double>(RecordBytes(record));
  const auto prefix = "control." + std::to_string(aHosts) + "_hosts.";
  aReport.Value(prefix + "records_without_change",
                static_cast<double>(before - idle));
  aReport.Value(prefix + "records_a_join",
                static_cast<double>(joined - before));
  aReport.Value(prefix + "records_a_leave", static_cast<double>(left - joined));
  aReport.Value(prefix + "bytes_a_join",
                static_cast<double>(joined - before) * bytes);
  aReport.Value(prefix + "bytes_a_leave",
                static_cast<double>(left - joined) * bytes);
}

/** @brief What the upstreams' load endpoints tell. */
enum class Reports : std::uint8_t
{
  True,
  FiveSecondsLate,
  Zero,
};

/** @brief Largest number of flows at a host over the mean. */
inline double
LargestOverMean(const std::map<HostId, std::uint64_t>& aFlows,
                std::size_t aHosts)
{
  std::uint64_t most = 0;
  std::uint64_t sum = 0;
  for (const auto& [host, count] : aFlows) {
    most = std::max(most, count);
    sum += count;
  }
  return static_cast<double>(most * aHosts) / static_cast<double>(sum);
}

/**
 * @brief Opens flows, 1,000 a second, while hosts in turn lose half of theirs.
 *
 * What a host reported some seconds ago is then now too low, now too high.
 */
class Balance
{
public:
  using Place = std::function<HostId(const flow::Packet& aPacket)>;

  Balance(Direct& aFleet, Place aPlace)
    : fleet_(aFleet)
    , place_(std::move(aPlace))
  {
  }

  /** @brief Mean over the seconds of the last half of largest over mean. */
  double Run(std::size_t aSeconds, std::optional<Reports> aReports)
  {
    double sum = 0;
    for (std::size_t second = 0; second < aSeconds; ++second) {
      for (std::size_t flow = 0; flow < kFlowsASecond; ++flow) {
        Open();
      }
      sum += second < aSeconds / 2 ? 0.0 : Largest();
      CloseHalf(second % fleet_.agents_.size());
      if (aReports) {
        Report(*aReports);
        fleet_.Pass(std::chrono::seconds(1));
      }
    }
    const auto half = aSeconds / 2;
    return sum / static_cast<double>(aSeconds - half);
  }

private:
  static constexpr std::size_t kFlowsASecond = 1000;
  static constexpr std::size_t kReportsKept = 6;

  void Open()
  {
    const auto packet = OpeningPacket(++lastFlow_);
    flows_[place_(packet)].push_back(packet.key_);
  }

  double Largest() const
  {
    std::map<HostId, std::uint64_t> counts;
    for (const auto& [host, keys] : flows_) {
      counts[host] = keys.size();
    }
    return LargestOverMean(counts, fleet_.agents_.size());
  }

  void CloseHalf(std::size_t aIndex)
  {
    const auto host =
      std::next(fleet_.agents_.begin(), static_cast<std::ptrdiff_t>(aIndex))
        ->first;
    auto& keys = flows_[host];
    for (std::size_t left = keys.size() / 2; left > 0; --left) {
      fleet_.Feed(host, flow::UpstreamClosed{ keys.back() });
      keys.pop_back();
    }
  }

  void Report(Reports aReports)
  {
    std::map<HostId, std::size_t> now;
    for (const auto& [host, keys] : flows_) {
      now[host] = keys.size();
    }
    past_.push_back(std::move(now));
    if (past_.size() > kReportsKept) {
      past_.pop_front();
    }
    const auto& told =
      aReports == Reports::FiveSecondsLate ? past_.front() : past_.back();
    for (const auto& [host, count] : told) {
      const auto load = aReports == Reports::Zero ? 0 : count * 1000 / 3;
      fleet_.Feed(host, flow::LoadReported{ static_cast<std::uint32_t>(load) });
    }
  }

  Direct& fleet_;
  Place place_;
  std::uint64_t lastFlow_{};
  std::map<HostId, std::vector<FlowKey>> flows_;
  std::deque<std::map<HostId, std::size_t>> past_;
};

/** @brief Plain hashing: every flow at its bucket's first owner. */
inline double
PlainImbalance(Direct& aFleet, std::size_t aSeconds)
{
  routing::Table table(1);
  std::vector<routing::Weight> weights;
  weights.reserve(aFleet.agents_.size());
  for (const auto& [id, agent] : aFleet.agents_) {
    weights.push_back({ id, 3 });
  }
  table.Apply(weights);
  Balance balance(aFleet, [&](const flow::Packet& aPacket) {
    return table.First(routing::BucketOf(aPacket.key_));
  });
  return balance.Run(aSeconds, std::nullopt);
}

/** @brief Second choice, with load reports of one kind. */
inline double
SecondChoiceImbalance(Direct& aFleet, std::size_t aSeconds, Reports aReports)
{
  Balance balance(
    aFleet, [&](const flow::Packet& aPacket) { return aFleet.Send(aPacket); });
  return balance.Run(aSeconds, aReports);
}

inline void
MeasureImbalance(Report& aReport, std::size_t aHosts)
{
  const auto runFor = aHosts * 4;
  const auto prefix = "imbalance." + std::to_string(aHosts) + "_hosts.";
  const auto fresh = [aHosts] {
    Direct fleet(3);
    fleet.Grow(aHosts);
    fleet.Pass(std::chrono::seconds(31));
    return fleet;
  };
  auto plain = fresh();
  aReport.Value(prefix + "plain_hashing", PlainImbalance(plain, runFor));
  const std::array<std::pair<Reports, const char*>, 3> kinds{
    { { Reports::True, "second_choice.true_reports" },
      { Reports::FiveSecondsLate, "second_choice.late_5s_reports" },
      { Reports::Zero, "second_choice.zero_reports" } }
  };
  for (const auto& [kind, name] : kinds) {
    auto fleet = fresh();
    aReport.Value(prefix + name, SecondChoiceImbalance(fleet, runFor, kind));
  }
}

/** @brief Time of a balancer's decision at the target's size. */
inline void
MeasureDecision(Report& aReport)
{
  constexpr std::uint64_t kServices = 1300;
  constexpr std::uint64_t kHosts = 15;
  constexpr std::uint64_t kPackets = 1U << 20U;
  using Clock = std::chrono::steady_clock;
  std::vector<HostRecord> records;
  for (std::uint64_t host = 0; host < kServices * kHosts; ++host) {
    HostRecord record;
    record.id_ = { HashPair(host, 3) };
    record.incarnation_ = { 1 };
    record.sequence_ = 1;
    record.service_ = { static_cast<std::uint32_t>(1 + host % kServices) };
    record.slots_ = 3;
    record.state_ = HostState::Ready;
    records.push_back(record);
  }
  const auto nanoseconds = [](Clock::duration aTime) {
    return static_cast<double>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(aTime).count());
  };
  flow::Balancer balancer;
  auto start = Clock::now();
  balancer.Update({}, records);
  aReport.Value("decision.all_tables_ms",
                nanoseconds(Clock::now() - start) / 1e6);
  records[0].sequence_ = 2;
  records[0].state_ = HostState::Leaving;
  start = Clock::now();
  balancer.Update({}, { records.data(), 1 });
  aReport.Value("decision.one_change_us",
                nanoseconds(Clock::now() - start) / 1e3);
  aReport.Value("decision.table_bytes",
                static_cast<double>(balancer.Dump().tableBytes_));
  std::uint64_t sent = 0;
  start = Clock::now();
  for (std::uint64_t index = 0; index < kPackets; ++index) {
    auto packet = OpeningPacket(index);
    packet.service_ = { static_cast<std::uint32_t>(1 + index % kServices) };
    const auto decision = balancer.OnPacket({}, std::move(packet));
    sent += std::holds_alternative<flow::Send>(decision) ? 1 : 0;
  }
  const auto took = nanoseconds(Clock::now() - start);
  aReport.Value("decision.sent", static_cast<double>(sent));
  aReport.AtMost(
    "decision.ns_a_packet", took / static_cast<double>(kPackets), 1000);
}

} // namespace cornelshore::bench::flows

#endif
