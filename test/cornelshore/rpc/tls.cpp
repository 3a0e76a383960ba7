#include <utility>

#include <cornelshore/rpc/client.hpp>
#include <cornelshore/rpc/server.hpp>

#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "certificates.hpp"

namespace cornelshore::rpc {
namespace {

constexpr std::chrono::seconds kPatience{ 20 };

TEST(Tls, BothSidesAreChecked)
{
  Certificates ours("ours");
  Certificates others("others");
  Server server({ "127.0.0.1", 0 },
                ours.Issue("control"),
                { "echo" },
                [](const std::string&, const std::string&) {
                  return Reply{ ErrorCode::None, "{}", "" };
                });
  std::string error;
  ASSERT_TRUE(server.Start(error)) << error;
  const Endpoint at{ "127.0.0.1", server.Port() };

  const auto good = Call(at, ours.Issue("operator"), "echo", "{}", kPatience);
  EXPECT_EQ(good.code_, ErrorCode::None) << good.message_;

  const auto stranger =
    Call(at, others.Issue("operator"), "echo", "{}", kPatience);
  EXPECT_EQ(stranger.code_, ErrorCode::Transport);

  auto pretender = others.Issue("pretender");
  pretender.authority_ = ours.Issue("reader").authority_;
  EXPECT_EQ(Call(at, pretender, "echo", "{}", kPatience).code_,
            ErrorCode::Transport);

  const auto plain = Call(at, {}, "echo", "{}", kPatience);
  EXPECT_EQ(plain.code_, ErrorCode::Transport);
}

TEST(Tls, SaysWhichFileIsMissing)
{
  const auto reply = Call({ "127.0.0.1", 1 },
                          { "gone.pem", "gone.key", "gone.ca" },
                          "echo",
                          "{}",
                          kPatience);
  EXPECT_EQ(reply.code_, ErrorCode::Transport);
  EXPECT_FALSE(reply.message_.empty());
}

} // namespace
} // namespace cornelshore::rpc
