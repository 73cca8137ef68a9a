#include "lycheewell/daemon/events/event_catalogue.h"

#include <algorithm>

namespace lycheewell::daemon::events {

const std::vector<CatalogueEntry>& Catalogue() {
  static const std::vector<CatalogueEntry> kEntries = {
      {Event::kStarted, Level::kInfo, "daemon-started"},
      {Event::kReady, Level::kInfo, "daemon-ready"},
      {Event::kDrainBegun, Level::kInfo, "drain-begun"},
      {Event::kStopped, Level::kInfo, "daemon-stopped"},
      {Event::kBadHttpRequest, Level::kWarn, "bad-http-request"},
      {Event::kBadPeerMessage, Level::kWarn, "bad-peer-message"},
      {Event::kLinesLeftOut, Level::kInfo, "lines-left-out"},
      {Event::kSettingsReloaded, Level::kInfo, "settings-reloaded"},
      {Event::kLoopLate, Level::kWarn, "loop-late"},
      {Event::kAcceptFailed, Level::kWarn, "accept-failed"},
      {Event::kConnectionCut, Level::kWarn, "connection-cut"},
      {Event::kRequestRouted, Level::kInfo, "request-routed"},
      {Event::kRequestRefused, Level::kInfo, "request-refused"},
      {Event::kRequestRetried, Level::kInfo, "request-retried"},
      {Event::kRequestAnswered, Level::kDebug, "request-answered"},
      {Event::kRequestShed, Level::kInfo, "request-shed"},
      {Event::kContextRefused, Level::kWarn, "context-refused"},
      {Event::kRequestReplayed, Level::kInfo, "request-replayed"},
      {Event::kCallAnswered, Level::kInfo, "call-answered"},
      {Event::kCallRefused, Level::kInfo, "call-refused"},
      {Event::kCallFailed, Level::kWarn, "call-failed"},
      {Event::kCallRepeated, Level::kInfo, "call-repeated"},
      {Event::kCallAbandoned, Level::kInfo, "call-abandoned"},
      {Event::kSlotRefused, Level::kInfo, "slot-refused"},
      {Event::kTargetBroke, Level::kWarn, "target-broke-exchange"},
      {Event::kEntryPartChanged, Level::kInfo, "entry-part-changed"},
      {Event::kCallHeldBack, Level::kWarn, "call-held-back"},
      {Event::kCallArrivedLate, Level::kInfo, "call-arrived-late"},
      {Event::kTargetChosen, Level::kInfo, "target-chosen"},
      {Event::kCallWaited, Level::kInfo, "call-waited"},
      {Event::kAccountCut, Level::kInfo, "account-cut"},
      {Event::kEntryBraked, Level::kInfo, "entry-braked"},
      {Event::kReturnKept, Level::kInfo, "return-kept"},
      {Event::kLogUnreachable, Level::kWarn, "log-unreachable"},
      {Event::kLogReachable, Level::kInfo, "log-reachable"},
      {Event::kRecordApplied, Level::kInfo, "record-applied"},
      {Event::kRecordRejected, Level::kInfo, "record-rejected"},
      {Event::kRecordUnreadable, Level::kError, "record-unreadable"},
      {Event::kSnapshotWritten, Level::kInfo, "snapshot-written"},
      {Event::kSnapshotMismatch, Level::kError, "snapshot-mismatch"},
      {Event::kSnapshotAdopted, Level::kInfo, "snapshot-adopted"},
      {Event::kRecordsMissing, Level::kWarn, "records-missing"},
      {Event::kManifestAdopted, Level::kInfo, "manifest-adopted"},
      {Event::kManifestUnreadable, Level::kError, "manifest-unreadable"},
      {Event::kStoreUnreachable, Level::kWarn, "store-unreachable"},
      {Event::kStoreReachable, Level::kInfo, "store-reachable"},
      {Event::kProofExpired, Level::kWarn, "manifest-proof-expired"},
      {Event::kMemberAnnounced, Level::kInfo, "member-announced"},
      {Event::kDataCentreEvacuated, Level::kInfo, "data-centre-evacuated"},
      {Event::kDataCentreTakenBack, Level::kInfo, "data-centre-taken-back"},
      {Event::kDataCentreClosed, Level::kInfo, "data-centre-closed"},
      {Event::kStoreRestored, Level::kWarn, "store-restored"},
      {Event::kMemberHealthChanged, Level::kInfo, "member-health-changed"},
      {Event::kMemberEvicted, Level::kWarn, "member-evicted"},
      {Event::kLinkOpened, Level::kInfo, "link-opened"},
      {Event::kLinkLost, Level::kWarn, "link-lost"},
      {Event::kMemberLearnt, Level::kInfo, "member-learnt"},
      {Event::kMemberForgotten, Level::kInfo, "member-forgotten"},
      {Event::kShareRecordProposed, Level::kInfo, "share-record-proposed"},
      {Event::kPartitionImported, Level::kDebug, "partitions-imported"},
      {Event::kAttemptUnsure, Level::kWarn, "attempt-unsure"},
      {Event::kTargetAnnounced, Level::kInfo, "target-announced"},
      {Event::kTargetCrashed, Level::kError, "target-crashed"},
      {Event::kTargetDraining, Level::kInfo, "target-draining"},
      {Event::kRequestQuarantined, Level::kWarn, "request-quarantined"},
      {Event::kTargetStateChanged, Level::kInfo, "target-state-changed"},
      {Event::kAnnouncementRejected, Level::kWarn, "announcement-rejected"},
      {Event::kTargetUnreachable, Level::kWarn, "target-unreachable"},
      {Event::kTargetLimitChanged, Level::kInfo, "target-limit-changed"},
      {Event::kTargetNoticeUnreadable, Level::kWarn,
       "target-notice-unreadable"},
      {Event::kTargetCold, Level::kInfo, "target-cold"},
      {Event::kTargetWarm, Level::kInfo, "target-warm"},
      {Event::kTargetCheckFailed, Level::kWarn, "target-check-failed"},
      {Event::kPlanMade, Level::kInfo, "plan-made"},
      {Event::kChangeConfirmed, Level::kInfo, "change-confirmed"},
      {Event::kOperatorRefused, Level::kWarn, "operator-refused"},
  };
  return kEntries;
}

const CatalogueEntry& FindEntry(Event event) {
  const auto& entries = Catalogue();
  return *std::find_if(
      entries.begin(), entries.end(),
      [&](const CatalogueEntry& entry) { return entry.event == event; });
}

std::string_view LevelName(Level level) {
  switch (level) {
    case Level::kDebug:
      return "debug";
    case Level::kInfo:
      return "info";
    case Level::kWarn:
      return "warn";
    case Level::kError:
      return "error";
  }
  return "error";
}

}  // namespace lycheewell::daemon::events
