#include <cornelshore/core/target.hpp>

#include <absl/strings/str_cat.h>

#include <cornelshore/core/hash.hpp>

namespace cornelshore {

namespace {

std::uint32_t
Hash32(std::string_view aText) noexcept
{
  return static_cast<std::uint32_t>(HashText(aText));
}

} // namespace

ServiceId
ServiceIdOf(std::string_view aService) noexcept
{
  return ServiceId{ Hash32(aService) };
}

ClassId
ClassIdOf(std::string_view aService, std::string_view aClass) noexcept
{
  const std::string service(aService);
  const std::string name(aClass);
  return ClassId{ Hash32(absl::StrCat(service, "/", name)) };
}

NodeId
NodeIdOf(std::string_view aName) noexcept
{
  return NodeId{ HashText(aName) };
}

DataCentreId
DataCentreIdOf(std::string_view aName) noexcept
{
  return DataCentreId{ Hash32(aName) };
}

} // namespace cornelshore
