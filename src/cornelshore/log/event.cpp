#include <cornelshore/log/event.hpp>

#include <algorithm>
#include <atomic>

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <cornelshore/log/line_writer.hpp>

namespace cornelshore::log {

namespace {

/** Lines that wait for the writing thread at most; seconds of a flood. */
constexpr std::size_t kQueuedLines = 4096;

std::atomic<std::uint64_t> overflowed{ 0 };

// NOLINTBEGIN(readability-identifier-naming): Boost.Log calls these by name.

/** Drops lines that find the queue full. */
class DropAndCount
{
public:
  template<typename Lock>
  static bool on_overflow(const boost::log::record_view& /*aRecord*/,
                          Lock& /*aLock*/)
  {
    ++overflowed;
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

/** Hands finished lines to a `LineWriter`. */
class Backend
  : public boost::log::sinks::basic_formatted_sink_backend<
      char,
      boost::log::sinks::synchronized_feeding>
{
public:
  explicit Backend(int aOutput)
    : writer_(aOutput)
  {
  }

  void consume(const boost::log::record_view& /*aRecord*/,
               const std::string& aLine)
  {
    writer_.Write(aLine, overflowed.load());
  }

private:
  LineWriter writer_;
};

// NOLINTEND(readability-identifier-naming)

using Sink = boost::log::sinks::asynchronous_sink<
  Backend,
  boost::log::sinks::bounded_fifo_queue<kQueuedLines, DropAndCount>>;

boost::shared_ptr<Sink>&
ProcessSink()
{
  static boost::shared_ptr<Sink> sink;
  return sink;
}

using Logger = boost::log::sources::severity_logger_mt<int>;

Logger&
ProcessLogger()
{
  static Logger logger;
  return logger;
}

bool
IsPlain(char aByte)
{
  return aByte > ' ' && aByte < 0x7F && aByte != '"' && aByte != '=';
}

std::string
Quoted(std::string_view aValue)
{
  if (!aValue.empty() && std::all_of(aValue.begin(), aValue.end(), IsPlain)) {
    return std::string(aValue);
  }
  return absl::StrCat(
    "\"", absl::CHexEscape({ aValue.data(), aValue.size() }), "\"");
}

} // namespace

Event::Event(std::string_view aName)
  : line_(absl::StrCat("event=", Quoted(aName)))
{
}

Event&
Event::With(std::string_view aKey, std::string_view aValue)
{
  absl::StrAppend(&line_, " ", std::string(aKey), "=", Quoted(aValue));
  return *this;
}

Event&
Event::With(std::string_view aKey, std::uint64_t aValue)
{
  absl::StrAppend(&line_, " ", std::string(aKey), "=", aValue);
  return *this;
}

void
Start(Level aLeast, std::string_view aProcess, int aOutput)
{
  namespace expressions = boost::log::expressions;
  boost::log::add_common_attributes();
  boost::log::core::get()->add_global_attribute(
    "Process",
    boost::log::attributes::constant<std::string>(std::string(aProcess)));
  auto sink = boost::make_shared<Sink>(boost::make_shared<Backend>(aOutput));
  sink
    ->set_formatter(expressions::stream
                    << "time="
                    << expressions::format_date_time<boost::posix_time::ptime>(
                         "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                    << " process=" << expressions::attr<std::string>("Process")
                    << " " << expressions::smessage);
  boost::log::core::get()->add_sink(sink);
  boost::log::core::get()->set_filter(expressions::attr<int>("Severity") >=
                                      static_cast<int>(aLeast));
  ProcessSink() = std::move(sink);
}

void
Stop()
{
  if (const auto sink = std::exchange(ProcessSink(), nullptr)) {
    boost::log::core::get()->remove_sink(sink);
    sink->stop();
    sink->flush();
  }
}

void
Write(Level aLevel, const Event& aEvent)
{
  BOOST_LOG_SEV(ProcessLogger(), static_cast<int>(aLevel))
    << "level=" << NameIn(kLevelNames, aLevel) << " " << aEvent.Line();
}

} // namespace cornelshore::log
