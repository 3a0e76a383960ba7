#ifndef CORNELSHORE_CORE_CHECK_HPP
#define CORNELSHORE_CORE_CHECK_HPP

#include <string_view>

namespace cornelshore {

/**
 * @brief Stops the process when an invariant is broken.
 *
 * Only for what no input can cause; anything a peer, file or operator can
 * bring about is an outcome, not an invariant.
 *
 * @param aHolds The invariant.
 * @param aFacts Printed before the process aborts.
 */
void CheckInvariant(bool aHolds, std::string_view aFacts) noexcept;

} // namespace cornelshore

#endif
