#include "lycheewell/daemon/operators/operators_context.h"

#include <boost/json.hpp>

namespace lycheewell::daemon::operators {
namespace json = boost::json;
namespace http = io::http;

http::Response MakeError(http::Status status, const std::string& kind,
                         const std::vector<std::string>& problems) {
  json::array texts;
  for (const std::string& problem : problems) {
    texts.emplace_back(problem);
  }
  return http::MakeJson(
      status, json::serialize(json::object{{"error", kind},
                                           {"problems", std::move(texts)}}));
}

Spread MeasureSpread(OperatorsContext& context, core::Offset offset) {
  const auto offsets = context.gossip.Offsets();
  Spread spread{.daemons = 1};
  const bool own = context.services.tables.configuration.next() > offset;
  spread.in_force = own ? 1 : 0;
  if (!own) {
    spread.laggards.push_back(context.services.self.id);
  }
  for (const core::DaemonRef& daemon :
       context.services.tables.membership.Lock()->LiveMembers()) {
    ++spread.daemons;
    const auto found = offsets.find(daemon);
    if (found != offsets.end() && found->second > offset) {
      ++spread.in_force;
    } else {
      spread.laggards.push_back(daemon.id);
      spread.unheard.push_back(daemon);
    }
  }
  return spread;
}

}  // namespace lycheewell::daemon::operators
