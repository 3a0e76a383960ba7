#ifndef CORNELSHORE_METRICS_PUBLISHER_HPP
#define CORNELSHORE_METRICS_PUBLISHER_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <absl/status/statusor.h>

#include <cornelshore/core/address.hpp>

namespace cornelshore::metrics {

/** @brief Kind of a sample, as Prometheus tells them apart. */
enum class Kind : std::uint8_t
{
  Counter,
  Gauge,
};

/** @brief One value of one metric. */
struct Sample
{
  std::string name_; ///< With unit, and `_total` for a counter.
  std::string help_;
  Kind kind_{ Kind::Counter };
  std::vector<std::pair<std::string, std::string>> labels_;
  double value_{};
};

/**
 * @brief Serves the samples last published at `/metrics`.
 *
 * The deciding thread publishes whole sets; scrapes never wait for it.
 */
class Publisher
{
public:
  /**
   * @brief Listens at an address.
   * @return The publisher, or `Unavailable` with the address and why.
   */
  [[nodiscard]] static absl::StatusOr<std::unique_ptr<Publisher>> Listen(
    const Address& aAddress);

  ~Publisher();
  Publisher(const Publisher&) = delete;
  Publisher& operator=(const Publisher&) = delete;

  /** @brief Replaces what is served. */
  void Publish(std::vector<Sample> aSamples);

private:
  class Implementation;

  explicit Publisher(std::unique_ptr<Implementation> aImplementation);

  std::unique_ptr<Implementation> implementation_;
};

} // namespace cornelshore::metrics

#endif
