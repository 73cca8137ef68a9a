// What clients get when a target's answer is broken: real daemons, with a
// stand-in for a target that writes prescribed bytes.
#include <signal.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "harness/raw_target.h"
#include "harness/sidecar_vm.h"

namespace {
using namespace lycheewell;
using harness::AnswerEnd;
using harness::Eventually;
using harness::kFirstSidecarPort;
using harness::RawAnswer;
using harness::RawTarget;
using harness::Reply;
using harness::SendRequest;
using harness::SidecarManifest;
using harness::Store;
using harness::StoreFault;
using Vm = harness::SidecarVm;
using io::http::Verb;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kUploadBytes = 4 * 1024 * 1024;
constexpr milliseconds kClientLimit{5000};
constexpr int kClientsAtATime = 6;
constexpr int kSlots = 16;
constexpr milliseconds kReportPeriod{300};

constexpr const char* kUnsafe = "/long/raw/1";
constexpr const char* kSafe = "/scan/raw/1";

constexpr const char* kOk = "HTTP/1.1 200 OK\r\n";
constexpr const char* kFields =
    "Request-Id: {id}\r\nResponse-Signature: signed\r\n";

// The head of an answer that says nothing of where its body ends.
std::string Head(const std::string& more_lines = "") {
  return kOk + (kFields + more_lines);
}

std::string UntilClose(const std::string& body) {
  return Head() + "\r\n" + body;
}

std::string Chunked(const std::string& chunks) {
  return Head("Transfer-Encoding: chunked\r\n\r\n") + chunks;
}

std::string WithLength(std::size_t length, const std::string& body) {
  return Head("Content-Length: ") + std::to_string(length) + "\r\n\r\n" + body;
}

std::string ManifestForUploads() {
  std::string manifest = SidecarManifest(1, R"("k1")");
  return manifest.insert(1, R"("limits":{"maxBodyBytes":8388608},)");
}

// Two VMs. Requests enter at the first one.
struct Fixture {
  Store store{kFirstSidecarPort};
  Vm first{0};
  Vm second{1};
  std::optional<RawTarget> near;
  std::optional<RawTarget> far;
  std::atomic<bool> has_ended = false;
  std::vector<std::thread> reporters;

  Fixture() {
    signal(SIGPIPE, SIG_IGN);
    this->store.PutManifest(ManifestForUploads());
    this->first.target.reset();
    this->second.target.reset();
    this->near.emplace(this->first.base_port + 3);
    this->far.emplace(this->second.base_port + 3);
    REQUIRE(Eventually(
        [&] { return this->first.IsReady() && this->second.IsReady(); }));
  }

  ~Fixture() {
    this->has_ended = true;
    for (std::thread& reporter : this->reporters) {
      reporter.join();
    }
  }

  // Announces the target of `vm` from now on; returns when requests run.
  void Announce(Vm& vm) {
    this->reporters.emplace_back([this, &vm] {
      for (int report = 1; !this->has_ended; ++report) {
        vm.AnnounceAs(1, report, "ready", kSlots);
        std::this_thread::sleep_for(kReportPeriod);
      }
    });
    this->AwaitSoundAnswer();
  }

  void AwaitSoundAnswer() {
    REQUIRE(Eventually([this] {
      return this->first.Call("/look/1", "k1", Verb::get).status == 200;
    }));
  }

  Reply Send(const std::string& path, const std::string& body) {
    return SendRequest(this->first.base_port, Verb::post, path, "k1", body,
                       kClientLimit);
  }

  // Sends requests until the target has answered one, on a connection of the
  // wanted kind. Those that it has not seen must be refused as not run.
  Reply SendUntilRun(RawTarget& target, const std::string& path,
                     const std::string& body, bool on_kept_connection) {
    Reply reply;
    REQUIRE(Eventually(
        [&] {
          const int runs = target.runs();
          const int kept = target.runs_on_kept_connections();
          if (on_kept_connection) {
            this->AwaitSoundAnswer();
          }
          reply = this->Send(path, body);
          if (target.runs() == runs) {
            CHECK(reply.status == 503);
            return false;
          }
          CHECK(target.runs() == runs + 1);
          return !on_kept_connection ||
                 target.runs_on_kept_connections() > kept;
        },
        seconds(20)));
    return reply;
  }

