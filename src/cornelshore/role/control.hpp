#ifndef CORNELSHORE_ROLE_CONTROL_HPP
#define CORNELSHORE_ROLE_CONTROL_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cornelshore/consensus/event.hpp>
#include <cornelshore/consensus/replica.hpp>
#include <cornelshore/core/dump.hpp>
#include <cornelshore/core/figure.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/dissemination/node.hpp>
#include <cornelshore/role/event.hpp>
#include <cornelshore/role/node_builder.hpp>

namespace cornelshore::role {

/** @brief An operator proposes targets; answered by `ApplyResult`. */
struct ApplyRequested
{
  consensus::Token token_;
  consensus::Change change_;
};

/** @brief An operator asks for the configuration; see `ShowResult`. */
struct ShowRequested
{
  consensus::Token token_;
};

/** @brief An operator requests a membership change of the control group; see
 * `MembershipChangeResult`.
 */
struct MembershipChangeRequested
{
  consensus::Token token_;
  consensus::MembershipChangeKind kind_{
    consensus::MembershipChangeKind::AddLearner
  };
  consensus::ReplicaId replica_;
};

/** @brief An operator confirms that the disk holds the latest state; see
 * `TrustDisk`. */
struct TrustDiskRequested
{};

/** @brief Input events of a control process. */
using ControlEvent = std::variant<NodeMessage,
                                  consensus::Synced,
                                  consensus::StorageFailed,
                                  ApplyRequested,
                                  ShowRequested,
                                  MembershipChangeRequested,
                                  TrustDiskRequested,
                                  dissemination::HostsRecovered,
                                  StopRequested,
                                  Tick>;

/** @brief Result of a proposal. */
struct ApplyResult
{
  consensus::Token token_;
  /** `InvalidArgument`/`FailedPrecondition` when the targets are invalid. */
  absl::Status validity_;
  consensus::ProposalStatus status_{ consensus::ProposalStatus::Unavailable };
  consensus::ChangeAnswer answer_;
};

/** @brief The accepted configuration. */
struct ShowResult
{
  consensus::Token token_;
  bool confirmed_{}; ///< Confirmed current by a lease or a quorum.
  Configuration configuration_;
  std::string document_; ///< Text that the operator applied; empty if none.
};

/** @brief Result of a membership change of the control group. */
struct MembershipChangeResult
{
  consensus::Token token_;
  consensus::MembershipStatus status_{
    consensus::MembershipStatus::Unavailable
  };
};

/**
 * @brief Store the known host records, tombstones included, in place of those
 * stored before; see `dissemination::HostsRecovered`.
 *
 * At most once a second while hosts come and go, else every ten minutes, so
 * that the age of what is stored tells for how long this process was down.
 */
struct KeepHosts
{
  std::vector<dissemination::HostUpdate> hosts_;
};

/** @brief Output actions of a control process, executed in order. */
using ControlAction = std::variant<SendToNode,
                                   consensus::Persist,
                                   KeepHosts,
                                   ApplyResult,
                                   ShowResult,
                                   MembershipChangeResult,
                                   consensus::LeaveFinished,
                                   consensus::ReplicaFaulted,
                                   Log,
                                   Ended>;

/** @brief State machine of a control process, which replicates the accepted
 * configuration. */
class Control
{
public:
  class Builder;

  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  /** @brief Handles one event and returns the resulting actions in order. */
  [[nodiscard]] std::vector<ControlAction> On(TimePoint aNow,
                                              ControlEvent aEvent);

  /** @brief Time at which the next `Tick` event is due. */
  [[nodiscard]] TimePoint NextTimer() const;

  /** @brief State for the operator's state dump. */
  [[nodiscard]] Dump State(TimePoint aNow) const;

  /** @brief The last accepted changes, newest first. */
  [[nodiscard]] Dump History() const;

  /** @brief Known host records, for operators. */
  [[nodiscard]] Dump Hosts() const;

  /** @brief Counters and gauges for the metrics. */
  [[nodiscard]] std::vector<MetricSample> Figures(TimePoint aNow) const;

private:
  struct Parts;

  explicit Control(std::unique_ptr<Parts> aParts);

  std::unique_ptr<Parts> parts_;
};

/** @brief Builds a control process. */
class Control::Builder : public NodeBuilder<Control::Builder>
{
public:
  /**
   * @param aNode Settings of the node; the role is set to control.
   * @param aReplica Replica built from its durable state.
   */
  Builder(dissemination::NodeSettings aNode, consensus::Replica aReplica);

  /** @brief Addresses of the control processes by node id. */
  Builder& WithMembers(std::vector<std::pair<NodeId, Address>> aMembers);

  /** @return The process, or `InvalidArgument` naming the setting. */
  [[nodiscard]] absl::StatusOr<std::unique_ptr<Control>> Build(TimePoint aNow);

private:
  consensus::Replica replica_;
  std::vector<std::pair<NodeId, Address>> members_;
};

} // namespace cornelshore::role

#endif
