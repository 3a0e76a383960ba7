#include <cornelshore/core/check.hpp>

#include <cstdio>
#include <cstdlib>

namespace cornelshore {

void
CheckInvariant(bool aHolds, std::string_view aFacts) noexcept
{
  if (aHolds) {
    return;
  }
  static_cast<void>(std::fprintf(stderr,
                                 "event=invariant_broken facts=\"%.*s\"\n",
                                 static_cast<int>(aFacts.size()),
                                 aFacts.data()));
  std::abort();
}

} // namespace cornelshore
