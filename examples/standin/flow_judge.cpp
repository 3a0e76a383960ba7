// Judges the records of standin_segments: flows that their own host holds must
// not be reset by others, and their packets must not reach other hosts only.
#include <algorithm>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace {

using Micros = std::int64_t;

constexpr Micros kMicrosPerMilli = 1000;
constexpr Micros kMicrosPerSecond = 1'000'000;

/** For this long other hosts may get a flow's packets and its own none. */
constexpr Micros kMisdirectedTimeout = 2 * kMicrosPerSecond;
constexpr std::size_t kMinMisdirected = 3;

/** After a kill or a start this long until the processes are in touch. */
constexpr Micros kStabilityWindow = 4 * kMicrosPerSecond;

/** A request that waits longer counts its flow as silent. */
constexpr std::int64_t kSilentMillis = 1000;

struct Arrival
{
  Micros at_{};
  std::string host_;
  bool finished_{};
};

struct Flow
{
  std::map<std::uint64_t, std::string> hostOfSequence_;
  std::optional<std::uint64_t> acknowledged_;
  std::vector<Arrival> arrivals_;
  std::vector<Micros> hostResets_;
  std::vector<Micros> callerResets_;
  std::optional<Micros> endedAt_; ///< At the caller.
  std::int64_t longestWaitMillis_{};
};

struct Records
{
  std::map<std::string, Flow> flows_;
  std::vector<Micros> unplanned_;     ///< Kills and starts after kills.
  std::optional<Micros> disturbedAt_; ///< First kill, stop or start.
  Micros last_{};
};

void
Read(std::istream& aInput, Records& aRecords)
{
  std::string line;
  while (std::getline(aInput, line)) {
    std::istringstream words(line);
    Micros at{};
    std::string who;
    std::string event;
    std::string name;
    std::uint64_t value{};
    if (!(words >> at >> who >> event >> name >> value)) {
      continue;
    }
    aRecords.last_ = std::max(aRecords.last_, at);
    if (event == "disturbed") {
      if (name == "unplanned") {
        aRecords.unplanned_.push_back(at);
      }
      aRecords.disturbedAt_ = std::min(aRecords.disturbedAt_.value_or(at), at);
      continue;
    }
    auto& flow = aRecords.flows_[name];
    const auto byCaller = who == "caller";
    if (event == "opening") {
      flow.hostOfSequence_[value] = who;
    } else if (event == "held" || event == "foreign") {
      flow.arrivals_.push_back({ at, who, false });
    } else if (event == "finished") {
      flow.arrivals_.push_back({ at, who, true });
    } else if (event == "reset" && !byCaller) {
      flow.hostResets_.push_back(at);
    } else if (event == "reset") {
      flow.callerResets_.push_back(at);
      flow.endedAt_ = at;
    } else if (event == "opened") {
      flow.acknowledged_ = value;
    } else if (event == "answered" || event == "closed" || event == "gave_up") {
      flow.longestWaitMillis_ =
        std::max(flow.longestWaitMillis_, static_cast<std::int64_t>(value));
      if (event != "answered") {
        flow.endedAt_ = at;
      }
    }
  }
}

std::string
TimeOf(Micros aTime)
{
  const auto seconds = static_cast<std::time_t>(aTime / kMicrosPerSecond);
  std::ostringstream text;
  text << std::put_time(std::gmtime(&seconds), "%FT%T.") << std::setw(6)
       << std::setfill('0') << aTime % kMicrosPerSecond;
  return text.str();
}

/** A flow while it is open: what reached its own host and what others. */
struct OpenFlow
{
  std::string host_;
  Micros from_{};
  Micros until_{};
  std::vector<Micros> own_;
  std::vector<Arrival> foreign_;
};

