// Fuzzes the project's small parsers: settings, addresses, credentials, event
// streams of engines, and scraped metrics.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/settings.h"
#include "decide/credentials.h"
#include "decide/sse.h"
#include "tools/mimosactl_routers.h"
#include "wire/settings.pb.h"

namespace {

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

void FuzzSettings(const std::vector<std::string>& lines) {
  std::vector<const char*> argv = {"fuzz"};
  for (const std::string& line : lines) argv.push_back(line.c_str());
  mimosa::wire::RouterSettings settings;
  const auto read = mimosa::ReadSettings(
      {"fuzz", "", "", ""}, static_cast<int>(argv.size()), argv.data(),
      [](const char* /*name*/) -> const char* { return nullptr; }, &settings);
  // Secrets can be set in the environment only, and this environment is empty,
  // so no input may produce a configuration that the daemon could run with.
  if (read && read->mode == mimosa::StartMode::kRun) std::abort();
}

// An event stream must give the same events if it is fed in one piece and byte
// by byte.
void FuzzEvents(const std::string& text) {
  std::vector<std::string> fed_at_once;
  std::vector<std::string> fed_by_byte;
  mimosa::SseReader a;
  mimosa::SseReader b;
  (void)a.Feed(text, &fed_at_once);
  for (const char c : text) (void)b.Feed(std::string_view(&c, 1), &fed_by_byte);
  if (fed_at_once != fed_by_byte) std::abort();
}

// The key that was extracted must not remain in a forwarded header.
void FuzzCredentials(const std::vector<std::string>& lines,
                     const std::string& text) {
  mimosa::HeaderFields headers;
  for (const std::string& line : lines) {
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    headers.emplace_back(line.substr(0, colon), line.substr(colon + 1));
  }
  const mimosa::Credentials found = mimosa::ExtractCredentials(
      headers, lines.empty() ? "/" : lines[0], text, {"session"});
  if (found.error != mimosa::CredentialError::kNone || found.key.empty())
    return;
  for (const auto& [name, value] : found.headers)
    if (mimosa::ContainsKeyPattern(found.key) &&
        value.find(found.key) != std::string::npos)
      std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const std::vector<std::string> lines = SplitLines(text);
  (void)mimosa::IsAddress(text);
  FuzzSettings(lines);
  FuzzEvents(text);
  FuzzCredentials(lines, text);
  mimosa::HistogramsByLabels histograms;
  mimosa::AddHistograms(text, "m", &histograms);
  return 0;
}
