#include <cornelshore/wire/consensus_codec.hpp>

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::wire {
namespace {

using namespace consensus;

constexpr ReplicaId kFirst{ NodeId{ 1 }, Incarnation{ 1 } };
constexpr ReplicaId kSecond{ NodeId{ 2 }, Incarnation{ 7 } };

Change
SomeChange()
{
  return { RequestId{ 3, 4 },
           ConfigVersion{ 5 },
           "olga",
           1700000000000U,
           { { ServiceIdOf("booking"), "booking", {} } } };
}

Snapshot
SomeSnapshot()
{
  Register state;
  auto change = SomeChange();
  change.expected_ = {};
  state.Apply(change);
  return { { Term{ 2 }, LogIndex{ 8 } },
           { LogIndex{ 1 }, { { kFirst, MemberRole::Voter } } },
           state.State() };
}

std::vector<Body>
OneOfEach()
{
  const Position last{ Term{ 2 }, LogIndex{ 9 } };
  const Membership members{ LogIndex{ 11 },
                            { { kFirst, MemberRole::Voter },
                              { kSecond, MemberRole::Learner } } };
  const auto change = std::make_shared<const Change>(SomeChange());
  const std::vector<Entry> entries{
    { Term{ 2 }, LogIndex{ 10 }, NoOp{} },
    { Term{ 2 }, LogIndex{ 11 }, std::make_shared<const Membership>(members) },
    { Term{ 3 }, LogIndex{ 12 }, change }
  };
  const ChangeAnswer answer{
    ChangeOutcome::Conflict, ConfigVersion{ 6 }, RequestId{ 1, 2 }, true
  };
  return { VoteRequest{ Ballot::Vote, Term{ 4 }, last, LogIndex{ 1 } },
           VoteReply{ Ballot::PreVote, Term{ 4 }, true },
           AppendRequest{ last, entries, LogIndex{ 9 }, Duration{ 77 } },
           SnapshotRequest{ std::make_shared<const Snapshot>(SomeSnapshot()),
                            Duration{ 5 } },
           AppendReply{ true, LogIndex{ 3 }, LogIndex{ 4 }, Duration{ -5 } },
           Hello{ 99, last, LogIndex{ 1 } },
           HelloReply{ 99, last, Term{ 4 }, LogIndex{ 3 }, {}, members },
           Join{ kFirst },
           Forward{ Token{ 8 }, change },
           ForwardReply{ Token{ 8 }, answer },
           ForwardReply{ Token{ 8 }, std::nullopt },
           ReadIndexRequest{ Token{ 9 } },
           ReadIndexReply{ Token{ 9 }, LogIndex{ 12 } },
           ReadIndexReply{ Token{ 9 }, std::nullopt },
           Refusal{ Fault::RolledBack },
           LeaveRequest{ { NodeId{ 3 }, Incarnation{ 8 } },
                         std::chrono::milliseconds{ 70 } },
           LeaveReply{ true },
           TimeoutNow{},
           VoteRequest{ Ballot::Transfer, Term{ 4 }, last, LogIndex{ 1 } } };
}

TEST(ConsensusCodec, ReadsBackEveryMessageAndFailsOnEveryTruncation)
{
  for (const auto& body : OneOfEach()) {
    const Message message{ kFirst, kSecond, Term{ 6 }, body };
    std::string out;
    Writer writer(out);
    Encode(writer, message);
    Reader reader(out);
    const auto read = DecodeConsensusMessage(reader);
    ASSERT_TRUE(read.ok()) << body.index();
    EXPECT_TRUE(*read == message) << body.index();
    for (std::size_t size = 0; size < out.size(); ++size) {
      Reader cut(std::string_view(out).substr(0, size));
      EXPECT_FALSE(DecodeConsensusMessage(cut).ok()) << body.index();
    }
  }
}

TEST(ConsensusCodec, ReadsBackWhatADiskHolds)
{
  const Persist persist{ PersistId{ 4 },
                         HardState{ Term{ 3 }, kSecond, LogIndex{ 2 } },
                         std::make_shared<const Snapshot>(SomeSnapshot()),
                         std::get<AppendRequest>(OneOfEach()[2]).entries_ };
  std::string out;
  Writer writer(out);
  Encode(writer, persist);
  Reader reader(out);
  Persist read;
  Decode(reader, read);
  ASSERT_TRUE(reader.Finish().ok());
  EXPECT_EQ(read.hard_, persist.hard_);
  EXPECT_EQ(*read.snapshot_, *persist.snapshot_);
  EXPECT_TRUE(read.entries_ == persist.entries_);
}

TEST(ConsensusCodec, RefusesAMembershipThatNamesAReplicaTwice)
{
  Message message{ kFirst, kSecond, Term{ 1 }, HelloReply{} };
  auto& newest = std::get<HelloReply>(message.body_).newest_;
  newest.members_ = { { kFirst, MemberRole::Learner },
                      { kFirst, MemberRole::Voter } };
  std::string out;
  Writer writer(out);
  Encode(writer, message);
  Reader reader(out);
  EXPECT_FALSE(DecodeConsensusMessage(reader).ok());
}

} // namespace
} // namespace cornelshore::wire
