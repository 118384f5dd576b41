// Each command reads its input, performs one operation and prints the result as
// text or JSON.
#include "tools/mimosactl_commands.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <limits>
#include <ostream>
#include <sstream>
#include <utility>

#include "base/digest.h"
#include "base/json.h"
#include "decide/catalogue.h"
#include "decide/credentials.h"
#include "tools/mimosactl_explain.h"

namespace mimosa {
namespace {

constexpr int kChangeIdBytes = 16;
// Length of a full histogram bar, in characters.
constexpr int kBarWidth = 40;
// The metric that `histograms` shows.
constexpr char kHistogramMetric[] = "mimosa_request_seconds";

int64_t WallClockMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Json::Value ToJsonList(const std::vector<CatalogueError>& errors) {
  Json::Value list(Json::arrayValue);
  for (const CatalogueError& error : errors) {
    Json::Value item;
    item["kind"] = CatalogueErrorKindName(error.kind);
    item["entry"] = error.entry;
    item["field"] = error.field;
    item["detail"] = error.detail;
    list.append(item);
  }
  return list;
}

std::string ToText(const std::vector<CatalogueError>& errors) {
  std::string text;
  for (const CatalogueError& error : errors)
    text += "\n  " + error.entry + " " + error.field + ": " + error.detail +
            " (" + CatalogueErrorKindName(error.kind) + ")";
  return text;
}

Json::Value ToJsonList(const std::vector<Difference>& differences) {
  Json::Value list(Json::arrayValue);
  for (const Difference& difference : differences) {
    Json::Value item;
    item["kind"] = DifferenceKindName(difference.kind);
    item["entry"] = difference.entry;
    item["before"] = difference.before;
    item["after"] = difference.after;
    list.append(item);
  }
  return list;
}

std::string ToText(const std::vector<Difference>& differences) {
  std::string text;
  for (const Difference& difference : differences) {
    text += std::string(DifferenceKindName(difference.kind)) + " " +
            difference.entry + "\n";
    if (!difference.before.empty()) text += "  - " + difference.before + "\n";
    if (!difference.after.empty()) text += "  + " + difference.after + "\n";
  }
  return text;
}

Json::Value ToJsonList(const HistogramsByLabels& histograms) {
  Json::Value list(Json::arrayValue);
  for (const auto& [labels, buckets] : histograms) {
    Json::Value item;
    item["labels"] = labels;
    for (const auto& [bound, count] : buckets) {
      Json::Value bucket;
      // JSON can't represent infinity, so the last bucket has no "le".
      if (bound < std::numeric_limits<double>::max()) bucket["le"] = bound;
      bucket["count"] = count;
      item["buckets"].append(bucket);
    }
    list.append(item);
  }
  return list;
}

std::string ToText(const HistogramBuckets& buckets) {
  std::string text;
  double previous = 0;
  for (const auto& [bound, cumulative] : buckets) {
    const double count = cumulative - previous;
    previous = cumulative;
    if (count <= 0) continue;
    const double share = count / buckets.back().second;
    char line[96];
    (void)std::snprintf(line, sizeof(line), "  <= %7g s %8.0f  ", bound, count);
    text += line;
    text +=
        std::string(static_cast<size_t>(1 + (share * kBarWidth)), '#') + "\n";
  }
  return text;
}

std::string ToText(const HistogramsByLabels& histograms) {
  std::string text;
  for (const auto& [labels, buckets] : histograms) {
    if (buckets.empty() || buckets.back().second == 0) continue;
    char head[96];
    (void)std::snprintf(head, sizeof(head),
                        ": %.0f requests, p50 <= %g s, p95 <= %g s\n",
                        buckets.back().second, QuantileOf(buckets, 0.5),
                        QuantileOf(buckets, 0.95));
    text += labels + head + ToText(buckets);
  }
  return text;
}

// Returns the query string of a /metrics request. Customer ids need no
// percent-encoding.
std::string HistogramQuery(const std::string& customer) {
  return "?detail=full" +
         (customer.empty() ? std::string() : "&customer=" + customer);
}

}  // namespace

const char kCtlOperands[] = "COMMAND [ARGUMENT...]";
const char kCtlNotes[] =
    "Commands:\n"
    "  catalogue check FILE        report every error in a catalogue file\n"
    "  catalogue diff FILE         show what applying the file would change\n"
    "  catalogue apply FILE        replace the catalogue in force; a file with "
    "a\n"
    "                              version applies to that version only\n"
    "  catalogue history           list the latest changes\n"
    "  catalogue show              print the catalogue in force as a file to "
    "edit\n"
    "  key give CUSTOMER KEY       create a key; its secret is shown only "
    "once\n"
    "  key withdraw CUSTOMER KEY   revoke a key\n"
    "  key list [CUSTOMER]         list keys, without their secrets\n"
    "  back-end drain ID           send no new work to a back end\n"
    "  back-end undrain ID         send work to the back end again\n"
    "  status                      show the status of each router\n"
    "  histograms [CUSTOMER]       show latencies by class, or of one "
    "customer\n"
    "  daemons                     show the status of entry daemons; "
    "--routers\n"
    "                              lists their control addresses\n"
    "  explain ID LOG...           show from log files how a request was "
    "handled\n"
    "\n"
    "Exit codes:\n"
    "  0 done                      4 platform unavailable, nothing written\n"
    "  1 usage                     5 unknown outcome: see catalogue history\n"
    "  2 invalid input             6 no such entry, or it exists already\n"
    "  3 conflict, nothing written 7 not in force at all routers";

struct CtlCommands::Command {
  const char* group;  // empty for commands of a single word
  const char* verb;
  size_t min_arguments;
  size_t max_arguments;
  bool needs_platform;
  bool needs_routers;
  Handler handler;
};

const std::vector<CtlCommands::Command>& CtlCommands::CommandTable() {
  static const std::vector<Command> table = {
      {"catalogue", "check", 1, 1, false, false,
       &CtlCommands::CheckCatalogueFile},
      {"catalogue", "diff", 1, 1, true, false, &CtlCommands::DiffCatalogueFile},
      {"catalogue", "apply", 1, 1, true, false,
       &CtlCommands::ApplyCatalogueFile},
      {"catalogue", "history", 0, 0, true, false, &CtlCommands::ShowHistory},
      {"catalogue", "show", 0, 0, true, false, &CtlCommands::ShowCatalogue},
      {"key", "give", 2, 2, true, false, &CtlCommands::CreateKey},
      {"key", "withdraw", 2, 2, true, false, &CtlCommands::RevokeKey},
      {"key", "list", 0, 1, true, false, &CtlCommands::ListKeys},
      {"back-end", "drain", 1, 1, true, false, &CtlCommands::DrainBackEnd},
      {"back-end", "undrain", 1, 1, true, false, &CtlCommands::UndrainBackEnd},
      {"", "status", 0, 0, false, true, &CtlCommands::ShowStatus},
      {"", "histograms", 0, 1, false, true, &CtlCommands::ShowHistograms},
      {"", "daemons", 0, 0, false, true, &CtlCommands::ShowDaemons},
      {"", "explain", 2, 1000, false, false, &CtlCommands::ExplainRequest},
  };
  return table;
}

CtlCommands::CtlCommands(const wire::CtlSettings& settings,
                         CatalogueStore* store, RouterClient* routers,
                         std::ostream* out, std::ostream* err)
    : settings_(settings),
      store_(store),
      routers_(routers),
      out_(*out),
      err_(*err) {}

int CtlCommands::Run(const std::vector<std::string>& operands) {
  for (const Command& command : CommandTable()) {
    std::vector<std::string> words;
    if (*command.group != '\0') words.emplace_back(command.group);
    words.emplace_back(command.verb);
    if (operands.size() < words.size() ||
        !std::equal(words.begin(), words.end(), operands.begin()))
      continue;
    const Arguments arguments(
        operands.begin() + static_cast<std::ptrdiff_t>(words.size()),
        operands.end());
    if (arguments.size() < command.min_arguments ||
        arguments.size() > command.max_arguments)
      return ReportError(kCtlUsage, "usage",
                         "wrong number of arguments; see --help");
    if (command.needs_platform && settings_.platform().empty())
      return ReportError(kCtlUsage, "usage", "--platform is required");
    if (command.needs_routers && settings_.routers().empty())
      return ReportError(kCtlUsage, "usage", "--routers is required");
    return RunCommand(command, arguments);
  }
  return ReportError(kCtlUsage, "usage", "no such command; see --help");
}

int CtlCommands::RunCommand(const Command& command,
                            const Arguments& arguments) {
  return leaf::try_handle_all(
      [&] { return (this->*command.handler)(arguments); },
      [&](const CatalogueErrors& invalid) {
        return ReportError(kCtlInvalidInput, "faults",
                           std::to_string(invalid.errors.size()) + " fault(s)" +
                               ToText(invalid.errors),
                           ToJsonList(invalid.errors));
      },
      [&](const JsonError& error) {
        return ReportError(kCtlInvalidInput, "faults",
                           error.source + ": " + error.detail);
      },
      [&](const StoreError& error) {
        const char* kind = StoreErrorKindName(error.kind);
        switch (error.kind) {
          case StoreErrorKind::kUnknownOutcome:
            return ReportError(kCtlUnknownOutcome, kind, error.detail);
          case StoreErrorKind::kConflict:
            return ReportError(kCtlConflict, kind, error.detail);
          case StoreErrorKind::kCorrupt:
            return ReportError(kCtlInvalidInput, kind, error.detail);
          case StoreErrorKind::kUnavailable:
            break;
        }
        return ReportError(kCtlUnavailable, kind, error.detail);
      },
      [&](const EditError& error) {
        const bool missing = error.kind == EditErrorKind::kNoSuchEntry;
        return ReportError(kCtlNoSuchEntry,
                           missing ? "no_such_entry" : "already_there",
                           error.detail);
      },
      [&] { return ReportError(kCtlUsage, "internal", "unknown error"); });
}

// ---- Catalogue commands ----

leaf::result<wire::Catalogue> CtlCommands::LoadCatalogueFile(
    const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return leaf::new_error(JsonError{path, "can't be read"});
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  wire::Catalogue catalogue;
  BOOST_LEAF_CHECK(FromJson(text, /*strict=*/true, &catalogue));
  std::vector<CatalogueError> errors = CheckCatalogue(catalogue);
  if (!errors.empty())
    return leaf::new_error(CatalogueErrors{std::move(errors)});
  return catalogue;
}

CtlCommands::Result CtlCommands::CheckCatalogueFile(
    const Arguments& arguments) {
  BOOST_LEAF_AUTO(catalogue, LoadCatalogueFile(arguments[0]));
  Json::Value json;
  json["customers"] = catalogue.customers_size();
  json["routes"] = catalogue.routes_size();
  json["back_ends"] = catalogue.back_ends_size();
  std::ostringstream text;
  text << "no faults: " << catalogue.customers_size() << " customers, "
       << catalogue.routes_size() << " routes, " << catalogue.back_ends_size()
       << " back ends\n";
  PrintResult(json, text.str());
  return kCtlOk;
}

CtlCommands::Result CtlCommands::DiffCatalogueFile(const Arguments& arguments) {
  BOOST_LEAF_AUTO(catalogue, LoadCatalogueFile(arguments[0]));
  BOOST_LEAF_AUTO(current, store_->Read());
  const auto differences = DiffCatalogues(current.catalogue, catalogue);
  Json::Value json;
  json["version"] = Json::UInt64(current.stored.head.version());
  json["differences"] = ToJsonList(differences);
  PrintResult(json,
              differences.empty() ? "no differences\n" : ToText(differences));
  return kCtlOk;
}

CtlCommands::Result CtlCommands::ApplyCatalogueFile(
    const Arguments& arguments) {
  BOOST_LEAF_AUTO(catalogue, LoadCatalogueFile(arguments[0]));
  BOOST_LEAF_AUTO(current, store_->Read());
  const uint64_t version = current.stored.head.version();
  if (catalogue.version() != 0 && catalogue.version() != version) {
    const auto differences = DiffCatalogues(current.catalogue, catalogue);
    return ReportError(
        kCtlConflict, "lost_race",
        "the file is based on version " + std::to_string(catalogue.version()) +
            ", but the version in force is " + std::to_string(version) +
            "; differences from the catalogue in force to the file:\n" +
            ToText(differences),
        ToJsonList(differences));
  }
  if (DiffCatalogues(current.catalogue, catalogue).empty() && version != 0)
    return FinishWrite(version, Json::Value(Json::objectValue),
                       "no differences; ");
  bool conflict = false;
  auto written = leaf::try_handle_some(
      [&] { return store_->Write(current, catalogue, NewChange("apply")); },
      [&](const StoreError& error,
          const leaf::error_info& info) -> leaf::result<uint64_t> {
        conflict = error.kind == StoreErrorKind::kConflict;
        if (conflict) return uint64_t{0};
        return info.error();
      });
  if (!written) return written.error();
  if (conflict) return ReportConflict(current);
  return FinishWrite(*written, Json::Value(Json::objectValue), "applied; ");
}

// Reports what other writers changed since `before` was read.
int CtlCommands::ReportConflict(const VersionedCatalogue& before) {
  const auto after = leaf::try_handle_all(
      [&]() -> leaf::result<VersionedCatalogue> { return store_->Read(); },
      [] { return VersionedCatalogue(); });
  const auto differences = DiffCatalogues(before.catalogue, after.catalogue);
  std::string text = "a concurrent change was written first:";
  for (const auto& change : after.stored.head.history())
    if (change.version() > before.stored.head.version())
      text += " version " + std::to_string(change.version()) + " by " +
              change.author() + " (" + change.summary() + ")";
  return ReportError(kCtlConflict, "lost_race",
                     text + "\n" + ToText(differences),
                     ToJsonList(differences));
}

CtlCommands::Result CtlCommands::ShowHistory(const Arguments& /*arguments*/) {
  BOOST_LEAF_AUTO(current, store_->Read());
  Json::Value json;
  json["history"] = Json::Value(Json::arrayValue);
  std::string text;
  for (const wire::CatalogueChange& change : current.stored.head.history()) {
    json["history"].append(ToJsonValue(change));
    text += std::to_string(change.version()) + "  " + change.author() + "  " +
            change.summary() + "  [" + change.change_id() + "]\n";
  }
  PrintResult(json, text);
  return kCtlOk;
}

CtlCommands::Result CtlCommands::ShowCatalogue(const Arguments& /*arguments*/) {
  BOOST_LEAF_AUTO(current, store_->Read());
  PrintResult(ToJsonValue(current.catalogue),
              ToPrettyJson(current.catalogue) + "\n");
  return kCtlOk;
}

// ---- Commands that edit the stored catalogue ----

wire::CatalogueChange CtlCommands::NewChange(
    const std::string& default_summary) const {
  wire::CatalogueChange change;
  change.set_change_id(RandomHex(kChangeIdBytes));
  change.set_author(settings_.author());
  change.set_summary(settings_.summary().empty() ? default_summary
                                                 : settings_.summary());
  change.set_unix_ms(WallClockMillis());
  return change;
}

// A write that fails with a conflict has changed nothing, so the edit is
// repeated on the newer catalogue. Contention bounds the number of rounds,
// since another writer succeeded in each round that failed.
leaf::result<uint64_t> CtlCommands::WriteEdit(const std::string& summary,
                                              const Edit& edit) {
  constexpr int kMaxRounds = 100;
  for (int round = 1;; ++round) {
    BOOST_LEAF_AUTO(current, store_->Read());
    wire::Catalogue edited = current.catalogue;
    BOOST_LEAF_CHECK(edit(&edited));
    if (DiffCatalogues(current.catalogue, edited).empty())
      return current.stored.head.version();
    std::vector<CatalogueError> errors = CheckCatalogue(edited);
    if (!errors.empty())
      return leaf::new_error(CatalogueErrors{std::move(errors)});
    bool conflict = false;
    auto written = leaf::try_handle_some(
        [&] { return store_->Write(current, edited, NewChange(summary)); },
        [&](const StoreError& error,
            const leaf::error_info& info) -> leaf::result<uint64_t> {
          conflict =
              error.kind == StoreErrorKind::kConflict && round < kMaxRounds;
          if (conflict) return uint64_t{0};
          return info.error();
        });
    if (!conflict) return written;
  }
}

CtlCommands::Result CtlCommands::CreateKey(const Arguments& arguments) {
  // The fixed prefix and length let credential filters recognize keys in places
  // where they must not appear.
  const std::string secret =
      std::string(kKeyPrefix) + RandomHex(kKeyHexDigits / 2);
  wire::Key key;
  key.set_id(arguments[1]);
  key.set_digest(Sha256Hex(secret));
  BOOST_LEAF_AUTO(version,
                  WriteEdit("give key " + key.id() + " to " + arguments[0],
                            [&](wire::Catalogue* catalogue) {
                              return AddKey(arguments[0], key, catalogue);
                            }));
  Json::Value json;
  json["customer"] = arguments[0];
  json["key"] = key.id();
  json["secret"] = secret;
  return FinishWrite(version, std::move(json),
                     "secret, shown this once only: " + secret + "\n");
}

CtlCommands::Result CtlCommands::RevokeKey(const Arguments& arguments) {
  BOOST_LEAF_AUTO(
      version,
      WriteEdit("withdraw key " + arguments[1] + " from " + arguments[0],
                [&](wire::Catalogue* catalogue) {
                  return RemoveKey(arguments[0], arguments[1], catalogue);
                }));
  return FinishWrite(version, Json::Value(Json::objectValue), "withdrawn; ");
}

CtlCommands::Result CtlCommands::ListKeys(const Arguments& arguments) {
  BOOST_LEAF_AUTO(current, store_->Read());
  Json::Value json;
  json["keys"] = Json::Value(Json::arrayValue);
  std::string text;
  for (const wire::Customer& customer : current.catalogue.customers()) {
    if (!arguments.empty() && customer.id() != arguments[0]) continue;
    for (const wire::Key& key : customer.keys()) {
      Json::Value item;
      item["customer"] = customer.id();
      item["key"] = key.id();
      item["digest"] = key.digest();
      json["keys"].append(item);
      text += customer.id() + "  " + key.id() + "  " + key.digest() + "\n";
    }
  }
  PrintResult(json, text);
  return kCtlOk;
}

CtlCommands::Result CtlCommands::DrainBackEnd(const Arguments& arguments) {
  BOOST_LEAF_AUTO(
      version,
      WriteEdit("drain " + arguments[0], [&](wire::Catalogue* catalogue) {
        return SetDraining(arguments[0], true, catalogue);
      }));
  return FinishWrite(version, Json::Value(Json::objectValue), "draining; ");
}

CtlCommands::Result CtlCommands::UndrainBackEnd(const Arguments& arguments) {
  BOOST_LEAF_AUTO(
      version,
      WriteEdit("undrain " + arguments[0], [&](wire::Catalogue* catalogue) {
        return SetDraining(arguments[0], false, catalogue);
      }));
  return FinishWrite(version, Json::Value(Json::objectValue), "not draining; ");
}

// ---- Router commands ----

CtlCommands::Result CtlCommands::ShowStatus(const Arguments& /*arguments*/) {
  Json::Value json;
  json["routers"] = Json::Value(Json::arrayValue);
  std::string text;
  bool all = true;
  for (const RouterStatus& router : routers_->FetchStatus()) {
    Json::Value item;
    item["address"] = router.address;
    item["answered"] = router.responded;
    if (router.responded)
      item["status"] = router.status;
    else
      item["problem"] = router.error;
    json["routers"].append(item);
    text += router.address + "  " +
            (router.responded ? WriteJson(router.status) : router.error) + "\n";
    all = all && router.responded;
  }
  PrintResult(json, text);
  return all ? kCtlOk : kCtlNotAllRouters;
}

CtlCommands::Result CtlCommands::ShowHistograms(const Arguments& arguments) {
  const std::string customer = arguments.empty() ? "" : arguments[0];
  std::string metric = kHistogramMetric;
  if (!customer.empty()) metric += "_histogram_by_customer";
  HistogramsByLabels histograms;
  const std::vector<std::string> scrapes =
      routers_->FetchMetrics(HistogramQuery(customer));
  for (const std::string& scrape : scrapes)
    AddHistograms(scrape, metric, &histograms);
  Json::Value json;
  json["routers_answered"] = Json::UInt64(scrapes.size());
  json["histograms"] = ToJsonList(histograms);
  PrintResult(json, ToText(histograms));
  return scrapes.empty() ? kCtlNotAllRouters : kCtlOk;
}

// ---- Entry daemon commands ----

CtlCommands::Result CtlCommands::ShowDaemons(const Arguments& /*arguments*/) {
  Json::Value json(Json::arrayValue);
  std::string text;
  bool all = true;
  for (const RouterStatus& daemon : routers_->FetchStatus()) {
    json.append(daemon.responded ? daemon.status : Json::Value(daemon.error));
    text += daemon.responded ? DescribeDaemon(daemon.status)
                             : daemon.address + ": " + daemon.error + "\n";
    all = all && daemon.responded;
  }
  PrintResult(json, text);
  return all ? kCtlOk : kCtlNotAllRouters;
}

CtlCommands::Result CtlCommands::ExplainRequest(const Arguments& arguments) {
  RequestExplainer explainer(arguments[0]);
  for (size_t i = 1; i < arguments.size(); ++i) {
    std::ifstream log(arguments[i]);
    if (!log) return leaf::new_error(JsonError{arguments[i], "can't be read"});
    explainer.ReadLog(&log);
  }
  Json::Value json(Json::arrayValue);
  std::string text;
  for (const LogEntry& entry : explainer.Timeline()) {
    Json::Value item = entry.fields;
    item["meaning"] = entry.meaning;
    json.append(item);
    text += std::to_string(entry.unix_ms) + "  " + entry.daemon + "  " +
            entry.meaning + "\n";
  }
  if (json.empty()) {
    return leaf::new_error(EditError{
        EditErrorKind::kNoSuchEntry,
        "no log line about request " + arguments[0] +
            "; it was left out by sampling, is in another daemon's log, or "
            "the id is wrong"});
  }
  PrintResult(json, text);
  return kCtlOk;
}

// ---- Output ----

int CtlCommands::FinishWrite(uint64_t version, Json::Value json,
                             const std::string& text) {
  json["version"] = Json::UInt64(version);
  const bool wait = settings_.wait_ms() > 0 && !settings_.routers().empty();
  bool everywhere = true;
  if (wait) {
    everywhere = routers_->AwaitVersion(
        version, std::chrono::milliseconds(settings_.wait_ms()));
    json["in_force_everywhere"] = everywhere;
  }
  PrintResult(json, text + "version " + std::to_string(version) +
                        (wait ? everywhere ? ", in force at all routers"
                                           : ", not yet in force at all routers"
                              : "") +
                        "\n");
  return everywhere ? kCtlOk : kCtlNotAllRouters;
}

void CtlCommands::PrintResult(const Json::Value& json,
                              const std::string& text) {
  out_ << (settings_.json() ? WriteJson(json) + "\n" : text);
}

int CtlCommands::ReportError(int code, const std::string& kind,
                             const std::string& detail,
                             const Json::Value& more) {
  if (!settings_.json()) {
    err_ << "mimosactl: " << kind << ": " << detail << "\n";
    return code;
  }
  Json::Value json;
  json["error"] = kind;
  json["detail"] = detail;
  json["exit_code"] = code;
  if (!more.isNull()) json["items"] = more;
  out_ << WriteJson(json) << "\n";
  return code;
}

}  // namespace mimosa
