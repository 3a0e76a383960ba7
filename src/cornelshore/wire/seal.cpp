#include <cornelshore/wire/seal.hpp>

#include <algorithm>
#include <bitset>
#include <charconv>
#include <list>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/kdf.h>
#include <openssl/params.h>

#include <cornelshore/core/check.hpp>

namespace cornelshore::wire {

namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kHeaderBytes = 26;
constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kNonceBytes = 12;
constexpr std::size_t kDerivedBytes = 16;
constexpr unsigned kLaneShift = 56;
static_assert(kHeaderBytes + kTagBytes == kSealOverheadBytes);

using Derived = std::array<std::uint8_t, kDerivedBytes>;
using Nonce = std::array<std::uint8_t, kNonceBytes>;
using Tag = std::array<std::uint8_t, kTagBytes>;

struct ContextDeleter
{
  void operator()(EVP_CIPHER_CTX* aContext) const
  {
    EVP_CIPHER_CTX_free(aContext);
  }
};
using Context = std::unique_ptr<EVP_CIPHER_CTX, ContextDeleter>;

std::string_view
Strip(std::string_view aText)
{
  constexpr std::string_view kBlank = " \t\r";
  const auto first = std::min(aText.find_first_not_of(kBlank), aText.size());
  aText.remove_prefix(first);
  return aText.substr(0, aText.find_last_not_of(kBlank) + 1);
}

bool
ParseWhole(std::string_view aText, int aBase, std::uint8_t& aValue)
{
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aValue, aBase);
  return parsed.ec == std::errc{} && parsed.ptr == end;
}

struct Header
{
  std::uint8_t keyId_{};
  NodeId sender_;
  Incarnation incarnation_;
  std::uint64_t counter_{};
};

void
Put64(std::uint64_t aValue, char* aOut)
{
  for (int byte = 7; byte >= 0; --byte) {
    *aOut++ = static_cast<char>(aValue >> (8 * byte));
  }
}

std::uint64_t
Get64(const char* aIn)
{
  std::uint64_t value = 0;
  for (int byte = 0; byte < 8; ++byte) {
    value = value << 8U | static_cast<std::uint8_t>(*aIn++);
  }
  return value;
}

void
PutHeader(const Header& aHeader, char* aOut)
{
  aOut[0] = static_cast<char>(kVersion);
  aOut[1] = static_cast<char>(aHeader.keyId_);
  Put64(aHeader.sender_.value_, aOut + 2);
  Put64(aHeader.incarnation_.value_, aOut + 10);
  Put64(aHeader.counter_, aOut + 18);
}

Header
GetHeader(const char* aIn)
{
  return { static_cast<std::uint8_t>(aIn[1]),
           NodeId{ Get64(aIn + 2) },
           Incarnation{ Get64(aIn + 10) },
           Get64(aIn + 18) };
}

Derived
Derive(std::span<const std::uint8_t> aSecret,
       NodeId aSender,
       Incarnation aIncarnation)
{
  constexpr std::string_view kPurpose = "cornelshore datagram 1 ";
  std::array<char, kPurpose.size() + 16> info{};
  std::copy(kPurpose.begin(), kPurpose.end(), info.begin());
  Put64(aSender.value_, info.data() + kPurpose.size());
  Put64(aIncarnation.value_, info.data() + kPurpose.size() + 8);
  std::string digest = "SHA256";
  std::array<OSSL_PARAM, 4> parameters{
    OSSL_PARAM_construct_utf8_string(OSSL_KDF_PARAM_DIGEST, digest.data(), 0),
    OSSL_PARAM_construct_octet_string(OSSL_KDF_PARAM_KEY,
                                      const_cast<std::uint8_t*>(aSecret.data()),
                                      aSecret.size()),
    OSSL_PARAM_construct_octet_string(
      OSSL_KDF_PARAM_INFO, info.data(), info.size()),
    OSSL_PARAM_construct_end()
  };
  EVP_KDF* kdf = EVP_KDF_fetch(nullptr, "HKDF", nullptr);
  EVP_KDF_CTX* context = EVP_KDF_CTX_new(kdf);
  Derived derived{};
  const int done =
    EVP_KDF_derive(context, derived.data(), derived.size(), parameters.data());
  EVP_KDF_CTX_free(context);
  EVP_KDF_free(kdf);
  CheckInvariant(done == 1, "seal: key derivation failed");
  return derived;
}

Context
MakeContext(const KeyRing& aKeys, const Header& aHeader)
{
  auto derived =
    Derive(aKeys.Secret(aHeader.keyId_), aHeader.sender_, aHeader.incarnation_);
  Context context(EVP_CIPHER_CTX_new());
  const bool made =
    context != nullptr &&
    EVP_EncryptInit_ex(
      context.get(), EVP_aes_128_gcm(), nullptr, derived.data(), nullptr) == 1;
  OPENSSL_cleanse(derived.data(), derived.size());
  CheckInvariant(made, "seal: no cipher context");
  return context;
}

