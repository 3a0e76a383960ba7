#ifndef CORNELSHORE_BENCH_SUPPORT_CLASSES_COST_HPP
#define CORNELSHORE_BENCH_SUPPORT_CLASSES_COST_HPP

#include <chrono>
#include <cstdint>
#include <ctime>
#include <string>

#include <cornelshore/admission/host_health.hpp>
#include <cornelshore/admission/shedder.hpp>
#include <cornelshore/admission/slot_scheduler.hpp>
#include <cornelshore/wire/admission_codec.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

#include "bench/support/classes_sites.hpp"

namespace cornelshore::bench {

/** @brief Nanoseconds of processor time of the two fates of a work. */
struct Costs
{
  double refusal_{};   ///< At the balancer.
  double admission_{}; ///< At balancer and agent together.
};

/** @brief Measures decisions without sockets, in a flood of one class. */
class CostMeter
{
public:
  CostMeter(const Site& aSite, std::uint64_t aSeed)
    : target_(aSite.Target())
    , shedder_(aSeed)
    , health_(aSeed)
    , scheduler_(*admission::SlotScheduler::Builder().WithSeed(aSeed).Build())
  {
    shedder_.Configure({ ConfigVersion{ 1 }, { target_ } });
    const HostId host{ 1 };
    health_.SetHosts({}, { &host, 1 });
    static_cast<void>(
      scheduler_.Configure({}, target_, { 0, aSite.slots_, aSite.slots_ }));
  }

  Costs Run()
  {
    Costs costs;
    costs.admission_ = PerWork([this] { Admit(); });
    Overload();
    const auto shed = Shed();
    costs.refusal_ = PerWork([this] { Refuse(); });
    refusedPart_ = (Shed() - shed) / static_cast<double>(kWorks);
    return costs;
  }

  /** @brief Part of the works of the refusal loop that were refused. */
  [[nodiscard]] double RefusedPart() const { return refusedPart_; }

private:
  static constexpr std::uint64_t kWorks = 1000000;
  static constexpr double kNanoseconds = 1e9;

  template<typename Step>
  static double PerWork(Step aStep)
  {
    const auto start = std::clock();
    for (std::uint64_t work = 0; work < kWorks; ++work) {
      aStep();
    }
    const auto ticks = static_cast<double>(std::clock() - start);
    return ticks / CLOCKS_PER_SEC * kNanoseconds / static_cast<double>(kWorks);
  }

  [[nodiscard]] double Shed() const
  {
    double shed = 0.0;
    for (const auto& row : shedder_.Dump()) {
      shed += static_cast<double>(row.shed_);
    }
    return shed;
  }

  /** One work from the balancer's decision to its result. */
  void Admit()
  {
    now_ += std::chrono::milliseconds{ 50 };
    const admission::CallerId caller{ ++next_ % 1000 };
    const Work work{
      RequestId{ 0, next_ }, target_.classes_[0].id_, caller, now_ + kSecond
    };
    passed_ +=
      shedder_.Admit(now_, target_.id_, work.class_, caller).passed_ ? 1 : 0;
    passed_ += health_.TryAdmit(now_, HostId{ 1 }) ? 1 : 0;
    static_cast<void>(scheduler_.Offer(now_, work));
    static_cast<void>(scheduler_.NextTimer());
    now_ += std::chrono::milliseconds{ 50 };
    static_cast<void>(
      scheduler_.Finish(now_, work.id_, admission::Result::Done));
    static_cast<void>(scheduler_.NextTimer());
    Report();
    health_.OnResult(now_,
                     HostId{ 1 },
                     work.class_,
                     admission::HostResult::Answered,
                     std::chrono::milliseconds{ 50 });
  }

  void Report()
  {
    const auto pushback = scheduler_.TakePushback(now_);
    if (!pushback) {
      return;
    }
    bytes_.clear();
    wire::Writer writer(bytes_);
    admission::Encode(writer, *pushback);
    wire::Reader reader(bytes_);
    const auto read = admission::Decode(reader);
    if (read.ok()) {
      shedder_.OnPushback(now_, HostId{ 1 }, *read);
    }
  }

  /** Lets a host report that it refuses 99 of 100 works of the class. */
  void Overload()
  {
    const auto end = now_ + std::chrono::seconds{ 4 };
    while (now_ < end) {
      for (int work = 0; work < 1000; ++work) {
        Refuse();
      }
    }
  }

  void Refuse()
  {
    now_ += std::chrono::microseconds{ 100 };
    const admission::CallerId caller{ ++next_ % 1000 };
    const auto id = target_.classes_[0].id_;
    if (next_ % 1000 == 0) {
      shedder_.OnPushback(
        now_, HostId{ 2 }, { {}, next_, { { id, 990, {} } } });
    }
    passed_ += shedder_.Admit(now_, target_.id_, id, caller).passed_ ? 1 : 0;
  }

  static constexpr Duration kSecond = std::chrono::seconds{ 1 };

  ServiceTarget target_;
  admission::Shedder shedder_;
  admission::HostHealth health_;
  admission::SlotScheduler scheduler_;
  std::string bytes_;
  TimePoint now_{};
  std::uint64_t next_{};
  std::uint64_t passed_{};
  double refusedPart_{};
};

} // namespace cornelshore::bench

#endif
