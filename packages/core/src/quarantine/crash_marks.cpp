#include "lycheewell/core/quarantine/crash_marks.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

#include "lycheewell/core/digest.h"

namespace lycheewell::core::quarantine {
namespace {

// Strings of this length need no memory of their own.
constexpr std::size_t kFingerprintDigits = 15;
constexpr int kDigitBase = 16;

// After a quarantine of some length its request stays a suspect until this many
// times that length have passed.
constexpr int kSuspicionFactor = 4;

}  // namespace

std::string FingerprintOf(std::string_view account, std::string_view method,
                          std::string_view host,
                          std::string_view path_and_query,
                          std::string_view body) {
  std::uint64_t hash = 0;
  for (const std::string_view part :
       {account, method, host, path_and_query, body}) {
    hash = StableHash(part, hash + part.size());
  }
  std::array<char, 2 * sizeof hash> digits{};
  char* const begin = digits.data();
  const char* const end =
      std::to_chars(begin, begin + digits.size(), hash, kDigitBase).ptr;
  std::string text(begin, static_cast<std::size_t>(end - begin));
  text.resize(kFingerprintDigits, '0');
  return text;
}

void CrashMarks::Add(const CrashMark& mark, Instant now) {
  if ((this->marks.size() >= kMaxMarks &&
       !this->marks.contains(mark.fingerprint)) ||
      this->withdrawn.contains({mark.fingerprint, mark.target})) {
    return;
  }
  auto& crashes = this->marks[mark.fingerprint].crashes;
  const auto [known, is_new] = crashes.try_emplace(
      mark.target, Crash{.at = now, .is_sole_suspect = mark.is_sole_suspect});
  if (is_new && crashes.size() > kMaxMarksPerRequest) {
    crashes.erase(std::min_element(crashes.begin(), crashes.end(),
                                   [](const auto& left, const auto& right) {
                                     return left.second.at < right.second.at;
                                   }));
  }
}

void CrashMarks::Clear(const std::string& fingerprint) {
  this->marks.erase(fingerprint);
}

void CrashMarks::Erase(const std::string& fingerprint,
                       const DaemonRef& target) {
  const auto found = this->marks.find(fingerprint);
  if (found == this->marks.end()) {
    return;
  }
  found->second.crashes.erase(target);
  if (found->second.crashes.empty()) {
    this->marks.erase(found);
  }
}

std::vector<CrashMark> CrashMarks::Withdraw(const std::string& fingerprint,
                                            Instant now) {
  std::vector<CrashMark> cleared;
  const auto found = this->marks.find(fingerprint);
  if (found == this->marks.end()) {
    return cleared;
  }
  for (const auto& [target, crash] : found->second.crashes) {
    cleared.push_back({.fingerprint = fingerprint,
                       .target = target,
                       .is_sole_suspect = crash.is_sole_suspect});
  }
  for (const CrashMark& mark : cleared) {
    this->Withdraw(mark, now);
  }
  return cleared;
}

void CrashMarks::Withdraw(const CrashMark& mark, Instant now) {
  this->Erase(mark.fingerprint, mark.target);
  if (this->withdrawn.size() < kMaxMarks) {
    this->withdrawn[{mark.fingerprint, mark.target}] = now + kMarkLifetime;
  }
}

void CrashMarks::Expire(Instant now) {
  std::erase_if(this->marks, [&](const auto& entry) {
    return ExpiryOf(entry.second) <= now;
  });
  std::erase_if(this->withdrawn,
                [&](const auto& entry) { return entry.second <= now; });
}

std::size_t CrashMarks::CountSoleSuspectCrashes(const Entry& entry) {
  return static_cast<std::size_t>(std::count_if(
      entry.crashes.begin(), entry.crashes.end(),
      [](const auto& crash) { return crash.second.is_sole_suspect; }));
}

Instant CrashMarks::LastCrash(const Entry& entry) {
  Instant last = Instant::min();
  for (const auto& [target, crash] : entry.crashes) {
    last = std::max(last, crash.at);
  }
  return last;
}

Duration CrashMarks::QuarantineTime(const Entry& entry) {
  const std::size_t proofs = CountSoleSuspectCrashes(entry);
  const std::size_t required =
      proofs > 0 ? kCrashesToQuarantine : kCrashesWithoutProof;
  if (entry.crashes.size() < required) {
    return Duration::zero();
  }
  // The crash that completed the evidence starts the first quarantine.
  const std::size_t renewals = entry.crashes.size() - required;
  return kMarkLifetime * (1U << std::min(renewals, proofs));
}

Instant CrashMarks::ExpiryOf(const Entry& entry) {
  const Duration quarantine = QuarantineTime(entry);
  return LastCrash(entry) + (quarantine > Duration::zero()
                                 ? quarantine * kSuspicionFactor
                                 : kMarkLifetime);
}

QuarantineStatus CrashMarks::StatusOf(const std::string& fingerprint,
                                      Instant now) const {
  const auto found = this->marks.find(fingerprint);
  if (found == this->marks.end() || ExpiryOf(found->second) <= now) {
    return QuarantineStatus::kClear;
  }
  return now < LastCrash(found->second) + QuarantineTime(found->second)
             ? QuarantineStatus::kQuarantined
             : QuarantineStatus::kSuspect;
}

std::vector<CrashMarks::TimedMark> CrashMarks::Newest(std::size_t limit,
                                                      Instant now) const {
  std::vector<TimedMark> newest;
  for (const auto& [fingerprint, entry] : this->marks) {
    if (ExpiryOf(entry) <= now) {
      continue;
    }
    for (const auto& [target, crash] : entry.crashes) {
      newest.push_back({.mark = {.fingerprint = fingerprint,
                                 .target = target,
                                 .is_sole_suspect = crash.is_sole_suspect},
                        .at = crash.at});
    }
  }
  std::stable_sort(newest.begin(), newest.end(),
                   [](const TimedMark& left, const TimedMark& right) {
                     return left.at > right.at;
                   });
  if (newest.size() > limit) {
    newest.resize(limit);
  }
  return newest;
}

std::vector<CrashMark> MarksOfCrash(const DaemonRef& target,
                                    const std::vector<RunningRequest>& running,
                                    const CrashMarks& marks, Instant now) {
  std::map<std::string, bool> is_suspect;  // by fingerprint
  for (const RunningRequest& request : running) {
    if (request.fingerprint.empty()) {
      continue;  // sent by a daemon of an earlier version
    }
    bool& known = is_suspect.try_emplace(request.fingerprint).first->second;
    known = known || request.is_suspect;
  }
  const bool has_suspect =
      std::any_of(is_suspect.begin(), is_suspect.end(),
                  [](const auto& request) { return request.second; });
  std::vector<CrashMark> left;
  for (const auto& [fingerprint, was_admitted_as_suspect] : is_suspect) {
    if (has_suspect && !was_admitted_as_suspect &&
        marks.StatusOf(fingerprint, now) != QuarantineStatus::kClear) {
      continue;
    }
    left.push_back(
        {.fingerprint = fingerprint,
         .target = target,
         .is_sole_suspect = was_admitted_as_suspect || is_suspect.size() == 1});
  }
  return left;
}

std::vector<std::string> FingerprintsToMark(
    const std::vector<std::string>& running, const CrashMarks& marks,
    Instant now) {
  std::vector<std::string> suspects;
  for (const std::string& fingerprint : running) {
    if (marks.StatusOf(fingerprint, now) != QuarantineStatus::kClear) {
      suspects.push_back(fingerprint);
    }
  }
  return suspects.empty() ? running : suspects;
}

}  // namespace lycheewell::core::quarantine
