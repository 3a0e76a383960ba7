#ifndef CORNELSHORE_ADMISSION_SHEDDER_HPP
#define CORNELSHORE_ADMISSION_SHEDDER_HPP

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/admission/pushback.hpp>
#include <cornelshore/admission/work.hpp>
#include <cornelshore/core/random.hpp>
#include <cornelshore/core/target.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::admission {

/** @brief A balancer's admission decision for new work. */
struct Admission
{
  bool passed_{};
  Refusal reason_{ Refusal::None };
  Duration retryAfter_{}; ///< Jittered; set when refused.
};

/** @brief One class's entry in a shedder's state dump. */
struct ShedDump
{
  std::string name_;
  bool limiting_{};
  double rate_{};    ///< Admitted work per second while limiting.
  double refused_{}; ///< Reported fraction that hosts refuse.
  std::uint64_t passed_{};
  std::uint64_t shed_{};
};

/**
 * @brief Sheds excess load at a balancer before it reaches a host.
 *
 * While the median host refuses more than 30 % of a class, the class's rate
 * limit follows the rate that the hosts accept. Callers share the rate max-min
 * fairly by hashed counters (after Stoica, Shenker and Zhang 1998). The median
 * over at most `kMaxReports` hosts bounds the effect of a host that reports
 * false figures. Reports older than 1 s are ignored: if all reports are lost,
 * nothing is shed and only the agents' exact limits apply.
 */
class Shedder
{
public:
  /** @param aSeed Seed of the caller hash and of the retry jitter. */
  explicit Shedder(std::uint64_t aSeed);

  /** @brief Applies a configuration. */
  void Configure(const Configuration& aConfiguration);

  /** @brief Admits or sheds new work. */
  [[nodiscard]] Admission Admit(TimePoint aNow,
                                ServiceId aService,
                                ClassId aClass,
                                CallerId aCaller);

  /** @brief Records a host's pushback; unknown classes are skipped. */
  void OnPushback(TimePoint aNow, HostId aHost, const Pushback& aPushback);

  /** @brief Returns the state dump. */
  [[nodiscard]] std::vector<ShedDump> Dump() const;

private:
  static constexpr std::size_t kMaxReports = 32;
  static constexpr std::size_t kCallerCounters = 64;

  struct HostReport
  {
    HostId host_;
    Incarnation incarnation_;
    std::uint64_t sequence_{};
    std::uint16_t refused_{};
    TimePoint receivedAt_;
  };

  /** Per-caller counters of a class that is being limited. */
  struct CallerCounts
  {
    std::array<std::uint32_t, kCallerCounters> arrived_{};
    std::array<double, kCallerCounters> rate_{}; ///< Arrivals per second.
    std::array<float, kCallerCounters> pass_{};
  };

  struct ClassShed
  {
    std::string name_;
    ServiceId service_;
    std::vector<HostReport> reports_;
    std::unique_ptr<CallerCounts> callers_; ///< Only while limiting.
    std::uint64_t seed_{};
    TimePoint periodStart_;
    TimePoint periodEnd_;
    std::uint32_t periodArrivals_{};
    std::uint32_t periodPassed_{};
    std::uint32_t maxPeriodPassed_{}; ///< Admission bound per period.
    std::uint32_t periods_{};
    std::uint32_t recoveryPeriods_{};
    double arrivedRate_{};
    double passedRate_{};
    double rate_{};
    double refused_{};
    bool limiting_{};
    std::uint64_t passed_{};
    std::uint64_t shed_{};
  };

  void StartPeriod(TimePoint aNow, ClassShed& aClass);
  void UpdateRate(TimePoint aNow, ClassShed& aClass);
  void StartLimiting(ClassShed& aClass);
  void StopLimiting(ClassShed& aClass);
  void ShareAmongCallers(ClassShed& aClass, double aSeconds);
  void Reseed(ClassShed& aClass);
  [[nodiscard]] bool PassesLimit(ClassShed& aClass, CallerId aCaller);
  [[nodiscard]] Duration RetryAfter(const ClassShed& aClass);
  [[nodiscard]] static double MedianRefusal(TimePoint aNow,
                                            const ClassShed& aClass);
  static void RecordReport(TimePoint aNow,
                           HostId aHost,
                           const Pushback& aPushback,
                           std::uint16_t aRefused,
                           ClassShed& aClass);

  Random random_;
  absl::flat_hash_map<ClassId, ClassShed> classes_;
};

} // namespace cornelshore::admission

#endif
