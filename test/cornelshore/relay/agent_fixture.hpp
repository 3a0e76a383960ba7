#ifndef CORNELSHORE_TEST_RELAY_AGENT_FIXTURE_HPP
#define CORNELSHORE_TEST_RELAY_AGENT_FIXTURE_HPP

#include <cstdint>
#include <optional>

#include <gtest/gtest.h>

#include <cornelshore/relay/agent.hpp>
#include <cornelshore/relay/codec.hpp>

namespace cornelshore::relay {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
inline const ServiceId kBoards = ServiceIdOf("boards");
inline const ServiceId kSheets = ServiceIdOf("sheets");
inline const Address kBoardAddress = MakeIpv4(0xC6120001U, 443);
inline const Address kBalancer = MakeIpv4(0x0A010001U, 7720);

inline HostReport
ReportOf(std::uint64_t aSequence, bool aLeaving = false)
{
  HostReport report;
  report.instance_ = "i-1";
  report.startMillis_ = 1000;
  report.sequence_ = aSequence;
  report.service_ = kBoards;
  report.slots_ = 2;
  report.leaving_ = aLeaving;
  return report;
}

inline Segment
FromCaller(std::uint16_t aPort, bool aOpening)
{
  Segment segment;
  segment.from_ = MakeIpv4(0x64400007U, aPort);
  segment.to_ = kBoardAddress;
  segment.opening_ = aOpening;
  segment.acknowledging_ = !aOpening;
  segment.acknowledged_ = aOpening ? 0 : 5001;
  segment.payload_ = aOpening ? 0 : 100;
  return segment;
}

inline Segment
FromHostTo(std::uint16_t aPort, bool aOpening)
{
  Segment segment;
  segment.from_ = kBoardAddress;
  segment.to_ = MakeIpv4(0x64400007U, aPort);
  segment.opening_ = aOpening;
  segment.acknowledging_ = true;
  segment.sequence_ = 5000;
  segment.payload_ = aOpening ? 0 : 500;
  return segment;
}

/** @brief An agent that started 10 s ago and has no host. */
class AgentTest : public testing::Test
{
protected:
  AgentTest()
    : agent_(SettingsOf(), PlainCodec(), kStart - seconds{ 10 })
  {
  }

  static AgentSettings SettingsOf()
  {
    AgentSettings settings;
    settings.service_ = kBoards;
    return settings;
  }

  Agent::Actions Carry(TimePoint aNow,
                       Purpose aPurpose,
                       const Segment& aSegment,
                       ServiceId aService = kBoards)
  {
    Agent::Actions actions;
    agent_.OnRelayedPacket(aNow,
                           kBalancer,
                           { aPurpose, aService, version_, PacketOf(aSegment) },
                           actions);
    return actions;
  }

  Agent::Actions HostSends(TimePoint aNow, const Segment& aSegment)
  {
    Agent::Actions actions;
    agent_.OnHostPacket(aNow, PacketOf(aSegment), actions);
    return actions;
  }

  void OpenFlow(std::uint16_t aPort)
  {
    Carry(kStart, Purpose::ForceOpen, FromCaller(aPort, true));
    HostSends(kStart, FromHostTo(aPort, true));
  }

  /** Both ends finish the flow. */
  void CloseFlow(std::uint16_t aPort)
  {
    auto last = FromCaller(aPort, false);
    last.finishing_ = true;
    Carry(kStart, Purpose::Direct, last);
    auto answer = FromHostTo(aPort, false);
    answer.finishing_ = true;
    HostSends(kStart, answer);
  }

  static HostReport NextInstance()
  {
    auto report = ReportOf(1);
    report.instance_ = "i-2";
    report.startMillis_ = 2000;
    return report;
  }

  Holding HoldingOf(TimePoint aNow, std::uint16_t aPort) const
  {
    const auto key = KeyFromCaller(FromCaller(aPort, false));
    Agent::Actions actions;
    agent_.OnQuery(
      aNow, kBalancer, { 1, { { ShortHashOf(key), 5001 } } }, actions);
    return std::get<AnswerQuery>(actions.front()).answer_.holdings_.front();
  }

  static std::optional<Segment> Delivered(const Agent::Actions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* toHost = std::get_if<ToHost>(&action)) {
        return SegmentOf(toHost->packet_);
      }
    }
    return std::nullopt;
  }

  static std::optional<Answer> AnswerIn(const Agent::Actions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* tell = std::get_if<ToBalancer>(&action)) {
        return tell->answer_;
      }
    }
    return std::nullopt;
  }

  static std::optional<Verdict> VerdictIn(const Agent::Actions& aActions)
  {
    const auto answer = AnswerIn(aActions);
    return answer ? std::optional(answer->verdict_) : std::nullopt;
  }

  Agent agent_;
  ConfigVersion version_{ 1 };
};

} // namespace cornelshore::relay

#endif
