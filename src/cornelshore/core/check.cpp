#include <cornelshore/core/check.hpp>

#include <cstdio>
#include <cstdlib>

namespace cornelshore {

void
CheckInvariant(bool aCondition, std::string_view aMessage) noexcept
{
  if (aCondition) {
    return;
  }
  static_cast<void>(std::fprintf(stderr,
                                 "event=invariant_broken facts=\"%.*s\"\n",
                                 static_cast<int>(aMessage.size()),
                                 aMessage.data()));
  std::abort();
}

} // namespace cornelshore
