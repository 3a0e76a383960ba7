#ifndef CORNELSHORE_METRICS_PUBLISHER_HPP
#define CORNELSHORE_METRICS_PUBLISHER_HPP

#include <memory>
#include <vector>

#include <absl/status/statusor.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/figure.hpp>

namespace cornelshore::metrics {

/**
 * @brief Serves the figures last published at `/metrics`.
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
  void Publish(const std::vector<MetricSample>& aFigures);

private:
  class Implementation;

  explicit Publisher(std::unique_ptr<Implementation> aImplementation);

  std::unique_ptr<Implementation> implementation_;
};

} // namespace cornelshore::metrics

#endif
