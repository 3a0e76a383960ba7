#ifndef CORNELSHORE_TEST_RELAY_BALANCER_FIXTURE_HPP
#define CORNELSHORE_TEST_RELAY_BALANCER_FIXTURE_HPP

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include <cornelshore/relay/balancer.hpp>
#include <cornelshore/relay/codec.hpp>

namespace cornelshore::relay {

using std::chrono::milliseconds;

inline constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
inline const ServiceId kBoards = ServiceIdOf("boards");
inline const ServiceId kSheets = ServiceIdOf("sheets");
inline const Address kBoardAddress = MakeIpv4(0xC6120001U, 443);
inline const Address kSheetAddress = MakeIpv4(0xC6120002U, 443);
/** @brief Flows whose search begins within this time share a query. */
inline constexpr auto kGather = milliseconds{ 10 };

/** @brief Routes to boards and sheets; the former may lead to another service.
 */
inline Configuration
ConfigurationOf(std::uint64_t aVersion, ServiceId aBoardsLeadTo = kBoards)
{
  Configuration configuration;
  configuration.version_ = ConfigVersion{ aVersion };
  for (const auto& [address, service] :
       { std::pair(kBoardAddress, aBoardsLeadTo),
         std::pair(kSheetAddress, kSheets) }) {
    Route route;
    route.address_ = address;
    route.timeout_ = std::chrono::seconds{ 1 };
    route.to_ = { { service, 1 } };
    configuration.routes_.push_back(route);
  }
  return configuration;
}

/** @brief A ready host of four slots. */
inline HostRecord
RecordOf(std::uint64_t aHost, ServiceId aService)
{
  HostRecord record;
  record.id_ = HostId{ aHost };
  record.incarnation_ = Incarnation{ 1 };
  record.sequence_ = 1;
  record.service_ = aService;
  record.agent_ = MakeIpv4(0x0A000000U + static_cast<std::uint32_t>(aHost), 7);
  record.slots_ = 4;
  record.state_ = HostState::Ready;
  return record;
}

/** @brief A packet from a caller identified by its port. */
inline Segment
FromCaller(std::uint16_t aPort, const Address& aTo, bool aOpening)
{
  Segment segment;
  segment.from_ = MakeIpv4(0x64400007U, aPort);
  segment.to_ = aTo;
  segment.opening_ = aOpening;
  segment.acknowledging_ = !aOpening;
  segment.payload_ = aOpening ? 0 : 100;
  return segment;
}

/** @brief Agents that the actions subscribe to. */
inline std::set<Address>
WatchedIn(const Balancer::Actions& aActions)
{
  std::set<Address> agents;
  for (const auto& action : aActions) {
    if (const auto* watch = std::get_if<WatchAgent>(&action)) {
      agents.insert(watch->agent_);
    }
  }
  return agents;
}

/** @brief A balancer that knows hosts 1 to 3 of boards and 11, 12 of sheets. */
class BalancerTest : public testing::Test
{
protected:
  BalancerTest()
    : balancer_(SettingsOf(), PlainCodec())
  {
    balancer_.UpdateRoutes(kStart - std::chrono::seconds{ 1 },
                           ConfigurationOf(1));
    for (const std::uint64_t host : { 1U, 2U, 3U }) {
      balancer_.UpdateHosts(kStart, { RecordOf(host, kBoards) });
    }
    for (const std::uint64_t host : { 11U, 12U }) {
      balancer_.UpdateHosts(kStart, { RecordOf(host, kSheets) });
    }
    ReportLoads(kStart);
  }

  static BalancerSettings SettingsOf()
  {
    BalancerSettings settings;
    settings.seed_ = 5;
    return settings;
  }

  void ReportLoads(TimePoint aNow)
  {
    for (const std::uint64_t host : { 1U, 2U, 3U, 11U, 12U }) {
      balancer_.OnLoad(aNow, HostId{ host }, { 0, 0, 4, true, false });
    }
    balancer_.NoteSynced(aNow);
  }

  Balancer::Actions Packet(TimePoint aNow, const Segment& aSegment)
  {
    Balancer::Actions actions;
    balancer_.OnPacket(aNow, PacketOf(aSegment), actions);
    return actions;
  }

  Balancer::Actions Answer(TimePoint aNow,
                           std::uint64_t aHost,
                           const Segment& aSegment,
                           Verdict aVerdict,
                           std::string aPacket = {})
  {
    Balancer::Actions actions;
    balancer_.OnAnswer(aNow,
                       HostId{ aHost },
                       { KeyFromCaller(aSegment),
                         aVerdict,
                         { 0, 0, 4, true, false },
                         std::move(aPacket) },
                       actions);
    return actions;
  }

  static std::set<std::uint64_t> HostsOf(const Balancer::Actions& aActions)
  {
    std::set<std::uint64_t> hosts;
    for (const auto& action : aActions) {
      if (const auto* send = std::get_if<ToAgent>(&action)) {
        hosts.insert(send->host_.value_);
      }
    }
    return hosts;
  }

  static std::size_t ResetsIn(const Balancer::Actions& aActions)
  {
    return static_cast<std::size_t>(
      std::count_if(aActions.begin(), aActions.end(), [](const auto& aAction) {
        return std::holds_alternative<ToCaller>(aAction);
      }));
  }

  /** Number of actions that send a message; log decisions do not. */
  static std::size_t SentBy(const Balancer::Actions& aActions)
  {
    return static_cast<std::size_t>(
      std::count_if(aActions.begin(), aActions.end(), [](const auto& aAction) {
        return !std::holds_alternative<FlowDecision>(aAction);
      }));
  }

  /** Hosts that are queried; stores the last query in `aLast`. */
  static std::set<std::uint64_t> QueriedIn(const Balancer::Actions& aActions,
                                           Query* aLast = nullptr)
  {
    std::set<std::uint64_t> hosts;
    for (const auto& action : aActions) {
      if (const auto* query = std::get_if<QueryAgent>(&action)) {
        hosts.insert(query->agent_.ip_[15]);
        if (aLast != nullptr) {
          *aLast = query->query_;
        }
      }
    }
    return hosts;
  }

  /** Delivers a host's answer to a query, the same for each flow. */
  Balancer::Actions Reply(TimePoint aNow,
                          std::uint64_t aHost,
                          const Query& aQuery,
                          Holding aHolding)
  {
    Balancer::Actions actions;
    QueryAnswer answer;
    answer.id_ = aQuery.id_;
    answer.holdings_.assign(aQuery.items_.size(), aHolding);
    balancer_.OnAnswer(aNow, HostId{ aHost }, answer, actions);
    return actions;
  }

  /** Lets the nearby hosts deny the flow and returns the resulting query. */
  Query DeniedNearby(TimePoint aNow, const Segment& aPacket)
  {
    for (const auto host : HostsOf(Packet(aNow, aPacket))) {
      EXPECT_EQ(SentBy(Answer(aNow, host, aPacket, Verdict::Unknown)), 0U);
    }
    Balancer::Actions actions;
    balancer_.Tick(aNow + kGather, actions);
    Query query;
    EXPECT_EQ(QueriedIn(actions, &query),
              (std::set<std::uint64_t>{ 1, 2, 3, 11, 12 }));
    return query;
  }

  static const ToAgent& OfferIn(const Balancer::Actions& aActions)
  {
    const auto found =
      std::find_if(aActions.begin(), aActions.end(), [](const auto& aAction) {
        return std::holds_alternative<ToAgent>(aAction);
      });
    return std::get<ToAgent>(*found);
  }

  Balancer balancer_;
};

} // namespace cornelshore::relay

#endif
