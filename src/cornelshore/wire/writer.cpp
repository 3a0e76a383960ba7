#include <cornelshore/wire/writer.hpp>

#include <msgpack.hpp>

namespace cornelshore::wire {

namespace {

/** Stream that msgpack packs into: appends to a string. */
struct Appender
{
  std::string& out_;

  // The name is msgpack's own.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void write(const char* aData, std::size_t aSize)
  {
    out_.append(aData, aSize);
  }
};

} // namespace

void
Writer::Uint(std::uint64_t aValue)
{
  Appender appender{ out_ };
  msgpack::packer<Appender>(appender).pack_uint64(aValue);
}

void
Writer::Int(std::int64_t aValue)
{
  Appender appender{ out_ };
  msgpack::packer<Appender>(appender).pack_int64(aValue);
}

void
Writer::Bool(bool aValue)
{
  Uint(aValue ? 1 : 0);
}

void
Writer::Bytes(std::string_view aValue)
{
  Appender appender{ out_ };
  msgpack::packer<Appender> packer(appender);
  packer.pack_bin(static_cast<std::uint32_t>(aValue.size()));
  packer.pack_bin_body(aValue.data(),
                       static_cast<std::uint32_t>(aValue.size()));
}

void
Writer::List(std::size_t aCount)
{
  Appender appender{ out_ };
  msgpack::packer<Appender>(appender).pack_array(
    static_cast<std::uint32_t>(aCount));
}

void
Writer::Write(const Address& aAddress)
{
  Bytes({ reinterpret_cast<const char*>(aAddress.ip_.data()),
          aAddress.ip_.size() });
  Uint(aAddress.port_);
}

void
Writer::Write(const FlowKey& aKey)
{
  Write(aKey.caller_);
  Write(aKey.service_);
  Uint(static_cast<std::uint8_t>(aKey.transport_));
}

void
Writer::Write(const RequestId& aId)
{
  Uint(aId.high_);
  Uint(aId.low_);
}

void
Writer::Write(Duration aDuration)
{
  Int(aDuration.count());
}

} // namespace cornelshore::wire