Tag
MakeTag(EVP_CIPHER_CTX* aContext,
        std::uint64_t aCounter,
        std::string_view aAuthenticated)
{
  Nonce nonce{};
  Put64(aCounter, reinterpret_cast<char*>(nonce.data()) + 4);
  Tag tag{};
  int length = 0;
  const bool done =
    EVP_EncryptInit_ex(aContext, nullptr, nullptr, nullptr, nonce.data()) ==
      1 &&
    EVP_EncryptUpdate(
      aContext,
      nullptr,
      &length,
      reinterpret_cast<const unsigned char*>(aAuthenticated.data()),
      static_cast<int>(aAuthenticated.size())) == 1 &&
    EVP_EncryptFinal_ex(aContext, tag.data(), &length) == 1 &&
    EVP_CIPHER_CTX_ctrl(
      aContext, EVP_CTRL_GCM_GET_TAG, kTagBytes, tag.data()) == 1;
  CheckInvariant(done, "seal: no tag");
  return tag;
}

/** Sliding window over one lane's counters (RFC 4303, section 3.4.3). */
struct Window
{
  std::uint64_t highest_{};
  std::bitset<Opener::kReplayWindow> seen_;

  bool Admit(std::uint64_t aCounter)
  {
    constexpr auto kSize = Opener::kReplayWindow;
    if (aCounter > highest_) {
      const auto ahead = aCounter - highest_;
      if (ahead >= kSize) {
        seen_.reset();
      } else {
        for (auto next = highest_ + 1; next <= aCounter; ++next) {
          seen_.reset(next % kSize);
        }
      }
      highest_ = aCounter;
    } else if (highest_ - aCounter >= kSize || seen_.test(aCounter % kSize)) {
      return false;
    }
    seen_.set(aCounter % kSize);
    return true;
  }
};

struct Sender
{
  NodeId id_;
  Incarnation incarnation_;
  std::uint8_t keyId_{};
  Context context_;
  std::vector<std::pair<std::uint8_t, Window>> windows_;
};

} // namespace

