// Unreadable frames between others.
#include "lycheewell/sidecar/links/frame_reader.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "lycheewell/sidecar/links/message_checks.h"
#include "sidecar/call_frame.h"

namespace {
using namespace lycheewell;
using namespace lycheewell::sidecar;
using links::DecodedFrame;
using links::EncodeFrame;
using links::FrameReader;
using links::UnreadableFrame;
using Kind = UnreadableFrame::Kind;

mesh::Frame ReplyFrame(std::uint64_t id) {
  mesh::Frame frame;
  mesh::Reply& reply = *frame.mutable_reply();
  reply.set_call_id(id);
  reply.set_status(200);
  reply.set_header_lines("A: b\r\n");
  return frame;
}

std::string WithLength(const std::string& content) {
  std::string bytes(links::kLengthPrefixBytes, '\0');
  for (std::size_t i = 0; i < links::kLengthPrefixBytes; ++i) {
    bytes[links::kLengthPrefixBytes - 1 - i] =
        static_cast<char>((content.size() >> (8 * i)) & 0xffU);
  }
  return bytes + content;
}

// Its last field, the body, is shorter than it says.
std::string CutFrame(const mesh::Frame& frame) {
  std::string content = frame.SerializeAsString();
  content.pop_back();
  return WithLength(content);
}

// The slices of a frame; `size` bytes in each.
std::vector<std::string> Slices(const std::string& frame, std::uint32_t stream,
                                std::size_t size) {
  std::vector<std::string> slices;
  for (std::size_t begin = 0; begin < frame.size(); begin += size) {
    mesh::Frame part;
    part.mutable_slice()->set_stream(stream);
    part.mutable_slice()->set_bytes(frame.substr(begin, size));
    part.mutable_slice()->set_is_last(begin + size >= frame.size());
    slices.push_back(EncodeFrame(part));
  }
  return slices;
}

struct Fixture {
  std::vector<std::uint64_t> calls;
  std::vector<mesh::Frame> frames;
  std::vector<UnreadableFrame> unreadable;
  std::vector<std::string> left_out;
  FrameReader reader{[this](FrameReader::Message& message) {
    if (auto* decoded = std::get_if<DecodedFrame>(&message)) {
      if (decoded->frame.has_call()) {
        this->calls.push_back(decoded->frame.call().call_id());
      }
      this->left_out.insert(this->left_out.end(), decoded->left_out.begin(),
                            decoded->left_out.end());
      this->frames.push_back(std::move(decoded->frame));
    } else {
      this->unreadable.push_back(std::get<UnreadableFrame>(message));
    }
    return true;
  }};

  bool Feed(std::string_view bytes, std::size_t step = 7'000) {
    while (!bytes.empty()) {
      const auto buffer = this->reader.Buffer();
      const std::size_t size = std::min({step, buffer.size(), bytes.size()});
      std::copy_n(bytes.begin(), size, buffer.begin());
      if (!this->reader.Take(size)) {
        return false;
      }
      bytes.remove_prefix(size);
    }
    return true;
  }

  // Reads the frame between two calls.
  void FeedBetweenCalls(const std::string& frame) {
    REQUIRE(this->Feed(EncodeFrame(CallFrame(1)) + frame +
                       EncodeFrame(CallFrame(2))));
  }
};

}  // namespace

