// The check of a catalogue, and its indices.
#include "decide/catalogue.h"

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <set>

#include "base/address.h"

namespace mimosa {
namespace {

// Upper bounds on catalogue values. Amounts are small enough that sums over a
// whole fleet stay below 2^63. Counts and lengths are small enough that every
// part of the catalogue is far below the platform's limit on record size.
constexpr int64_t kMaxTokens = 1'000'000'000'000;
constexpr int64_t kMaxCostTokens = 1'000'000'000;
constexpr int64_t kMaxOutputTokens = 10'000'000;
constexpr int64_t kMaxMillis = 86'400'000;  // A day.
constexpr int64_t kMaxBodyBytes = int64_t{64} << 20;
constexpr int64_t kMaxKvPieces = 10'000'000;
constexpr int64_t kMaxRunning = 1'000'000;
constexpr int kMaxCustomers = 10'000;
constexpr int kMaxRoutes = 2'000;
constexpr int kMaxBackEnds = 10'000;
constexpr int kMaxKeysPerCustomer = 16;
constexpr int kMaxListLength = 32;
constexpr size_t kMaxIdLength = 128;
constexpr size_t kMaxOwnerLength = 256;
constexpr size_t kMaxPathLength = 512;
constexpr size_t kDigestLength = 64;

using Kind = CatalogueErrorKind;

bool IsIdCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' ||
         c == '_' || c == '-';
}

// Characters of a token in HTTP's grammar, as used in methods and cookie names.
bool IsTokenCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

template <typename Predicate>
bool AllOf(const std::string& text, Predicate predicate) {
  return std::all_of(text.begin(), text.end(), predicate);
}

// "/a/" and "/a" are the same prefix.
std::string WithoutLastSlash(const std::string& path) {
  const bool cut = path.size() > 1 && path.back() == '/';
  return cut ? path.substr(0, path.size() - 1) : path;
}

bool IsPathPrefix(const std::string& path) {
  if (path == "/") return true;
  if (path.empty() || path.front() != '/' || path.back() == '/') return false;
  const std::string whole = path + "/";
  for (const char* bad : {"//", "/./", "/../"})
    if (whole.find(bad) != std::string::npos) return false;
  return AllOf(path, [](char c) {
    return c > ' ' && c < 0x7f && c != '?' && c != '#' && c != '%';
  });
}

// Collects the errors of all entries.
class Checker {
 public:
  explicit Checker(const wire::Catalogue& catalogue) : catalogue_(catalogue) {}

  std::vector<CatalogueError> Check() {
    CheckCounts();
    for (const wire::BackEnd& back_end : catalogue_.back_ends()) {
      StartEntry("back_ends", back_end.id());
      CheckBackEnd(back_end);
    }
    for (const wire::Customer& customer : catalogue_.customers()) {
      StartEntry("customers", customer.id());
      CheckCustomer(customer);
    }
    for (const wire::Route& route : catalogue_.routes()) {
      StartEntry("routes", route.id());
      CheckRoute(route);
    }
    return std::move(errors_);
  }

 private:
  void CheckCounts() {
    entry_ = "catalogue";
    CheckRange("customers", catalogue_.customers_size(), 0, kMaxCustomers);
    CheckRange("routes", catalogue_.routes_size(), 0, kMaxRoutes);
    CheckRange("back_ends", catalogue_.back_ends_size(), 0, kMaxBackEnds);
  }

  void CheckCustomer(const wire::Customer& customer) {
    CheckIdentity(customer.id(), customer.owner(), &customer_ids_);
    CheckRange("rate_tokens_per_second", customer.rate_tokens_per_second(), 1,
               kMaxTokens);
    CheckRange("burst_tokens", customer.burst_tokens(), 1, kMaxTokens);
    CheckRange("keys", customer.keys_size(), 0, kMaxKeysPerCustomer);
    std::set<std::string> key_ids;
    for (const wire::Key& key : customer.keys()) {
      CheckId("keys.id", key.id(), &key_ids);
      if (key.digest().size() != kDigestLength ||
          !AllOf(key.digest(), IsHexDigit))
        AddError(Kind::kMalformed, "keys.digest",
                 "key '" + key.id() + "': not a lower-case hex SHA-256");
      else if (!digests_.insert(key.digest()).second)
        AddError(Kind::kDuplicate, "keys.digest",
                 "key '" + key.id() + "': another key has the same digest");
    }
  }

