// Tests of mimosactl's catalogue edits, differences and histograms.
#include <catch2/catch.hpp>
#include <string>

#include "tools/mimosactl_edits.h"
#include "tools/mimosactl_routers.h"

namespace mimosa {
namespace {

wire::Catalogue TwoCustomers() {
  wire::Catalogue catalogue;
  catalogue.add_customers()->set_id("a");
  catalogue.add_customers()->set_id("b");
  catalogue.add_back_ends()->set_id("engine");
  return catalogue;
}

wire::Key MakeKey(const std::string& id) {
  wire::Key key;
  key.set_id(id);
  return key;
}

TEST_CASE("catalogues are compared by entry id, ignoring order and version") {
  const wire::Catalogue before = TwoCustomers();
  wire::Catalogue after = before;
  after.mutable_customers()->SwapElements(0, 1);
  after.set_version(9);
  CHECK(DiffCatalogues(before, after).empty());
  after.mutable_customers(0)->set_owner("x");
  after.mutable_customers()->DeleteSubrange(1, 1);
  after.add_routes()->set_id("r");
  const auto differences = DiffCatalogues(before, after);
  REQUIRE(differences.size() == 3);
  CHECK(differences[0].kind == DifferenceKind::kRemoved);
  CHECK(differences[0].entry == "customers (a)");
  CHECK(differences[1].kind == DifferenceKind::kChanged);
  CHECK(differences[1].after.find("\"owner\":\"x\"") != std::string::npos);
  CHECK(differences[2].kind == DifferenceKind::kAdded);
}

TEST_CASE("an edit changes one entry, or fails and changes nothing") {
  wire::Catalogue catalogue = TwoCustomers();
  CHECK(AddKey("a", MakeKey("k"), &catalogue));
  CHECK_FALSE(AddKey("a", MakeKey("k"), &catalogue));
  CHECK_FALSE(AddKey("nobody", MakeKey("k"), &catalogue));
  CHECK(catalogue.customers(0).keys_size() == 1);
  CHECK_FALSE(RemoveKey("b", "k", &catalogue));
  CHECK(RemoveKey("a", "k", &catalogue));
  CHECK(catalogue.customers(0).keys_size() == 0);
  CHECK(SetDraining("engine", true, &catalogue));
  CHECK(catalogue.back_ends(0).draining());
  CHECK_FALSE(SetDraining("other", true, &catalogue));
}

TEST_CASE("histograms of several routers are added up") {
  const std::string scrape =
      "# HELP m x\n# TYPE m histogram\n"
      "m_bucket{class=\"prompt\",le=\"0.1\"} 3\n"
      "m_bucket{class=\"prompt\",le=\"+Inf\"} 4\n"
      "m_bucket{class=\"patient\",le=\"0.1\"} 1\n"
      "m_bucket{class=\"patient\",le=\"+Inf\"} 1\n"
      "m_sum{class=\"prompt\"} 4\nother_bucket{le=\"0.1\"} 9\nnonsense\n";
  HistogramsByLabels histograms;
  AddHistograms(scrape, "m", &histograms);
  AddHistograms(scrape, "m", &histograms);
  REQUIRE(histograms.size() == 2);
  const HistogramBuckets& prompt = histograms["class=\"prompt\""];
  REQUIRE(prompt.size() == 2);
  CHECK(prompt[0].second == 6);
  CHECK(prompt[1].second == 8);
  CHECK(QuantileOf(prompt, 0.5) == 0.1);
  CHECK(QuantileOf({}, 0.5) == 0);
}

}  // namespace
}  // namespace mimosa
