// Tests of the check of a catalogue, its indices and its parts.
#include "decide/catalogue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/digest.h"
#include "base/json.h"
#include "base/random.h"
#include "decide/catalogue_parts.h"

namespace mimosa {
namespace {

wire::BackEnd Engine(const std::string& id, wire::BackEndRole role, int port) {
  wire::BackEnd engine;
  engine.set_id(id);
  engine.set_owner("trust");
  engine.set_role(role);
  engine.set_address("10.0.0.1:" + std::to_string(port));
  engine.set_failure_domain("kochi");
  engine.set_model("letter");
  engine.set_kv_pieces(role == wire::DECODE_ENGINE ? 20 : 0);
  engine.set_max_running(4);
  return engine;
}

wire::Customer MakeCustomer(const std::string& id, int keys) {
  wire::Customer customer;
  customer.set_id(id);
  customer.set_owner("trust");
  customer.set_rate_tokens_per_second(400);
  customer.set_burst_tokens(8000);
  for (int i = 0; i < keys; ++i) {
    wire::Key* key = customer.add_keys();
    key->set_id("k" + std::to_string(i));
    key->set_digest(Sha256Hex(id + "/" + std::to_string(i)));
  }
  return customer;
}

wire::Route MakeRoute(const std::string& id, const std::string& prefix) {
  wire::Route route;
  route.set_id(id);
  route.set_owner("trust");
  route.set_request_class(wire::PROMPT);
  route.set_kind(wire::SERVICE);
  route.set_path_prefix(prefix);
  route.set_pool("booking");
  route.set_deadline_ms(1000);
  return route;
}

wire::Catalogue ValidCatalogue() {
  wire::Catalogue catalogue;
  *catalogue.add_back_ends() = Engine("p1", wire::PREFILL_ENGINE, 1);
  *catalogue.add_back_ends() = Engine("d1", wire::DECODE_ENGINE, 2);
  wire::BackEnd service = Engine("b1", wire::PLAIN_SERVICE, 3);
  service.clear_model();
  service.set_pool("booking");
  *catalogue.add_back_ends() = service;
  *catalogue.add_customers() = MakeCustomer("guild", 2);
  *catalogue.add_routes() = MakeRoute("lookup", "/booking");
  wire::Route letters = MakeRoute("letters", "/v1");
  letters.set_kind(wire::MODEL);
  letters.set_request_class(wire::PATIENT);
  letters.clear_pool();
  letters.set_model("letter");
  letters.set_max_output_tokens(500);
  *catalogue.add_routes() = letters;
  return catalogue;
}

// Returns the errors as "entry field kind".
std::vector<std::string> ErrorsOf(const wire::Catalogue& catalogue) {
  std::vector<std::string> names;
  for (const CatalogueError& error : CheckCatalogue(catalogue))
    names.push_back(error.entry + " " + error.field + " " +
                    CatalogueErrorKindName(error.kind));
  return names;
}

std::shared_ptr<const CatalogueSnapshot> Snapshot(wire::Catalogue catalogue) {
  const auto made = CatalogueSnapshot::Make(std::move(catalogue));
  REQUIRE(made);
  return *made;
}

TEST_CASE("a valid catalogue has no errors") {
  CHECK(ErrorsOf(ValidCatalogue()).empty());
  CHECK(ErrorsOf(wire::Catalogue()).empty());
}

TEST_CASE("the check reports all errors of a catalogue") {
  wire::Catalogue invalid = ValidCatalogue();
  invalid.mutable_customers(0)->clear_owner();
  invalid.mutable_customers(0)->set_burst_tokens(0);
  invalid.mutable_customers(0)->mutable_keys(1)->set_digest("ABC");
  *invalid.add_customers() = invalid.customers(0);
  invalid.mutable_customers(1)->set_owner("x");
  invalid.mutable_customers(1)->set_burst_tokens(1);
  invalid.mutable_customers(1)->mutable_keys(1)->set_digest(Sha256Hex("z"));
  invalid.mutable_routes(0)->set_path_prefix("/a/../b");
  invalid.mutable_routes(0)->set_pool("nobody");
  invalid.mutable_routes(0)->clear_request_class();
  invalid.mutable_routes(1)->set_request_class(wire::NEVER_REPEATED);
  invalid.mutable_routes(1)->set_model("other");
  invalid.mutable_back_ends(0)->set_address("engine.example:1");
  invalid.mutable_back_ends(1)->clear_failure_domain();
  invalid.mutable_back_ends(1)->set_kv_pieces(0);
  const std::vector<std::string> expected = {
      "back_ends[0] (p1) address malformed",
      "back_ends[1] (d1) failure_domain missing",
      "back_ends[1] (d1) kv_pieces out of range",
      "customers[0] (guild) owner missing",
      "customers[0] (guild) burst_tokens out of range",
      "customers[0] (guild) keys.digest malformed",
      "customers[1] (guild) id duplicate",
      "customers[1] (guild) keys.digest duplicate",
      "routes[0] (lookup) request_class missing",
      "routes[0] (lookup) path_prefix malformed",
      "routes[0] (lookup) pool unknown name",
      "routes[1] (letters) request_class contradiction",
      "routes[1] (letters) model unknown name",
      "routes[1] (letters) model unknown name"};
  CHECK(ErrorsOf(invalid) == expected);
  CHECK_FALSE(CatalogueSnapshot::Make(invalid));
}

TEST_CASE("two routes with the same path and method are an error") {
  wire::Catalogue catalogue = ValidCatalogue();
  *catalogue.add_routes() = MakeRoute("again", "/booking/");
  CHECK(ErrorsOf(catalogue) ==
        std::vector<std::string>{"routes[2] (again) path_prefix duplicate"});
  catalogue.mutable_routes(0)->add_methods("GET");
  CHECK(ErrorsOf(catalogue).size() == 1);
  catalogue.mutable_routes(2)->add_methods("POST");
  CHECK(ErrorsOf(catalogue).empty());
  catalogue.mutable_routes(2)->add_methods("GET");
  CHECK(ErrorsOf(catalogue).size() == 1);
}

TEST_CASE("the longest prefix of whole path segments determines the route") {
  wire::Catalogue catalogue = ValidCatalogue();
  *catalogue.add_routes() = MakeRoute("root", "/");
  wire::Route reserve = MakeRoute("reserve", "/booking/places/");
  reserve.add_methods("POST");
  *catalogue.add_routes() = reserve;
  const auto snapshot = Snapshot(catalogue);
  const auto find = [&](const char* method, const char* path) {
    const wire::Route* route = snapshot->FindRoute(method, path);
    return route == nullptr ? "" : route->id();
  };
  CHECK(find("GET", "/booking") == "lookup");
  CHECK(find("GET", "/booking/places") == "lookup");
  CHECK(find("POST", "/booking/places/7") == "reserve");
  CHECK(find("POST", "/booking/placesX") == "lookup");
  CHECK(find("GET", "/bookings") == "root");
  CHECK(find("GET", "/booking/") == "lookup");
  CHECK(find("GET", "") == "");
  CHECK(find("GET", "*") == "");
  CHECK(CatalogueSnapshot::Empty()->FindRoute("GET", "/") == nullptr);
}

TEST_CASE("lookups by key, id, model and pool") {
  const auto snapshot = Snapshot(ValidCatalogue());
  CHECK(snapshot->FindCustomerByKeyDigest(Sha256Hex("guild/0"))->id() ==
        "guild");
  CHECK(snapshot->FindCustomerByKeyDigest(Sha256Hex("guild/7")) == nullptr);
  CHECK(snapshot->FindCustomer(CustomerId("guild")) != nullptr);
  CHECK(snapshot->FindBackEnd(BackEndId("d1"))->kv_pieces() == 20);
  CHECK(snapshot->Engines("letter", wire::DECODE_ENGINE).size() == 1);
  CHECK(snapshot->Engines("other", wire::DECODE_ENGINE).empty());
  CHECK(snapshot->Services("booking").size() == 1);
}

// ---- Parts ----

// A large site: 2,100 customers and 1,100 engines.
wire::Catalogue LargeCatalogue() {
  wire::Catalogue catalogue = ValidCatalogue();
  for (int i = 0; i < 2100; ++i)
    *catalogue.add_customers() =
        MakeCustomer("customer-" + std::to_string(i), 2);
  for (int i = 0; i < 1100; ++i)
    *catalogue.add_back_ends() = Engine(
        "engine-" + std::to_string(i),
        i % 3 == 0 ? wire::PREFILL_ENGINE : wire::DECODE_ENGINE, 1000 + i);
  return catalogue;
}

StoredCatalogue Write(const StoredCatalogue& previous,
                      const wire::Catalogue& catalogue,
                      CatalogueWrite* written = nullptr) {
  wire::CatalogueChange change;
  change.set_change_id("change-" + std::to_string(previous.head.version() + 1));
  auto plan = PlanCatalogueWrite(previous, catalogue, change);
  REQUIRE(plan);
  StoredCatalogue stored = previous;
  stored.head = plan->head;
  for (const auto& [digest, text] : plan->new_parts)
    stored.parts[digest] = text;
  if (written != nullptr) *written = *plan;
  return stored;
}

wire::Catalogue SortedById(wire::Catalogue catalogue, uint64_t version) {
  const auto by_id = [](const auto& a, const auto& b) {
    return a.id() < b.id();
  };
  catalogue.set_version(version);
  std::sort(catalogue.mutable_customers()->begin(),
            catalogue.mutable_customers()->end(), by_id);
  std::sort(catalogue.mutable_routes()->begin(),
            catalogue.mutable_routes()->end(), by_id);
  std::sort(catalogue.mutable_back_ends()->begin(),
            catalogue.mutable_back_ends()->end(), by_id);
  return catalogue;
}

TEST_CASE("splitting and joining a catalogue returns the same catalogue") {
  for (const wire::Catalogue& catalogue :
       {ValidCatalogue(), LargeCatalogue()}) {
    const StoredCatalogue stored = Write({}, catalogue);
    const auto joined = JoinCatalogue(stored.head, stored.parts);
    REQUIRE(joined);
    CHECK(joined->SerializeAsString() ==
          SortedById(catalogue, 1).SerializeAsString());
  }
}

TEST_CASE("a change of one entry writes one part") {
  wire::Catalogue catalogue = LargeCatalogue();
  const StoredCatalogue first = Write({}, catalogue);
  SeededRandom random(7);
  for (int i = 0; i < 20; ++i) {
    wire::Customer* customer = catalogue.mutable_customers(
        static_cast<int>(random.UniformInt(catalogue.customers_size())));
    customer->set_burst_tokens(customer->burst_tokens() + 1 + i);
    CatalogueWrite written;
    const StoredCatalogue second = Write(first, catalogue, &written);
    CHECK(written.new_parts.size() == 1);
    CHECK(written.head.version() == 2);
    CHECK(MissingParts(second.head, first.parts).size() == 1);
    customer->set_burst_tokens(customer->burst_tokens() - 1 - i);
  }
  CatalogueWrite unchanged;
  (void)Write(first, catalogue, &unchanged);
  CHECK(unchanged.new_parts.empty());
}

TEST_CASE(
    "a change with parts takes less than a tenth of the bytes of one record") {
  wire::Catalogue catalogue = LargeCatalogue();
  const StoredCatalogue first = Write({}, catalogue);
  catalogue.mutable_customers(50)->set_burst_tokens(1);
  CatalogueWrite written;
  (void)Write(first, catalogue, &written);
  const size_t record = ToJson(catalogue).size();
  const size_t head = ToJson(written.head).size();
  const size_t part = written.new_parts.begin()->second.size();
  WARN("2,100 customers, 1,100 engines: one record "
       << record << " bytes, 1 read a change; head " << head << " + part "
       << part << " bytes, 2 reads a change; " << first.head.parts_size()
       << " parts at a first read");
  CHECK((head + part) * 10 < record);
}

TEST_CASE("join fails for missing, altered and malformed parts") {
  const StoredCatalogue stored = Write({}, ValidCatalogue());
  const auto kind_of = [](const wire::CatalogueHead& head,
                          const PartTexts& parts) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
          BOOST_LEAF_CHECK(JoinCatalogue(head, parts));
          return -1;
        },
        [](const PartsError& error) { return static_cast<int>(error.kind); },
        [] { return -2; });
  };
  const std::string digest = stored.head.parts(0).digest();
  PartTexts parts = stored.parts;
  CHECK(kind_of(stored.head, parts) == -1);
  parts[digest] += " ";
  CHECK(kind_of(stored.head, parts) ==
        static_cast<int>(PartsErrorKind::kWrongDigest));
  parts.erase(digest);
  CHECK(kind_of(stored.head, parts) ==
        static_cast<int>(PartsErrorKind::kMissingPart));
  wire::CatalogueHead head = stored.head;
  head.mutable_parts(0)->set_digest(Sha256Hex("[]"));
  parts[Sha256Hex("[]")] = "[]";
  CHECK(kind_of(head, parts) == static_cast<int>(PartsErrorKind::kMalformed));
}