  void CheckRoute(const wire::Route& route) {
    CheckIdentity(route.id(), route.owner(), &route_ids_);
    CheckEnum("request_class", route.request_class(),
              wire::RequestClass_IsValid(route.request_class()));
    CheckPath(route);
    CheckRange("deadline_ms", route.deadline_ms(), 1, kMaxMillis);
    CheckRange("max_body_bytes", route.max_body_bytes(), 0, kMaxBodyBytes);
    CheckTokens("key_cookies", route.key_cookies());
    if (route.send_unclaimed() && route.request_class() != wire::NEVER_REPEATED)
      AddError(Kind::kContradiction, "send_unclaimed",
               "only for class NEVER_REPEATED");
    switch (route.kind()) {
      case wire::MODEL:
        return CheckModelRoute(route);
      case wire::SERVICE:
        return CheckServiceRoute(route);
      default:
        CheckEnum("kind", route.kind(), false);
    }
  }

  void CheckPath(const wire::Route& route) {
    const std::string path = WithoutLastSlash(route.path_prefix());
    if (path.empty()) {
      AddError(Kind::kMissing, "path_prefix", "required");
    } else if (path.size() > kMaxPathLength || !IsPathPrefix(path)) {
      AddError(Kind::kMalformed, "path_prefix",
               "'" + path + "' is not a normalized absolute path");
    }
    CheckTokens("methods", route.methods());
    // "" stands for all methods. A route for all methods conflicts with any
    // other route of the same path.
    std::set<std::string> methods(route.methods().begin(),
                                  route.methods().end());
    if (methods.empty()) methods.insert("");
    std::set<std::string>& taken_methods = methods_by_path_[path];
    const bool conflict =
        (!taken_methods.empty() &&
         (methods.count("") != 0 || taken_methods.count("") != 0)) ||
        std::any_of(methods.begin(), methods.end(),
                    [&](const std::string& method) {
                      return taken_methods.count(method) != 0;
                    });
    if (conflict)
      AddError(Kind::kDuplicate, "path_prefix",
               "'" + path + "' has another route for the same method");
    taken_methods.insert(methods.begin(), methods.end());
  }

  void CheckModelRoute(const wire::Route& route) {
    CheckEmpty("pool", route.pool(), "MODEL routes have a model");
    CheckZero("cost_tokens", route.cost_tokens(),
              "MODEL routes charge by tokens");
    CheckRange("max_output_tokens", route.max_output_tokens(), 1,
               kMaxOutputTokens);
    CheckRange("first_token_ms", route.first_token_ms(), 0, kMaxMillis);
    CheckRange("between_tokens_ms", route.between_tokens_ms(), 0, kMaxMillis);
    if (route.request_class() == wire::NEVER_REPEATED)
      AddError(Kind::kContradiction, "request_class",
               "a model request may be prefilled again; not NEVER_REPEATED");
    if (route.model().empty())
      return AddError(Kind::kMissing, "model", "required for MODEL routes");
    for (const auto role : {wire::PREFILL_ENGINE, wire::DECODE_ENGINE})
      if (models_.count({route.model(), role}) == 0)
        AddError(Kind::kUnknownName, "model",
                 "no " + wire::BackEndRole_Name(role) + " serves '" +
                     route.model() + "'");
  }

  void CheckServiceRoute(const wire::Route& route) {
    CheckEmpty("model", route.model(), "SERVICE routes have a pool");
    CheckRange("cost_tokens", route.cost_tokens(), 0, kMaxCostTokens);
    CheckZero("first_token_ms", route.first_token_ms(),
              "only for MODEL routes");
    CheckZero("between_tokens_ms", route.between_tokens_ms(),
              "only for MODEL routes");
    CheckZero("max_output_tokens", route.max_output_tokens(),
              "only for MODEL routes");
    if (route.pool().empty())
      AddError(Kind::kMissing, "pool", "required for SERVICE routes");
    else if (pools_.count(route.pool()) == 0)
      AddError(Kind::kUnknownName, "pool",
               "no back end is in pool '" + route.pool() + "'");
  }

