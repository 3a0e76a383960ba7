#ifndef CORNELSHORE_METRICS_FWD_HPP
#define CORNELSHORE_METRICS_FWD_HPP

namespace cornelshore::metrics {

class Publisher;

} // namespace cornelshore::metrics

#endif
