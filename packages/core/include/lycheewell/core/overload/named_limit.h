// The request rate that a target in need has named, and the choice of the
// requests that fit into it.
#ifndef LYCHEEWELL_CORE_OVERLOAD_NAMED_LIMIT_H_
#define LYCHEEWELL_CORE_OVERLOAD_NAMED_LIMIT_H_

#include <optional>

#include "lycheewell/core/overload/ranked_tokens.h"
#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// Kept by the daemon beside the target, which all of its requests pass. Nothing
// queues for the limit: a request that does not fit is refused and can go to
// another target at once.
class NamedLimit {
 public:
  // Commands.

  // Takes what an answer of the target to a request that was sent at `sent_at`
  // says: the limit that it names in requests per second, or nothing. A lower
  // limit counts at once. A higher one, or none, counts from an answer on whose
  // request was sent after the lower one had been named last, since answers can
  // overtake each other. Returns whether the limit has changed so much, and
  // long enough after the last such change, that peers should hear of it now.
  bool OnAnswer(std::optional<double> per_second, Instant sent_at, Instant now);

  // Peers remember that the target had named the limit before this daemon
  // started. Ignored once the target has answered. Returns as OnAnswer.
  bool Recall(double per_second, Instant now);

  // The target has been replaced by another start.
  void Reset() { *this = NamedLimit(); }

  // Takes a request of `rank` into the limit or refuses it, as RankedTokens
  // does.
  bool Admit(int rank, Instant now);

  // An admitted request was not sent.
  void Return();

  // Queries.

  std::optional<double> per_second() const { return this->limit; }

  // How long a daemon should send no request of a refused rank, so that a large
  // fleet does not spend more on refusals than on requests.
  Duration refusal_backoff() const;

 private:
  // Requests per second that are admitted: a limit of 0 must not keep the
  // target from naming another.
  double Rate() const;
  RankedTokens::Rate TokenRate() const;
  void CountRefusal(Instant now);
  bool Set(std::optional<double> per_second, Instant now);

  std::optional<double> limit;
  std::optional<double> announced;  // the last noticeable limit, and when
  std::optional<Instant> announced_at;
  Instant named_at;  // the last time at this limit or below
  bool has_answered = false;
  RankedTokens tokens;
  double backoff_seconds = 0;
  int refusals = 0;  // since `counted_from`
  Instant counted_from;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_NAMED_LIMIT_H_