  // Checks what a client gets on a new and on a kept connection.
  void CheckReplies(RawTarget& target, const RawAnswer& answer,
                    const std::string& body,
                    const std::function<void(const Reply&)>& check) {
    CAPTURE(answer.bytes, answer.end, answer.is_early,
            answer.end_delay.count());
    target.SetAnswer(answer);
    for (const bool on_kept_connection : {false, true}) {
      CAPTURE(on_kept_connection);
      check(this->SendUntilRun(target, kUnsafe, body, on_kept_connection));
    }
  }

  void CheckIsFailure(RawTarget& target, const RawAnswer& answer,
                      const std::string& body) {
    this->CheckReplies(target, answer, body, [](const Reply& reply) {
      CHECK(reply.status == 502);
      CHECK(reply.signature.empty());
    });
  }

  void CheckIsWhole(RawTarget& target, const RawAnswer& answer,
                    const std::string& body, const std::string& expected) {
    this->CheckReplies(target, answer, body, [&](const Reply& reply) {
      CHECK(reply.status == 200);
      CHECK(reply.signature == "signed");
      CHECK(reply.body == expected);
    });
  }
};

// Parts of answers, by how the end of the whole one would be decided.
std::vector<std::string> Parts() {
  return {WithLength(100, "part"),       WithLength(100, ""),
          Chunked("4\r\npart\r\n"),      Chunked("64\r\npart"),
          Chunked("4\r\npart\r\n0\r\n"), Head()};
}

std::vector<std::string> HeadsWithMalformedNames() {
  std::vector<std::string> lines = {
      "X Line: 1",  "X-Line : 1",  " X-Line: 1",   "\tX-Line: 1",
      "X\tLine: 1", "X-Line\t: 1", "X\x01Line: 1", "X\x7fLine: 1",
      "X\rLine: 1", "X\nLine: 1",  ": 1",          "X-Line"};
  lines.push_back(std::string("X\0Line: 1", 9));
  for (const char* name :
       {"Content-Length ", " Content-Length", "Content\tLength"}) {
    lines.push_back(std::string(name) + ": 2");
  }
  std::vector<std::string> heads;
  for (const std::string& line : lines) {
    const std::string ended = line + "\r\n";
    heads.push_back(kOk + (ended + kFields));
    heads.push_back(Head(ended));
  }
  return heads;
}

}  // namespace

// Guards against a part of an answer that a client takes for the whole one.
TEST_CASE("A part of an answer never looks whole", "[sidecar][broken-answer]") {
  Fixture fixture;
  const bool is_beside = GENERATE(true, false);
  CAPTURE(is_beside);
  RawTarget& target = is_beside ? *fixture.near : *fixture.far;
  fixture.Announce(is_beside ? fixture.first : fixture.second);
  const std::string upload(kUploadBytes, 'u');

  SECTION("if it has no length and the connection is reset") {
    for (const bool is_early : {true, false}) {
      for (const milliseconds delay : {milliseconds(0), milliseconds(50)}) {
        for (const char* part : {"", "part"}) {
          fixture.CheckIsFailure(target,
                                 {.bytes = UntilClose(part),
                                  .end = AnswerEnd::kReset,
                                  .is_early = is_early,
                                  .end_delay = delay},
                                 is_early ? upload : "small");
        }
      }
    }
  }
  SECTION("if its framing says more, however the connection ends") {
    for (const std::string& part : Parts()) {
      for (const AnswerEnd end :
           {AnswerEnd::kHalfClose, AnswerEnd::kClose, AnswerEnd::kReset}) {
        for (const bool is_early : {true, false}) {
          fixture.CheckIsFailure(
              target, {.bytes = part, .end = end, .is_early = is_early},
              is_early ? upload : "small");
        }
      }
    }
  }
  SECTION("for any of many clients at a time") {
    target.SetAnswer({.bytes = UntilClose("part"),
                      .end = AnswerEnd::kReset,
                      .is_early = true,
                      .end_delay = milliseconds(20)});
    std::vector<std::future<Reply>> replies;
    replies.reserve(kClientsAtATime);
    for (int i = 0; i < kClientsAtATime; ++i) {
      replies.push_back(std::async(
          std::launch::async, [&] { return fixture.Send(kUnsafe, upload); }));
    }
    int failed = 0;
    for (auto& reply : replies) {
      const unsigned status = reply.get().status;
      CAPTURE(status);
      CHECK((status == 502 || status == 503));
      failed += status == 502 ? 1 : 0;
    }
    CHECK(target.runs() == failed);
    CHECK(failed > 0);
  }
  SECTION("while whole answers of the same shapes reach the client") {
    for (const bool is_early : {true, false}) {
      const std::string& body = is_early ? upload : std::string("small");
      for (const AnswerEnd end : {AnswerEnd::kHalfClose, AnswerEnd::kClose}) {
        for (const milliseconds delay : {milliseconds(0), milliseconds(50)}) {
          fixture.CheckIsWhole(target,
                               {.bytes = UntilClose("whole"),
                                .end = end,
                                .is_early = is_early,
                                .end_delay = delay},
                               body, "whole");
        }
      }
      for (const AnswerEnd end : {AnswerEnd::kKeepOpen, AnswerEnd::kHalfClose,
                                  AnswerEnd::kClose, AnswerEnd::kReset}) {
        for (const std::string& whole :
             {WithLength(5, "whole"), Chunked("5\r\nwhole\r\n0\r\n\r\n")}) {
          fixture.CheckIsWhole(
              target, {.bytes = whole, .end = end, .is_early = is_early}, body,
              "whole");
        }
      }
    }
  }
}

