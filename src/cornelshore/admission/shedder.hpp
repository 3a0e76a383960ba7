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

/** @brief A balancer's answer to new work. */
struct Admission
{
  bool passed_{};
  Refusal reason_{ Refusal::None };
  Duration retryAfter_{}; ///< Jittered; when refused.
};

/** @brief One class's part of a shedder's state dump. */
struct ShedDump
{
  std::string name_;
  bool limiting_{};
  double rate_{};    ///< Works let through a second, when limiting.
  double refused_{}; ///< Part that hosts refuse, as reported.
  std::uint64_t passed_{};
  std::uint64_t shed_{};
};

/**
 * @brief Sheds work at a balancer before it costs a host anything.
 *
 * While the middle host refuses more than a tenth of a class, the class's
 * rate follows what the hosts take; callers share the rate max-min fairly by
 * hashed counters (after Stoica, Shenker and Zhang 1998). The middle host (a
 * weighted median over at most `kWitnesses` hosts) bounds what one lying host
 * can do; reports older than a second count no longer, so that with all
 * reports lost nothing is shed and the agents' exact limits stand alone.
 */
class Shedder
{
public:
  /** @param aSeed Seed of the callers' hash and of the jitter. */
  explicit Shedder(std::uint64_t aSeed);

  /** @brief Puts the configuration in force. */
  void Configure(const Configuration& aConfiguration);

  /** @brief Decides on new work. */
  [[nodiscard]] Admission Admit(TimePoint aNow,
                                ServiceId aService,
                                ClassId aClass,
                                CallerId aCaller);

  /** @brief Takes a host's pushback; unknown classes are skipped. */
  void OnPushback(TimePoint aNow, HostId aHost, const Pushback& aPushback);

  /** @brief State for the dump on request. */
  [[nodiscard]] std::vector<ShedDump> Dump() const;

private:
  static constexpr std::size_t kWitnesses = 32;
  static constexpr std::size_t kCallerCounters = 64;

  struct Witness
  {
    HostId host_;
    Incarnation incarnation_;
    std::uint64_t sequence_{};
    std::uint16_t refused_{};
    TimePoint heardAt_;
  };

  /** Counts of a class that is being limited. */
  struct CallerCounts
  {
    std::array<std::uint32_t, kCallerCounters> arrived_{};
    std::array<float, kCallerCounters> pass_{};
  };

  struct ClassShed
  {
    std::string name_;
    ServiceId service_;
    std::vector<Witness> witnesses_;
    std::unique_ptr<CallerCounts> callers_; ///< Only while limiting.
    std::uint64_t seed_{};
    TimePoint periodStart_;
    TimePoint periodEnd_;
    std::uint32_t arrivedNow_{};
    std::uint32_t passedNow_{};
    std::uint32_t passBound_{}; ///< Most works passed in this period.
    std::uint32_t periods_{};
    std::uint32_t calmPeriods_{};
    double arrivedRate_{};
    double passedRate_{};
    double rate_{};
    double refused_{};
    bool limiting_{};
    std::uint64_t passed_{};
    std::uint64_t shed_{};
  };

  void Roll(TimePoint aNow, ClassShed& aClass);
  void Control(TimePoint aNow, ClassShed& aClass);
  void StartLimiting(ClassShed& aClass);
  void StopLimiting(ClassShed& aClass);
  void ShareAmongCallers(ClassShed& aClass, double aSeconds);
  void Reseed(ClassShed& aClass);
  [[nodiscard]] bool PassesLimit(ClassShed& aClass, CallerId aCaller);
  [[nodiscard]] Duration RetryAfter(const ClassShed& aClass);
  [[nodiscard]] static double MiddleRefusal(TimePoint aNow,
                                            const ClassShed& aClass);
  static void Hear(TimePoint aNow,
                   HostId aHost,
                   const Pushback& aPushback,
                   std::uint16_t aRefused,
                   ClassShed& aClass);

  Random random_;
  absl::flat_hash_map<ClassId, ClassShed> classes_;
};

} // namespace cornelshore::admission

#endif