absl::StatusOr<KeyRing>
KeyRing::Parse(std::string_view aText)
{
  KeyRing ring;
  for (std::size_t number = 1; !aText.empty(); ++number) {
    const auto end = std::min(aText.find('\n'), aText.size());
    const auto line = Strip(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
    if (line.empty() || line.front() == '#') {
      continue;
    }
    if (const auto* fault = ring.Add(line)) {
      return absl::InvalidArgumentError("key ring line " +
                                        std::to_string(number) + ": " + fault);
    }
  }
  if (ring.size_ == 0) {
    return absl::InvalidArgumentError("key ring: it has no key");
  }
  ring.sealing_ = ring.keys_.front().id_;
  return ring;
}

const char*
KeyRing::Add(std::string_view aLine)
{
  const auto space = std::min(aLine.find_first_of(" \t"), aLine.size());
  const auto digits = Strip(aLine.substr(space));
  Key key;
  if (!ParseWhole(aLine.substr(0, space), 10, key.id_) || key.id_ == 0) {
    return "the key id is not a number from 1 to 255";
  }
  if (Has(key.id_)) {
    return "the key id stands twice";
  }
  if (size_ == kMostKeys) {
    return "more than 16 keys";
  }
  if (digits.size() != 2 * kKeyBytes) {
    return "the key is not 64 hexadecimal digits";
  }
  for (std::size_t byte = 0; byte < kKeyBytes; ++byte) {
    if (!ParseWhole(digits.substr(2 * byte, 2), 16, key.secret_.at(byte))) {
      return "the key is not 64 hexadecimal digits";
    }
  }
  keys_.at(size_++) = key;
  OPENSSL_cleanse(key.secret_.data(), key.secret_.size());
  return nullptr;
}

KeyRing::~KeyRing()
{
  OPENSSL_cleanse(keys_.data(), sizeof(keys_));
}

bool
KeyRing::Has(std::uint8_t aKeyId) const noexcept
{
  return !Secret(aKeyId).empty();
}

std::span<const std::uint8_t>
KeyRing::Secret(std::uint8_t aKeyId) const noexcept
{
  for (std::size_t index = 0; index < size_; ++index) {
    if (keys_.at(index).id_ == aKeyId) {
      return keys_.at(index).secret_;
    }
  }
  return {};
}

struct Sealer::State
{
  Header header_;
  Context context_;
};

Sealer::Sealer(const KeyRing& aKeys,
               NodeId aSelf,
               Incarnation aIncarnation,
               std::uint8_t aLane)
  : state_(std::make_unique<State>())
{
  state_->header_ = { aKeys.SealingKey(),
                      aSelf,
                      aIncarnation,
                      std::uint64_t{ aLane } << kLaneShift };
  state_->context_ = MakeContext(aKeys, state_->header_);
}

Sealer::Sealer(Sealer&&) noexcept = default;
Sealer& Sealer::operator=(Sealer&&) noexcept = default;
Sealer::~Sealer() = default;

void
Sealer::Seal(std::string_view aPayload, std::string& aOut)
{
  ++state_->header_.counter_;
  aOut.resize(aPayload.size() + kSealOverheadBytes);
  PutHeader(state_->header_, aOut.data());
  std::copy(aPayload.begin(), aPayload.end(), aOut.begin() + kHeaderBytes);
  const auto signedBytes = kHeaderBytes + aPayload.size();
  const auto tag = MakeTag(state_->context_.get(),
                           state_->header_.counter_,
                           std::string_view(aOut).substr(0, signedBytes));
  std::copy(tag.begin(), tag.end(), aOut.data() + signedBytes);
}

void
Sealer::Rotate(const KeyRing& aKeys)
{
  state_->header_.keyId_ = aKeys.SealingKey();
  state_->context_ = MakeContext(aKeys, state_->header_);
}

struct Opener::State
{
  using Order = std::list<Sender>;

  KeyRing keys_;
  std::size_t mostSenders_;
  Order order_; ///< The sender heard last comes first.
  absl::flat_hash_map<NodeId, Order::iterator> byId_;

  Sender* Find(NodeId aSender)
  {
    const auto found = byId_.find(aSender);
    if (found == byId_.end()) {
      return nullptr;
    }
    order_.splice(order_.begin(), order_, found->second);
    return &*found->second;
  }

  Sender& Add(NodeId aSender)
  {
    if (order_.size() >= mostSenders_) {
      byId_.erase(order_.back().id_);
      order_.pop_back();
    }
    order_.emplace_front().id_ = aSender;
    byId_[aSender] = order_.begin();
    return order_.front();
  }

  OpenOutcome Admit(Sender& aSender, std::uint64_t aCounter) const
  {
    const auto lane = static_cast<std::uint8_t>(aCounter >> kLaneShift);
    const auto counter = aCounter & ((std::uint64_t{ 1 } << kLaneShift) - 1);
    auto& windows = aSender.windows_;
    auto window =
      std::find_if(windows.begin(), windows.end(), [lane](const auto& aEntry) {
        return aEntry.first == lane;
      });
    if (window == windows.end()) {
      window = windows.insert(window, { lane, Window{} });
    }
    return window->second.Admit(counter) ? OpenOutcome::Opened
                                         : OpenOutcome::Replayed;
  }
};

Opener::Opener(const KeyRing& aKeys, std::size_t aMostSenders)
  : state_(new State{ aKeys, std::max<std::size_t>(aMostSenders, 1), {}, {} })
{
}

Opener::Opener(Opener&&) noexcept = default;
Opener& Opener::operator=(Opener&&) noexcept = default;
Opener::~Opener() = default;

Opened
Opener::Open(std::string_view aDatagram, ReplayCheck aReplayCheck)
{
  Opened result;
  if (aDatagram.size() < kSealOverheadBytes ||
      static_cast<std::uint8_t>(aDatagram.front()) != kVersion) {
    return result;
  }
  const auto header = GetHeader(aDatagram.data());
  if (!state_->keys_.Has(header.keyId_)) {
    result.outcome_ = OpenOutcome::UnknownKey;
    return result;
  }
  auto* sender = state_->Find(header.sender_);
  const bool known = sender != nullptr && sender->context_ != nullptr &&
                     sender->keyId_ == header.keyId_ &&
                     sender->incarnation_ == header.incarnation_;
  Context fresh;
  if (!known) {
    fresh = MakeContext(state_->keys_, header);
  }
  const auto signedBytes = aDatagram.size() - kTagBytes;
  const auto tag = MakeTag(known ? sender->context_.get() : fresh.get(),
                           header.counter_,
                           aDatagram.substr(0, signedBytes));
  if (CRYPTO_memcmp(tag.data(), aDatagram.data() + signedBytes, kTagBytes) !=
      0) {
    result.outcome_ = OpenOutcome::BadTag;
    return result;
  }
  if (sender == nullptr) {
    sender = &state_->Add(header.sender_);
    sender->incarnation_ = header.incarnation_;
  }
  const bool older = header.incarnation_ < sender->incarnation_;
  if (older && aReplayCheck == ReplayCheck::Refuse) {
    result.outcome_ = OpenOutcome::Replayed;
    return result;
  }
  if (header.incarnation_ > sender->incarnation_) {
    sender->incarnation_ = header.incarnation_;
    sender->windows_.clear();
  }
  if (!known && !older) {
    sender->keyId_ = header.keyId_;
    sender->context_ = std::move(fresh);
  }
  result.outcome_ = aReplayCheck == ReplayCheck::Refuse
                      ? state_->Admit(*sender, header.counter_)
                      : OpenOutcome::Opened;
  if (result.outcome_ == OpenOutcome::Opened) {
    result.sender_ = header.sender_;
    result.incarnation_ = header.incarnation_;
    result.counter_ = header.counter_;
    result.payload_ =
      aDatagram.substr(kHeaderBytes, signedBytes - kHeaderBytes);
  }
  return result;
}

void
Opener::Rotate(const KeyRing& aKeys)
{
  state_->keys_ = aKeys;
  for (auto& sender : state_->order_) {
    sender.context_.reset();
  }
}

std::size_t
Opener::Senders() const noexcept
{
  return state_->order_.size();
}

} // namespace cornelshore::wire