TEST_CASE("a part of almost a megabyte is accepted, a larger one is an error") {
  // The catalogue isn't checked here, because the check rejects an owner of
  // this length.
  wire::Catalogue catalogue = ValidCatalogue();
  catalogue.mutable_customers(0)->set_owner(std::string(990'000, 'x'));
  const StoredCatalogue stored = Write({}, catalogue);
  for (const auto& [digest, text] : stored.parts)
    CHECK(text.size() <= kMaxPartBytes);
  CHECK(JoinCatalogue(stored.head, stored.parts));
  catalogue.mutable_customers(0)->set_owner(std::string(kMaxPartBytes, 'x'));
  CHECK_FALSE(PlanCatalogueWrite({}, catalogue, {}));
}

TEST_CASE("the largest customers that the check accepts fit into the parts") {
  wire::Catalogue catalogue;
  for (int i = 0; i < 10'000; ++i) {
    wire::Customer customer = MakeCustomer("customer-" + std::to_string(i), 16);
    customer.set_owner(std::string(256, 'o'));
    *catalogue.add_customers() = customer;
  }
  REQUIRE(CheckCatalogue(catalogue).empty());
  CHECK(PlanCatalogueWrite({}, catalogue, {}));
}

TEST_CASE(
    "history is bounded, and parts are deleted twenty versions after their "
    "use") {
  wire::Catalogue catalogue = ValidCatalogue();
  StoredCatalogue stored = Write({}, catalogue);
  const std::string first_part = stored.head.parts(0).digest();
  size_t deleted = 0;
  for (int version = 2; version <= 50; ++version) {
    catalogue.mutable_back_ends(0)->set_max_running(version);
    CatalogueWrite written;
    stored = Write(stored, catalogue, &written);
    for (const std::string& digest : written.deletable) {
      CHECK(stored.parts.erase(digest) == 1);
      if (digest == first_part) CHECK(version == 2 + kHistoryLength);
      ++deleted;
    }
  }
  CHECK(stored.head.history_size() == kHistoryLength);
  CHECK(stored.head.history(0).version() == 50);
  CHECK(stored.head.retired_size() == kHistoryLength);
  CHECK(deleted == 29);
  CHECK(JoinCatalogue(stored.head, stored.parts));
}

// Retired parts are deleted by digest. Guards against deleting a part that a
// later head names again.
TEST_CASE("a part with the entries of a retired part has another digest") {
  wire::Catalogue catalogue = ValidCatalogue();
  const StoredCatalogue first = Write({}, catalogue);
  wire::Catalogue other = catalogue;
  other.mutable_back_ends(0)->set_max_running(77);
  const StoredCatalogue second = Write(first, other);
  const StoredCatalogue third = Write(second, catalogue);
  for (const auto& retired : third.head.retired())
    for (const auto& ref : third.head.parts())
      CHECK(ref.digest() != retired.digest());
}

}  // namespace
}  // namespace mimosa