// Guards against a retry that hides a broken answer or runs what must not be
// repeated.
TEST_CASE("A safe request with a broken answer is tried elsewhere",
          "[sidecar][broken-answer]") {
  Fixture fixture;
  fixture.Announce(fixture.first);
  fixture.Announce(fixture.second);
  const std::string upload(kUploadBytes, 'u');
  const RawAnswer part{.bytes = UntilClose("part"),
                       .end = AnswerEnd::kReset,
                       .is_early = true,
                       .end_delay = milliseconds(20)};
  const RawAnswer whole{.bytes = WithLength(5, "whole")};
  const auto runs = [&] { return fixture.near->runs() + fixture.far->runs(); };

  SECTION("and its client gets the whole answer of the second try") {
    fixture.near->SetAnswer(part);
    fixture.far->SetAnswer(whole);
    REQUIRE(Eventually(
        [&] {
          const int broken = fixture.near->runs();
          const Reply reply = fixture.Send(kSafe, upload);
          CHECK((reply.status == 503 || reply.body == "whole"));
          return fixture.near->runs() > broken && reply.status == 200;
        },
        seconds(20)));
  }
  SECTION("and fails if the second answer is broken as well") {
    fixture.near->SetAnswer(part);
    fixture.far->SetAnswer(part);
    REQUIRE(Eventually(
        [&] {
          const int before = runs();
          const Reply reply = fixture.Send(kSafe, upload);
          CHECK(reply.status == (runs() == before ? 503 : 502));
          return runs() == before + 2;
        },
        seconds(20)));
  }
  SECTION("but an unsafe one is not") {
    fixture.near->SetAnswer(part);
    fixture.far->SetAnswer(part);
    for (int i = 0; i < 4; ++i) {
      const int before = runs();
      const Reply reply = fixture.Send(kUnsafe, upload);
      CHECK(reply.status == (runs() == before ? 503 : 502));
      CHECK(runs() <= before + 1);
    }
  }
}

