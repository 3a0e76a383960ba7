#include <cornelshore/core/address.hpp>

#include <gtest/gtest.h>

namespace cornelshore {
namespace {

TEST(Address, FormatsAsParsed)
{
  for (const auto* text : { "192.0.2.1:80", "[2001:db8::1]:443" }) {
    const auto address = ParseAddress(text);
    ASSERT_TRUE(address.ok()) << address.status();
    EXPECT_EQ(ToString(*address), text);
  }
}

TEST(Address, RejectsInvalidAddresses)
{
  for (const auto* text : { "",
                            ":",
                            "192.0.2.1",
                            "192.0.2.1:",
                            "192.0.2.1:65536",
                            "x:1",
                            "[::1:2" }) {
    EXPECT_FALSE(ParseAddress(text).ok()) << text;
  }
}

TEST(Address, StoresIpv4InMappedForm)
{
  EXPECT_EQ(MakeIpv4(0xC0000201U, 80), *ParseAddress("192.0.2.1:80"));
  EXPECT_TRUE(IsIpv4(MakeIpv4(1, 1)));
  EXPECT_FALSE(IsIpv4(*ParseAddress("[2001:db8::1]:443")));
}

} // namespace
} // namespace cornelshore
