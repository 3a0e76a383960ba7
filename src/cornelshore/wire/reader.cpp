#include <cornelshore/wire/reader.hpp>

#include <algorithm>

#include <msgpack.hpp>

namespace cornelshore::wire {

namespace {

/** What one scalar value, or the head of a list, turned out to be. */
enum class Kind : std::uint8_t
{
  None,
  Unsigned,
  Signed,
  Bytes,
  List,
};

/**
 * Takes one value from msgpack's parser and stops it there.
 *
 * The names are msgpack's own.
 */
// NOLINTBEGIN(readability-identifier-naming)
class OneValue : public msgpack::null_visitor
{
public:
  Kind kind_{ Kind::None };
  std::uint64_t unsigned_{};
  std::int64_t signed_{};
  std::string_view bytes_;

  bool visit_positive_integer(std::uint64_t aValue)
  {
    unsigned_ = aValue;
    return Take(Kind::Unsigned);
  }
  bool visit_negative_integer(std::int64_t aValue)
  {
    signed_ = aValue;
    return Take(Kind::Signed);
  }
  bool visit_bin(const char* aData, std::uint32_t aSize)
  {
    bytes_ = { aData, aSize };
    return Take(Kind::Bytes);
  }
  bool start_array(std::uint32_t aCount)
  {
    unsigned_ = aCount;
    Take(Kind::List);
    return false;
  }
  bool start_map(std::uint32_t) { return false; }
  bool visit_nil() { return false; }
  bool visit_boolean(bool) { return false; }
  bool visit_float32(float) { return false; }
  bool visit_float64(double) { return false; }
  bool visit_str(const char*, std::uint32_t) { return false; }
  bool visit_ext(const char*, std::uint32_t) { return false; }
  void parse_error(std::size_t, std::size_t) {}
  void insufficient_bytes(std::size_t, std::size_t) {}

private:
  bool Take(Kind aKind)
  {
    kind_ = aKind;
    return true;
  }
};
// NOLINTEND(readability-identifier-naming)

/** Bytes of a list's head, by its first byte; 0 when it is no list. */
std::size_t
ListHeadSize(std::uint8_t aFirst)
{
  constexpr std::uint8_t kFixedMask = 0xF0;
  constexpr std::uint8_t kFixedList = 0x90;
  constexpr std::uint8_t kList16 = 0xDC;
  constexpr std::uint8_t kList32 = 0xDD;
  if ((aFirst & kFixedMask) == kFixedList) {
    return 1;
  }
  if (aFirst == kList16) {
    return 3;
  }
  return aFirst == kList32 ? 5 : 0;
}

/** Parses one value and advances past it. */
OneValue
Next(std::string_view& aInput)
{
  OneValue value;
  if (aInput.empty()) {
    return value;
  }
  const auto head = ListHeadSize(static_cast<std::uint8_t>(aInput.front()));
  std::size_t offset = 0;
  msgpack::parse(aInput.data(), aInput.size(), offset, value);
  if (value.kind_ == Kind::List) {
    offset = head;
  }
  if (value.kind_ != Kind::None) {
    aInput.remove_prefix(std::min(offset, aInput.size()));
  }
  return value;
}

} // namespace

std::uint64_t
Reader::Uint(std::uint64_t aMost)
{
  if (failed_) {
    return 0;
  }
  const auto value = Next(input_);
  if (value.kind_ != Kind::Unsigned || value.unsigned_ > aMost) {
    failed_ = true;
    return 0;
  }
  return value.unsigned_;
}

std::int64_t
Reader::Int()
{
  if (failed_) {
    return 0;
  }
  const auto value = Next(input_);
  if (value.kind_ == Kind::Signed) {
    return value.signed_;
  }
  constexpr auto kMost =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (value.kind_ != Kind::Unsigned || value.unsigned_ > kMost) {
    failed_ = true;
    return 0;
  }
  return static_cast<std::int64_t>(value.unsigned_);
}

bool
Reader::Bool()
{
  return Uint(1) == 1;
}

std::string_view
Reader::Bytes(std::size_t aMost)
{
  if (failed_) {
    return {};
  }
  const auto value = Next(input_);
  if (value.kind_ != Kind::Bytes || value.bytes_.size() > aMost) {
    failed_ = true;
    return {};
  }
  return value.bytes_;
}

std::size_t
Reader::List(std::size_t aMost)
{
  if (failed_) {
    return 0;
  }
  const auto value = Next(input_);
  const auto bound = std::min(aMost, input_.size());
  if (value.kind_ != Kind::List || value.unsigned_ > bound) {
    failed_ = true;
    return 0;
  }
  return static_cast<std::size_t>(value.unsigned_);
}

void
Reader::Read(Address& aAddress)
{
  const auto bytes = Bytes(aAddress.ip_.size());
  if (bytes.size() != aAddress.ip_.size()) {
    failed_ = true;
    return;
  }
  std::transform(bytes.begin(),
                 bytes.end(),
                 aAddress.ip_.begin(),
                 [](char aByte) { return static_cast<std::uint8_t>(aByte); });
  aAddress.port_ = Number<std::uint16_t>();
}

void
Reader::Read(FlowKey& aKey)
{
  Read(aKey.caller_);
  Read(aKey.service_);
  aKey.transport_ = static_cast<Transport>(Number<std::uint8_t>());
  if (aKey.transport_ != Transport::Tcp && aKey.transport_ != Transport::Udp) {
    failed_ = true;
  }
}

void
Reader::Read(RequestId& aId)
{
  aId.high_ = Uint();
  aId.low_ = Uint();
}

void
Reader::Read(Duration& aDuration)
{
  aDuration = Duration{ Int() };
}

absl::Status
Reader::Finish() const
{
  if (failed_) {
    return absl::InvalidArgumentError("a value is missing or out of range");
  }
  if (!input_.empty()) {
    return absl::InvalidArgumentError("bytes are left after the last value");
  }
  return absl::OkStatus();
}

} // namespace cornelshore::wire
