#include <platform/desired_state.hpp>

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace cornelshore::platform {
namespace {

constexpr std::string_view kGood =
  R"({"version":7,"routes":[)"
  R"({"name":"r-1","hostname":"198.18.0.1","path-prefix":"/8080/",)"
  R"("type":"unsafe","timeout-ms":1200,"target-latency-ms":200,)"
  R"("priority":1,"service":"huvo","max-attempts":2},)"
  R"({"name":"r-2","hostname":"198.18.0.1","path-prefix":"/8443/",)"
  R"("type":"safe","timeout-ms":1000,"target-latency-ms":150,"priority":2,)"
  R"("traffic-split":[{"service":"huvo","weight":90},)"
  R"({"service":"wuno","weight":10}],"max-attempts":2}],)"
  R"("services":[{"name":"huvo","health-path":"/health"},{"name":"wuno"}],)"
  R"("limits":{"idle-timeout-ms":15000}})";

/** The good text with the first `aOld` replaced. */
std::string
With(std::string_view aOld, std::string_view aNew)
{
  std::string text(kGood);
  const auto at = text.find(aOld);
  EXPECT_NE(at, std::string::npos) << aOld;
  return text.replace(at, aOld.size(), aNew);
}

TEST(DesiredState, ReadsRoutesServicesAndLimits)
{
  const auto change = ParseDesiredState(kGood);
  ASSERT_TRUE(change.ok()) << change.status();
  EXPECT_EQ(change->chosen_.value_, 7U);
  EXPECT_EQ(change->document_, kGood);
  EXPECT_EQ(change->flowIdleTimeout_, std::chrono::seconds{ 15 });
  ASSERT_EQ(change->routes_.size(), 2U);
  const auto& first = change->routes_[0];
  EXPECT_EQ(first.address_, MakeIpv4(0xC6120001U, 8080));
  EXPECT_EQ(first.kind_, RouteKind::Single);
  EXPECT_EQ(first.timeout_, std::chrono::milliseconds{ 1200 });
  EXPECT_EQ(first.latencyObjective_, std::chrono::milliseconds{ 200 });
  EXPECT_EQ(first.precedence_, 1);
  EXPECT_EQ(first.to_, (std::vector<RouteShare>{ { ServiceIdOf("huvo"), 1 } }));
  EXPECT_EQ(change->routes_[1].to_,
            (std::vector<RouteShare>{ { ServiceIdOf("huvo"), 90 },
                                      { ServiceIdOf("wuno"), 10 } }));
}

TEST(DesiredState, GivesTheSameIdToTheSameTextOnly)
{
  EXPECT_EQ(ParseDesiredState(kGood)->id_, ParseDesiredState(kGood)->id_);
  EXPECT_NE(ParseDesiredState(kGood)->id_,
            ParseDesiredState(With("1200", "1201"))->id_);
}

TEST(DesiredState, RefusesATextThatIsCutShortAnywhere)
{
  for (std::size_t size = 0; size < kGood.size(); ++size) {
    EXPECT_FALSE(ParseDesiredState(kGood.substr(0, size)).ok()) << size;
  }
  EXPECT_FALSE(ParseDesiredState(std::string(kGood) + "x").ok());
}

TEST(DesiredState, RefusesWhatIsInvalid)
{
  const std::vector<std::string> invalid{
    With(R"("service":"huvo","max)", R"("service":"other","max)"),
    With("/8443/", "/8080/"),
    With(R"("timeout-ms":1200)", R"("timeout-ms":0)"),
    With(R"("timeout-ms":1200,)", ""),
    With(R"("weight":90},{"service":"wuno","weight":10})",
         R"("weight":0},{"service":"wuno","weight":0})"),
    With(R"([{"service":"huvo","weight":90},{"service":"wuno","weight":10}])",
         "[]"),
    With(R"("weight":90)", R"("weight":-1)"),
    With(R"("version":7)", R"("version":0)"),
    With(R"("version":7)", R"("version":7.5)"),
    With(R"("version":7)", R"("version":"7")"),
    With(R"({"version":7,)", R"({"version":7,"version":8,)"),
    With("198.18.0.1", "not-an-address"),
    With("/8080/", "8080"),
    With("/8080/", "/0/"),
    With("/8080/", "/70000/"),
    With(R"("limits":{"idle-timeout-ms":15000})", R"("limits":[])"),
    With(R"({"name":"wuno"})", R"({"name":5})"),
    "[]",
    "null",
    std::string(200, '['),
  };
  for (const auto& text : invalid) {
    const auto change = ParseDesiredState(text);
    EXPECT_TRUE(absl::IsInvalidArgument(change.status())) << text;
  }
}

// Guards against a route that names an unknown service beside its known one.
TEST(DesiredState, RefusesAnUnknownServiceAnywhereInARoute)
{
  const auto withBoth = [](std::string_view aSecond) {
    return With(R"("service":"huvo","max)",
                absl::StrCat(R"("service":"huvo","traffic-split":[)",
                             R"({"service":"huvo","weight":90},)",
                             R"({"service":")",
                             std::string(aSecond),
                             R"(","weight":10}],"max)"));
  };
  const auto good = ParseDesiredState(withBoth("wuno"));
  ASSERT_TRUE(good.ok()) << good.status();
  EXPECT_EQ(good->routes_.front().to_.size(), 1U);
  const auto status = ParseDesiredState(withBoth("other")).status();
  EXPECT_TRUE(absl::IsInvalidArgument(status));
  EXPECT_NE(status.message().find("traffic-split"), std::string::npos);
}

TEST(DesiredState, IgnoresFieldsThatItDoesNotKnow)
{
  EXPECT_TRUE(
    ParseDesiredState(With(R"({"version")", R"({"new":[1,{}],"version")"))
      .ok());
}

TEST(DesiredState, TreatsAnUnknownKindAsTheStrictestOne)
{
  const auto change =
    ParseDesiredState(With(R"("type":"safe")", R"("type":"later")"));
  ASSERT_TRUE(change.ok());
  EXPECT_EQ(change->routes_[1].kind_, RouteKind::Single);
}

} // namespace
} // namespace cornelshore::platform
