#ifndef CORNELSHORE_DISSEMINATION_PACKER_HPP
#define CORNELSHORE_DISSEMINATION_PACKER_HPP

#include <utility>
#include <vector>

#include <cornelshore/dissemination/message.hpp>
#include <cornelshore/dissemination/size.hpp>

namespace cornelshore::dissemination {

/** @brief Packs items into messages, each within the size limit. */
class Packer
{
public:
  /** @param aHeader Of each message. */
  explicit Packer(const Header& aHeader)
    : header_(aHeader)
  {
    Open();
  }

  void Add(const HostUpdate& aUpdate)
  {
    Reserve(BytesOf(aUpdate), Last().hosts_.size());
    Last().hosts_.push_back(aUpdate);
  }

  void Add(const PeerUpdate& aUpdate)
  {
    Reserve(BytesOf(aUpdate), Last().peers_.size());
    Last().peers_.push_back(aUpdate);
  }

  void Add(ConfigChunk aChunk)
  {
    Reserve(BytesOf(aChunk), Last().chunks_.size());
    Last().chunks_.push_back(std::move(aChunk));
  }

  void Add(const ConfigRequest& aRequest) { Last().configRequest_ = aRequest; }

  void AddSnapshotRequest(std::uint16_t aFirstLeaf)
  {
    Last().snapshotRequest_ = aFirstLeaf;
  }

  void Add(const TreeChildren& aChildren)
  {
    Reserve(BytesOf(aChildren), Last().hashes_.size());
    Last().hashes_.push_back(aChildren);
  }

  void Add(Leaf aLeaf)
  {
    Reserve(BytesOf(aLeaf), Last().leaves_.size());
    Last().leaves_.push_back(std::move(aLeaf));
  }

  void AddRecordRequest(NodeId aSubject)
  {
    Reserve(BytesOf(aSubject), Last().requestedRecords_.size());
    Last().requestedRecords_.push_back(aSubject);
  }

  /** @brief Whether anything was added. */
  [[nodiscard]] bool Empty() const
  {
    return messages_.size() == 1 &&
           messages_.front() ==
             Message{ header_, {}, {}, {}, {}, {}, {}, {}, {}, {} };
  }

  /** @brief The messages; at least one. */
  [[nodiscard]] std::vector<Message> Finish() &&
  {
    return std::move(messages_);
  }

private:
  Message& Last() { return messages_.back(); }

  void Open()
  {
    messages_.emplace_back();
    Last().header_ = header_;
    bytes_ = PayloadBytesOf(Last()) + kReserveBytes;
  }

  void Reserve(std::size_t aBytes, std::size_t aItems)
  {
    if (bytes_ + aBytes > kMaxMessageBytes || aItems >= kMaxItems) {
      Open();
    }
    bytes_ += aBytes;
  }

  /** For the config request, the growing list lengths and the position in a
   * snapshot. */
  static constexpr std::size_t kReserveBytes = 60;

  Header header_;
  std::vector<Message> messages_;
  std::size_t bytes_{};
};

} // namespace cornelshore::dissemination

#endif
