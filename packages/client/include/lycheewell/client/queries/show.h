// Queries: status, history, events, explain.
#ifndef LYCHEEWELL_CLIENT_QUERIES_SHOW_H_
#define LYCHEEWELL_CLIENT_QUERIES_SHOW_H_

#include <string>

#include "lycheewell/client/session.h"

namespace lycheewell::client::queries {

ExitCode ShowStatus(const Session& session);
ExitCode ShowHistory(const Session& session, int limit);
ExitCode ShowEvents(const Session& session, int limit);

// `query` is one of "account=", "target=", "key=" or "method=&path=".
ExitCode ShowExplanation(const Session& session, const std::string& query);

}  // namespace lycheewell::client::queries

#endif  // LYCHEEWELL_CLIENT_QUERIES_SHOW_H_
