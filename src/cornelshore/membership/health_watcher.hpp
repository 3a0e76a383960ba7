#ifndef CORNELSHORE_MEMBERSHIP_HEALTH_WATCHER_HPP
#define CORNELSHORE_MEMBERSHIP_HEALTH_WATCHER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/random.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/membership/message.hpp>
#include <cornelshore/membership/observers.hpp>
#include <cornelshore/membership/record.hpp>

namespace cornelshore::membership {

/** @brief Host records that changed in the view. */
struct HostRecordsChanged
{
  std::vector<HostRecord> records_;
};

/** @brief All balancers known, this one among them. */
struct BalancersChanged
{
  std::vector<NodeId> balancers_;
};

/** @brief Whether a host answered on this balancer's own data path. */
struct HostResultObserved
{
  HostId host_;
  bool answered_{};
};

/** @brief An authenticated message came from a process in a data centre. */
struct DataCentreContact
{
  DataCentreId dataCentre_;
};

/** @brief A membership message arrived. */
struct MessageReceived
{
  NodeId from_;
  Message message_;
};

/** @brief Time has passed; see `HealthWatcher::NextTimer()`. */
struct HealthTick
{};

using HealthEvent = std::variant<HostRecordsChanged,
                                 BalancersChanged,
                                 HostResultObserved,
                                 DataCentreContact,
                                 MessageReceived,
                                 HealthTick>;

/** @brief Send a membership message. */
struct HealthSend
{
  NodeId to_;
  Message message_;
};

/** @brief Enough observers agree: spread this `Gone` record. */
struct HostDeclaredGone
{
  HostRecord record_;
};

using HealthAction = std::variant<HealthSend, HostDeclaredGone>;

/** @brief State of a host as judged by this observer. */
enum class Judgement : std::uint8_t
{
  Alive,
  Missing,   ///< Fewer unanswered probes than suspicion needs.
  Suspected, ///< Unanswered; reported to the other observers.
  HeldBack,  ///< Unanswered, in a loss shared by other hosts.
};

/** @brief Names of `Judgement`. */
inline constexpr std::array<EnumName<Judgement>, 4> kJudgementNames{ {
  { Judgement::Alive, "alive" },
  { Judgement::Missing, "missing" },
  { Judgement::Suspected, "suspected" },
  { Judgement::HeldBack, "held_back" },
} };

/** @brief State of a watcher for the state dump. */
struct HealthDump
{
  std::size_t watched_{};
  std::array<std::size_t, 4> byJudgement_{}; ///< Indexed by `Judgement`.
  std::uint64_t probesSent_{};
  std::uint64_t declaredGone_{};
};

/** @brief Settings of a `HealthWatcher`. */
struct HealthSettings
{
  NodeId self_;
  std::uint64_t seed_{};
  std::size_t observersPerHost_{ 5 };
  std::size_t observersToDeclare_{ 3 };
  Duration probeInterval_{ std::chrono::seconds(10) };
  Duration probeTimeout_{ std::chrono::milliseconds(700) };
  std::uint32_t missesToSuspect_{ 3 };
  std::uint32_t failuresToSuspect_{ 5 };
  Duration failingToSuspect_{ std::chrono::seconds(5) };
  Duration suspicionLife_{ std::chrono::seconds(30) };
  Duration startGrace_{ std::chrono::minutes(10) };
  Duration dataCentreSilence_{ std::chrono::seconds(20) };
  Duration holdLimit_{ std::chrono::hours(2) };
};

/**
 * @brief Failure detector for hosts, run by each balancer.
 *
 * Each host has a few observers. An observer without an answer from a host, in
 * the data path or to its probes, reports its suspicion to the others; a host
 * is declared gone only when enough of them suspect the same record of it
 * (compare SWIM: Das, Gupta and Motivala, 2002). A loss shared by many hosts
 * or a whole data centre is treated as a network failure and held back.
 */
class HealthWatcher
{
public:
  class Builder;

