#include <cornelshore/request/answer.hpp>

#include <utility>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::request {

bool
AnswerAssembly::Matches(const AnswerPart& aPart) const noexcept
{
  return parts_.size() == aPart.count_ && attempt_ == aPart.attempt_ &&
         length_ == aPart.length_ && checksum_ == aPart.checksum_;
}

void
AnswerAssembly::Begin(const AnswerPart& aPart)
{
  attempt_ = aPart.attempt_;
  length_ = aPart.length_;
  checksum_ = aPart.checksum_;
  missing_ = aPart.count_;
  bytes_ = 0;
  parts_.assign(aPart.count_, std::nullopt);
}

PartResult
AnswerAssembly::Take(AnswerPart aPart, std::size_t aLimit)
{
  if (aPart.count_ == 0 || aPart.count_ > kMaxAnswerParts ||
      aPart.index_ >= aPart.count_ || aPart.length_ > aLimit) {
    return PartResult::Rejected;
  }
  if (!Matches(aPart)) {
    if (!parts_.empty() && aPart.attempt_ <= attempt_) {
      return PartResult::Rejected;
    }
    Begin(aPart);
  }
  auto& part = parts_[aPart.index_];
  if (part) {
    return PartResult::Kept;
  }
  if (bytes_ + aPart.bytes_.size() > length_) {
    return PartResult::Rejected;
  }
  bytes_ += aPart.bytes_.size();
  part = std::move(aPart.bytes_);
  --missing_;
  if (missing_ != 0) {
    return PartResult::Kept;
  }
  return Join() ? PartResult::Complete : PartResult::Rejected;
}

bool
AnswerAssembly::Join()
{
  assembled_.clear();
  for (const auto& part : parts_) {
    assembled_ += *part;
  }
  parts_.clear();
  return assembled_.size() == length_ && HashText(assembled_) == checksum_;
}

std::string
AnswerAssembly::Release()
{
  return std::exchange(assembled_, {});
}

} // namespace cornelshore::request
