#include <cornelshore/dissemination/node.hpp>

#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/dissemination/fleet.hpp>

namespace cornelshore::dissemination {
namespace {

using membership::NodeRole;

TEST(Node, SpreadsConfigurationsAndRecordsToEveryProcess)
{
  Fleet fleet(1);
  Fill(fleet, 3, 10, 20);
  for (std::size_t index = 13; index < 33; ++index) {
    fleet.Feed(
      index,
      HostAnnounced{ RecordOf(fleet.Members()[index], 1, HostState::Ready) });
  }
  fleet.RunFor(std::chrono::seconds(20));
  fleet.Feed(0, ConfigAccepted{ { 1 }, std::string(5000, 'a') });
  fleet.Feed(0, ControlConfirmed{ { 1 }, 1 });
  fleet.RunFor(std::chrono::seconds(20));
  for (auto& member : fleet.Members()) {
    EXPECT_EQ(member.node_.Config().value_, 1U)
      << member.settings_.self_.value_;
    EXPECT_TRUE(member.node_.Confirmed(fleet.Now()));
    EXPECT_EQ(member.node_.Hosts().size(), 20U);
    ASSERT_TRUE(member.node_.ConfirmedAt().has_value());
    EXPECT_LT(fleet.Now() - *member.node_.ConfirmedAt(),
              std::chrono::seconds(15));
  }
}

/** Loses a third, duplicates a tenth and reorders by random delays. */
void
MakeHostile(Fleet& aFleet)
{
  aFleet.fate_ = [&aFleet](std::size_t, std::size_t) {
    auto& random = aFleet.Randomness();
    Fleet::Fate fate;
    fate.copies_ = random.Below(3) == 0 ? 0 : random.Below(10) == 0 ? 2 : 1;
    fate.delay_ = std::chrono::milliseconds(random.Below(1500));
    return fate;
  };
}

TEST(Node, HoldsWhatANaiveMapOfEveryChangeHolds)
{
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    Fleet fleet(seed);
    Fill(fleet, 3, 8, 12);
    MakeHostile(fleet);
    std::map<HostId, HostRecord> naive;
    std::uint64_t version = 0;
    std::map<std::size_t, std::uint64_t> sequences;
    for (int step = 0; step < 60; ++step) {
      auto& random = fleet.Randomness();
      const auto agent = 11 + random.Below(12);
      if (random.Below(8) == 0) {
        fleet.Restart(agent);
        sequences[agent] = 0;
      }
      const auto state = static_cast<HostState>(random.Below(4));
      const auto record =
        RecordOf(fleet.Members()[agent], ++sequences[agent], state);
      naive[record.id_] = record;
      fleet.Feed(agent, HostAnnounced{ record });
      if (random.Below(4) == 0) {
        fleet.Feed(random.Below(3),
                   ConfigAccepted{ { ++version }, std::string(300, 'c') });
      }
      if (random.Below(10) == 0) {
        fleet.Restart(3 + random.Below(8));
      }
      fleet.Feed(0, ControlConfirmed{ { version }, 1 });
      fleet.RunFor(std::chrono::milliseconds(random.Below(3000)));
    }
    for (int second = 0; second < 60; ++second) {
      fleet.Feed(0, ControlConfirmed{ { version }, 1 });
      fleet.RunFor(std::chrono::seconds(1));
    }
    std::vector<HostRecord> expected;
    expected.reserve(naive.size());
    for (const auto& [id, record] : naive) {
      expected.push_back(record);
    }
    for (auto& member : fleet.Members()) {
      EXPECT_EQ(member.node_.Hosts().All(), expected)
        << seed << ' ' << member.settings_.self_.value_;
      EXPECT_EQ(member.node_.Config().value_, version) << seed;
      EXPECT_EQ(member.reverts_, 0U);
    }
  }
}

TEST(Node, RestartedBesideAStaleControlVmServesNothingOldAsCurrent)
{
  Fleet fleet(2);
  Fill(fleet, 3, 6, 0);
  fleet.RunFor(std::chrono::seconds(10));
  fleet.Feed(2, ConfigAccepted{ { 1 }, "old" });
  fleet.Feed(2, ControlConfirmed{ { 1 }, 1 });
  fleet.RunFor(std::chrono::seconds(5));
  bool cut = true;
  constexpr std::size_t kRestarted = 8;
  fleet.fate_ = [&cut](std::size_t aFrom, std::size_t aTo) {
    const auto inside = [](std::size_t aIndex) {
      return aIndex == 2 || aIndex == kRestarted || aIndex == kRestarted - 1;
    };
    Fleet::Fate fate;
    fate.copies_ = cut && inside(aFrom) != inside(aTo) ? 0 : 1;
    return fate;
  };
  fleet.Feed(0, ConfigAccepted{ { 2 }, "new" });
  fleet.Feed(0, ControlConfirmed{ { 2 }, 2 });
  fleet.RunFor(std::chrono::seconds(40));
  EXPECT_FALSE(fleet.At(kRestarted - 1).Confirmed(fleet.Now()));
  EXPECT_EQ(fleet.At(kRestarted - 1).Config().value_, 1U);
  fleet.Members()[kRestarted - 1].up_ = false;
  fleet.Restart(kRestarted);
  fleet.RunFor(std::chrono::minutes(10));
  EXPECT_EQ(fleet.At(kRestarted).Config().value_, 0U);
  EXPECT_FALSE(fleet.At(kRestarted).Confirmed(fleet.Now()));
  cut = false;
  fleet.Feed(0, ControlConfirmed{ { 2 }, 2 });
  fleet.RunFor(std::chrono::seconds(20));
  EXPECT_EQ(fleet.At(kRestarted).Config().value_, 2U);
  EXPECT_TRUE(fleet.At(kRestarted).Confirmed(fleet.Now()));
}

TEST(Node, GoesOnUnconfirmedWhenAllOfControlIsLost)
{
  Fleet fleet(3);
  Fill(fleet, 3, 6, 6);
  fleet.RunFor(std::chrono::seconds(10));
  fleet.Feed(0, ConfigAccepted{ { 1 }, "one" });
  fleet.Feed(0, ControlConfirmed{ { 1 }, 1 });
  fleet.RunFor(std::chrono::seconds(10));
  for (std::size_t control = 0; control < 3; ++control) {
    fleet.Members()[control].up_ = false;
  }
  fleet.seeds_ = 6;
  fleet.RunFor(std::chrono::hours(2));
  fleet.Restart(8);
  fleet.Restart(14);
  fleet.RunFor(std::chrono::seconds(30));
  for (std::size_t index = 3; index < 15; ++index) {
    EXPECT_EQ(fleet.At(index).Config().value_, 1U) << index;
    EXPECT_FALSE(fleet.At(index).Confirmed(fleet.Now()));
    ASSERT_TRUE(fleet.At(index).ConfirmedAt().has_value()) << index;
    EXPECT_LT(fleet.Now() - *fleet.At(index).ConfirmedAt(),
              std::chrono::seconds(30));
  }
}

TEST(Node, TakesNoConfirmationMadeForAnEarlierRun)
{
  Fleet fleet(4);
  Fill(fleet, 1, 1, 0);
  Message replayed;
  replayed.header_.receiver_ = Incarnation{ 1 };
  replayed.header_.confirmation_ = Confirmation{ { 1 }, 1, {} };
  fleet.fate_ = [](std::size_t, std::size_t) { return Fleet::Fate{ 0, {} }; };
  fleet.Restart(1);
  fleet.Feed(1, Received{ Fleet::IdAt(0), Fleet::AddressAt(0), replayed });
  EXPECT_FALSE(fleet.At(1).Dump(fleet.Now()).confirmation_.has_value());
  replayed.header_.receiver_ = Incarnation{ 2 };
  fleet.Feed(1, Received{ Fleet::IdAt(0), Fleet::AddressAt(0), replayed });
  EXPECT_TRUE(fleet.At(1).Dump(fleet.Now()).confirmation_.has_value());
}

TEST(Node, MendsRegionsThatLostEachOtherForAnHour)
{
  Fleet fleet(5);
  Fill(fleet, 3, 10, 10);
  for (std::size_t agent = 13; agent < 23; ++agent) {
    const auto& member = fleet.Members()[agent];
    fleet.Feed(agent, HostAnnounced{ RecordOf(member, 1, HostState::Ready) });
  }
  fleet.RunFor(std::chrono::seconds(20));
  bool cut = true;
  fleet.fate_ = [&cut](std::size_t aFrom, std::size_t aTo) {
    const auto west = [](std::size_t aIndex) {
      return aIndex >= 3 && aIndex % 2 == 0;
    };
    Fleet::Fate fate;
    fate.copies_ = cut && west(aFrom) != west(aTo) ? 0 : 1;
    return fate;
  };
  for (std::uint64_t change = 1; change <= 100; ++change) {
    fleet.Feed(0, ConfigAccepted{ { change }, std::string(change, 'x') });
    fleet.Feed(0, ControlConfirmed{ { change }, 1 });
    const auto agent = 13 + change % 10;
    const auto& member = fleet.Members()[agent];
    fleet.Feed(agent,
               HostAnnounced{ RecordOf(member, 1 + change, HostState::Ready) });
    fleet.RunFor(std::chrono::seconds(36));
  }
  const auto last = fleet.Now() - *fleet.At(4).ConfirmedAt();
  EXPECT_LT(last, std::chrono::seconds(20));
  EXPECT_FALSE(fleet.At(4).Confirmed(fleet.Now()));
  cut = false;
  for (int second = 0; second < 20; ++second) {
    fleet.Feed(0, ControlConfirmed{ { 100 }, 1 });
    fleet.RunFor(std::chrono::seconds(1));
  }
  const auto expected = fleet.At(0).Hosts().All();
  for (auto& member : fleet.Members()) {
    EXPECT_EQ(member.node_.Config().value_, 100U);
    EXPECT_TRUE(member.node_.Confirmed(fleet.Now()));
    EXPECT_EQ(member.node_.Hosts().All(), expected);
    EXPECT_EQ(member.reverts_, 0U);
  }
}

TEST(Node, KnowsThatItsRecordsAreOldWhenItIsCutOff)
{
  Fleet fleet(6);
  Fill(fleet, 3, 6, 6);
  fleet.RunFor(std::chrono::seconds(20));
  fleet.fate_ = [](std::size_t aFrom, std::size_t aTo) {
    Fleet::Fate fate;
    fate.copies_ = aTo == 10 || (aTo == 4 && aFrom != 11) ? 0 : 1;
    return fate;
  };
  fleet.RunFor(std::chrono::minutes(5));
  for (const std::size_t index : { 4U, 10U }) {
    EXPECT_GT(fleet.Now() - *fleet.At(index).ConfirmedAt(),
              std::chrono::minutes(4));
  }
  EXPECT_LT(fleet.Now() - *fleet.At(11).ConfirmedAt(),
            std::chrono::seconds(30));
}

TEST(Node, StaysWithinItsByteBudget)
{
  Fleet fleet(7);
  Fill(fleet, 3, 10, 30);
  const auto begin = fleet.Now();
  for (std::uint64_t sequence = 1; sequence <= 600; ++sequence) {
    for (std::size_t agent = 13; agent < 43; ++agent) {
      auto record =
        RecordOf(fleet.Members()[agent], sequence, HostState::Ready);
      record.held_.set(sequence);
      fleet.Feed(agent, HostAnnounced{ record });
    }
    fleet.RunFor(std::chrono::seconds(1));
  }
  const auto& settings = fleet.Members().front().settings_;
  const std::chrono::duration<double> passed = fleet.Now() - begin;
  for (const auto& member : fleet.Members()) {
    EXPECT_LE(static_cast<double>(member.sent_),
              1.25 * settings.burstBytes_ +
                passed.count() * settings.bytesPerSecond_);
  }
  fleet.Feed(
    13,
    HostAnnounced{ RecordOf(fleet.Members()[13], 700, HostState::Leaving) });
  fleet.RunFor(std::chrono::seconds(4));
  const HostId host{ Fleet::IdAt(13).value_ };
  for (std::size_t index = 0; index < 13; ++index) {
    EXPECT_EQ(fleet.At(index).Hosts().Find(host)->state_, HostState::Leaving);
  }
}

TEST(Node, SurvivesMessagesThatContradictThemselves)
{
  Fleet fleet(8);
  Fill(fleet, 2, 1, 1);
  fleet.Feed(0, ConfigAccepted{ { 5 }, std::string(5000, 'a') });
  Random random(1);
  for (int step = 0; step < 2000; ++step) {
    Message message;
    auto& header = message.header_;
    header.kind_ = static_cast<MessageKind>(random.Below(3));
    header.role_ = static_cast<NodeRole>(random.Below(3));
    header.scope_ = ServiceId{ static_cast<std::uint32_t>(random.Below(9)) };
    header.compare_ = random.Below(2) == 0;
    header.config_ = ConfigVersion{ random.Below(8) };
    message.configRequest_ =
      ConfigRequest{ { random.Below(8) },
                     { random.Below(8) },
                     { random.Below(8) },
                     static_cast<std::uint32_t>(random.Below(9000)) };
    message.chunks_.push_back(
      { { random.Below(8) },
        { random.Below(8) },
        static_cast<std::uint32_t>(random.Below(3000)),
        random.Next(),
        static_cast<std::uint32_t>(kChunkBytes * random.Below(4)),
        std::string(random.Below(kChunkBytes + 1), 'p') });
    message.hashes_.push_back(
      { 2, static_cast<std::uint16_t>(random.Below(256)), { 7 } });
    message.leaves_.push_back({ static_cast<std::uint16_t>(random.Below(4096)),
                                { { NodeId{ random.Below(9) }, {} } } });
    message.requestedRecords_.push_back(NodeId{ random.Below(9) });
    fleet.Feed(
      step % 4,
      Received{ NodeId{ 90 + random.Below(9) }, Fleet::AddressAt(0), message });
  }
  EXPECT_EQ(fleet.At(0).Config().value_, 5U);
}

TEST(Node, RefusesSettingsThatMeanNothing)
{
  NodeSettings settings;
  EXPECT_FALSE(Node::Builder(settings).Build().ok());
  settings.self_ = NodeId{ 1 };
  settings.incarnation_ = Incarnation{ 1 };
  EXPECT_TRUE(Node::Builder(settings).Build().ok());
  settings.role_ = NodeRole::Agent;
  EXPECT_FALSE(Node::Builder(settings).Build().ok());
}

TEST(Node, TakesAGreaterIncarnationThanAnEarlierRunWhoseClockWasAhead)
{
  Fleet fleet(9);
  Fill(fleet, 3, 4, 0);
  fleet.Members()[4].settings_.incarnation_ = Incarnation{ 8 };
  fleet.Restart(4);
  fleet.RunFor(std::chrono::seconds(20));
  fleet.Feed(4, SelfAnnounced{ Fleet::AddressAt(4), true });
  fleet.RunFor(std::chrono::seconds(5));
  fleet.Members()[4].settings_.incarnation_ = Incarnation{ 4 };
  fleet.Restart(4);
  fleet.RunFor(std::chrono::seconds(60));
  const auto peers = fleet.At(0).Peers();
  EXPECT_TRUE(std::any_of(peers.begin(), peers.end(), [](const auto& aPeer) {
    return aPeer.id_ == Fleet::IdAt(4);
  }));
}

} // namespace
} // namespace cornelshore::dissemination
