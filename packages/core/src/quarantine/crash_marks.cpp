#include "lycheewell/core/quarantine/crash_marks.h"

namespace lycheewell::core::quarantine {

void CrashMarks::Add(const CrashMark& mark, Instant now) {
  if (this->marks.size() >= kMaxMarks &&
      !this->marks.contains(mark.fingerprint)) {
    return;
  }
  Entry& entry = this->marks[mark.fingerprint];
  entry.targets.insert(mark.target.id + "#" +
                       std::to_string(mark.target.incarnation));
  entry.expires_at = now + kMarkLifetime;
}

void CrashMarks::Clear(const std::string& fingerprint) {
  this->marks.erase(fingerprint);
}

void CrashMarks::Expire(Instant now) {
  std::erase_if(this->marks, [&](const auto& entry) {
    return entry.second.expires_at <= now;
  });
}

QuarantineStatus CrashMarks::StatusOf(const std::string& fingerprint,
                                      Instant now) const {
  const auto found = this->marks.find(fingerprint);
  if (found == this->marks.end() || found->second.expires_at <= now) {
    return QuarantineStatus::kClear;
  }
  return found->second.targets.size() >= kCrashesToQuarantine
             ? QuarantineStatus::kQuarantined
             : QuarantineStatus::kSuspect;
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
