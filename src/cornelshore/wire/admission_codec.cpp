#include <cornelshore/wire/admission_codec.hpp>

#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::admission {

namespace {

ClassLoad
ReadLoad(wire::Reader& aReader)
{
  ClassLoad load;
  aReader.Read(load.class_);
  load.refused_ = static_cast<std::uint16_t>(aReader.Uint(kFullShare));
  aReader.Read(load.wait_);
  if (load.wait_ < Duration::zero()) {
    aReader.Fail();
  }
  return load;
}

} // namespace

void
Encode(wire::Writer& aWriter, const Pushback& aPushback)
{
  aWriter.Write(aPushback.incarnation_);
  aWriter.Uint(aPushback.sequence_);
  aWriter.List(aPushback.classes_.size());
  for (const auto& load : aPushback.classes_) {
    aWriter.Write(load.class_);
    aWriter.Uint(load.refused_);
    aWriter.Write(load.wait_);
  }
}

absl::StatusOr<Pushback>
Decode(wire::Reader& aReader)
{
  Pushback pushback;
  aReader.Read(pushback.incarnation_);
  pushback.sequence_ = aReader.Uint();
  const auto count = aReader.List(kMaxPushbackClasses);
  for (std::size_t index = 0; aReader.Good() && index < count; ++index) {
    pushback.classes_.push_back(ReadLoad(aReader));
  }
  if (!aReader.Good()) {
    return absl::InvalidArgumentError("pushback: a value is out of range");
  }
  return pushback;
}

} // namespace cornelshore::admission
