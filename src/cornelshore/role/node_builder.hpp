#ifndef CORNELSHORE_ROLE_NODE_BUILDER_HPP
#define CORNELSHORE_ROLE_NODE_BUILDER_HPP

#include <utility>
#include <vector>

#include <absl/status/statusor.h>

#include <cornelshore/core/types.hpp>
#include <cornelshore/dissemination/node.hpp>
#include <cornelshore/role/hooks.hpp>

namespace cornelshore::role {

/**
 * @brief Base of the builders of all roles.
 *
 * @tparam Derived Builder of the role, returned by each setter.
 */
template<typename Derived>
class NodeBuilder
{
public:
  /** @brief Addresses of the peers that a process contacts first to discover
   * others. */
  Derived& WithSeeds(std::vector<Address> aSeeds)
  {
    seeds_ = std::move(aSeeds);
    return static_cast<Derived&>(*this);
  }

  /** @brief Codec of configurations. */
  Derived& WithHooks(Hooks aHooks)
  {
    hooks_ = std::move(aHooks);
    return static_cast<Derived&>(*this);
  }

protected:
  NodeBuilder(dissemination::NodeSettings aNode, membership::NodeRole aRole)
    : node_(std::move(aNode))
  {
    node_.role_ = aRole;
  }

  /** @return The node, or `InvalidArgument` naming the setting. */
  [[nodiscard]] absl::StatusOr<dissemination::Node> BuildNode() const
  {
    return dissemination::Node::Builder(node_).Build();
  }

  dissemination::NodeSettings node_;
  std::vector<Address> seeds_;
  Hooks hooks_;
};

} // namespace cornelshore::role

#endif
