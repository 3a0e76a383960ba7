#include <cornelshore/log/event.hpp>

#include <gtest/gtest.h>

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

} // namespace
} // namespace cornelshore::log
