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

/** @brief How work sent to a host came back to the balancer. */
enum class HostResult : std::uint8_t
{
  Answered, ///< With an answer of the upstream.
  Refused,  ///< Refused by the agent; says nothing of its health.
  Failed,   ///< The upstream failed.
  Late,     ///< Nothing came by the deadline.
};

/** @brief Names of `HostResult`. */
inline constexpr std::array<EnumName<HostResult>, 4> kHostResultNames{ {
  { HostResult::Answered, "answered" },
  { HostResult::Refused, "refused" },
  { HostResult::Failed, "failed" },
  { HostResult::Late, "late" },
} };

/** @brief One host's part of a health dump. */
struct HostHealthDump
{
  HostId host_;
  double slowness_{}; ///< Its times over its peers' times.
  double failures_{}; ///< Part of its works that failed or came late.
  bool avoided_{};
};

/**
 * @brief Finds hosts of one service that do badly by their own results.
 *
 * A host is judged against the middle of its peers: where all are slow none
 * is taken off. At most a quarter of the hosts (one of three or more) is
 * avoided at once, the worst first; an avoided host is tried again with one
 * work at a time, at growing intervals with jitter, and returns when its
 * results do. What hosts say of their own load is not used.
 */
class HostHealth
{
public:
  /** @param aSeed Seed of the jitter of trials. */
  explicit HostHealth(std::uint64_t aSeed);

  /** @brief Names the service's hosts; others are forgotten. */
  void SetHosts(TimePoint aNow, std::span<const HostId> aHosts);

  /**
   * @brief Takes the result of work that this balancer sent.
   * @param aTook From sending to the result.
   */
  void OnResult(TimePoint aNow,
                HostId aHost,
                ClassId aClass,
                HostResult aResult,
                Duration aTook);

  /**
   * @brief Whether new work may go to the host.
   *
   * For an avoided host it is true once each time a trial is due.
   */
  [[nodiscard]] bool TryAdmit(TimePoint aNow, HostId aHost);

  /** @brief Hosts avoided at present. */
  [[nodiscard]] std::vector<HostId> Avoided() const;

  /** @brief Judges the hosts anew. */
  void Tick(TimePoint aNow);

  /** @brief When `Tick` is next due. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /** @brief State for the dump on request. */
  [[nodiscard]] std::vector<HostHealthDump> Dump() const;

private:
  struct Host
  {
    double slowness_{ 1.0 };
    double failures_{};
    std::uint32_t evidence_{};
    bool avoided_{};
    std::uint32_t badTrials_{};
    std::uint32_t goodTrials_{};
    TimePoint nextTrial_;
  };

  static constexpr std::size_t kMostClassTimes = 256;

  /** Time over the class's usual time. */
  [[nodiscard]] double Normalise(ClassId aClass, Duration aTook);
  void OnTrial(TimePoint aNow, Host& aHost, bool aGood);
  void Avoid(TimePoint aNow, Host& aHost);
  [[nodiscard]] Duration TrialDelay(std::uint32_t aBadTrials);
  [[nodiscard]] double Badness(const Host& aHost) const;
  void FindMiddle();

  Random random_;
  absl::flat_hash_map<HostId, Host> hosts_;
  absl::flat_hash_map<ClassId, double> classSeconds_;
  double middleSlowness_{ 1.0 };
  double middleFailures_{};
  std::optional<TimePoint> nextTick_;
};

} // namespace cornelshore::admission

#endif