std::optional<OpenFlow>
OpenPartOf(const Flow& aFlow, Micros aLast)
{
  if (!aFlow.acknowledged_) {
    return std::nullopt;
  }
  const auto host = aFlow.hostOfSequence_.find(*aFlow.acknowledged_);
  if (host == aFlow.hostOfSequence_.end()) {
    return std::nullopt;
  }
  auto arrivals = aFlow.arrivals_;
  std::stable_sort(arrivals.begin(),
                   arrivals.end(),
                   [](const Arrival& aLeft, const Arrival& aRight) {
                     return aLeft.at_ < aRight.at_;
                   });
  OpenFlow open;
  open.host_ = host->second;
  open.until_ = aFlow.endedAt_.value_or(aLast);
  for (const auto& arrival : arrivals) {
    if (arrival.host_ == open.host_) {
      open.own_.push_back(arrival.at_);
      if (arrival.finished_) {
        open.until_ = std::min(open.until_, arrival.at_);
      }
    }
  }
  if (open.own_.empty()) {
    return std::nullopt;
  }
  open.from_ = open.own_.front();
  for (const auto& arrival : arrivals) {
    if (arrival.host_ != open.host_ && arrival.at_ >= open.from_ &&
        arrival.at_ <= open.until_) {
      open.foreign_.push_back(arrival);
    }
  }
  return open;
}

bool
IsInTouch(const Records& aRecords, Micros aTime)
{
  return std::none_of(aRecords.unplanned_.begin(),
                      aRecords.unplanned_.end(),
                      [&](Micros aDisturbed) {
                        return aDisturbed <= aTime &&
                               aTime - aDisturbed < kStabilityWindow;
                      });
}

/** The first packet at other hosts from which on a flow's packets go there for
 * the whole time that is allowed, and none reaches its own host. */
std::optional<Micros>
MisdirectedFrom(const OpenFlow& aFlow, const std::vector<Arrival>& aForeign)
{
  for (const auto& first : aForeign) {
    const auto end = first.at_ + kMisdirectedTimeout;
    const auto count = static_cast<std::size_t>(std::count_if(
      aForeign.begin(), aForeign.end(), [&](const Arrival& aArrival) {
        return aArrival.at_ >= first.at_ && aArrival.at_ <= end;
      }));
    const auto own =
      std::any_of(aFlow.own_.begin(), aFlow.own_.end(), [&](Micros aArrival) {
        return aArrival >= first.at_ && aArrival <= end;
      });
    if (count >= kMinMisdirected && !own && aFlow.until_ >= end) {
      return first.at_;
    }
  }
  return std::nullopt;
}

/** Whether three packets or more reached other hosts with none at the flow's
 * own host in between, and the longest time from first to last of them. */
std::pair<bool, Micros>
LongestRun(const OpenFlow& aFlow)
{
  auto found = false;
  Micros longest = 0;
  std::size_t count = 0;
  Micros first = 0;
  Micros last = 0;
  for (const auto& foreign : aFlow.foreign_) {
    const auto own =
      std::any_of(aFlow.own_.begin(), aFlow.own_.end(), [&](Micros aArrival) {
        return aArrival >= last && aArrival <= foreign.at_;
      });
    if (count == 0 || own) {
      count = 0;
      first = foreign.at_;
    }
    last = foreign.at_;
    if (++count >= kMinMisdirected) {
      found = true;
      longest = std::max(longest, last - first);
    }
  }
  return { found, longest };
}

struct Outcome
{
  std::size_t flows_{};
  std::size_t openWhenDisturbed_{};
  std::size_t resets_{};
  std::size_t resetsInTouch_{};
  std::size_t misdirected_{};
  std::size_t misdirectedInTouch_{};
  std::size_t sustained_{};
  std::size_t threeElsewhere_{};
  Micros longestElsewhere_{};
  std::size_t silent_{};
  std::int64_t longestSilentMillis_{};
};

