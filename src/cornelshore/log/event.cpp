#include <cornelshore/log/event.hpp>

#include <algorithm>

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

namespace cornelshore::log {

namespace {

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
Start(Level aLeast, std::string_view aProcess)
{
  namespace expressions = boost::log::expressions;
  boost::log::add_common_attributes();
  boost::log::core::get()->add_global_attribute(
    "Process",
    boost::log::attributes::constant<std::string>(std::string(aProcess)));
  boost::log::add_console_log(
    std::cout,
    boost::log::keywords::auto_flush = true,
    boost::log::keywords::format =
      (expressions::stream
       << "time="
       << expressions::format_date_time<boost::posix_time::ptime>(
            "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
       << " process=" << expressions::attr<std::string>("Process") << " "
       << expressions::smessage));
  boost::log::core::get()->set_filter(expressions::attr<int>("Severity") >=
                                      static_cast<int>(aLeast));
}

void
Write(Level aLevel, const Event& aEvent)
{
  BOOST_LOG_SEV(ProcessLogger(), static_cast<int>(aLevel))
    << "level=" << NameIn(kLevelNames, aLevel) << " " << aEvent.Line();
}

} // namespace cornelshore::log
