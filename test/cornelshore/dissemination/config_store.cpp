#include <cornelshore/dissemination/config_store.hpp>

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cornelshore/core/random.hpp>
#include <cornelshore/dissemination/delta.hpp>
#include <cornelshore/dissemination/digest_tree.hpp>

namespace cornelshore::dissemination {
namespace {

/** A configuration of a few thousand bytes that differs by its version. */
std::string
ConfigAt(std::uint64_t aVersion)
{
  Random random(1);
  std::string config;
  while (config.size() < 5000) {
    config.push_back(static_cast<char>(random.Next()));
  }
  for (std::uint64_t version = 1; version <= aVersion; ++version) {
    const auto at = HashOf(NodeId{ version }, {}) % (config.size() - 20);
    config.replace(at, 20, std::to_string(version) + std::string(10, '!'));
  }
  return config;
}

RC_GTEST_PROP(Delta, MakesTheTargetFromTheBase, (const std::string& base))
{
  auto target = base + base + *rc::gen::arbitrary<std::string>() + base;
  for (int edits = *rc::gen::inRange(0, 4); edits > 0 && !target.empty();
       --edits) {
    const auto at = *rc::gen::inRange<std::size_t>(0, target.size());
    target.replace(at, 3, *rc::gen::arbitrary<std::string>());
  }
  const auto delta = MakeDelta(base, target);
  RC_ASSERT(ApplyDelta(base, delta, target.size()) == target);
  if (!target.empty()) {
    RC_ASSERT(!ApplyDelta(base, delta, target.size() - 1));
  }
  auto hostile = delta;
  hostile[*rc::gen::inRange<std::size_t>(0, hostile.size())] ^= 0x55;
  static_cast<void>(ApplyDelta(base, hostile, 1 << 16));
}

TEST(ConfigStore, CatchesUpByDeltasOrWholeFromAnyVersionInAnyOrder)
{
  ConfigStore source;
  for (std::uint64_t version = 1; version <= 400; ++version) {
    ASSERT_TRUE(source.Accept({ version }, ConfigAt(version)));
    EXPECT_FALSE(source.Accept({ version }, "another"));
  }
  Random random(3);
  for (const std::uint64_t held : { 0U, 1U, 90U, 399U }) {
    ConfigStore store;
    if (held > 0) {
      ASSERT_TRUE(store.Accept({ held }, ConfigAt(held)));
    }
    std::size_t bytes = 0;
    auto last = store.Version();
    for (int step = 0; step < 2000 && store.Version() < source.Version();
         ++step) {
      auto chunks = source.ChunksFor(store.Missing(), 4000);
      for (auto& chunk : chunks) {
        bytes += chunk.bytes_.size();
        if (random.Below(3) == 0) {
          continue;
        }
        auto flipped = chunk;
        if (!flipped.bytes_.empty() && random.Below(10) == 0) {
          flipped.checksum_ ^= 1;
          static_cast<void>(store.Take(flipped));
        }
        static_cast<void>(store.Take(chunk));
        ASSERT_GE(store.Version(), last);
        last = store.Version();
        ASSERT_TRUE(last.value_ == 0 || store.Bytes() == ConfigAt(last.value_));
      }
    }
    EXPECT_EQ(store.Version(), source.Version()) << held;
    EXPECT_EQ(store.Bytes(), ConfigAt(400));
    EXPECT_LT(bytes, 40000U) << held;
  }
}

TEST(ConfigStore, NeverHoldsPartsOfTwoConfigurations)
{
  ConfigStore source;
  ASSERT_TRUE(source.Accept({ 1 }, ConfigAt(1)));
  const auto first = source.ChunksFor({}, 100000);
  ASSERT_TRUE(source.Accept({ 2 }, std::string(5000, 'b')));
  const auto second = source.ChunksFor({}, 100000);
  ASSERT_EQ(first.size(), second.size());
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    Random random(seed);
    ConfigStore store;
    for (int step = 0; step < 40; ++step) {
      const auto& chunks = random.Below(2) == 0 ? first : second;
      static_cast<void>(store.Take(chunks[random.Below(chunks.size())]));
      const bool whole = store.Version() == ConfigVersion{} ||
                         store.Bytes() == ConfigAt(1) ||
                         store.Bytes() == std::string(5000, 'b');
      ASSERT_TRUE(whole);
    }
    auto forged = second.front();
    forged.version_ = ConfigVersion{ 3 };
    forged.bytes_ = "x";
    forged.size_ = 1;
    EXPECT_FALSE(store.Take(forged));
    EXPECT_EQ(store.Refused(), 1U);
  }
}

} // namespace
} // namespace cornelshore::dissemination
