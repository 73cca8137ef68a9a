// Answers of the platform's store. The first byte chooses which one.
#include <cstdlib>
#include <string>
#include <variant>

#include "lycheewell/core/membership/start_name.h"
#include "lycheewell/core/names.h"
#include "lycheewell/sidecar/records/fleet_records.h"
#include "store_decoder.h"

namespace {
using namespace lycheewell;
using sidecar::StoredManifest;
using sidecar::StoredRecord;

void Require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

// Whatever is taken over can be told to peers of any version.
void CheckFleetRecord(const StoredRecord& stored) {
  namespace records = sidecar::records;
  const auto record = records::DecodeFleetRecord(stored);
  if (const auto* member = std::get_if<mesh::Member>(&record)) {
    Require(core::IsName(member->name()) &&
            core::IsUtf8(member->data_centre()));
  } else if (const auto* departure =
                 std::get_if<records::DepartureRecord>(&record)) {
    Require(core::IsName(departure->key.daemon) &&
            core::IsUtf8(core::membership::StartName(departure->start)));
  } else if (const auto* crash = std::get_if<records::CrashRecord>(&record)) {
    for (const mesh::CrashMark& mark : crash->marks.marks()) {
      Require(core::IsInstanceName(mark.instance()) &&
              core::IsUtf8(mark.fingerprint()));
    }
  }
}

void CheckManifest(const StoredManifest& stored) {
  for (const auto& record : stored.evacuations.records) {
    Require(core::IsName(record.data_centre));
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view body(reinterpret_cast<const char*>(data + 1),
                              size - 1);
  StoredManifest stored;
  if (data[0] % 2 == 0) {
    if (auto page = platform::DecodeNewestPage(body)) {
      for (const StoredRecord& record : page->records) {
        CheckFleetRecord(record);
      }
      platform::ApplyOperatorPage(std::move(*page), stored);
    }
  } else if (auto part = platform::DecodeLogPart(body, 0)) {
    Require(part->next_offset == part->records.size() + part->unreadable);
    for (StoredRecord& record : part->records) {
      CheckFleetRecord(record);
      platform::ApplyOperatorRecord(std::move(record), stored);
    }
  }
  CheckManifest(stored);
  return 0;
}
