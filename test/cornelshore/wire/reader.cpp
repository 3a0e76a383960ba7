#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

#include <string>

#include <gtest/gtest.h>

namespace cornelshore::wire {
namespace {

TEST(Reader, ReadsWhatTheWriterWrote)
{
  const FlowKey key{ MakeIpv4(0xC0000201U, 4000),
                     MakeIpv4(0xC6336401U, 80),
                     Transport::Tcp };
  std::string out;
  Writer writer(out);
  writer.Uint(1U << 20U);
  writer.Int(-7);
  writer.List(2);
  writer.Bytes("ab");
  writer.Bytes("");
  writer.Write(key);
  writer.Write(RequestId{ 1, 2 });
  writer.Write(Duration{ -3 });
  writer.Write(HostId{ ~std::uint64_t{} });

  Reader reader(out);
  EXPECT_EQ(reader.Uint(), 1U << 20U);
  EXPECT_EQ(reader.Int(), -7);
  EXPECT_EQ(reader.List(2), 2U);
  EXPECT_EQ(reader.Bytes(2), "ab");
  EXPECT_EQ(reader.Bytes(2), "");
  FlowKey readKey;
  reader.Read(readKey);
  EXPECT_EQ(readKey, key);
  RequestId id;
  reader.Read(id);
  EXPECT_EQ(id, (RequestId{ 1, 2 }));
  Duration duration{};
  reader.Read(duration);
  EXPECT_EQ(duration, Duration{ -3 });
  HostId host;
  reader.Read(host);
  EXPECT_EQ(host.value_, ~std::uint64_t{});
  EXPECT_TRUE(reader.Finish().ok());
}

TEST(Reader, FailsOnEveryTruncation)
{
  std::string out;
  Writer writer(out);
  writer.Uint(70000);
  writer.List(3);
  writer.Bytes("abcdef");
  for (std::size_t size = 0; size < out.size(); ++size) {
    Reader reader(std::string_view(out).substr(0, size));
    reader.Uint();
    reader.List(3);
    reader.Bytes(6);
    EXPECT_FALSE(reader.Finish().ok()) << size;
  }
}

TEST(Reader, RefusesLengthsThatTheInputOnlyClaims)
{
  const std::string list("\xDD\xFF\xFF\xFF\xFF", 5);
  Reader listReader(list);
  EXPECT_EQ(listReader.List(~std::size_t{}), 0U);
  EXPECT_FALSE(listReader.Good());
  const std::string bytes("\xC6\xFF\xFF\xFF\xFF", 5);
  Reader bytesReader(bytes);
  EXPECT_TRUE(bytesReader.Bytes(~std::size_t{}).empty());
  EXPECT_FALSE(bytesReader.Good());
}

TEST(Reader, RefusesValuesOutOfRangeAndOfAnotherKind)
{
  std::string out;
  Writer(out).Uint(256);
  EXPECT_EQ(Reader(out).Number<std::uint8_t>(), 0U);
  Reader reader(out);
  reader.Bytes(10);
  EXPECT_FALSE(reader.Good());
}

} // namespace
} // namespace cornelshore::wire
