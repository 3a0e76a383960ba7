#include <cornelshore/wire/role_hooks.hpp>

#include <cornelshore/wire/configuration_codec.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::wire {

role::Hooks
RoleHooks()
{
  role::Hooks hooks;
  hooks.decode_ = [](std::string_view aBytes) {
    Reader reader(aBytes);
    return DecodeConfiguration(reader);
  };
  hooks.encode_ = [](const Configuration& aConfiguration) {
    std::string out;
    Writer writer(out);
    Encode(writer, aConfiguration);
    return out;
  };
  return hooks;
}

} // namespace cornelshore::wire
