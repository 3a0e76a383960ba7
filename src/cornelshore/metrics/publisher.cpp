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
ToMetric(const MetricSample& aFigure)
{
  prometheus::ClientMetric metric;
  for (const auto& [name, value] : aFigure.labels_) {
    metric.label.push_back({ name, value });
  }
  if (aFigure.kind_ == MetricKind::Counter) {
    metric.counter.value = aFigure.value_;
  } else {
    metric.gauge.value = aFigure.value_;
  }
  return metric;
}

/** Holds the published figures as families. */
class Figures : public prometheus::Collectable
{
public:
  // The name is prometheus-cpp's own.
  std::vector<prometheus::MetricFamily> Collect() const override
  {
    const std::lock_guard lock(mutex_);
    return families_;
  }

  void Set(const std::vector<MetricSample>& aFigures)
  {
    std::map<std::string, prometheus::MetricFamily> byName;
    for (const auto& figure : aFigures) {
      auto& family = byName[figure.name_];
      family.name = figure.name_;
      family.help = figure.help_;
      family.type = figure.kind_ == MetricKind::Counter
                      ? prometheus::MetricType::Counter
                      : prometheus::MetricType::Gauge;
      family.metric.push_back(ToMetric(figure));
    }
    std::vector<prometheus::MetricFamily> families;
    families.reserve(byName.size());
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
    , figures_(std::make_shared<Figures>())
  {
    exposer_.RegisterCollectable(figures_);
  }

  prometheus::Exposer exposer_;
  std::shared_ptr<Figures> figures_;
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
Publisher::Publish(const std::vector<MetricSample>& aFigures)
{
  implementation_->figures_->Set(aFigures);
}

} // namespace cornelshore::metrics
