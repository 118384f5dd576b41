// Header fields of forwarded requests.
#include "serving/forwarded_request.h"

#include <charconv>

#include "base/digest.h"
#include "serving/local_responses.h"

namespace mimosa {
namespace {

constexpr char kSender[] = "Mimosa-Forward-Sender";
constexpr char kRecipient[] = "Mimosa-Forward-Recipient";
constexpr char kCustomer[] = "Mimosa-Forward-Customer";
constexpr char kService[] = "Mimosa-Forward-Service";
constexpr char kTimeLeft[] = "Mimosa-Forward-Time-Left-Ms";
constexpr char kPrefillAccepted[] = "Mimosa-Forward-Prefill-Accepted";
constexpr char kRefused[] = "Mimosa-Forward-Refused";

// Removes the field. Returns its value, empty if there is none.
std::string TakeField(const char* name, HttpHeaders* headers) {
  const std::string* field = headers->Find(name);
  std::string value = field == nullptr ? "" : *field;
  headers->Remove(name);
  return value;
}

}  // namespace

std::string RecipientOf(const wire::EntryMember& member) {
  return member.name() + "#" + std::to_string(member.boot());
}

void WriteForwardEnvelope(const ForwardEnvelope& envelope,
                          HttpHeaders* headers) {
  headers->Set(kSender, envelope.sender);
  headers->Set(kRecipient, envelope.recipient);
  headers->Set(kCustomer, envelope.customer.value());
  headers->Set(kService, envelope.service.value());
  headers->Set(kTimeLeft, std::to_string(ToMillis(envelope.time_left)));
  // Also when it is unset: a caller may have sent the field.
  headers->Set(kPrefillAccepted, envelope.prefill_accepted ? "1" : "0");
}

std::optional<ForwardEnvelope> TakeForwardEnvelope(HttpHeaders* headers) {
  ForwardEnvelope envelope;
  envelope.sender = TakeField(kSender, headers);
  envelope.recipient = TakeField(kRecipient, headers);
  envelope.customer = CustomerId(TakeField(kCustomer, headers));
  envelope.service = ServiceId(TakeField(kService, headers));
  envelope.prefill_accepted = TakeField(kPrefillAccepted, headers) == "1";
  const std::string time_left = TakeField(kTimeLeft, headers);
  int64_t millis = 0;
  const char* const end = time_left.data() + time_left.size();
  const auto [stop, error] = std::from_chars(time_left.data(), end, millis);
  if (error != std::errc() || stop != end || millis <= 0 ||
      envelope.sender.empty())
    return std::nullopt;
  envelope.time_left = FromMillis(millis);
  return envelope;
}

bool IsFromMember(const ForwardEnvelope& envelope, const std::string& sender_ip,
                  const MemberList& members) {
  const auto address = members.FindAddress(envelope.sender);
  return address && address->ip == sender_ip &&
         SecretsEqual(envelope.recipient, RecipientOf(members.self()));
}

HttpResponse ForwardRefusal() {
  HttpResponse response = EmptyResponse(kStatusUnavailable);
  response.headers.Add(kRefused, "1");
  return response;
}

bool IsForwardRefusal(const HttpHeaders& headers) {
  return headers.Find(kRefused) != nullptr;
}

}  // namespace mimosa
