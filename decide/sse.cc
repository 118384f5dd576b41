// Parses server-sent events line by line.
#include "decide/sse.h"

#include <utility>

namespace mimosa {

bool SseReader::Feed(std::string_view bytes, std::vector<std::string>* events) {
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (line_.size() > kMaxEventBytes) return false;
    if (end == std::string_view::npos) return true;
    bytes.remove_prefix(end + 1);
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    if (!ProcessLine(line_, events)) return false;
    line_.clear();
  }
  return true;
}

bool SseReader::ProcessLine(std::string_view line,
                            std::vector<std::string>* events) {
  constexpr std::string_view kData = "data:";
  if (line.empty()) {
    if (has_data_) events->push_back(std::move(data_));
    data_.clear();
    has_data_ = false;
    return true;
  }
  if (line.substr(0, kData.size()) != kData) return true;
  line.remove_prefix(kData.size());
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  if (has_data_) data_ += '\n';
  has_data_ = true;
  data_ += line;
  return data_.size() <= kMaxEventBytes;
}

}  // namespace mimosa
