#ifndef CORNELSHORE_CORE_CHECK_HPP
#define CORNELSHORE_CORE_CHECK_HPP

#include <string_view>

namespace cornelshore {

/**
 * @brief Aborts the process if an invariant is violated.
 *
 * Only for conditions that no input can cause. Whatever a peer, file or
 * operator can cause is reported as an error instead.
 *
 * @param aCondition The invariant; nothing happens if true.
 * @param aMessage Written to standard error before the abort.
 */
void CheckInvariant(bool aCondition, std::string_view aMessage) noexcept;

} // namespace cornelshore

#endif