  void CheckBackEnd(const wire::BackEnd& back_end) {
    CheckIdentity(back_end.id(), back_end.owner(), &back_end_ids_);
    CheckEnum("role", back_end.role(),
              wire::BackEndRole_IsValid(back_end.role()));
    if (!IsConnectableAddress(back_end.address()))
      AddError(Kind::kMalformed, "address",
               "'" + back_end.address() + "' is not a numeric ip:port address");
    else if (!addresses_.insert({back_end.address(), back_end.role()}).second)
      AddError(Kind::kDuplicate, "address",
               back_end.address() +
                   " is the address of another back end of this role");
    CheckId("failure_domain", back_end.failure_domain(), nullptr);
    CheckRange("kv_pieces", back_end.kv_pieces(),
               back_end.role() == wire::DECODE_ENGINE ? 1 : 0, kMaxKvPieces);
    CheckRange("max_running", back_end.max_running(),
               back_end.role() == wire::DECODE_ENGINE ? 0 : 1, kMaxRunning);
    if (back_end.role() == wire::PLAIN_SERVICE) {
      CheckId("pool", back_end.pool(), nullptr);
      CheckEmpty("model", back_end.model(), "plain services have a pool");
      CheckZero("kv_pieces", back_end.kv_pieces(), "only for engines");
      pools_.insert(back_end.pool());
    } else {
      CheckId("model", back_end.model(), nullptr);
      CheckEmpty("pool", back_end.pool(), "engines have a model");
      models_.insert({back_end.model(), back_end.role()});
    }
  }

  // ---- Checks of single fields ----

  void CheckIdentity(const std::string& id, const std::string& owner,
                     std::set<std::string>* seen) {
    CheckId("id", id, seen);
    if (owner.empty())
      AddError(Kind::kMissing, "owner", "required");
    else if (owner.size() > kMaxOwnerLength)
      AddError(Kind::kOutOfRange, "owner",
               "longer than " + std::to_string(kMaxOwnerLength));
  }

  // `seen` holds the ids that must differ from this one, or is nullptr.
  void CheckId(const char* field, const std::string& id,
               std::set<std::string>* seen) {
    if (id.empty())
      AddError(Kind::kMissing, field, "required");
    else if (id.size() > kMaxIdLength || !AllOf(id, IsIdCharacter))
      AddError(Kind::kMalformed, field,
               "'" + id + "' is longer than " + std::to_string(kMaxIdLength) +
                   " or contains characters other than [A-Za-z0-9._-]");
    else if (seen != nullptr && !seen->insert(id).second)
      AddError(Kind::kDuplicate, field, "'" + id + "' occurs twice");
  }

  template <typename List>
  void CheckTokens(const char* field, const List& list) {
    CheckRange(field, list.size(), 0, kMaxListLength);
    std::set<std::string> seen;
    for (const std::string& token : list) {
      if (token.empty() || token.size() > kMaxIdLength ||
          !AllOf(token, IsTokenCharacter))
        AddError(Kind::kMalformed, field,
                 "'" + token + "' is not an HTTP token");
      else if (!seen.insert(token).second)
        AddError(Kind::kDuplicate, field, "'" + token + "' occurs twice");
    }
  }

  void CheckEnum(const char* field, int value, bool known) {
    if (value == 0)
      AddError(Kind::kMissing, field, "required");
    else if (!known)
      AddError(Kind::kUnknownName, field, std::to_string(value));
  }

  void CheckRange(const char* field, int64_t value, int64_t min, int64_t max) {
    if (value < min || value > max)
      AddError(Kind::kOutOfRange, field,
               std::to_string(value) + " is not within " + std::to_string(min) +
                   ".." + std::to_string(max));
  }

  void CheckEmpty(const char* field, const std::string& value,
                  const char* why) {
    if (!value.empty()) AddError(Kind::kContradiction, field, why);
  }
  void CheckZero(const char* field, int64_t value, const char* why) {
    if (value != 0) AddError(Kind::kContradiction, field, why);
  }

  void StartEntry(const std::string& kind, const std::string& id) {
    if (kind != kind_) index_ = 0;
    kind_ = kind;
    entry_ = kind + "[" + std::to_string(index_++) + "] (" + id + ")";
  }

  void AddError(Kind kind, const char* field, std::string detail) {
    errors_.push_back({kind, entry_, field, std::move(detail)});
  }

  const wire::Catalogue& catalogue_;
  std::vector<CatalogueError> errors_;
  std::string entry_;  // The entry being checked, for the errors.
  std::string kind_;
  int index_ = 0;

  // The values of the entries checked so far. Back ends are checked first, so
  // that routes can be checked against the models and pools.
  std::set<std::string> customer_ids_;
  std::set<std::string> route_ids_;
  std::set<std::string> back_end_ids_;
  std::set<std::string> digests_;
  std::set<std::pair<std::string, int>> addresses_;
  std::set<std::pair<std::string, wire::BackEndRole>> models_;
  std::set<std::string> pools_;
  std::map<std::string, std::set<std::string>> methods_by_path_;
};

bool AcceptsMethod(const wire::Route& route, std::string_view method) {
  return route.methods().empty() ||
         std::find(route.methods().begin(), route.methods().end(), method) !=
             route.methods().end();
}

// Returns the next shorter prefix of whole segments: "/a/b" -> "/a" -> "/" ->
// "".
std::string_view ParentPrefix(std::string_view prefix) {
  if (prefix.size() <= 1) return {};
  const size_t slash = prefix.rfind('/');
  return slash == 0 ? prefix.substr(0, 1) : prefix.substr(0, slash);
}

template <typename Map, typename Key>
typename Map::mapped_type FindOrNull(const Map& map, const Key& key) {
  const auto it = map.find(key);
  return it == map.end() ? nullptr : it->second;
}

const std::vector<const wire::BackEnd*>& NoBackEnds() {
  static const std::vector<const wire::BackEnd*> none;
  return none;
}

}  // namespace

