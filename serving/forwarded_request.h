// How a daemon that doesn't reach the back ends of a service hands an admitted
// request to another daemon: the caller's request over HTTP, with header fields
// that state what the sender has decided.
//
// The receiver takes the customer from these fields, so it has to know that a
// member sent them: the request comes from the address of a member, and has the
// number that the receiver's own member record shows and only members read.
#ifndef SERVING_FORWARDED_REQUEST_H_
#define SERVING_FORWARDED_REQUEST_H_

#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/site.h"
#include "net/http.h"
#include "serving/member_list.h"

namespace mimosa {

struct ForwardEnvelope {
  std::string sender;     // Name of the member that admitted the request.
  std::string recipient;  // The receiver's name and start; see RecipientOf().
  CustomerId customer;    // Empty on a route without authentication.
  ServiceId service;
  Duration time_left{};
  // The request has had its free prefill. One call of it is free in any case:
  // the sender has paid for it.
  bool prefill_accepted = false;
};

// Returns what identifies one start of a member.
std::string RecipientOf(const wire::EntryMember& member);

void WriteForwardEnvelope(const ForwardEnvelope& envelope,
                          HttpHeaders* headers);
// Removes the envelope from the fields. Returns nullopt if it is missing or
// invalid.
std::optional<ForwardEnvelope> TakeForwardEnvelope(HttpHeaders* headers);

// Returns whether the envelope was written by a member at `sender_ip` for this
// start of this daemon.
bool IsFromMember(const ForwardEnvelope& envelope, const std::string& sender_ip,
                  const MemberList& members);

// The response of a receiver that has sent the request to no back end. The
// sender may try another member.
HttpResponse ForwardRefusal();
bool IsForwardRefusal(const HttpHeaders& headers);

}  // namespace mimosa

#endif  // SERVING_FORWARDED_REQUEST_H_
