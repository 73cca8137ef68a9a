// The numbered events that a daemon logs. docs/EVENTS.md explains each.
#ifndef LYCHEEWELL_DAEMON_EVENTS_EVENT_CATALOGUE_H_
#define LYCHEEWELL_DAEMON_EVENTS_EVENT_CATALOGUE_H_

#include <string_view>
#include <vector>

namespace lycheewell::daemon::events {

enum class Level { kDebug, kInfo, kWarn, kError };

// Numbers never change their meaning. 1xxx: the process, 2xxx: requests, 3xxx:
// configuration, 4xxx: membership, 5xxx: rate shares, 6xxx: attempts, 7xxx:
// targets, 8xxx: operators.
enum class Event : int {
  kStarted = 1001,
  kReady = 1002,
  kDrainBegun = 1003,
  kStopped = 1004,
  kBadHttpRequest = 1005,
  kBadPeerMessage = 1006,
  kLinesLeftOut = 1101,
  kSettingsReloaded = 1102,
  kLoopLate = 1103,
  kAcceptFailed = 1104,
  kConnectionCut = 1105,

  kRequestRouted = 2001,
  kRequestRefused = 2002,
  kRequestRetried = 2003,
  kRequestAnswered = 2004,
  kRequestShed = 2005,
  kContextRefused = 2006,
  kRequestReplayed = 2007,
  kCallAnswered = 2101,
  kCallRefused = 2102,
  kCallFailed = 2103,
  kCallRepeated = 2104,
  kCallAbandoned = 2105,
  kSlotRefused = 2106,
  kTargetBroke = 2107,
  kEntryPartChanged = 2108,
  kCallHeldBack = 2109,
  kCallArrivedLate = 2110,
  kTargetChosen = 2112,
  kCallWaited = 2114,
  kAccountCut = 2115,
  kEntryBraked = 2116,
  kReturnKept = 2117,

  kLogUnreachable = 3001,
  kLogReachable = 3002,
  kRecordApplied = 3003,
  kRecordRejected = 3004,
  kRecordUnreadable = 3005,
  kSnapshotWritten = 3006,
  kSnapshotMismatch = 3007,
  kSnapshotAdopted = 3008,
  kRecordsMissing = 3009,
  kManifestAdopted = 3101,
  kManifestUnreadable = 3102,
  kStoreUnreachable = 3103,
  kStoreReachable = 3104,
  kProofExpired = 3105,
  kMemberAnnounced = 3106,
  kDataCentreEvacuated = 3107,
  kDataCentreTakenBack = 3108,
  kDataCentreClosed = 3109,
  kStoreRestored = 3110,

  kMemberHealthChanged = 4001,
  kMemberEvicted = 4002,
  kLinkOpened = 4101,
  kLinkLost = 4102,
  kMemberLearnt = 4103,
  kMemberForgotten = 4104,

  kShareRecordProposed = 5001,

  kPartitionImported = 6001,
  kAttemptUnsure = 6002,

  kTargetAnnounced = 7001,
  kTargetCrashed = 7002,
  kTargetDraining = 7003,
  kRequestQuarantined = 7004,
  kTargetStateChanged = 7101,
  kAnnouncementRejected = 7102,
  kTargetUnreachable = 7103,
  kTargetLimitChanged = 7104,
  kTargetNoticeUnreadable = 7105,
  kTargetCold = 7106,
  kTargetWarm = 7107,
  kTargetCheckFailed = 7108,

  kPlanMade = 8001,
  kChangeConfirmed = 8002,
  kOperatorRefused = 8003,
};

struct CatalogueEntry {
  Event event;
  Level level;
  std::string_view name;
};

// All events in the order of their numbers.
const std::vector<CatalogueEntry>& Catalogue();

const CatalogueEntry& FindEntry(Event event);

std::string_view LevelName(Level level);

}  // namespace lycheewell::daemon::events

#endif  // LYCHEEWELL_DAEMON_EVENTS_EVENT_CATALOGUE_H_
