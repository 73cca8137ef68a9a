#include "lycheewell/sidecar/links/message_checks.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <initializer_list>
#include <string>
#include <utility>

#include "lycheewell/core/membership/start_name.h"
#include "lycheewell/core/names.h"
#include "lycheewell/io/http/address.h"

namespace lycheewell::sidecar::links {
namespace {

using core::IsInstanceName;
using core::IsName;
using core::IsUtf8;
using core::membership::ParseStartName;

bool IsNameOrEmpty(std::string_view text) {
  return text.empty() || IsName(text);
}

bool IsCrashMark(const mesh::CrashMark& mark) {
  return IsName(mark.fingerprint()) && IsInstanceName(mark.instance());
}

// A daemon that has not heard of its target names no instance.
bool IsTarget(const mesh::Target& target) {
  return (target.instance().empty() || IsInstanceName(target.instance())) &&
         IsUtf8(target.service());
}

bool IsRate(double per_second) {
  return std::isfinite(per_second) && per_second >= 0;
}

// Beyond this, sums of times in nanoseconds would overflow.
constexpr std::chrono::microseconds kMaxTime = std::chrono::hours(24 * 3650);

bool AreTimes(std::initializer_list<std::uint64_t> microseconds) {
  return std::all_of(
      microseconds.begin(), microseconds.end(), [](std::uint64_t time) {
        return time <= static_cast<std::uint64_t>(kMaxTime.count());
      });
}

bool IsTargetLimit(const mesh::TargetLimit& limit) {
  return ParseStartName(limit.start()) && IsRate(limit.per_second());
}

// What is wrong with a call; nothing if it can be given to a target.
std::optional<std::string_view> FaultOf(const mesh::Call& call) {
  if (!IsInstanceName(call.instance())) {
    return "the call names no instance";
  }
  if (!core::IsToken(call.method()) ||
      !core::IsPathAndQuery(call.path_and_query()) ||
      !core::AreHeaderLines(call.header_lines())) {
    return "the call is no HTTP request";
  }
  // The operator may give routes any name that JSON can hold.
  if (!IsUtf8(call.route()) || !IsUtf8(call.origin()) ||
      !IsNameOrEmpty(call.fingerprint())) {
    return "a name in the call is invalid";
  }
  if (!AreTimes({call.expected_work_us(), call.work_spread_us(),
                 call.sent_at_us()})) {
    return "a time in the call is out of range";
  }
  return std::nullopt;
}

// What is wrong with a reply; nothing if it can be given to a client.
std::optional<std::string_view> FaultOf(const mesh::Reply& reply) {
  constexpr std::uint32_t kFirstFinalStatus = 200;
  constexpr std::uint32_t kLastStatus = 999;
  if (reply.outcome() == mesh::ANSWERED &&
      (reply.status() < kFirstFinalStatus || reply.status() > kLastStatus ||
       !core::AreHeaderLines(reply.header_lines()))) {
    return "the reply is no HTTP response";
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string_view> FaultOf(const mesh::Frame& frame) {
  switch (frame.kind_case()) {
    case mesh::Frame::kCall:
      return FaultOf(frame.call());
    case mesh::Frame::kReply:
      return FaultOf(frame.reply());
    case mesh::Frame::kHello:
      return IsMember(frame.hello().self())
                 ? std::nullopt
                 : std::optional("the hello names no member");
    case mesh::Frame::kMember:
      return IsMember(frame.member()) ? std::nullopt
                                      : std::optional("the member is invalid");
    default:
      return std::nullopt;
  }
}

namespace {

// Removes invalid parts of messages and collects their names.
class Filter {
 public:
  void Apply(mesh::Frame& frame) {
    switch (frame.kind_case()) {
      case mesh::Frame::kHello:
        this->Apply(*frame.mutable_hello());
        break;
      case mesh::Frame::kReply:
        this->Apply(*frame.mutable_reply());
        break;
      case mesh::Frame::kTarget:
        this->Apply(*frame.mutable_target());
        break;
      case mesh::Frame::kPong:
        this->Apply(*frame.mutable_pong());
        break;
      case mesh::Frame::kMembers:
        this->Keep(*frame.mutable_members()->mutable_members(), IsMember,
                   "member");
        break;
      case mesh::Frame::kCrashMarks:
        this->Apply(*frame.mutable_crash_marks());
        break;
      case mesh::Frame::kEvacuations:
        this->Apply(*frame.mutable_evacuations());
        break;
      default:
        break;
    }
  }

  void Apply(mesh::CrashMarks& marks) {
    this->Keep(*marks.mutable_marks(), IsCrashMark, "crash mark");
    this->Keep(*marks.mutable_withdrawn(), IsCrashMark, "crash mark");
  }

  std::vector<std::string_view> TakeRemoved() {
    return std::move(this->removed);
  }

 private:
  void Apply(mesh::Hello& hello) {
    this->Apply(*hello.mutable_target());
    this->KeepClock(hello);
    this->Keep(
        *hello.mutable_retired_starts(),
        [](const std::string& start) {
          return ParseStartName(start).has_value();
        },
        "retired start");
    this->Apply(*hello.mutable_crash_marks());
    if (hello.has_target_limit() && !IsTargetLimit(hello.target_limit())) {
      hello.clear_target_limit();
      this->removed.emplace_back("target limit");
    }
    if (hello.has_evacuations()) {
      this->Apply(*hello.mutable_evacuations());
    }
  }

  void Apply(mesh::Reply& reply) {
    if (!IsUtf8(reply.reason())) {
      reply.set_reason("not UTF-8");
      this->removed.emplace_back("reason");
    }
    if (!AreTimes({reply.work_us()})) {
      reply.clear_work_us();
      this->removed.emplace_back("work");
    }
    if (reply.has_load()) {
      this->Apply(*reply.mutable_load());
    }
  }

  void Apply(mesh::Target& target) {
    if (!IsTarget(target)) {
      target.Clear();
      this->removed.emplace_back("target");
    }
    if (target.has_load()) {
      this->Apply(*target.mutable_load());
    }
  }

  void Apply(mesh::Load& load) {
    if (!AreTimes({load.mean_work_us(), load.remaining_work_us(),
                   load.first_wait_us(), load.last_wait_us()})) {
      load.Clear();
      this->removed.emplace_back("load");
    }
    if (!IsRate(load.limit_per_second())) {
      load.clear_limit_per_second();
      this->removed.emplace_back("limit");
    }
    if (!IsRate(load.cold_per_second()) ||
        !IsRate(load.cold_share_per_second())) {
      load.clear_cold_per_second();
      load.clear_cold_share_per_second();
      this->removed.emplace_back("cold limit");
    }
  }

  void Apply(mesh::Evacuations& evacuations) {
    this->Keep(
        *evacuations.mutable_data_centres(),
        [](const mesh::Evacuation& evacuation) {
          return IsName(evacuation.data_centre());
        },
        "evacuation");
  }

  void Apply(mesh::Pong& pong) {
    this->KeepClock(pong);
    if (pong.has_load()) {
      this->Apply(*pong.mutable_load());
    }
    const auto is_demand = [](const mesh::RouteDemand& demand) {
      return IsUtf8(demand.route()) &&
             AreTimes({demand.work_us(), demand.unmet_us()});
    };
    this->Keep(*pong.mutable_demand(), is_demand, "demand");
    this->Keep(
        *pong.mutable_data_centre_demand(),
        [](const mesh::ServiceDemand& demand) {
          return IsUtf8(demand.service());
        },
        "demand");
    for (mesh::ServiceDemand& sums : *pong.mutable_data_centre_demand()) {
      this->Keep(*sums.mutable_demand(), is_demand, "demand");
    }
    if (pong.has_evacuations()) {
      this->Apply(*pong.mutable_evacuations());
    }
  }

  template <typename Message>
  void KeepClock(Message& message) {
    if (!AreTimes({message.clock_us()})) {
      message.clear_clock_us();
      this->removed.emplace_back("clock");
    }
  }

  template <typename Entries, typename Predicate>
  void Keep(Entries& entries, Predicate is_valid, std::string_view name) {
    for (int i = entries.size(); i-- > 0;) {
      if (!is_valid(entries.Get(i))) {
        entries.DeleteSubrange(i, 1);
        this->removed.push_back(name);
      }
    }
  }

  std::vector<std::string_view> removed;
};

}  // namespace

bool IsMember(const mesh::Member& member) {
  return IsName(member.name()) && IsNameOrEmpty(member.data_centre()) &&
         io::http::TryParseEndpoint(member.address());
}

std::vector<std::string_view> RemoveInvalid(mesh::CrashMarks& marks) {
  Filter filter;
  filter.Apply(marks);
  return filter.TakeRemoved();
}

std::vector<std::string_view> RemoveInvalid(mesh::Frame& frame) {
  Filter filter;
  filter.Apply(frame);
  return filter.TakeRemoved();
}

bool HasNonUtf8Text(const mesh::Call& call) {
  return !IsUtf8(call.request_id()) || !IsUtf8(call.path_and_query());
}

}  // namespace lycheewell::sidecar::links
