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

/** @brief An operator changes the control group; see `MembershipChangeResult`.
 */
struct MembershipChangeRequested
{
  consensus::Token token_;
  consensus::MembershipChangeKind kind_{
    consensus::MembershipChangeKind::AddLearner
  };
  consensus::ReplicaId replica_;
};

/** @brief An operator vouches that the disk is the latest; see `TrustDisk`. */
struct TrustDiskRequested
{};

/** @brief What happens to a control process. */
using ControlEvent = std::variant<NodeMessage,
                                  consensus::Synced,
                                  consensus::StorageFailed,
                                  ApplyRequested,
                                  ShowRequested,
                                  MembershipChangeRequested,
                                  TrustDiskRequested,
                                  StopRequested,
                                  Tick>;

/** @brief Outcome of a proposal. */
struct ApplyResult
{
  consensus::Token token_;
  /** `InvalidArgument`/`FailedPrecondition` when the targets do not fit. */
  absl::Status validity_;
  consensus::ProposalStatus status_{ consensus::ProposalStatus::Unavailable };
  consensus::ChangeAnswer answer_;
};

/** @brief Configuration in force. */
struct ShowResult
{
  consensus::Token token_;
  bool confirmed_{}; ///< A lease or a quorum vouches that it is current.
  Configuration configuration_;
  std::string document_; ///< Operator's own text of it; empty: none.
};

/** @brief Outcome of a change of the control group. */
struct MembershipChangeResult
{
  consensus::Token token_;
  consensus::MembershipStatus status_{
    consensus::MembershipStatus::Unavailable
  };
};

/** @brief What a control process wants done, in this order. */
using ControlAction = std::variant<SendToNode,
                                   consensus::Persist,
                                   ApplyResult,
                                   ShowResult,
                                   MembershipChangeResult,
                                   consensus::ReplicaFaulted,
                                   Log,
                                   Ended>;

/** @brief A control process: keeps the accepted configuration. */
class Control
{
public:
  class Builder;

  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  /** @brief Takes one event and says what is to be done. */
  [[nodiscard]] std::vector<ControlAction> On(TimePoint aNow,
                                              ControlEvent aEvent);

  /** @brief When `Tick` is due. */
  [[nodiscard]] TimePoint NextTimer() const;

  /** @brief State for the dump on request. */
  [[nodiscard]] Dump State(TimePoint aNow) const;

  /** @brief The last accepted changes, the newest first. */
  [[nodiscard]] Dump History() const;

  /** @brief Hosts known, for operators. */
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
   * @param aNode Who it is; its role is set to control.
   * @param aReplica The replica, built from what its disk holds.
   */
  Builder(dissemination::NodeSettings aNode, consensus::Replica aReplica);

  /** @brief Addresses of the control processes, by node. */
  Builder& WithMembers(std::vector<std::pair<NodeId, Address>> aMembers);

  /** @return The process, or `InvalidArgument` naming the setting. */
  [[nodiscard]] absl::StatusOr<std::unique_ptr<Control>> Build(TimePoint aNow);

private:
  consensus::Replica replica_;
  std::vector<std::pair<NodeId, Address>> members_;
};

} // namespace cornelshore::role

#endif
