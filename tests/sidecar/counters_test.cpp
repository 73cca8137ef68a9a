// The text that the metrics of a sidecar are read from.
#include "lycheewell/sidecar/counters.h"

#include <catch2/catch.hpp>

namespace {
using lycheewell::sidecar::Counters;
using lycheewell::sidecar::EscapeLabel;
}  // namespace

// Guards against metrics of which nothing can be read because of one name.
TEST_CASE("Names in labels are escaped", "[sidecar][counters]") {
  CHECK(EscapeLabel("kochi-a") == "kochi-a");
  CHECK(EscapeLabel("a\"b\\c\nd") == R"(a\"b\\c\nd)");
  Counters counters;
  counters.Count("refused", "a \"b\"");
  CHECK(counters.Render() ==
        "lycheewell_refused_total{reason=\"a \\\"b\\\"\"} 1\n");
}
