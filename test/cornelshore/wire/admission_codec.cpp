#include <cornelshore/wire/admission_codec.hpp>

#include <string>

#include <gtest/gtest.h>

#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::admission {
namespace {

Pushback
Sample()
{
  return { Incarnation{ 7 },
           9,
           { { ClassId{ 1 }, 1000, Duration{ 5 } },
             { ClassId{ 2 }, 0, Duration{} } } };
}

TEST(AdmissionCodec, ReadsWhatItWroteAndLeavesTheRest)
{
  std::string out;
  wire::Writer writer(out);
  Encode(writer, Sample());
  writer.Uint(42);
  wire::Reader reader(out);
  const auto pushback = Decode(reader);
  ASSERT_TRUE(pushback.ok());
  EXPECT_EQ(*pushback, Sample());
  EXPECT_EQ(reader.Uint(), 42U);
  EXPECT_TRUE(reader.Finish().ok());
}

TEST(AdmissionCodec, RefusesTruncationAndNonsense)
{
  std::string out;
  wire::Writer writer(out);
  Encode(writer, Sample());
  for (std::size_t size = 0; size < out.size(); ++size) {
    wire::Reader reader(std::string_view(out).substr(0, size));
    EXPECT_FALSE(Decode(reader).ok()) << size;
  }
  auto over = Sample();
  over.classes_[0].refused_ = kFullShare + 1;
  auto negative = Sample();
  negative.classes_[0].wait_ = Duration{ -1 };
  auto crowded = Sample();
  crowded.classes_.resize(kMaxPushbackClasses + 1);
  for (const auto& nonsense : { over, negative, crowded }) {
    std::string bytes;
    wire::Writer other(bytes);
    Encode(other, nonsense);
    wire::Reader reader(bytes);
    EXPECT_FALSE(Decode(reader).ok());
  }
}

} // namespace
} // namespace cornelshore::admission
