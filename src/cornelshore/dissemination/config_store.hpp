#ifndef CORNELSHORE_DISSEMINATION_CONFIG_STORE_HPP
#define CORNELSHORE_DISSEMINATION_CONFIG_STORE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <cornelshore/core/types.hpp>
#include <cornelshore/dissemination/message.hpp>

namespace cornelshore::dissemination {

/**
 * @brief Holds the newest configuration and what others need to reach it.
 *
 * The version only grows. A configuration that arrives in pieces is held only
 * once it is whole and its checksum is right. The last few configurations and
 * a bounded history of deltas serve those that are behind.
 */
class ConfigStore
{
public:
  static constexpr std::size_t kMostDeltas = 4096;
  static constexpr std::size_t kMostDeltaBytes = 262'144;
  static constexpr std::size_t kImages = 3;

  /** @brief Takes a whole configuration; false when it is not newer. */
  bool Accept(ConfigVersion aVersion, std::string aBytes);

  /** @brief Takes a piece; true when a newer configuration became whole. */
  bool Take(const ConfigChunk& aPiece);

  /** @brief What is still missing on the way to a newer one. */
  [[nodiscard]] ConfigRequest Missing() const;

  /** @brief Whether pieces of a newer one have arrived. */
  [[nodiscard]] bool Assembling() const noexcept;

  /**
   * @brief Pieces that bring a process on, oldest first: deltas when they are
   * shorter, else the whole.
   * @param aMostBytes Stops before their bytes exceed this.
   */
  [[nodiscard]] std::vector<ConfigChunk> PiecesFor(
    const ConfigRequest& aWant,
    std::size_t aMostBytes) const;

  [[nodiscard]] ConfigVersion Version() const noexcept;

  /** @brief Version that the newest delta starts from; 0 without one. */
  [[nodiscard]] ConfigVersion Base() const noexcept;

  [[nodiscard]] const std::string& Bytes() const noexcept;

  /** @brief Complete arrivals that failed their checksum or size. */
  [[nodiscard]] std::uint64_t Refused() const noexcept { return refused_; }

private:
  struct Image
  {
    ConfigVersion version_;
    std::string bytes_;
  };

  /** A blob that travels in pieces. */
  struct Blob
  {
    ConfigVersion base_;
    ConfigVersion version_;
    std::uint64_t checksum_{};
    std::string bytes_;
  };

  struct Assembly
  {
    Blob blob_;
    std::vector<bool> have_;
    std::size_t missing_{};
  };

  [[nodiscard]] static ConfigChunk PieceOf(const Blob& aBlob,
                                           std::size_t aOffset);
  static void Append(const Blob& aBlob,
                     std::size_t aOffset,
                     std::size_t aMostBytes,
                     std::vector<ConfigChunk>& aPieces);
  bool Complete(Blob aBlob);
  void Install(ConfigVersion aVersion, std::string aBytes);
  void Remember(Blob aDelta);
  [[nodiscard]] Blob BlobOf(const Image& aImage) const;
  [[nodiscard]] std::optional<std::size_t> ChainFrom(ConfigVersion aBase) const;

  std::deque<Image> images_; ///< The newest comes last.
  std::deque<Blob> deltas_;  ///< The newest comes last.
  std::size_t deltaBytes_{};
  std::optional<Assembly> whole_;
  std::optional<Assembly> delta_;
  std::uint64_t refused_{};
};

} // namespace cornelshore::dissemination

#endif
