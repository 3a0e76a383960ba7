#ifndef CORNELSHORE_ADMISSION_HOST_HEALTH_HPP
#define CORNELSHORE_ADMISSION_HOST_HEALTH_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/names.hpp>
#include <cornelshore/core/random.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::admission {

/** @brief Result of work that the balancer sent to a host. */
enum class HostResult : std::uint8_t
{
  Answered, ///< The upstream answered.
  Refused,  ///< The agent refused it; no evidence of its health.
  Failed,   ///< The upstream failed.
  Late,     ///< No result arrived by the deadline.
};

/** @brief Names of `HostResult`. */
inline constexpr std::array<EnumName<HostResult>, 4> kHostResultNames{ {
  { HostResult::Answered, "answered" },
  { HostResult::Refused, "refused" },
  { HostResult::Failed, "failed" },
  { HostResult::Late, "late" },
} };

/** @brief One host's entry in a health dump. */
struct HostHealthDump
{
  HostId host_;
  double slowness_{}; ///< Mean time relative to its class's usual time.
  double failures_{}; ///< Fraction of work that failed or was late.
  bool avoided_{};
};

/**
 * @brief Outlier detection for the hosts of one service.
 *
 * A host is compared with the median of its peers, so that none is avoided
 * when all are slow. At most a quarter of the hosts (but at least one, if
 * there are three or more) is avoided at once, the worst first. An avoided
 * host is tried with one work item at a time, with exponential backoff and
 * jitter, and is used again after several successful trials. Load reported by
 * the hosts themselves is not used.
 */
class HostHealth
{
public:
  /** @param aSeed Seed of the trial jitter. */
  explicit HostHealth(std::uint64_t aSeed);

  /** @brief Sets the service's hosts; state of other hosts is dropped. */
  void SetHosts(TimePoint aNow, std::span<const HostId> aHosts);

  /**
   * @brief Records the result of work that this balancer sent.
   * @param aElapsed Time from sending to the result.
   */
  void OnResult(TimePoint aNow,
                HostId aHost,
                ClassId aClass,
                HostResult aResult,
                Duration aElapsed);

  /**
   * @brief Whether new work may be sent to the host.
   *
   * For an avoided host it returns true once per due trial and schedules the
   * next one.
   */
  [[nodiscard]] bool TryAdmit(TimePoint aNow, HostId aHost);

  /** @brief Returns the hosts that are currently avoided, sorted by id. */
  [[nodiscard]] std::vector<HostId> Avoided() const;

  /** @brief Re-evaluates all hosts. */
  void Tick(TimePoint aNow);

  /** @brief Returns the time at which `Tick` is next due. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /** @brief Returns the state dump. */
  [[nodiscard]] std::vector<HostHealthDump> Dump() const;

private:
  struct Host
  {
    double slowness_{ 1.0 };
    double failures_{};
    std::uint32_t sampleCount_{};
    bool avoided_{};
    std::uint32_t failedTrials_{};
    std::uint32_t succeededTrials_{};
    TimePoint nextTrial_;
  };

  static constexpr std::size_t kMaxClassTimes = 256;

  /** Elapsed time relative to the class's running mean. */
  [[nodiscard]] double Normalise(ClassId aClass, Duration aElapsed);
  void OnTrial(TimePoint aNow, Host& aHost, bool aSucceeded);
  void MarkAvoided(TimePoint aNow, Host& aHost);
  [[nodiscard]] Duration TrialDelay(std::uint32_t aFailedTrials);
  [[nodiscard]] double OutlierScore(const Host& aHost) const;
  void ComputeMedians();

  Random random_;
  absl::flat_hash_map<HostId, Host> hosts_;
  absl::flat_hash_map<ClassId, double> classSeconds_;
  double medianSlowness_{ 1.0 };
  double medianFailures_{};
  std::optional<TimePoint> nextTick_;
};

} // namespace cornelshore::admission

#endif
