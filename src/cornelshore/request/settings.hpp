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

/** @brief Settings of one agent's part in requests. */
struct AgentSettings
{
  HostId self_;
  Incarnation incarnation_;
  DataCentreId dataCentre_;
  ServiceId service_;

  /** How long after its issue a ticket can be submitted first. */
  Duration window_{ std::chrono::seconds{ 60 } };
  /** How long after its issue a ticket's outcome is told again. */
  Duration retention_{ std::chrono::minutes{ 10 } };
  /** How long a consent is waited for, and good for. */
  Duration consentWait_{ std::chrono::milliseconds{ 500 } };
  /** First wait before a message between agents is sent again; it doubles. */
  Duration resendAfter_{ std::chrono::milliseconds{ 40 } };
  /** How long an unfinished run is waited for after its deadline. */
  Duration cancelGrace_{ std::chrono::seconds{ 5 } };
  /** How often each peer is asked for its stamp. */
  Duration stampEvery_{ std::chrono::seconds{ 2 } };
  /** How old a peer's stamp may be to be named in a ticket or a run. */
  Duration stampFresh_{ std::chrono::seconds{ 10 } };

  std::size_t idLimit_{ 100'000 };             ///< Ids held as home.
  std::size_t backupLimit_{ 100'000 };         ///< Ids held as backup.
  std::size_t runLimit_{ 20'000 };             ///< Attempts held as executor.
  std::size_t bodyBytesLimit_{ 16U << 20U };   ///< Bodies waiting, bytes.
  std::size_t answerBytesLimit_{ 32U << 20U }; ///< Answers kept, each role.
  std::size_t bodyLimit_{ 16U << 10U };        ///< One body, bytes.
  std::size_t answerLimit_{ kMostBytes };      ///< One answer, bytes.
  std::size_t partBytes_{ 1'100 };             ///< One answer part, bytes.
  std::size_t peerLimit_{ 16 };                ///< Peers asked for stamps.
  std::uint32_t attemptLimit_{ 3 };            ///< Hosts tried for a request.
  /** Retries allowed in 1/1000 of first attempts. */
  std::uint32_t retryShare_{ 100 };
  /** Retries that may be saved up. */
  std::uint32_t retryBurst_{ 10 };
};

/**
 * @brief Whether the settings make sense together.
 * @return OK, or `InvalidArgument` naming the setting and what is allowed.
 */
[[nodiscard]] absl::Status Check(const AgentSettings& aSettings);

} // namespace cornelshore::request

#endif
