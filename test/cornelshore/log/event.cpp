#include <cornelshore/log/event.hpp>

#include <array>
#include <climits>

#include <poll.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <cornelshore/log/line_writer.hpp>

namespace cornelshore::log {
namespace {

TEST(Event, WritesOneLineOfPairs)
{
  EXPECT_EQ(
    Event("flow_refused").With("class", "statements").With("hops", 2).Line(),
    "event=flow_refused class=statements hops=2");
}

TEST(Event, NoValueForgesALineOrAPair)
{
  EXPECT_EQ(Event("x").With("name", "a\nevent=y").Line(),
            R"(event=x name="a\nevent=y")");
  EXPECT_EQ(Event("x").With("name", "").Line(), R"(event=x name="")");
}

/** A pipe that somebody may or may not read. */
class Pipe
{
public:
  Pipe() { EXPECT_EQ(::pipe(ends_.data()), 0); }
  ~Pipe()
  {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  [[nodiscard]] int Input() const { return ends_[1]; }

  /** Reads what is there. */
  std::string Drain()
  {
    std::string text;
    std::array<char, 65536> bytes{};
    pollfd state{ ends_[0], POLLIN, 0 };
    while (::poll(&state, 1, 0) == 1) {
      const auto size = ::read(ends_[0], bytes.data(), bytes.size());
      text.append(bytes.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

private:
  std::array<int, 2> ends_{};
};

std::uint64_t
CountOf(const std::string& aText, const std::string& aPart)
{
  std::uint64_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

TEST(LineWriter, DropsLinesThatNobodyReadsAndSaysHowMany)
{
  Pipe pipe;
  LineWriter writer(pipe.Input());
  constexpr std::uint64_t kLines = 5000;
  for (std::uint64_t line = 0; line < kLines; ++line) {
    writer.Write("event=test text=" + std::string(84, 'x'), 0);
  }
  const auto written = CountOf(pipe.Drain(), "event=test");
  EXPECT_LT(written, kLines);
  EXPECT_EQ(written + writer.Dropped(), kLines);
  writer.Write("event=test", 7);
  const auto text = pipe.Drain();
  EXPECT_EQ(CountOf(text, "event=test\n"), 1U);
  EXPECT_EQ(CountOf(text,
                    "event=log_lines_dropped count=" +
                      std::to_string(writer.Dropped() + 7)),
            1U);
  writer.Write("event=test", 7);
  EXPECT_EQ(CountOf(pipe.Drain(), "dropped"), 0U);
}

TEST(LineWriter, CutsALineThatAPipeMightNotTakeWhole)
{
  Pipe pipe;
  LineWriter writer(pipe.Input());
  writer.Write(std::string(100'000, 'x'), 0);
  EXPECT_EQ(pipe.Drain().size(), std::size_t{ PIPE_BUF });
}

TEST(Log, NeverWaitsForAnOutputThatTakesNothing)
{
  Pipe pipe;
  Start(Level::Info, "tester", pipe.Input());
  constexpr std::uint64_t kLines = 20'000;
  for (std::uint64_t line = 0; line < kLines; ++line) {
    Write(Level::Info, Event("flood").With("line", line));
  }
  Stop();
  const auto text = pipe.Drain();
  EXPECT_GT(CountOf(text, "event=flood"), 100U);
  EXPECT_LT(CountOf(text, "event=flood"), kLines);
  EXPECT_EQ(text.rfind("time=", 0), 0U);
  EXPECT_GT(CountOf(text, " process=tester level=info event=flood line=0\n"),
            0U);
}

} // namespace
} // namespace cornelshore::log
