#ifndef CORNELSHORE_BENCH_SUPPORT_REQUESTS_COST_HPP
#define CORNELSHORE_BENCH_SUPPORT_REQUESTS_COST_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <malloc.h>

#include <cornelshore/request/agent.hpp>
#include <cornelshore/wire/request_codec.hpp>
#include <cornelshore/wire/writer.hpp>

#include "report.hpp"
#include "requests_world.hpp"

namespace cornelshore::bench {

/** @brief Messages, bytes and time of requests without faults. */
struct Cost
{
  double messages_{};   ///< A request, on every hop, without stamps.
  double bytes_{};      ///< A request, of MessagePack, without IP and UDP.
  double time_{};       ///< From start to outcome, ms.
  double stampBytes_{}; ///< A second and host, sent and received.
};

/** @brief Runs requests without loss or fault, one after the other. */
inline Cost
MeasureCost(Shape aShape, const Ports& aPorts)
{
  aShape.requests_ = 2'000;
  aShape.arrivals_ = seconds{ 1'000 };
  aShape.loss_ = aShape.copies_ = aShape.late_ = aShape.shed_ = 0;
  aShape.cancels_ = aShape.resumes_ = 0;
  aShape.answerMost_ = 400;
  aShape.runLeast_ = aShape.runMost_ = milliseconds{ 50 };
  World world(aShape, aPorts);
  Cost cost;
  world.Tapped([&cost](const request::Message& aMessage) {
    std::string bytes;
    wire::Writer writer(bytes);
    request::Encode(writer, aMessage);
    if (std::holds_alternative<request::StampRequest>(aMessage) ||
        std::holds_alternative<request::StampReply>(aMessage)) {
      cost.stampBytes_ += 2 * static_cast<double>(bytes.size());
      return;
    }
    cost.messages_ += 1;
    cost.bytes_ += static_cast<double>(bytes.size());
  });
  world.SubmitAll();
  const auto length = seconds{ 1'010 };
  world.RunUntil(world.Now() + length);
  Duration time{};
  for (const auto& [id, entry] : world.Past().Entries()) {
    time += entry.toldAt_ - entry.startedAt_;
  }
  const auto requests = static_cast<double>(aShape.requests_);
  cost.messages_ /= requests;
  cost.bytes_ /= requests;
  cost.time_ = static_cast<double>(time.count()) / requests / 1000;
  cost.stampBytes_ /=
    static_cast<double>(aShape.hosts_) * static_cast<double>(length.count());
  return cost;
}

/** @brief Time of a decision and memory of an id, at a number of ids held. */
class Holding
{
public:
  explicit Holding(std::size_t aIds)
    : ids_(aIds)
    , agent_(*request::AgentBuilder().With(Settings()).Build())
  {
    const std::vector<HostRecord> hosts{ Peer() };
    On(request::MembershipChanged{ hosts });
    On(request::Received{ { 2 }, { 1 }, request::StampReply{ { 1 } } });
  }

  void Measure(Report& aReport)
  {
    const auto before = BytesInUse();
    Cycle(1, ids_);
    const auto bytes = BytesInUse() - before;
    const auto cycles = Timed([this] { Cycle(ids_ + 1, ids_ + kCycles); });
    const auto again = Timed([this] { Resend(kResends); });
    const auto prefix = "held_" + std::to_string(ids_) + ".";
    const auto ids = static_cast<double>(ids_);
    aReport.Value(prefix + "bytes_an_id", static_cast<double>(bytes) / ids);
    aReport.Value(prefix + "request_ns", cycles / kCycles);
    aReport.Value(prefix + "decision_ns", cycles / kCycles / kDecisions);
    aReport.Value(prefix + "resend_ns", again / kResends);
  }

private:
  static constexpr std::uint64_t kCycles = 1'000;
  static constexpr double kResends = 10'000;
  /** Submit, slot, consent, answer, acknowledgement. */
  static constexpr double kDecisions = 5;

  [[nodiscard]] static request::AgentSettings Settings()
  {
    request::AgentSettings settings;
    settings.self_ = { 1 };
    settings.incarnation_ = { 1 };
    settings.service_ = { 7 };
    settings.idLimit_ = 200'000;
    return settings;
  }

  [[nodiscard]] static HostRecord Peer()
  {
    HostRecord record;
    record.id_ = { 2 };
    record.incarnation_ = { 1 };
    record.service_ = { 7 };
    record.state_ = HostState::Ready;
    return record;
  }

  template<typename Work>
  [[nodiscard]] static double Timed(Work aWork)
  {
    using Clock = std::chrono::steady_clock;
    const auto start = Clock::now();
    aWork();
    const auto took = Clock::now() - start;
    return static_cast<double>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(took).count());
  }

  std::vector<request::Action> On(request::Event aEvent)
  {
    return agent_.On(now_, std::move(aEvent));
  }

  void From(NodeId aNode, request::Message aMessage)
  {
    On(request::Received{ aNode, { 1 }, std::move(aMessage) });
  }

  [[nodiscard]] request::Submit SubmitOf(std::uint64_t aId) const
  {
    request::Submit submit;
    submit.key_.id_ = { aId, ~aId };
    submit.key_.ticket_.home_ = { { 1 }, { 1 }, request::StampOf(now_) };
    submit.key_.ticket_.backup_ = { { 2 }, { 1 }, { 1 } };
    submit.work_.service_ = { 7 };
    submit.timeLeft_ = seconds{ 5 };
    submit.body_ = "chair fee of one day";
    submit.route_ = { {}, { 1'000 } };
    return submit;
  }

  [[nodiscard]] static std::size_t BytesInUse()
  {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
  }

  void Cycle(std::uint64_t aFirst, std::uint64_t aLast)
  {
    for (auto id = aFirst; id <= aLast; ++id) {
      auto submit = SubmitOf(id);
      const auto key = submit.key_;
      From({ 1'000 }, std::move(submit));
      On(request::RunStarted{ { id } });
      From({ 2 }, request::IntentReply{ key, 1, request::Reason::None });
      On(request::UpstreamFinished{ { id }, std::string(64, 'a') });
      From({ 2 }, request::ResultAck{ key, 1 });
    }
  }

  void Resend(double aCount)
  {
    for (std::uint64_t turn = 0; turn < static_cast<std::uint64_t>(aCount);
         ++turn) {
      From({ 1'000 }, SubmitOf(turn * 7919 % ids_ + 1));
    }
  }

  std::size_t ids_;
  TimePoint now_{ seconds{ 5'000 } };
  request::Agent agent_;
};

} // namespace cornelshore::bench

#endif
