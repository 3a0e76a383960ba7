#include <cornelshore/wire/configuration_codec.hpp>

#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::wire {

namespace {

void
Encode(Writer& aWriter, const ClassTarget& aClass)
{
  aWriter.Bytes(aClass.name_);
  aWriter.Uint(aClass.urgency_);
  aWriter.Uint(aClass.most_);
  aWriter.Uint(aClass.keeps_);
  aWriter.Bool(aClass.repeatable_);
}

void
Decode(Reader& aReader, const ServiceTarget& aService, ClassTarget& aClass)
{
  aClass.name_ = aReader.Bytes(kMaxNameBytes);
  aClass.id_ = ClassIdOf(aService.name_, aClass.name_);
  aClass.service_ = aService.id_;
  aClass.urgency_ = static_cast<std::uint8_t>(aReader.Uint(kMaxUrgency));
  aClass.most_ = static_cast<std::uint16_t>(aReader.Uint(kFullShare));
  aClass.keeps_ = static_cast<std::uint16_t>(aReader.Uint(kFullShare));
  aClass.repeatable_ = aReader.Bool();
}

} // namespace

void
Encode(Writer& aWriter, const ServiceTarget& aService)
{
  aWriter.Bytes(aService.name_);
  aWriter.List(aService.classes_.size());
  for (const auto& target : aService.classes_) {
    Encode(aWriter, target);
  }
}

void
Encode(Writer& aWriter, const Route& aRoute)
{
  aWriter.Bytes(aRoute.name_);
  aWriter.Write(aRoute.address_);
  aWriter.Uint(static_cast<std::uint64_t>(aRoute.kind_));
  aWriter.Write(aRoute.timeout_);
  aWriter.Write(aRoute.latencyObjective_);
  aWriter.Uint(aRoute.precedence_);
  aWriter.List(aRoute.to_.size());
  for (const auto& share : aRoute.to_) {
    aWriter.Write(share.service_);
    aWriter.Uint(share.weight_);
  }
}

void
Decode(Reader& aReader, Route& aRoute)
{
  aRoute.name_ = aReader.Bytes(kMaxNameBytes);
  aReader.Read(aRoute.address_);
  aRoute.kind_ = aReader.Enumerator(RouteKind::Single);
  aReader.Read(aRoute.timeout_);
  aReader.Read(aRoute.latencyObjective_);
  aRoute.precedence_ = aReader.Number<std::uint8_t>();
  aRoute.to_.clear();
  const auto count = aReader.List(kMaxRouteShares);
  for (std::size_t index = 0; index < count && aReader.Good(); ++index) {
    auto& share = aRoute.to_.emplace_back();
    aReader.Read(share.service_);
    share.weight_ = aReader.Number<std::uint32_t>();
  }
}

void
Encode(Writer& aWriter, const Configuration& aConfiguration)
{
  aWriter.Write(aConfiguration.version_);
  aWriter.List(aConfiguration.services_.size());
  for (const auto& service : aConfiguration.services_) {
    Encode(aWriter, service);
  }
  aWriter.List(aConfiguration.routes_.size());
  for (const auto& route : aConfiguration.routes_) {
    Encode(aWriter, route);
  }
  aWriter.Write(aConfiguration.flowIdleTimeout_);
}

void
Decode(Reader& aReader, ServiceTarget& aService)
{
  aService.name_ = aReader.Bytes(kMaxNameBytes);
  aService.id_ = ServiceIdOf(aService.name_);
  aService.classes_.clear();
  const auto count = aReader.List(kMaxClassesPerService);
  for (std::size_t index = 0; index < count && aReader.Good(); ++index) {
    Decode(aReader, aService, aService.classes_.emplace_back());
  }
}

void
Decode(Reader& aReader, Configuration& aConfiguration)
{
  aReader.Read(aConfiguration.version_);
  aConfiguration.services_.clear();
  const auto count = aReader.List(kMostServices);
  for (std::size_t index = 0; index < count && aReader.Good(); ++index) {
    Decode(aReader, aConfiguration.services_.emplace_back());
  }
  aConfiguration.routes_.clear();
  const auto routes = aReader.List(kMaxRoutes);
  for (std::size_t index = 0; index < routes && aReader.Good(); ++index) {
    Decode(aReader, aConfiguration.routes_.emplace_back());
  }
  aReader.Read(aConfiguration.flowIdleTimeout_);
}

absl::StatusOr<Configuration>
DecodeConfiguration(Reader& aReader)
{
  Configuration configuration;
  Decode(aReader, configuration);
  if (!aReader.Good()) {
    return absl::InvalidArgumentError("not a configuration");
  }
  return configuration;
}

} // namespace cornelshore::wire
