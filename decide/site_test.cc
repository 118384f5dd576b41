// Tests of lookups in a configuration, and of the list of backend servers over
// outages.
#include "decide/site.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/random.h"
#include "decide/back_end_list.h"

namespace mimosa {
namespace {

SiteRoute Route(const std::string& host, const std::string& prefix) {
  SiteRoute route;
  route.id = RouteId(host + prefix);
  route.host = host;
  route.prefix = prefix;
  return route;
}

// A slow reference implementation that tries every route.
const SiteRoute* FindRouteSlowly(const std::vector<SiteRoute>& routes,
                                 const std::string& host,
                                 const std::string& path) {
  const SiteRoute* best = nullptr;
  for (const SiteRoute& route : routes) {
    if (route.host != host ||
        path.compare(0, route.prefix.size(), route.prefix) != 0)
      continue;
    if (best == nullptr || route.prefix.size() > best->prefix.size())
      best = &route;
  }
  return best;
}

// Paths over a small alphabet, so that prefixes match often.
std::string RandomPath(SeededRandom* random, bool end_with_slash) {
  std::string path = "/";
  for (uint64_t i = random->UniformInt(5); i > 0; --i)
    path += "ab/"[random->UniformInt(3)];
  if (end_with_slash && path.back() != '/') path += '/';
  return path;
}

TEST_CASE("FindRoute returns the same route as a search through all routes") {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    SeededRandom random(seed);
    std::vector<SiteRoute> routes;
    for (int i = 0; i < 6; ++i) {
      const SiteRoute route = Route(random.UniformInt(2) == 0 ? "x" : "y",
                                    RandomPath(&random, true));
      const bool known =
          std::any_of(routes.begin(), routes.end(),
                      [&](const SiteRoute& r) { return r.id == route.id; });
      if (!known) routes.push_back(route);
    }
    const SiteConfig config(1, routes, {}, {}, {});
    for (int i = 0; i < 40; ++i) {
      const std::string host = random.UniformInt(2) == 0 ? "x" : "y";
      const std::string path = RandomPath(&random, false);
      const SiteRoute* expected = FindRouteSlowly(routes, host, path);
      const SiteRoute* found = config.FindRoute(host, path + "?q=/a/");
      INFO("seed " << seed << " host " << host << " path " << path);
      REQUIRE((found == nullptr) == (expected == nullptr));
      if (found != nullptr) CHECK(found->id == expected->id);
    }
  }
}

TEST_CASE("FindRoute ignores the case and the port of the host") {
  const SiteConfig config(1, {Route("Desk.example", "/a/")}, {}, {}, {});
  CHECK(config.FindRoute("desk.EXAMPLE:8080", "/a/b") != nullptr);
  CHECK(config.FindRoute("other.example", "/a/b") == nullptr);
  CHECK(config.FindRoute("desk.example", "/a") == nullptr);
}

TEST_CASE("FindCustomerByKey returns the owner of each key") {
  SiteCustomer customer;
  customer.id = CustomerId("c");
  customer.keys = {"k1", "k2"};
  const SiteConfig config(1, {}, {}, {customer}, {});
  REQUIRE(config.FindCustomerByKey("k2") != nullptr);
  CHECK(config.FindCustomerByKey("k2")->id == CustomerId("c"));
  CHECK(config.FindCustomerByKey("k3") == nullptr);
  CHECK(config.FindCustomerByKey("") == nullptr);
}

// --- Backend servers --------------------------------------------------------

BackEndEntry Entry(const std::string& id) {
  BackEndEntry entry;
  entry.id = BackEndId(id);
  return entry;
}

MonoTime At(int ms) { return MonoTime(std::chrono::milliseconds(ms)); }

TEST_CASE("a removal without an outage takes effect at once") {
  BackEndList list;
  list.Put(Entry("a"), At(0));
  list.Remove(BackEndId("a"), At(1));
  CHECK(list.entries().empty());
  list.Put(Entry("b"), At(2));
  list.ReplaceAll({Entry("c")}, At(3));
  REQUIRE(list.entries().size() == 1);
  CHECK(list.entries().begin()->first == BackEndId("c"));
}

// Leases expire while the store is down. Guards against losing all back ends
// when it comes back with few or no entries.
TEST_CASE(
    "entries that expired in an outage are kept until the grace is over") {
  BackEndList list;
  for (const char* id : {"a", "b"}) list.Put(Entry(id), At(0));
  list.OnStoreLost();
  CHECK(list.entries().size() == 2);
  list.OnStoreRegained(At(5000));
  list.ReplaceAll({}, At(5010));
  CHECK(list.entries().size() == 2);
  CHECK(list.entries().at(BackEndId("a")).removal_pending);
  REQUIRE(list.NextExpiry());
  CHECK(*list.NextExpiry() == At(7000));
  list.Put(Entry("a"), At(6500));  // Its server is alive.
  list.RemoveExpired(At(6999));
  CHECK(list.entries().size() == 2);
  list.RemoveExpired(At(7000));
  REQUIRE(list.entries().size() == 1);
  CHECK(list.entries().begin()->first == BackEndId("a"));
  CHECK_FALSE(list.NextExpiry());
}

// Guards against new requests for servers that are known to leave.
TEST_CASE("an older copy brings no departed server back") {
  BackEndList list;
  for (const char* id : {"drained", "removed", "stays", "lost"})
    list.Put(Entry(id), At(0));
  BackEndEntry draining = Entry("drained");
  draining.draining = true;
  list.Put(draining, At(1000));
  list.Remove(BackEndId("removed"), At(1000));
  list.ReplaceByOlderCopy({Entry("drained"), Entry("removed"), Entry("stays")},
                          At(2000));
  const auto is_draining = [&list](const char* id) {
    return list.entries().at(BackEndId(id)).entry.draining;
  };
  CHECK(is_draining("drained"));
  CHECK(is_draining("removed"));
  CHECK_FALSE(is_draining("stays"));
  CHECK(list.entries().at(BackEndId("lost")).removal_pending);
  SECTION("unless it is another incarnation") {
    BackEndEntry restarted = Entry("removed");
    restarted.incarnation = 2;
    list.ReplaceByOlderCopy({restarted}, At(2100));
    CHECK_FALSE(is_draining("removed"));
  }
  SECTION("or writes its entry again") {
    list.Put(Entry("removed"), At(2100));
    CHECK_FALSE(is_draining("removed"));
  }
  SECTION("or is listed for longer than an entry without a server") {
    list.RemoveExpired(At(4000));
    CHECK(list.entries().count(BackEndId("lost")) == 0);
    REQUIRE(list.NextExpiry());
    CHECK(*list.NextExpiry() == At(12000));
    list.RemoveExpired(At(11999));
    CHECK(is_draining("removed"));
    list.RemoveExpired(At(12000));
    CHECK_FALSE(is_draining("removed"));
    CHECK_FALSE(list.NextExpiry());
  }
  SECTION("or departed before any copy was made") {
    list.Put(Entry("removed"), At(3000));
    list.Remove(BackEndId("removed"), At(5000));
    list.ReplaceByOlderCopy({Entry("removed")}, At(40000));
    CHECK_FALSE(is_draining("removed"));
  }
}

TEST_CASE("a second outage within the grace restarts it") {
  BackEndList list;
  list.Put(Entry("a"), At(0));
  list.OnStoreLost();
  list.OnStoreRegained(At(1000));
  list.Remove(BackEndId("a"), At(1100));
  list.OnStoreLost();
  list.RemoveExpired(At(3500));
  CHECK(list.entries().size() == 1);
  list.OnStoreRegained(At(4000));
  list.RemoveExpired(At(5999));
  CHECK(list.entries().size() == 1);
  list.RemoveExpired(At(6000));
  CHECK(list.entries().empty());
}

}  // namespace
}  // namespace mimosa
