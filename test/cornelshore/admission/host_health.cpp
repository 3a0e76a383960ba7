#include <cornelshore/admission/host_health.hpp>

#include <gtest/gtest.h>

#include "support.hpp"

namespace cornelshore::admission {
namespace {

constexpr ClassId kClass{ 1 };

/** Simulated hosts with a configured slowness and failure mode. */
class Hosts
{
public:
  explicit Hosts(std::uint64_t aCount)
    : health_(5)
    , slowness_(aCount, 1.0)
    , fails_(aCount)
    , tried_(aCount)
  {
    for (std::uint64_t host = 0; host < aCount; ++host) {
      ids_.push_back(HostId{ host + 1 });
    }
    health_.SetHosts(now_, ids_);
  }

  /** Sends work to each admitted host every 100 ms. */
  void Run(int aSeconds)
  {
    for (int step = 0; step < aSeconds * 10; ++step) {
      now_ += Duration{ 100 * kMillisecond };
      if (now_ >= *health_.NextTimer()) {
        health_.Tick(now_);
      }
      for (std::size_t host = 0; host < ids_.size(); ++host) {
        if (health_.TryAdmit(now_, ids_[host])) {
          ++tried_[host];
          const auto took = internalTook_ * slowness_[host];
          health_.OnResult(now_,
                           ids_[host],
                           kClass,
                           fails_[host] ? HostResult::Failed
                                        : HostResult::Answered,
                           Duration{ static_cast<std::int64_t>(took) });
        }
      }
    }
  }

  HostHealth health_;
  std::vector<double> slowness_;
  std::vector<bool> fails_;
  std::vector<int> tried_;
  std::vector<HostId> ids_;

private:
  double internalTook_{ 100.0 * kMillisecond };
  TimePoint now_{ At(kSecond) };
};

TEST(HostHealth, TakesOffASlowOrFailingHostAndTakesItBack)
{
  for (const bool fails : { false, true }) {
    Hosts hosts(7);
    hosts.Run(10);
    EXPECT_TRUE(hosts.health_.Avoided().empty());
    hosts.slowness_[2] = fails ? 1.0 : 10.0;
    hosts.fails_[2] = fails;
    hosts.Run(10);
    EXPECT_EQ(hosts.health_.Avoided(), std::vector{ HostId{ 3 } });
    hosts.tried_[2] = 0;
    hosts.Run(60);
    EXPECT_GE(hosts.tried_[2], 1);
    EXPECT_LE(hosts.tried_[2], 20);
    hosts.slowness_[2] = 1.0;
    hosts.fails_[2] = false;
    hosts.Run(120);
    EXPECT_TRUE(hosts.health_.Avoided().empty());
  }
}

TEST(HostHealth, NeverTakesOffMoreThanAQuarter)
{
  for (const auto& [count, most] : { std::pair{ 2U, 0U },
                                     std::pair{ 3U, 1U },
                                     std::pair{ 7U, 1U },
                                     std::pair{ 40U, 10U } }) {
    Hosts hosts(count);
    hosts.Run(5);
    for (std::size_t host = 0; host < (count + 1) / 2 - 1; ++host) {
      hosts.slowness_[host] = 20.0;
    }
    hosts.Run(30);
    EXPECT_LE(hosts.health_.Avoided().size(), most);
  }
}

TEST(HostHealth, TakesOffNoneWhereAllAreSlowOrFail)
{
  Hosts hosts(7);
  hosts.Run(5);
  std::fill(hosts.slowness_.begin(), hosts.slowness_.end(), 10.0);
  hosts.Run(20);
  EXPECT_TRUE(hosts.health_.Avoided().empty());
  std::fill(hosts.fails_.begin(), hosts.fails_.end(), true);
  hosts.Run(20);
  EXPECT_TRUE(hosts.health_.Avoided().empty());
}

TEST(HostHealth, RefusalsSayNothingAndForgottenHostsAreNotTried)
{
  Hosts hosts(3);
  for (int index = 0; index < 100; ++index) {
    hosts.health_.OnResult(
      At(0), HostId{ 1 }, kClass, HostResult::Refused, Duration{ 1 });
  }
  hosts.health_.Tick(At(kSecond));
  EXPECT_TRUE(hosts.health_.Avoided().empty());
  hosts.health_.SetHosts(At(kSecond), { hosts.ids_.data(), 2 });
  EXPECT_FALSE(hosts.health_.TryAdmit(At(kSecond), HostId{ 3 }));
  EXPECT_EQ(hosts.health_.Dump().size(), 2U);
}

} // namespace
} // namespace cornelshore::admission