const char* CatalogueErrorKindName(CatalogueErrorKind kind) {
  switch (kind) {
    case Kind::kMissing:
      return "missing";
    case Kind::kOutOfRange:
      return "out of range";
    case Kind::kMalformed:
      return "malformed";
    case Kind::kDuplicate:
      return "duplicate";
    case Kind::kUnknownName:
      return "unknown name";
    case Kind::kContradiction:
      return "contradiction";
    case Kind::kTooLarge:
      return "too large";
  }
  return "?";
}

std::vector<CatalogueError> CheckCatalogue(const wire::Catalogue& catalogue) {
  return Checker(catalogue).Check();
}

leaf::result<std::shared_ptr<const CatalogueSnapshot>> CatalogueSnapshot::Make(
    wire::Catalogue catalogue) {
  std::vector<CatalogueError> errors = CheckCatalogue(catalogue);
  if (!errors.empty())
    return leaf::new_error(CatalogueErrors{std::move(errors)});
  return std::shared_ptr<const CatalogueSnapshot>(
      new CatalogueSnapshot(std::move(catalogue)));
}

std::shared_ptr<const CatalogueSnapshot> CatalogueSnapshot::Empty() {
  return std::shared_ptr<const CatalogueSnapshot>(
      new CatalogueSnapshot(wire::Catalogue()));
}

CatalogueSnapshot::CatalogueSnapshot(wire::Catalogue catalogue)
    : catalogue_(std::move(catalogue)) {
  for (const wire::Customer& customer : catalogue_.customers()) {
    customers_[customer.id()] = &customer;
    for (const wire::Key& key : customer.keys())
      customers_by_digest_[key.digest()] = &customer;
  }
  for (const wire::Route& route : catalogue_.routes())
    routes_by_prefix_[WithoutLastSlash(route.path_prefix())].push_back(&route);
  IndexBackEnds();
}

void CatalogueSnapshot::IndexBackEnds() {
  for (const wire::BackEnd& back_end : catalogue_.back_ends()) {
    back_ends_[back_end.id()] = &back_end;
    if (back_end.role() == wire::PLAIN_SERVICE)
      services_[back_end.pool()].push_back(&back_end);
    else
      engines_[{back_end.model(), back_end.role()}].push_back(&back_end);
  }
}

CatalogueVersion CatalogueSnapshot::version() const {
  return CatalogueVersion(static_cast<int64_t>(catalogue_.version()));
}

const wire::Route* CatalogueSnapshot::FindRoute(std::string_view method,
                                                std::string_view path) const {
  for (std::string_view prefix = path; !prefix.empty();
       prefix = ParentPrefix(prefix)) {
    const auto it = routes_by_prefix_.find(prefix);
    if (it == routes_by_prefix_.end()) continue;
    for (const wire::Route* route : it->second)
      if (AcceptsMethod(*route, method)) return route;
  }
  return nullptr;
}

const wire::Customer* CatalogueSnapshot::FindCustomer(
    const CustomerId& id) const {
  return FindOrNull(customers_, id.value());
}

const wire::Customer* CatalogueSnapshot::FindCustomerByKeyDigest(
    const std::string& digest) const {
  return FindOrNull(customers_by_digest_, digest);
}

const wire::BackEnd* CatalogueSnapshot::FindBackEnd(const BackEndId& id) const {
  return FindOrNull(back_ends_, id.value());
}

const std::vector<const wire::BackEnd*>& CatalogueSnapshot::Engines(
    const std::string& model, wire::BackEndRole role) const {
  const auto it = engines_.find({model, role});
  return it == engines_.end() ? NoBackEnds() : it->second;
}

const std::vector<const wire::BackEnd*>& CatalogueSnapshot::Services(
    const std::string& pool) const {
  const auto it = services_.find(pool);
  return it == services_.end() ? NoBackEnds() : it->second;
}

}  // namespace mimosa
