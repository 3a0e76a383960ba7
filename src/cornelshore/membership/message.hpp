#ifndef CORNELSHORE_MEMBERSHIP_MESSAGE_HPP
#define CORNELSHORE_MEMBERSHIP_MESSAGE_HPP

#include <cstdint>
#include <variant>

#include <cornelshore/core/types.hpp>

namespace cornelshore::membership {

/** @brief Liveness probe to an agent. */
struct Probe
{
  std::uint64_t token_{}; ///< Repeated in the answer.

  bool operator==(const Probe&) const noexcept = default;
};

/** @brief Answers a probe; its arrival is the only sign of health. */
struct ProbeAnswer
{
  std::uint64_t token_{};

  bool operator==(const ProbeAnswer&) const noexcept = default;
};

/** @brief One observer's suspicion of a host, sent to its other observers. */
struct Suspicion
{
  HostId host_;
  Incarnation incarnation_; ///< Of the record it judged.
  std::uint64_t sequence_{};
  bool withdrawn_{}; ///< The host answered this observer after all.

  bool operator==(const Suspicion&) const noexcept = default;
};

using Message = std::variant<Probe, ProbeAnswer, Suspicion>;

} // namespace cornelshore::membership

#endif
