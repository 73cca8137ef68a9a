// Tells statuses of answers from numbers that are none.
#ifndef LYCHEEWELL_IO_HTTP_STATUS_H_
#define LYCHEEWELL_IO_HTTP_STATUS_H_

namespace lycheewell::io::http {

// What a status says about the answer that has it.
enum class StatusKind {
  kFinal,
  kInterim,  // another answer follows
  kNone,     // no status of HTTP, or one that ends HTTP on the connection
};

constexpr StatusKind KindOf(unsigned status) {
  constexpr unsigned kFirstInterim = 100;
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kFirstFinal = 200;
  constexpr unsigned kLastFinal = 599;
  if (status < kFirstInterim || status == kSwitchingProtocols ||
      status > kLastFinal) {
    return StatusKind::kNone;
  }
  return status < kFirstFinal ? StatusKind::kInterim : StatusKind::kFinal;
}

}  // namespace lycheewell::io::http

#endif  // LYCHEEWELL_IO_HTTP_STATUS_H_
