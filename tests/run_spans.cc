// Overlaps among the runs of one request.
#include "tests/run_spans.h"

#include <map>

#include "tests/retry_count.h"

namespace mimosa::testing {

std::vector<RunSpan> ReadRunSpans(const Json::Value& journal,
                                  const std::string& server) {
  std::vector<RunSpan> spans;
  for (const Json::Value& item : journal["spans"])
    spans.push_back({item["id"].asString(), server, item["begin"].asInt64(),
                     item.isMember("end") ? item["end"].asInt64() : NowMs(),
                     item["begin_us"].asInt64(), item["stall_ms"].asInt64()});
  return spans;
}

std::string RunOverlap::Describe() const {
  return earlier.request + " went on at " + later.server + " while " +
         earlier.server + " worked on it for another " +
         std::to_string(earlier.end_ms - later.begin_ms) + " ms (from " +
         std::to_string(earlier.begin_ms) + " to " +
         std::to_string(earlier.end_ms) + ", stood still for " +
         std::to_string(earlier.stall_ms) + " ms; the later run from " +
         std::to_string(later.begin_ms) + " to " +
         std::to_string(later.end_ms) + ", stood still for " +
         std::to_string(later.stall_ms) + " ms)";
}

std::vector<RunOverlap> FindOverlaps(const std::vector<RunSpan>& spans) {
  std::map<std::string, std::vector<RunSpan>> by_request;
  for (const RunSpan& span : spans) by_request[span.request].push_back(span);
  std::vector<RunOverlap> overlaps;
  for (const auto& [request, runs] : by_request)
    for (const RunSpan& earlier : runs)
      for (const RunSpan& later : runs)
        if (later.server != earlier.server &&
            later.begin_us >= earlier.begin_us &&
            earlier.end_ms - later.begin_ms > kMaxOverlapMs)
          overlaps.push_back({earlier, later});
  return overlaps;
}

}  // namespace mimosa::testing
