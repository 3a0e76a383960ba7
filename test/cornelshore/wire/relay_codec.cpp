#include <cornelshore/wire/relay_codec.hpp>

#include <string>
#include <string_view>

#include <gtest/gtest.h>

#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::wire {
namespace {

relay::Query
FullQuery()
{
  relay::Query query;
  query.id_ = ~std::uint32_t{};
  for (std::uint16_t port = 0; port < relay::kMaxQueryItems; ++port) {
    query.items_.push_back(
      { ~std::uint32_t{} - 7U * port, ~std::uint32_t{} - port });
  }
  return query;
}

std::string
BytesOf(const relay::Message& aMessage)
{
  std::string out;
  Writer writer(out);
  Encode(writer, aMessage);
  return out;
}

TEST(RelayCodec, ReadsBackWhatItWroteAndRefusesEveryTruncation)
{
  const relay::HostLoad load{ 1, 2, 3, true, false };
  const relay::Message messages[] = {
    relay::RelayedPacket{ relay::Purpose::Search, { 7 }, { 9 }, "packet" },
    relay::Answer{
      { MakeIpv4(0xC0000201U, 0), MakeIpv4(0xC6336401U, 80), Transport::Tcp },
      relay::Verdict::Unknown,
      load,
      "packet" },
    load,
    relay::Watch{},
    relay::Watch{ std::chrono::milliseconds{ 1500 }, true },
    FullQuery(),
    relay::QueryAnswer{
      4, { relay::Holding::No, relay::Holding::Yes, relay::Holding::Unsure } },
  };
  for (const auto& message : messages) {
    const auto bytes = BytesOf(message);
    Reader reader(bytes);
    const auto decoded = DecodeRelay(reader);
    ASSERT_TRUE(decoded.ok()) << message.index();
    EXPECT_EQ(*decoded, message) << message.index();
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      Reader cut(std::string_view(bytes).substr(0, size));
      EXPECT_FALSE(DecodeRelay(cut).ok()) << message.index() << " " << size;
    }
  }
}

TEST(RelayCodec, AFullQueryFitsOneDatagram)
{
  EXPECT_LT(BytesOf(FullQuery()).size(), 1400U);
}

TEST(RelayCodec, RefusesListsThatAreTooLong)
{
  auto query = FullQuery();
  query.items_.push_back(query.items_.front());
  const auto bytes = BytesOf(query);
  Reader reader(bytes);
  EXPECT_FALSE(DecodeRelay(reader).ok());
}

} // namespace
} // namespace cornelshore::wire
