#ifndef CORNELSHORE_SETTINGS_FWD_HPP
#define CORNELSHORE_SETTINGS_FWD_HPP

namespace cornelshore::settings {

struct Settings;

namespace internal {

class Table;

} // namespace internal

} // namespace cornelshore::settings

#endif
