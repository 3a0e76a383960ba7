#include <cornelshore/wire/configuration_codec.hpp>

#include <string>

#include <gtest/gtest.h>

#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::wire {
namespace {

Configuration
SomeConfiguration()
{
  const ServiceTarget booking{
    ServiceIdOf("booking"),
    "booking",
    { { ClassIdOf("booking", "boards"),
        "boards",
        ServiceIdOf("booking"),
        7,
        600,
        250,
        true },
      { ClassIdOf("booking", "fees"), "fees", ServiceIdOf("booking") } }
  };
  return { ConfigVersion{ 9 },
           { booking, { ServiceIdOf("archive"), "archive", {} } } };
}

TEST(ConfigurationCodec, ReadsBackWhatItWroteAndFailsOnEveryTruncation)
{
  const auto configuration = SomeConfiguration();
  std::string out;
  Writer writer(out);
  Encode(writer, configuration);
  Reader reader(out);
  EXPECT_EQ(DecodeConfiguration(reader).value(), configuration);
  EXPECT_TRUE(reader.Finish().ok());
  for (std::size_t size = 0; size < out.size(); ++size) {
    Reader cut(std::string_view(out).substr(0, size));
    EXPECT_FALSE(DecodeConfiguration(cut).ok()) << size;
  }
}

TEST(ConfigurationCodec, RefusesSharesAndUrgenciesOutOfRange)
{
  auto configuration = SomeConfiguration();
  configuration.services_[0].classes_[0].most_ = kFullShare + 1;
  std::string out;
  Writer writer(out);
  Encode(writer, configuration);
  Reader reader(out);
  EXPECT_FALSE(DecodeConfiguration(reader).ok());
}

} // namespace
} // namespace cornelshore::wire
