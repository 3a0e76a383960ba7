#include <cornelshore/dissemination/delta.hpp>

#include <algorithm>
#include <cstdint>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::dissemination {

namespace {

constexpr std::size_t kBlockBytes = 16;
constexpr unsigned kBitsAByte = 7;
constexpr std::uint8_t kMoreBytes = 0x80;
constexpr unsigned kMostShift = 28;

void
PutNumber(std::size_t aValue, std::string& aOut)
{
  while (aValue >= kMoreBytes) {
    aOut.push_back(static_cast<char>(aValue | kMoreBytes));
    aValue >>= kBitsAByte;
  }
  aOut.push_back(static_cast<char>(aValue));
}

std::optional<std::size_t>
TakeNumber(std::string_view& aIn)
{
  std::size_t value = 0;
  for (unsigned shift = 0; shift <= kMostShift && !aIn.empty();
       shift += kBitsAByte) {
    const auto byte = static_cast<std::uint8_t>(aIn.front());
    aIn.remove_prefix(1);
    value |= static_cast<std::size_t>(byte & ~kMoreBytes) << shift;
    if ((byte & kMoreBytes) == 0) {
      return value;
    }
  }
  return std::nullopt;
}

std::uint64_t
HashAt(std::string_view aText, std::size_t aOffset)
{
  return HashText(aText.substr(aOffset, kBlockBytes));
}

std::size_t
CommonPrefix(std::string_view aOne, std::string_view aOther)
{
  const auto most = std::min(aOne.size(), aOther.size());
  std::size_t length = 0;
  while (length < most && aOne[length] == aOther[length]) {
    ++length;
  }
  return length;
}

/** A step is: literal length, literal bytes, copy length, copy offset. */
void
PutStep(std::string_view aLiteral,
        std::size_t aOffset,
        std::size_t aLength,
        std::string& aOut)
{
  PutNumber(aLiteral.size(), aOut);
  aOut.append(aLiteral);
  PutNumber(aLength, aOut);
  if (aLength > 0) {
    PutNumber(aOffset, aOut);
  }
}

} // namespace

std::string
MakeDelta(std::string_view aBase, std::string_view aTarget)
{
  absl::flat_hash_map<std::uint64_t, std::size_t> blocks;
  for (std::size_t offset = 0; offset + kBlockBytes <= aBase.size();
       offset += kBlockBytes) {
    blocks.try_emplace(HashAt(aBase, offset), offset);
  }
  std::string delta;
  std::size_t literal = 0;
  std::size_t position = 0;
  std::size_t expected = 0;
  while (position + kBlockBytes <= aTarget.size()) {
    auto offset = expected;
    auto length = CommonPrefix(aBase.substr(std::min(offset, aBase.size())),
                               aTarget.substr(position));
    if (length < kBlockBytes) {
      const auto found = blocks.find(HashAt(aTarget, position));
      offset = found == blocks.end() ? aBase.size() : found->second;
      length = CommonPrefix(aBase.substr(offset), aTarget.substr(position));
    }
    if (length < kBlockBytes) {
      ++position;
      ++expected;
      continue;
    }
    PutStep(aTarget.substr(literal, position - literal), offset, length, delta);
    position += length;
    literal = position;
    expected = offset + length;
  }
  PutStep(aTarget.substr(literal), 0, 0, delta);
  return delta;
}

std::optional<std::string>
ApplyDelta(std::string_view aBase,
           std::string_view aDelta,
           std::size_t aMaxBytes)
{
  std::string target;
  while (!aDelta.empty()) {
    const auto literal = TakeNumber(aDelta);
    if (!literal || *literal > aDelta.size()) {
      return std::nullopt;
    }
    target.append(aDelta.substr(0, *literal));
    aDelta.remove_prefix(*literal);
    const auto length = TakeNumber(aDelta);
    if (!length) {
      return std::nullopt;
    }
    if (*length > 0) {
      const auto offset = TakeNumber(aDelta);
      if (!offset || *offset > aBase.size() ||
          *length > aBase.size() - *offset ||
          target.size() + *length > aMaxBytes) {
        return std::nullopt;
      }
      target.append(aBase.substr(*offset, *length));
    }
  }
  if (target.size() > aMaxBytes) {
    return std::nullopt;
  }
  return target;
}

} // namespace cornelshore::dissemination
