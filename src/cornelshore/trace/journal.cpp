#include <cornelshore/trace/journal.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <set>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <cornelshore/trace/clocks.hpp>

namespace cornelshore::trace {

namespace {

/** What a process believed so long before and after a flow's lines is told. */
constexpr std::int64_t kAroundMicros = 2'000'000;

constexpr std::int64_t kMicrosInSecond = 1'000'000;

/** Events that change what a process believes. */
constexpr std::array<std::string_view, 12> kBeliefs{
  "started",        "stop_requested",         "ended",
  "upstream_ready", "upstream_leaving",       "upstream_ended",
  "host_changed",   "configuration_in_force", "readiness_changed",
  "stopped",        "flow_lines_left_out",    "log_lines_dropped",
};

bool
IsBelief(const Line& aLine)
{
  return std::find(kBeliefs.begin(), kBeliefs.end(), aLine.event_) !=
         kBeliefs.end();
}

std::string
TimeOf(std::int64_t aMicros)
{
  const std::time_t seconds = aMicros / kMicrosInSecond;
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  return absl::StrFormat("%02d:%02d:%02d.%06d",
                         parts.tm_hour,
                         parts.tm_min,
                         parts.tm_sec,
                         aMicros % kMicrosInSecond);
}

} // namespace

void
Journal::Add(std::string_view aText)
{
  if (auto line = ParseLine(aText)) {
    lines_.push_back(*std::move(line));
  } else {
    ++foreign_;
  }
}

Story
Journal::StoryOf(std::string_view aCaller) const
{
  Story story;
  std::set<std::string> processes;
  std::string reference;
  std::int64_t first = 0;
  std::int64_t last = 0;
  for (const auto& line : lines_) {
    if (line.Field("caller") != aCaller) {
      continue;
    }
    first = processes.empty() ? line.micros_ : std::min(first, line.micros_);
    last = processes.empty() ? line.micros_ : std::max(last, line.micros_);
    processes.insert(line.process_);
    if (reference.empty() && line.event_ == "flow_opened") {
      reference = line.process_;
    }
  }
  if (processes.empty()) {
    return story;
  }
  if (reference.empty()) {
    reference = *processes.begin();
  }
  const Clocks clocks(lines_);
  for (const auto& process : processes) {
    const auto lead = clocks.LeadOf(process, reference);
    story.clocks_.push_back({ process,
                              lead.has_value(),
                              lead ? lead->least_ : 0,
                              lead ? lead->most_ : 0 });
  }
  for (const auto& line : lines_) {
    const auto own = line.Field("caller") == aCaller;
    const auto near = line.micros_ >= first - kAroundMicros &&
                      line.micros_ <= last + kAroundMicros;
    if (own || (near && processes.contains(line.process_) && IsBelief(line))) {
      const auto lead = clocks.LeadOf(line.process_, reference);
      story.lines_.push_back(
        { line.micros_ - (lead ? lead->Middle() : 0), &line, own });
    }
  }
  std::stable_sort(story.lines_.begin(),
                   story.lines_.end(),
                   [](const StoryLine& aOne, const StoryLine& aOther) {
                     return aOne.micros_ < aOther.micros_;
                   });
  return story;
}

std::string
ToText(const Story& aStory)
{
  std::string text;
  for (const auto& clock : aStory.clocks_) {
    if (clock.known_) {
      absl::StrAppendFormat(&text,
                            "clock of %s: %+.3f to %+.3f ms\n",
                            clock.process_,
                            static_cast<double>(clock.least_) / 1000,
                            static_cast<double>(clock.most_) / 1000);
    } else {
      absl::StrAppend(&text, "clock of ", clock.process_, ": not known\n");
    }
  }
  for (const auto& row : aStory.lines_) {
    absl::StrAppend(&text,
                    TimeOf(row.micros_),
                    row.ofTheFlow_ ? "   " : " ~ ",
                    row.line_->process_,
                    " ",
                    row.line_->event_);
    for (const auto& [key, value] : row.line_->fields_) {
      const auto shown = key != "level" && key != "caller";
      absl::StrAppend(
        &text, shown ? absl::StrCat(" ", key, "=", value) : std::string());
    }
    text += '\n';
  }
  return text;
}

} // namespace cornelshore::trace
