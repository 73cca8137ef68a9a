// The operators' queries: what is in force, why, and what happened.
#ifndef LYCHEEWELL_DAEMON_OPERATORS_QUERIES_REPORTS_H_
#define LYCHEEWELL_DAEMON_OPERATORS_QUERIES_REPORTS_H_

#include "lycheewell/daemon/operators/operators_context.h"

namespace lycheewell::daemon::operators::queries {

// GET /v1/status
io::http::Response ReportStatus(OperatorsContext& context);

// GET /v1/history?limit=N
io::http::Response ReportHistory(OperatorsContext& context,
                                 const OperatorRequest& request);

// GET /v1/events?limit=N
io::http::Response ReportEvents(OperatorsContext& context,
                                const OperatorRequest& request);

// GET /v1/explain?account=NAME, ?target=DAEMON, ?key=ID, or ?method=&path= for
// a request to "/service/path".
io::http::Response Explain(OperatorsContext& context,
                           const OperatorRequest& request);

}  // namespace lycheewell::daemon::operators::queries

#endif  // LYCHEEWELL_DAEMON_OPERATORS_QUERIES_REPORTS_H_
