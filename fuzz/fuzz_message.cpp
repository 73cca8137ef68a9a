// Messages of peers, and the requests and answers in them.
#include "lycheewell/daemon/requests/call.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  namespace requests = lycheewell::daemon::requests;
  lycheewell::peers::Envelope envelope;
  if (!envelope.ParseFromArray(data, static_cast<int>(size))) {
    return 0;
  }
  if (envelope.has_forward()) {
    requests::FromForward(envelope.forward(), {});
  }
  if (envelope.has_forward_answer()) {
    requests::ToResponse(requests::FromForwardAnswer(envelope.forward_answer()),
                         "request");
  }
  return 0;
}