  /** @brief Takes one event; the actions are to be carried out in order. */
  [[nodiscard]] std::vector<HealthAction> On(TimePoint aNow,
                                             const HealthEvent& aEvent);

  /** @brief When the next `HealthTick` is due. */
  [[nodiscard]] TimePoint NextTimer() const noexcept;

  /** @brief This observer's judgement; `Alive` for hosts it does not watch. */
  [[nodiscard]] Judgement Of(TimePoint aNow, HostId aHost) const;

  /** @brief State for the state dump. */
  [[nodiscard]] HealthDump Dump(TimePoint aNow) const;

private:
  struct Watched
  {
    HostRecord record_;
    TimePoint watchedSince_;
    TimePoint heardAt_;
    TimePoint probeAt_;
    std::optional<TimePoint> deadline_; ///< Of the outstanding probe.
    std::uint64_t token_{};
    std::uint32_t misses_{};
    std::uint32_t failures_{}; ///< Of the data path, since it last succeeded.
    std::optional<TimePoint> failingSince_;
    std::optional<TimePoint> missingSince_;
    std::optional<TimePoint> suspicionSentAt_;
    std::map<NodeId, TimePoint> suspicions_; ///< Of this record, by others.
  };

  explicit HealthWatcher(const HealthSettings& aSettings);

  void Handle(TimePoint aNow, const HostRecordsChanged& aEvent);
  void Handle(TimePoint aNow, const BalancersChanged& aEvent);
  void Handle(TimePoint aNow, const HostResultObserved& aEvent);
  void Handle(TimePoint aNow, const DataCentreContact& aEvent);
  void Handle(TimePoint aNow, const MessageReceived& aEvent);
  void Handle(TimePoint aNow, const HealthTick& aEvent);
  void Handle(TimePoint aNow, NodeId aFrom, const Probe& aProbe);
  void Handle(TimePoint aNow, NodeId aFrom, const ProbeAnswer& aAnswer);
  void Handle(TimePoint aNow, NodeId aFrom, const Suspicion& aSuspicion);

  void Watch(TimePoint aNow, const HostRecord& aRecord);
  void Reconcile(TimePoint aNow);
  void RecordAnswer(TimePoint aNow, Watched& aWatched);
  void RecordMiss(TimePoint aNow, Watched& aWatched);
  void SendProbe(TimePoint aNow, Watched& aWatched);
  void Step(TimePoint aNow, Watched& aWatched);
  void Judge(TimePoint aNow, Watched& aWatched);
  void SendSuspicion(const Watched& aWatched, bool aWithdrawn);
  [[nodiscard]] bool InStartGrace(TimePoint aNow,
                                  const Watched& aWatched) const;
  [[nodiscard]] bool Unanswered(TimePoint aNow, const Watched& aWatched) const;
  void Restart(TimePoint aNow, Watched& aWatched);
  void Schedule();
  [[nodiscard]] bool HeldBack(TimePoint aNow, const Watched& aWatched) const;
  [[nodiscard]] std::size_t RequiredObservers(HostId aHost) const;

  HealthSettings settings_;
  Random random_;
  Observers observers_;
  absl::flat_hash_map<HostId, HostRecord> records_;
  std::map<HostId, Watched> watched_;
  std::map<DataCentreId, TimePoint> heard_;
  std::vector<HealthAction> actions_;
  std::uint64_t probesSent_{};
  std::uint64_t declaredGone_{};
  TimePoint nextTimer_;
};

/** @brief Builds a `HealthWatcher`. */
class HealthWatcher::Builder
{
public:
  explicit Builder(HealthSettings aSettings)
    : settings_(aSettings)
  {
  }

  /** @return The watcher, or `InvalidArgument` naming the bad setting. */
  [[nodiscard]] absl::StatusOr<HealthWatcher> Build() const;

private:
  HealthSettings settings_;
};

} // namespace cornelshore::membership

#endif
