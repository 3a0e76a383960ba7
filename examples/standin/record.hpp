#ifndef CORNELSHORE_EXAMPLES_STANDIN_RECORD_HPP
#define CORNELSHORE_EXAMPLES_STANDIN_RECORD_HPP

#include <chrono>
#include <cstdint>
#include <fstream>
#include <string>
#include <utility>

namespace cornelshore::standin {

/**
 * @brief What a stand-in saw, one line an event: microseconds since the Unix
 * epoch, who saw it, the event, the caller's end of the flow, a value.
 */
class Record
{
public:
  /** @param aPath File to append to; nothing is recorded when empty. */
  Record(const std::string& aPath, std::string aWho)
    : who_(std::move(aWho))
  {
    if (!aPath.empty()) {
      file_.open(aPath, std::ios::app);
    }
  }

  void Write(const char* aEvent,
             const std::string& aFlow,
             std::uint64_t aValue = 0)
  {
    if (!file_.is_open()) {
      return;
    }
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
    file_ << now.count() << ' ' << who_ << ' ' << aEvent << ' ' << aFlow << ' '
          << aValue << std::endl;
  }

private:
  std::string who_;
  std::ofstream file_;
};

} // namespace cornelshore::standin

#endif
