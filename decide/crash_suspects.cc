// Digests of requests.
#include "decide/crash_suspects.h"

#include <string>

#include "base/digest.h"
#include "base/text.h"

namespace mimosa {
namespace {

constexpr char kRequestPrefix[] = "request:";
// 128 bits of the digest.
constexpr size_t kFingerprintDigits = 32;

// Appends a field with its length, so that no two lists of fields are alike.
void AppendField(std::string_view field, std::string* text) {
  *text += std::to_string(field.size());
  *text += ':';
  *text += field;
}

}  // namespace

RequestFingerprint FingerprintOf(const RequestIdentity& identity) {
  std::string text;
  AppendField(identity.method, &text);
  AppendField(identity.host, &text);
  AppendField(identity.target, &text);
  AppendField(identity.customer.value(), &text);
  // The body may be too large to be copied.
  AppendField(identity.body.empty() ? "" : Sha256Hex(identity.body), &text);
  return RequestFingerprint(Sha256Hex(text).substr(0, kFingerprintDigits));
}

CrashSuspectId SuspectPromptPart(const PromptPartId& part) {
  return CrashSuspectId(part.value());
}

CrashSuspectId SuspectRequest(const RequestFingerprint& fingerprint) {
  return CrashSuspectId(kRequestPrefix + fingerprint.value());
}

bool IsRequest(const CrashSuspectId& suspect) {
  return StartsWith(suspect.value(), kRequestPrefix);
}

}  // namespace mimosa
