#include <cornelshore/metrics/publisher.hpp>

#include <map>
#include <mutex>

#include <absl/strings/str_cat.h>
#include <prometheus/collectable.h>
#include <prometheus/exposer.h>
#include <prometheus/metric_family.h>

namespace cornelshore::metrics {

namespace {

constexpr std::size_t kThreads = 1;

prometheus::ClientMetric
ToMetric(const Sample& aSample)
{
  prometheus::ClientMetric metric;
  for (const auto& [name, value] : aSample.labels_) {
    metric.label.push_back({ name, value });
  }
  if (aSample.kind_ == Kind::Counter) {
    metric.counter.value = aSample.value_;
  } else {
    metric.gauge.value = aSample.value_;
  }
  return metric;
}

/** Holds the published samples as families. */
class Samples : public prometheus::Collectable
{
public:
  // The name is prometheus-cpp's own.
  std::vector<prometheus::MetricFamily> Collect() const override
  {
    const std::lock_guard lock(mutex_);
    return families_;
  }

  void Set(const std::vector<Sample>& aSamples)
  {
    std::map<std::string, prometheus::MetricFamily> byName;
    for (const auto& sample : aSamples) {
      auto& family = byName[sample.name_];
      family.name = sample.name_;
      family.help = sample.help_;
      family.type = sample.kind_ == Kind::Counter
                      ? prometheus::MetricType::Counter
                      : prometheus::MetricType::Gauge;
      family.metric.push_back(ToMetric(sample));
    }
    std::vector<prometheus::MetricFamily> families;
    for (auto& [name, family] : byName) {
      families.push_back(std::move(family));
    }
    const std::lock_guard lock(mutex_);
    families_ = std::move(families);
  }

private:
  mutable std::mutex mutex_;
  std::vector<prometheus::MetricFamily> families_;
};

} // namespace

class Publisher::Implementation
{
public:
  explicit Implementation(const Address& aAddress)
    : exposer_(ToString(aAddress), kThreads)
    , samples_(std::make_shared<Samples>())
  {
    exposer_.RegisterCollectable(samples_);
  }

  prometheus::Exposer exposer_;
  std::shared_ptr<Samples> samples_;
};

Publisher::Publisher(std::unique_ptr<Implementation> aImplementation)
  : implementation_(std::move(aImplementation))
{
}

Publisher::~Publisher() = default;

absl::StatusOr<std::unique_ptr<Publisher>>
Publisher::Listen(const Address& aAddress)
{
  try {
    return std::unique_ptr<Publisher>(
      new Publisher(std::make_unique<Implementation>(aAddress)));
  } catch (const std::exception& error) {
    return absl::UnavailableError(absl::StrCat(
      "cannot serve metrics at ", ToString(aAddress), ": ", error.what()));
  }
}

void
Publisher::Publish(std::vector<Sample> aSamples)
{
  implementation_->samples_->Set(aSamples);
}

} // namespace cornelshore::metrics
