#include <cornelshore/wire/seal.hpp>

#include <set>
#include <string>

#include <gtest/gtest.h>

#include <cornelshore/core/random.hpp>

namespace cornelshore::wire {
namespace {

constexpr NodeId kSender{ 42 };
constexpr Incarnation kRun{ 7 };

std::string
KeyLine(int aId, char aDigit)
{
  return std::to_string(aId) + " " + std::string(64, aDigit) + "\n";
}

KeyRing
Ring(const std::string& aText)
{
  return *KeyRing::Parse(aText);
}

std::string
Sealed(Sealer& aSealer, std::string_view aPayload)
{
  std::string out;
  aSealer.Seal(aPayload, out);
  return out;
}

TEST(Seal, OpensWhatItSealedAndNamesTheSender)
{
  const auto ring = Ring(KeyLine(3, 'a'));
  Sealer sealer(ring, kSender, kRun);
  Opener opener(ring);
  Random random(1);
  for (const std::size_t size : { 0U, 1U, 64U, 1400U }) {
    std::string payload;
    for (std::size_t index = 0; index < size; ++index) {
      payload.push_back(static_cast<char>(random.Next()));
    }
    const auto sealed = Sealed(sealer, payload);
    EXPECT_EQ(sealed.size(), size + kSealOverheadBytes);
    const auto opened = opener.Open(sealed, ReplayCheck::Refuse);
    EXPECT_EQ(opened.outcome_, OpenOutcome::Opened);
    EXPECT_EQ(opened.sender_, kSender);
    EXPECT_EQ(opened.incarnation_, kRun);
    EXPECT_EQ(opened.payload_, payload);
  }
}

TEST(Seal, RefusesEveryBitFlipAndEveryTruncation)
{
  const auto ring = Ring(KeyLine(3, 'a'));
  Sealer sealer(ring, kSender, kRun);
  const auto sealed = Sealed(sealer, "payload");
  Opener opener(ring);
  for (std::size_t bit = 0; bit < sealed.size() * 8; ++bit) {
    auto flipped = sealed;
    flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << bit % 8));
    const auto opened = opener.Open(flipped, ReplayCheck::Skip);
    const auto expected = bit / 8 == 0   ? OpenOutcome::Malformed
                          : bit / 8 == 1 ? OpenOutcome::UnknownKey
                                         : OpenOutcome::BadTag;
    EXPECT_EQ(opened.outcome_, expected) << bit;
    EXPECT_TRUE(opened.payload_.empty());
  }
  for (std::size_t size = 0; size < sealed.size(); ++size) {
    const auto opened =
      opener.Open(std::string_view(sealed).substr(0, size), ReplayCheck::Skip);
    EXPECT_NE(opened.outcome_, OpenOutcome::Opened) << size;
  }
  EXPECT_EQ(opener.Senders(), 0U);
}

TEST(Seal, AdmitsEachDatagramOnceInAnyOrderAsANaiveSetDoes)
{
  const auto ring = Ring(KeyLine(3, 'a'));
  Sealer first(ring, kSender, kRun, 1);
  Sealer second(ring, kSender, kRun, 2);
  Opener opener(ring);
  std::vector<std::string> sealed;
  sealed.reserve(4000);
  for (int index = 0; index < 4000; ++index) {
    sealed.push_back(Sealed(index % 2 == 0 ? first : second, "x"));
  }
  Random random(5);
  std::set<std::size_t> seen;
  std::size_t newest = 0;
  constexpr std::size_t kSpread = 2 * Opener::kReplayWindow;
  for (int step = 0; step < 20000; ++step) {
    const auto back = random.Below(kSpread - 2);
    const auto reach = newest + 8;
    const auto index =
      std::min(reach > back ? reach - back : 0, sealed.size() - 1);
    const auto opened = opener.Open(sealed[index], ReplayCheck::Refuse);
    newest = std::max(newest, index);
    const bool expected = seen.insert(index).second;
    ASSERT_EQ(opened.outcome_ == OpenOutcome::Opened, expected) << index;
  }
  EXPECT_EQ(opener.Open(sealed.front(), ReplayCheck::Refuse).outcome_,
            OpenOutcome::Replayed);
  EXPECT_EQ(opener.Open(sealed.front(), ReplayCheck::Skip).outcome_,
            OpenOutcome::Opened);
}

TEST(Seal, RefusesAnEarlierIncarnationOnceALaterOneWasHeard)
{
  const auto ring = Ring(KeyLine(3, 'a'));
  Sealer before(ring, kSender, kRun);
  Sealer after(ring, kSender, Incarnation{ kRun.value_ + 1 });
  Opener opener(ring);
  const auto old = Sealed(before, "old");
  EXPECT_EQ(opener.Open(Sealed(after, "new"), ReplayCheck::Refuse).outcome_,
            OpenOutcome::Opened);
  EXPECT_EQ(opener.Open(old, ReplayCheck::Refuse).outcome_,
            OpenOutcome::Replayed);
}

