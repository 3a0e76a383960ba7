#include <cornelshore/log/line_writer.hpp>

#include <chrono>
#include <climits>
#include <string>

#include <poll.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>

namespace cornelshore::log {

namespace {

/** A pipe whose reader is busy takes lines again within this time. */
constexpr std::chrono::milliseconds kPatience{ 20 };

/** A pipe that polls as writable takes so much without blocking (POSIX). */
constexpr std::size_t kMostLine = PIPE_BUF;

} // namespace

LineWriter::LineWriter(int aOutput) noexcept
  : output_(aOutput)
{
}

bool
LineWriter::TakesLines() const noexcept
{
  pollfd state{ output_, POLLOUT, 0 };
  const auto patience = blocked_ ? 0 : static_cast<int>(kPatience.count());
  return ::poll(&state, 1, patience) == 1 && (state.revents & POLLOUT) != 0;
}

bool
LineWriter::Put(std::string_view aLine)
{
  std::string line(aLine.substr(0, kMostLine - 1));
  line += '\n';
  blocked_ = !TakesLines() || ::write(output_, line.data(), line.size()) !=
                                static_cast<ssize_t>(line.size());
  return !blocked_;
}

void
LineWriter::Write(std::string_view aLine, std::uint64_t aDropped)
{
  if (!Put(aLine)) {
    ++dropped_;
    return;
  }
  const auto dropped = dropped_ + aDropped;
  if (dropped > reported_ &&
      Put(absl::StrCat("level=warning event=log_lines_dropped count=",
                       dropped - reported_))) {
    reported_ = dropped;
  }
}

} // namespace cornelshore::log
