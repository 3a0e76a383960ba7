#include <cornelshore/admission/validate.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "support.hpp"

namespace cornelshore::admission {
namespace {

using ::testing::HasSubstr;

Configuration
With(const ServiceTarget& aService)
{
  return { ConfigVersion{ 1 }, { aService } };
}

TEST(Validate, AcceptsFloorsThatFillTheFleet)
{
  const auto service = MakeService({ { "alarms", 9, 1000, 500 },
                                     { "quotes", 5, 500, 300 },
                                     { "rest", 0, 400, 200 } });
  const FleetCapacity fleet{ service.id_, 1, 3 };
  EXPECT_TRUE(Validate(With(service), { &fleet, 1 }).ok());
  EXPECT_TRUE(Validate(With(service), {}).ok());
}

TEST(Validate, NamesFiguresAndWhatWouldFit)
{
  const auto tooMuch = Validate(
    With(MakeService({ { "a", 9, 1000, 700 }, { "b", 1, 1000, 400 } })), {});
  EXPECT_EQ(tooMuch.code(), absl::StatusCode::kInvalidArgument);
  EXPECT_THAT(std::string(tooMuch.message()), HasSubstr("together 1100/1000"));
  EXPECT_THAT(std::string(tooMuch.message()), HasSubstr("100 less"));

  const auto above = Validate(With(MakeService({ { "a", 9, 200, 300 } })), {});
  EXPECT_THAT(std::string(above.message()),
              HasSubstr("keeps=300/1000 is above most=200/1000; what fits: "
                        "keeps of at most 200"));

  const auto many = MakeService({ { "a", 9, 1000, 10 },
                                  { "b", 8, 1000, 10 },
                                  { "c", 7, 1000, 10 },
                                  { "d", 6, 1000, 10 } });
  const FleetCapacity fleet{ many.id_, 1, 3 };
  const auto small = Validate(With(many), { &fleet, 1 });
  EXPECT_EQ(small.code(), absl::StatusCode::kFailedPrecondition);
  EXPECT_THAT(std::string(small.message()), HasSubstr("4 classes"));
  EXPECT_THAT(std::string(small.message()), HasSubstr("slots=3; what fits: 3"));
}

TEST(Validate, RefusesUnknownAndDoubledNamesAndRanges)
{
  auto foreign = MakeService({ { "a", 9, 1000, 0 } });
  foreign.classes_[0].id_ = ClassIdOf("other", "a");
  EXPECT_THAT(std::string(Validate(With(foreign), {}).message()),
              HasSubstr("unknown class"));
  EXPECT_FALSE(
    Validate(With(MakeService({ { "a", 9, 1000, 0 }, { "a", 1, 1000, 0 } })),
             {})
      .ok());
  EXPECT_FALSE(Validate(With(MakeService({ { "a", 10, 1000, 0 } })), {}).ok());
  EXPECT_FALSE(Validate(With(MakeService({ { "a", 0, 0, 0 } })), {}).ok());
  EXPECT_FALSE(Validate(With(MakeService({ { "a", 0, 1001, 0 } })), {}).ok());
}

} // namespace
} // namespace cornelshore::admission
