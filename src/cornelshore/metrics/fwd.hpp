#ifndef CORNELSHORE_METRICS_FWD_HPP
#define CORNELSHORE_METRICS_FWD_HPP

namespace cornelshore::metrics {

struct Sample;
class Publisher;

} // namespace cornelshore::metrics

#endif