// Guards against a link that was closed, with the calls of others, over one
// frame that could not be read.
TEST_CASE("A frame that cannot be read costs no other", "[sidecar][link]") {
  Fixture fixture;

  SECTION("however the bytes arrive") {
    const std::string stream = EncodeFrame(CallFrame(1)) +
                               CutFrame(CallFrame(7)) +
                               EncodeFrame(CallFrame(2));
    const std::size_t step = GENERATE(1, 2, 3, 5, 64, 100'000);
    REQUIRE(fixture.Feed(stream, step));
    CHECK(fixture.calls == std::vector<std::uint64_t>{1, 2});
    CHECK(fixture.unreadable.size() == 1);
  }
  SECTION("a call is named by its id") {
    fixture.FeedBetweenCalls(CutFrame(CallFrame(7)));
    CHECK(fixture.calls == std::vector<std::uint64_t>{1, 2});
    REQUIRE(fixture.unreadable.size() == 1);
    CHECK(fixture.unreadable.front().kind == Kind::kCall);
    CHECK(fixture.unreadable.front().call_id == 7);
  }
  SECTION("a reply, too") {
    fixture.FeedBetweenCalls(CutFrame(ReplyFrame(9)));
    REQUIRE(fixture.unreadable.size() == 1);
    CHECK(fixture.unreadable.front().kind == Kind::kReply);
    CHECK(fixture.unreadable.front().call_id == 9);
  }
  SECTION("bytes of no kind have no id") {
    for (const char* bytes : {"\xff", "no frame at all", "\x12", "\x12\xff"}) {
      fixture.FeedBetweenCalls(WithLength(bytes));
    }
    for (const UnreadableFrame& unreadable : fixture.unreadable) {
      CHECK(unreadable.call_id == 0);
    }
    CHECK(fixture.calls.size() == 8);
  }
  SECTION("a length that no frame has ends the stream") {
    CHECK_FALSE(fixture.Feed(std::string(8, '\xff')));
    CHECK_FALSE(fixture.reader.error().empty());
  }
}

TEST_CASE("Calls and replies are HTTP or unreadable", "[sidecar][link]") {
  Fixture fixture;

  SECTION("any byte that HTTP allows is taken unchanged") {
    mesh::Frame frame = CallFrame(5);
    std::string bytes;
    for (int value = 0x80; value < 256; ++value) {
      bytes += static_cast<char>(value);
    }
    frame.mutable_call()->set_request_id(bytes);
    frame.mutable_call()->set_path_and_query("/" + bytes + "?" + bytes);
    frame.mutable_call()->set_header_lines("X: " + bytes + "\r\n");
    fixture.FeedBetweenCalls(EncodeFrame(frame));
    REQUIRE(fixture.frames.size() == 3);
    CHECK(fixture.frames[1].SerializeAsString() == frame.SerializeAsString());
    CHECK(links::HasNonUtf8Text(frame.call()));
    CHECK_FALSE(links::HasNonUtf8Text(CallFrame(5).call()));
  }
  SECTION("a call that would be two requests is not") {
    const auto spoil = GENERATE(
        +[](mesh::Call& call) { call.set_method("GET /x HTTP/1.1\r\n"); },
        +[](mesh::Call& call) {
          call.set_path_and_query("/a HTTP/1.1\r\nB: ");
        },
        +[](mesh::Call& call) { call.set_header_lines("A: b\r\n\r\nGET /"); },
        +[](mesh::Call& call) { call.set_header_lines("A: b"); },
        +[](mesh::Call& call) { call.set_instance("i-\xff"); },
        +[](mesh::Call& call) { call.set_origin("\xff"); },
        +[](mesh::Call& call) { call.set_route("\xfe"); },
        +[](mesh::Call& call) { call.set_expected_work_us(~0ULL); },
        +[](mesh::Call& call) { call.set_sent_at_us(~0ULL); });
    mesh::Frame frame = CallFrame(5);
    spoil(*frame.mutable_call());
    fixture.FeedBetweenCalls(EncodeFrame(frame));
    CHECK(fixture.calls == std::vector<std::uint64_t>{1, 2});
    REQUIRE(fixture.unreadable.size() == 1);
    CHECK(fixture.unreadable.front().kind == Kind::kCall);
    CHECK(fixture.unreadable.front().call_id == 5);
  }
  SECTION("nor is a reply that no client may get") {
    const auto spoil = GENERATE(
        +[](mesh::Reply& reply) { reply.set_status(0); },
        +[](mesh::Reply& reply) { reply.set_status(100); },
        +[](mesh::Reply& reply) { reply.set_status(70'000); },
        +[](mesh::Reply& reply) { reply.set_header_lines("A\r\n"); });
    mesh::Frame frame = ReplyFrame(5);
    spoil(*frame.mutable_reply());
    fixture.FeedBetweenCalls(EncodeFrame(frame));
    REQUIRE(fixture.unreadable.size() == 1);
    CHECK(fixture.unreadable.front().kind == Kind::kReply);
    CHECK(fixture.unreadable.front().call_id == 5);
  }
}

TEST_CASE("Parts of a frame that cannot be read are left out",
          "[sidecar][link]") {
  Fixture fixture;
  mesh::Frame frame;

  SECTION("of a hello") {
    mesh::Hello& hello = *frame.mutable_hello();
    hello.mutable_self()->set_name("vm-2");
    hello.mutable_self()->set_address("127.0.0.1:7000");
    hello.mutable_target()->set_instance("i-\xff\xfe");
    hello.mutable_target()->set_slots(4);
    hello.add_retired_starts("i-1@5");
    hello.add_retired_starts("i-\xff\xfe@5");
    hello.add_retired_starts("i-2@6");
    hello.mutable_target_limit()->set_start("i-\xff@1");
    auto* mark = hello.mutable_crash_marks()->add_marks();
    mark->set_fingerprint("f");
    mark->set_instance("\xff");
    hello.mutable_evacuations()->add_data_centres()->set_data_centre("\xff");
    REQUIRE(fixture.Feed(EncodeFrame(frame)));
    REQUIRE(fixture.frames.size() == 1);
    const mesh::Hello& taken = fixture.frames.front().hello();
    CHECK(taken.self().name() == "vm-2");
    CHECK(taken.target().instance().empty());
    CHECK(taken.target().slots() == 0);
    CHECK(std::vector<std::string>(taken.retired_starts().begin(),
                                   taken.retired_starts().end()) ==
          std::vector<std::string>{"i-1@5", "i-2@6"});
    CHECK_FALSE(taken.has_target_limit());
    CHECK(taken.crash_marks().marks().empty());
    CHECK(taken.evacuations().data_centres().empty());
    CHECK(fixture.left_out.size() == 5);
  }
  SECTION("a hello that names no member says nothing") {
    frame.mutable_hello()->mutable_self()->set_name("vm-\xff");
    frame.mutable_hello()->mutable_self()->set_address("127.0.0.1:7000");
    REQUIRE(fixture.Feed(EncodeFrame(frame)));
    CHECK(fixture.frames.empty());
    CHECK(fixture.unreadable.size() == 1);
  }
  SECTION("of the members") {
    for (const char* name : {"vm-1", "vm-\xff", "", "vm-2"}) {
      auto* member = frame.mutable_members()->add_members();
      member->set_name(name);
      member->set_address("127.0.0.1:7000");
    }
    frame.mutable_members()->add_members()->set_name("vm-3");  // no address
    REQUIRE(fixture.Feed(EncodeFrame(frame)));
    REQUIRE(fixture.frames.size() == 1);
    CHECK(fixture.frames.front().members().members_size() == 2);
    CHECK(fixture.left_out.size() == 3);
  }
  SECTION("of a pong") {
    frame.mutable_pong()->set_id(3);
    frame.mutable_pong()->mutable_load()->set_limit_per_second(-1);
    frame.mutable_pong()->add_demand()->set_route("pay");
    frame.mutable_pong()->add_demand()->set_route("\xff");
    auto* sums = frame.mutable_pong()->add_data_centre_demand();
    sums->set_service("s");
    sums->add_demand()->set_route("\xff");
    REQUIRE(fixture.Feed(EncodeFrame(frame)));
    REQUIRE(fixture.frames.size() == 1);
    CHECK(fixture.frames.front().pong().id() == 3);
    CHECK(fixture.frames.front().pong().demand_size() == 1);
    CHECK_FALSE(fixture.frames.front().pong().load().has_limit_per_second());
    CHECK(fixture.left_out.size() == 3);
  }
  SECTION("times that would overflow, too") {
    mesh::Pong& pong = *frame.mutable_pong();
    pong.set_clock_us(~0ULL);
    pong.mutable_load()->set_running(3);
    pong.mutable_load()->set_last_wait_us(~0ULL);
    pong.add_demand()->set_work_us(~0ULL);
    REQUIRE(fixture.Feed(EncodeFrame(frame)));
    REQUIRE(fixture.frames.size() == 1);
    const mesh::Pong& taken = fixture.frames.front().pong();
    CHECK(taken.clock_us() == 0);
    CHECK(taken.load().running() == 0);
    CHECK(taken.demand().empty());
    CHECK(fixture.left_out.size() == 3);
  }
}

TEST_CASE("Slices of an unreadable frame cost no other", "[sidecar][link]") {
  Fixture fixture;
  constexpr std::size_t kSlice = 1000;

  SECTION("a frame of slices between others is read") {
    for (const auto& slice :
         Slices(EncodeFrame(CallFrame(5, 5000)), 1, kSlice)) {
      REQUIRE(fixture.Feed(slice));
    }
    CHECK(fixture.calls == std::vector<std::uint64_t>{5});
  }
  SECTION("one that cannot be read is named by its id") {
    mesh::Frame frame = CallFrame(5, 5000);
    frame.mutable_call()->set_method("");
    for (const auto& slice : Slices(EncodeFrame(frame), 1, kSlice)) {
      fixture.FeedBetweenCalls(slice);
    }
    REQUIRE(fixture.unreadable.size() == 1);
    CHECK(fixture.unreadable.front().call_id == 5);
  }
  SECTION("one that lacks a slice is not given any id") {
    auto slices = Slices(EncodeFrame(CallFrame(5, 5000)), 1, kSlice);
    const std::size_t missing = GENERATE(0, 2);
    slices.erase(slices.begin() + static_cast<std::ptrdiff_t>(missing));
    for (const auto& slice : slices) {
      fixture.FeedBetweenCalls(slice);
    }
    REQUIRE(fixture.unreadable.size() == 1);
    CHECK(fixture.unreadable.front().call_id == 0);
  }
  SECTION("slices within a slice are not joined") {
    const std::string inner =
        Slices(EncodeFrame(CallFrame(5, 5000)), 2, 5'500).front();
    for (const auto& slice : Slices(inner, 1, kSlice)) {
      REQUIRE(fixture.Feed(slice));
    }
    CHECK(fixture.calls.empty());
    CHECK(fixture.unreadable.size() == 1);
  }
  SECTION("frames beyond the memory for slices are dropped, not the link") {
    // Two frames of which the second one does not fit.
    constexpr std::size_t kBody = FrameReader::kMaxJoinedBytes * 2 / 3;
    constexpr std::size_t kLarge = 1024 * 1024;
    const auto first = Slices(EncodeFrame(CallFrame(5, kBody)), 1, kLarge);
    const auto second = Slices(EncodeFrame(CallFrame(6, kBody)), 2, kLarge);
    for (std::size_t i = 0; i < first.size(); ++i) {
      REQUIRE(fixture.Feed(first[i], kLarge));
      REQUIRE(fixture.Feed(second[i], kLarge));
    }
    REQUIRE(fixture.Feed(EncodeFrame(CallFrame(8))));
    REQUIRE(fixture.unreadable.size() == 1);
    CHECK(fixture.unreadable.front().kind == Kind::kCall);
    const std::uint64_t dropped = fixture.unreadable.front().call_id;
    CHECK((dropped == 5 || dropped == 6));
    CHECK(fixture.calls == std::vector<std::uint64_t>{11 - dropped, 8});
  }
}
