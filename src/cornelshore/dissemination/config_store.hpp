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
 * @brief Holds the newest configuration and the deltas that lead to it.
 *
 * The version only grows. A configuration that arrives in chunks is installed
 * once all have arrived and its checksum matches. The last few configurations
 * and a bounded history of deltas serve processes that hold an older version.
 */
class ConfigStore
{
public:
  static constexpr std::size_t kMaxDeltas = 4096;
  static constexpr std::size_t kMaxDeltaBytes = 262'144;
  static constexpr std::size_t kMaxImages = 3;

  /** @brief Installs a configuration; false when too long or not newer. */
  bool Accept(ConfigVersion aVersion, std::string aBytes);

  /** @brief Stores a chunk; true when it completed a newer configuration. */
  bool Take(const ConfigChunk& aChunk);

  /** @brief Request for the first chunk that is missing of a newer version. */
  [[nodiscard]] ConfigRequest Missing() const;

  /** @brief Whether chunks of a newer configuration have arrived. */
  [[nodiscard]] bool IsAssembling() const noexcept;

  /**
   * @brief Chunks that update the requesting process, oldest first: deltas when
   * they are shorter, else the full configuration.
   * @param aMaxBytes Limit on the encoded bytes of all chunks.
   */
  [[nodiscard]] std::vector<ConfigChunk> ChunksFor(
    const ConfigRequest& aRequest,
    std::size_t aMaxBytes) const;

  [[nodiscard]] ConfigVersion Version() const noexcept;

  /** @brief Version that the newest delta starts from; 0 without one. */
  [[nodiscard]] ConfigVersion Base() const noexcept;

  [[nodiscard]] const std::string& Bytes() const noexcept;

  /** @brief Parts stored so far; a part that arrives twice counts once. */
  [[nodiscard]] std::uint64_t Stored() const noexcept { return stored_; }

  /** @brief Assembled configurations rejected for their checksum or size. */
  [[nodiscard]] std::uint64_t Refused() const noexcept { return refused_; }

private:
  struct Image
  {
    ConfigVersion version_;
    std::string bytes_;
  };

  /** A configuration or delta that is sent in chunks. */
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

  [[nodiscard]] static ConfigChunk ChunkOf(const Blob& aBlob,
                                           std::size_t aOffset);
  static void Append(const Blob& aBlob,
                     std::size_t aOffset,
                     std::size_t aMaxBytes,
                     std::vector<ConfigChunk>& aChunks);
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
  std::uint64_t stored_{};
  std::uint64_t refused_{};
};

} // namespace cornelshore::dissemination

#endif