TEST(Seal, RotatesWithoutALossAndThenRefusesTheOldKey)
{
  const auto old = Ring(KeyLine(1, 'a'));
  const auto both = Ring(KeyLine(1, 'a') + KeyLine(2, 'b'));
  const auto swapped = Ring(KeyLine(2, 'b') + KeyLine(1, 'a'));
  const auto fresh = Ring("# new key only\n" + KeyLine(2, 'b'));
  Sealer sealer(old, kSender, kRun);
  Opener opener(old);
  const auto opens = [&] {
    return opener.Open(Sealed(sealer, "x"), ReplayCheck::Refuse).outcome_;
  };
  EXPECT_EQ(opens(), OpenOutcome::Opened);
  opener.Rotate(both);
  EXPECT_EQ(opens(), OpenOutcome::Opened);
  sealer.Rotate(swapped);
  EXPECT_EQ(opens(), OpenOutcome::Opened);
  const auto replayed = Sealed(sealer, "y");
  EXPECT_EQ(opener.Open(replayed, ReplayCheck::Refuse).outcome_,
            OpenOutcome::Opened);
  opener.Rotate(fresh);
  EXPECT_EQ(opener.Open(replayed, ReplayCheck::Refuse).outcome_,
            OpenOutcome::Replayed);
  EXPECT_EQ(opens(), OpenOutcome::Opened);
  sealer.Rotate(old);
  EXPECT_EQ(opens(), OpenOutcome::UnknownKey);
}

// Guards against a withdrawn key that is in use again after a restart: a peer
// that still seals with it, datagrams recorded while it was alive, and its id
// given to another key are all refused, as keys come from the file alone.
TEST(Seal, AWithdrawnKeyStaysOutAfterARestart)
{
  const auto old = Ring(KeyLine(1, 'a'));
  Sealer holdsOld(old, kSender, kRun);
  const auto recorded = Sealed(holdsOld, "recorded");
  const auto withdrawn = Ring("# 1 withdrawn\n" + KeyLine(2, 'b'));
  const auto renamed = Ring(KeyLine(2, 'b') + KeyLine(1, 'c'));
  Opener before(Ring(KeyLine(2, 'b') + KeyLine(1, 'a')));
  EXPECT_EQ(before.Open(recorded, ReplayCheck::Refuse).outcome_,
            OpenOutcome::Opened);
  for (const auto check : { ReplayCheck::Refuse, ReplayCheck::Skip }) {
    Opener restarted(withdrawn);
    Opener reused(renamed);
    for (int round = 0; round < 2; ++round) {
      EXPECT_EQ(restarted.Open(recorded, check).outcome_,
                OpenOutcome::UnknownKey);
      EXPECT_EQ(restarted.Open(Sealed(holdsOld, "x"), check).outcome_,
                OpenOutcome::UnknownKey);
      EXPECT_EQ(reused.Open(recorded, check).outcome_, OpenOutcome::BadTag);
      restarted.Rotate(withdrawn);
      reused.Rotate(renamed);
    }
    EXPECT_EQ(restarted.Senders(), 0U);
    EXPECT_EQ(reused.Senders(), 0U);
  }
  Sealer own(withdrawn, NodeId{ 43 }, kRun);
  EXPECT_EQ(before.Open(Sealed(own, "y"), ReplayCheck::Refuse).outcome_,
            OpenOutcome::Opened);
  before.Rotate(withdrawn);
  EXPECT_EQ(before.Open(recorded, ReplayCheck::Skip).outcome_,
            OpenOutcome::UnknownKey);
}

TEST(Seal, BoundsTheSendersItKeeps)
{
  const auto ring = Ring(KeyLine(3, 'a'));
  Opener opener(ring, 8);
  for (std::uint64_t id = 1; id <= 100; ++id) {
    Sealer sealer(ring, NodeId{ id }, kRun);
    EXPECT_EQ(opener.Open(Sealed(sealer, "x"), ReplayCheck::Refuse).outcome_,
              OpenOutcome::Opened);
    EXPECT_LE(opener.Senders(), 8U);
  }
}

TEST(KeyRing, NamesTheLineAtFaultAndNeverItsContents)
{
  for (const auto& text : { std::string(),
                            KeyLine(0, 'a'),
                            KeyLine(256, 'a'),
                            std::string("1\n"),
                            std::string("1 abc\n"),
                            KeyLine(1, 'g'),
                            KeyLine(1, 'a') + KeyLine(1, 'b') }) {
    const auto ring = KeyRing::Parse(text);
    ASSERT_FALSE(ring.ok()) << text;
    const std::string message(ring.status().message());
    EXPECT_EQ(message.find("aaaa"), std::string::npos);
    EXPECT_EQ(message.find("gggg"), std::string::npos);
    EXPECT_NE(message.find(text.empty() ? "no key" : "line"),
              std::string::npos);
  }
}

} // namespace
} // namespace cornelshore::wire
