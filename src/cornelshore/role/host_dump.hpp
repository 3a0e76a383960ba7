#ifndef CORNELSHORE_ROLE_HOST_DUMP_HPP
#define CORNELSHORE_ROLE_HOST_DUMP_HPP

#include <cornelshore/core/dump.hpp>
#include <cornelshore/dissemination/node.hpp>

namespace cornelshore::role::internal {

/** @brief Host records known to the node, for operators. */
[[nodiscard]] Dump DumpHosts(const dissemination::Node& aNode);

/** @brief State of the node, for the state dump. */
[[nodiscard]] Dump DumpNode(const dissemination::Node& aNode, TimePoint aNow);

/** @brief A 64-bit id as 16 hexadecimal digits. */
[[nodiscard]] std::string HexOf(std::uint64_t aValue);

/** @brief A duration in whole milliseconds. */
[[nodiscard]] std::string MillisOf(Duration aTime);

} // namespace cornelshore::role::internal

#endif