void
JudgeOpen(const Records& aRecords,
          const std::string& aName,
          const Flow& aFlow,
          const OpenFlow& aOpen,
          Outcome& aOutcome)
{
  const auto disturbed = aRecords.disturbedAt_.value_or(aRecords.last_);
  ++aOutcome.flows_;
  aOutcome.openWhenDisturbed_ +=
    aOpen.from_ <= disturbed && disturbed < aOpen.until_ ? 1 : 0;
  for (const auto reset : aFlow.callerResets_) {
    const auto byHost =
      std::any_of(aFlow.hostResets_.begin(),
                  aFlow.hostResets_.end(),
                  [&](Micros aSent) { return aSent < reset; });
    if (byHost || reset < aOpen.from_ || reset > aOpen.until_) {
      continue;
    }
    const auto inTouch = IsInTouch(aRecords, reset);
    ++aOutcome.resets_;
    aOutcome.resetsInTouch_ += inTouch ? 1 : 0;
    std::cout << "broken=reset caller=" << aName << " host=" << aOpen.host_
              << " time=" << TimeOf(reset)
              << " in_touch=" << (inTouch ? "yes" : "no") << '\n';
  }
  const auto [three, longest] = LongestRun(aOpen);
  aOutcome.threeElsewhere_ += three ? 1 : 0;
  aOutcome.longestElsewhere_ = std::max(aOutcome.longestElsewhere_, longest);
  const auto sustained = longest >= kMisdirectedTimeout;
  aOutcome.sustained_ += sustained ? 1 : 0;
  if (const auto from = MisdirectedFrom(aOpen, aOpen.foreign_)) {
    auto inTouch = aOpen.foreign_;
    std::erase_if(inTouch, [&](const Arrival& aArrival) {
      return !IsInTouch(aRecords, aArrival.at_);
    });
    const auto counts = MisdirectedFrom(aOpen, inTouch).has_value();
    ++aOutcome.misdirected_;
    aOutcome.misdirectedInTouch_ += counts ? 1 : 0;
    std::cout << "broken=misdirected caller=" << aName
              << " host=" << aOpen.host_ << " time=" << TimeOf(*from)
              << " in_touch=" << (counts ? "yes" : "no")
              << " sustained=" << (sustained ? "yes" : "no") << '\n';
  }
}

Outcome
Judge(const Records& aRecords)
{
  Outcome outcome;
  for (const auto& [name, flow] : aRecords.flows_) {
    if (const auto open = OpenPartOf(flow, aRecords.last_)) {
      JudgeOpen(aRecords, name, flow, *open, outcome);
    }
    if (flow.longestWaitMillis_ >= kSilentMillis) {
      ++outcome.silent_;
      outcome.longestSilentMillis_ =
        std::max(outcome.longestSilentMillis_, flow.longestWaitMillis_);
    }
  }
  return outcome;
}

} // namespace

/** Usage: standin_flow_judge RECORD...; exit code 1 when a flow broke a rule.
 */
int
main(int aCount, char** aArguments)
{
  Records records;
  for (int index = 1; index < aCount; ++index) {
    std::ifstream input(aArguments[index]);
    if (!input) {
      std::cerr << "cannot read " << aArguments[index] << '\n';
      return 2;
    }
    Read(input, records);
  }
  const auto outcome = Judge(records);
  std::cout << "flows=" << outcome.flows_
            << " open_when_disturbed=" << outcome.openWhenDisturbed_
            << " resets=" << outcome.resets_
            << " resets_in_touch=" << outcome.resetsInTouch_
            << " misdirected=" << outcome.misdirected_
            << " misdirected_in_touch=" << outcome.misdirectedInTouch_
            << " misdirected_sustained=" << outcome.sustained_
            << " three_elsewhere=" << outcome.threeElsewhere_
            << " longest_elsewhere_ms="
            << outcome.longestElsewhere_ / kMicrosPerMilli
            << " silent=" << outcome.silent_
            << " longest_silent_ms=" << outcome.longestSilentMillis_
            << std::endl;
  return outcome.resets_ + outcome.misdirected_ + outcome.sustained_ > 0 ? 1
                                                                         : 0;
}
