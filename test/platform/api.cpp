#include <platform/api.hpp>

#include <gtest/gtest.h>

namespace cornelshore::platform {
namespace {

constexpr std::string_view kState =
  R"({"version":1,"routes":[],"services":[],"limits":{}})";

template<typename Api>
net::HttpResponse
Call(Api& aApi, std::string aMethod, std::string aTarget, std::string aBody)
{
  net::HttpResponse response{ 0, "" };
  aApi({ std::move(aMethod), std::move(aTarget), std::move(aBody) },
       [&](net::HttpResponse aResponse) { response = std::move(aResponse); });
  return response;
}

TEST(ControlApi, MapsEachOutcomeOfAConfiguration)
{
  auto outcome = PutOutcome::Acknowledged;
  ControlApi::Hooks hooks;
  hooks.put_ = [&](const consensus::Change&, const ControlApi::PutDone& aDone) {
    aDone(outcome);
  };
  ControlApi api(hooks);
  const auto put = [&] {
    return Call(api, "PUT", "/cornelshore/config", std::string(kState)).status_;
  };
  EXPECT_EQ(put(), 200U);
  outcome = PutOutcome::Invalid;
  EXPECT_EQ(put(), 400U);
  outcome = PutOutcome::Unclear;
  EXPECT_EQ(put(), 503U);
}

TEST(ControlApi, RefusesAnInvalidConfigurationBeforeControlSeesIt)
{
  ControlApi::Hooks hooks;
  hooks.put_ = [](const consensus::Change&, const ControlApi::PutDone&) {
    FAIL();
  };
  ControlApi api(hooks);
  EXPECT_EQ(Call(api, "PUT", "/cornelshore/config", "{").status_, 400U);
}

TEST(ControlApi, ReadsGiveTheTextOrSayThatTheyAreNotCertain)
{
  std::optional<std::string> text(std::string{ kState });
  ControlApi::Hooks hooks;
  hooks.get_ = [&](const ControlApi::GetDone& aDone) { aDone(text); };
  ControlApi api(hooks);
  const auto get = [&] { return Call(api, "GET", "/cornelshore/config", ""); };
  EXPECT_EQ(get().status_, 200U);
  EXPECT_EQ(get().body_, kState);
  text.reset();
  EXPECT_EQ(get().status_, 503U);
  text = "";
  EXPECT_EQ(get().status_, 404U);
}

TEST(ControlApi, KnowsNoOtherCalls)
{
  ControlApi api({});
  EXPECT_EQ(Call(api, "POST", "/cornelshore/config", "").status_, 404U);
  EXPECT_EQ(Call(api, "GET", "/", "").status_, 404U);
}

TEST(UpstreamApi, HandsReportsAndEndsOn)
{
  std::string ended;
  std::string reported;
  auto outcome = relay::ReportOutcome::Taken;
  UpstreamApi::Hooks hooks;
  hooks.report_ = [&](const relay::HostReport& aReport,
                      const UpstreamApi::Done& aDone) {
    reported = aReport.instance_;
    aDone(outcome);
  };
  hooks.ended_ = [&](std::string aInstance, const UpstreamApi::Done& aDone) {
    ended = std::move(aInstance);
    aDone(relay::ReportOutcome::Taken);
  };
  UpstreamApi api(hooks);
  const std::string beat =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":1,)"
    R"("state":"ready","warmup-left-ms":0,"seq":1,"born":1})";
  EXPECT_EQ(Call(api, "PUT", "/cornelshore/instances/i-1", beat).status_, 200U);
  EXPECT_EQ(reported, "i-1");
  outcome = relay::ReportOutcome::Foreign;
  EXPECT_EQ(Call(api, "PUT", "/cornelshore/instances/i-1", beat).status_, 400U);
  EXPECT_EQ(Call(api, "PUT", "/cornelshore/instances/i-1", "{}").status_, 400U);
  EXPECT_EQ(Call(api, "PUT", "/cornelshore/instances/", beat).status_, 404U);
  EXPECT_EQ(Call(api, "DELETE", "/cornelshore/instances/i-2", "").status_,
            200U);
  EXPECT_EQ(ended, "i-2");
}

TEST(ReadinessApi, AnswersByWhetherItIsReady)
{
  bool ready = false;
  auto api = ReadinessApi([&] { return ready; });
  EXPECT_EQ(Call(api, "GET", "/cornelshore/ready", "").status_, 503U);
  ready = true;
  EXPECT_EQ(Call(api, "GET", "/cornelshore/ready", "").status_, 200U);
  EXPECT_EQ(Call(api, "GET", "/other", "").status_, 404U);
}

} // namespace
} // namespace cornelshore::platform
