#ifndef CORNELSHORE_WIRE_SEAL_HPP
#define CORNELSHORE_WIRE_SEAL_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include <cornelshore/core/names.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::wire {

/** @brief Bytes that sealing adds to a payload: header and tag. */
inline constexpr std::size_t kSealOverheadBytes = 42;

/** @brief What became of a received datagram. */
enum class OpenOutcome : std::uint8_t
{
  Opened,     ///< Authentic, and not seen before where that is checked.
  Malformed,  ///< Too short or of another version.
  UnknownKey, ///< Its key id is not in the key ring.
  BadTag,     ///< Not made with that key, or changed on the way.
  Replayed,   ///< Seen before, too old, or of an earlier incarnation.
};

/** @brief Names of `OpenOutcome`. */
inline constexpr std::array<EnumName<OpenOutcome>, 5> kOpenOutcomeNames{ {
  { OpenOutcome::Opened, "opened" },
  { OpenOutcome::Malformed, "malformed" },
  { OpenOutcome::UnknownKey, "unknown_key" },
  { OpenOutcome::BadTag, "bad_tag" },
  { OpenOutcome::Replayed, "replayed" },
} };

/** @brief Whether a datagram that was opened before is refused. */
enum class ReplayCheck : std::uint8_t
{
  Skip,
  Refuse,
};

/** @brief A datagram's payload and who sent it. */
struct Opened
{
  OpenOutcome outcome_{ OpenOutcome::Malformed };
  NodeId sender_;            ///< Valid only when opened.
  Incarnation incarnation_;  ///< Valid only when opened.
  std::uint64_t counter_{};  ///< Valid only when opened.
  std::string_view payload_; ///< Part of the input; empty unless opened.
};

/**
 * @brief Keys of the cluster, several of them alive during a rotation.
 *
 * Holds secrets: it is neither printable nor part of any dump, and errors
 * name lines and key ids only.
 */
class KeyRing
{
public:
  static constexpr std::size_t kKeyBytes = 32;
  static constexpr std::size_t kMostKeys = 16;

  /**
   * @brief Reads a key ring from text.
   *
   * One key a line: `<id> <64 hexadecimal digits>`, id from 1 to 255; lines
   * that are empty or begin with `#` are skipped. The first key seals; all of
   * them open.
   *
   * @return The ring, or `InvalidArgument` naming the line at fault.
   */
  [[nodiscard]] static absl::StatusOr<KeyRing> Parse(std::string_view aText);

  KeyRing(const KeyRing&) = default;
  KeyRing& operator=(const KeyRing&) = default;
  KeyRing(KeyRing&&) noexcept = default;
  KeyRing& operator=(KeyRing&&) noexcept = default;
  /** @brief Overwrites the keys. */
  ~KeyRing();

  /** @brief Id of the key that seals. */
  [[nodiscard]] std::uint8_t SealingKey() const noexcept { return sealing_; }

  /** @brief Tells whether the ring has the key. */
  [[nodiscard]] bool Has(std::uint8_t aKeyId) const noexcept;

  /** @brief Number of keys alive. */
  [[nodiscard]] std::size_t size() const noexcept { return size_; }

  /** @brief A key's bytes; empty when the ring does not have it. */
  [[nodiscard]] std::span<const std::uint8_t> Secret(
    std::uint8_t aKeyId) const noexcept;

private:
  struct Key
  {
    std::uint8_t id_{};
    std::array<std::uint8_t, kKeyBytes> secret_{};
  };

  KeyRing() = default;

  /** Adds the key of one line; what is wrong with it, or null. */
  const char* Add(std::string_view aLine);

  std::array<Key, kMostKeys> keys_{};
  std::size_t size_{};
  std::uint8_t sealing_{};
};

/**
 * @brief Authenticates the datagrams one process sends (AES-128-GMAC, NIST SP
 * 800-38D).
 *
 * The key is derived for the sender and its incarnation (HKDF-SHA256, RFC
 * 5869) and the nonce is a counter, so that no nonce is used twice as long as
 * no two runs of a process share an incarnation. One sealer belongs to one
 * thread; several threads use `aLane` to keep their counters apart.
 */
class Sealer
{
public:
  /**
   * @param aKeys Copied; the first key seals.
   * @param aLane Upper 8 bits of the counter, one a thread.
   */
  Sealer(const KeyRing& aKeys,
         NodeId aSelf,
         Incarnation aIncarnation,
         std::uint8_t aLane = 0);
  Sealer(Sealer&&) noexcept;
  Sealer& operator=(Sealer&&) noexcept;
  ~Sealer();

  /** @brief Replaces the contents of `aOut` with the sealed payload. */
  void Seal(std::string_view aPayload, std::string& aOut);

  /** @brief Goes over to another key ring; the counter goes on. */
  void Rotate(const KeyRing& aKeys);

private:
  struct State;
  std::unique_ptr<State> state_;
};

/**
 * @brief Checks the datagrams one process receives.
 *
 * Keeps one cipher context a sender and, where replays are refused, one
 * window of `kReplayWindow` counters a sender and lane. Only authentic
 * datagrams take a place in either; the sender unheard for longest makes room
 * when `aMostSenders` is reached, and its old datagrams could then be
 * replayed.
 */
class Opener
{
public:
  static constexpr std::size_t kReplayWindow = 1024;
  static constexpr std::size_t kMostSendersDefault = 24'576;

  explicit Opener(const KeyRing& aKeys,
                  std::size_t aMostSenders = kMostSendersDefault);
  Opener(Opener&&) noexcept;
  Opener& operator=(Opener&&) noexcept;
  ~Opener();

  /** @brief Checks a datagram; its payload is a view into it. */
  [[nodiscard]] Opened Open(std::string_view aDatagram,
                            ReplayCheck aReplayCheck);

  /** @brief Goes over to another key ring; replay windows are kept. */
  void Rotate(const KeyRing& aKeys);

  /** @brief Number of senders held. */
  [[nodiscard]] std::size_t Senders() const noexcept;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace cornelshore::wire

#endif
