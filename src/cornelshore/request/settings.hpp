#ifndef CORNELSHORE_REQUEST_SETTINGS_HPP
#define CORNELSHORE_REQUEST_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <absl/status/status.h>

#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/request/message.hpp>

namespace cornelshore::request {

/** @brief Settings of an agent's request handling. */
struct AgentSettings
{
  HostId self_;
  Incarnation incarnation_;
  DataCentreId dataCentre_;
  ServiceId service_;

  /** How long after its issue a ticket may first be submitted. */
  Duration window_{ std::chrono::seconds{ 60 } };
  /** How long after its issue a ticket's outcome is retained. */
  Duration retention_{ std::chrono::minutes{ 10 } };
  /** Maximum wait for a backup's consent. */
  Duration consentWait_{ std::chrono::milliseconds{ 500 } };
  /** Initial resend backoff between agents; doubles per resend. */
  Duration resendAfter_{ std::chrono::milliseconds{ 40 } };
  /** Maximum wait for an unfinished run after its deadline. */
  Duration cancelGrace_{ std::chrono::seconds{ 5 } };
  /** Interval of stamp requests to each peer. */
  Duration stampEvery_{ std::chrono::seconds{ 2 } };
  /** Maximum age of a peer's stamp for use in a ticket or a run. */
  Duration maxStampAge_{ std::chrono::seconds{ 10 } };

  std::size_t idLimit_{ 100'000 };           ///< Ids held as home.
  std::size_t backupLimit_{ 100'000 };       ///< Ids held as backup.
  std::size_t runLimit_{ 20'000 };           ///< Attempts held as executor.
  std::size_t bodyBytesLimit_{ 16U << 20U }; ///< Pending bodies, bytes.
  std::size_t answerBytesLimit_{
    32U << 20U
  };                                      ///< Retained answers, bytes per role.
  std::size_t bodyLimit_{ 16U << 10U };   ///< One body, bytes.
  std::size_t answerLimit_{ kMostBytes }; ///< One answer, bytes.
  std::size_t partBytes_{ 1'100 };        ///< One answer part, bytes.
  std::size_t peerLimit_{ 16 };           ///< Peers polled for stamps.
  std::uint32_t attemptLimit_{ 3 };       ///< Maximum attempts per request.
  /** Retries allowed, in 1/1000 of first attempts. */
  std::uint32_t retryShare_{ 100 };
  /** Capacity of the retry budget, in retries. */
  std::uint32_t retryBurst_{ 10 };
};

/**
 * @brief Validates the settings and their combination.
 * @return OK, or `InvalidArgument` naming the setting and allowed values.
 */
[[nodiscard]] absl::Status Check(const AgentSettings& aSettings);

} // namespace cornelshore::request

#endif