// Guards against answers that are none and reach a client, and against bodies
// that end where a malformed line says.
TEST_CASE("A malformed answer is a failure of its target",
          "[sidecar][broken-answer]") {
  Fixture fixture;
  const bool is_beside = GENERATE(true, false);
  CAPTURE(is_beside);
  RawTarget& target = is_beside ? *fixture.near : *fixture.far;
  fixture.Announce(is_beside ? fixture.first : fixture.second);
  const std::string upload(kUploadBytes, 'u');

  const auto check_all_framings = [&](const std::string& head) {
    struct Framing {
      std::string rest;
      AnswerEnd end = AnswerEnd::kKeepOpen;
    };
    for (const auto& [rest, end] :
         {Framing{"Content-Length: 4\r\n\r\nbody"},
          Framing{"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
          Framing{"\r\nbody", AnswerEnd::kHalfClose}}) {
      fixture.CheckIsFailure(target, {.bytes = head + rest, .end = end},
                             "small");
    }
    fixture.CheckIsFailure(
        target,
        {.bytes = head + "Content-Length: 4\r\n\r\nbody", .is_early = true},
        upload);
  };

  SECTION("if its status is 000") {
    check_all_framings(std::string("HTTP/1.1 000 Trouble\r\n") + kFields);
    check_all_framings(std::string("HTTP/1.1 000 \r\n") + kFields);
  }
  SECTION("if a field's name holds a blank or a control byte") {
    for (const std::string& head : HeadsWithMalformedNames()) {
      fixture.CheckIsFailure(
          target, {.bytes = head + "Content-Length: 4\r\n\r\nbody"}, "small");
      fixture.CheckIsFailure(
          target, {.bytes = head + "\r\nbody", .end = AnswerEnd::kHalfClose},
          "small");
    }
    check_all_framings(Head("X Line: 1\r\n"));
    check_all_framings(Head(" X-Line: 1\r\n"));
  }
  SECTION("if a trailer line does") {
    for (const char* lines :
         {"X Line: 1\r\n", " X-Line: 1\r\n", "X-A: 1\r\n X-B: 2\r\n",
          "X-A: 1\r\n\tX-B: 2\r\n", "X-A: 1\r\nX\x01: 2\r\n"}) {
      fixture.CheckIsFailure(
          target, {.bytes = Chunked("4\r\nbody\r\n0\r\n") + lines + "\r\n"},
          "small");
    }
  }
  SECTION("if its body is in a coding that is not decoded") {
    const std::string chunks = "\r\n4\r\nbody\r\n0\r\n\r\n";
    for (const std::string& lines :
         {"Transfer-Encoding: gzip, chunked\r\n" + chunks,
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" + chunks,
          "Transfer-Encoding: xchunked\r\n" + chunks,
          "Transfer-Encoding: chunked, gzip\r\n" + chunks,
          std::string("Transfer-Encoding: gzip\r\n\r\nbody"),
          std::string(
              "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody")}) {
      fixture.CheckIsFailure(
          target, {.bytes = Head(lines), .end = AnswerEnd::kHalfClose},
          "small");
    }
    for (const std::string& lines :
         {"Transfer-Encoding: Chunked\r\n" + chunks,
          std::string("Transfer-Encoding: identity\r\n\r\nbody")}) {
      fixture.CheckIsWhole(target,
                           {.bytes = Head(lines), .end = AnswerEnd::kHalfClose},
                           "small", "body");
    }
  }
  SECTION("but not if only a value or the body holds blanks") {
    fixture.CheckIsWhole(
        target,
        {.bytes =
             Head("X-Line:  1 \t2 \r\nContent-Length: 6\r\n\r\na\n b\n\t")},
        "small", "a\n b\n\t");
    fixture.CheckIsWhole(
        target,
        {.bytes = Chunked("6\r\na\n b\n\t\r\n0\r\nX-Line: 1 2\r\n\r\n")},
        "small", "a\n b\n\t");
  }
}

// Guards against a manifest that comes from a broken answer.
TEST_CASE("A broken answer of the store changes nothing",
          "[sidecar][broken-answer]") {
  signal(SIGPIPE, SIG_IGN);
  constexpr int kDoor = kFirstSidecarPort + 1;
  constexpr unsigned kUnknownKey = 401;
  Store store(kFirstSidecarPort);
  store.PutManifest(SidecarManifest(1, R"("k1")"));
  std::atomic<StoreFault>& fault = store.OpenDoor(kDoor);
  Vm vm(0, kDoor);
  REQUIRE(Eventually([&] { return vm.IsReady(); }));
  const auto knows_new_key = [&] {
    return vm.Call("/pay/1", "k2").status != kUnknownKey;
  };
  REQUIRE_FALSE(knows_new_key());

  fault = GENERATE(StoreFault::kMalformedName, StoreFault::kBlankLine,
                   StoreFault::kCutAnswers);
  CAPTURE(fault.load());
  store.PutManifest(SidecarManifest(2, R"("k1","k2")"));
  CHECK_FALSE(Eventually(knows_new_key, seconds(1)));

  SECTION("and the next whole one is taken") {
    fault = StoreFault::kNone;
    CHECK(Eventually(knows_new_key));
  }
}
