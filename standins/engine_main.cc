// standin-engine: stand-in for a model engine in the prefill or decode role,
// for tests.
#include <tclap/CmdLine.h>

#include <string>
#include <vector>

#include "standins/engine_server.h"
#include "standins/serve.h"

namespace mimosa::standins {
namespace {

using TCLAP::ValueArg;
using TCLAP::ValuesConstraint;

// Defines and parses the command-line flags.
class Flags {
 public:
  Flags()
      : cmd_("Stand-in for a model engine, for tests", '=', "1"),
        roles_(role_names_),
        fencings_(fencing_names_),
        disconnects_(disconnect_names_),
        role_("", "role", "prefill or decode", true, "decode", &roles_, cmd_),
        listen_("", "listen", "address to listen on", false, "127.0.0.1:0",
                "ip:port", cmd_),
        fencing_("", "fencing",
                 "how to treat requests with an old fencing "
                 "number",
                 false, "check", &fencings_, cmd_),
        on_disconnect_("", "on-disconnect",
                       "how to treat a stream whose reader disconnects", false,
                       "keep", &disconnects_, cmd_) {}

  EngineServerOptions Parse(int argc, char** argv) {
    cmd_.parse(argc, argv);
    EngineServerOptions out;
    out.starts_as_prefill = role_.getValue() == "prefill";
    out.check_fencing = fencing_.getValue() == "check";
    out.load_lag = Scaled(load_lag_ms_, 1000);
    out.cache_blocks = static_cast<size_t>(cache_blocks_.getValue());
    out.cache_event_lag = Scaled(cache_lag_ms_, 1000);
    out.cache_event_loss_one_in = static_cast<uint64_t>(cache_loss_.getValue());
    out.seed = static_cast<uint64_t>(seed_.getValue());
    FillEngine(&out.engine);
    return out;
  }

  std::string listen() { return listen_.getValue(); }

 private:
  using Int = ValueArg<int64_t>;

  void FillEngine(EngineOptions* out) {
    out->kv_pieces = Pieces(pieces_.getValue());
    out->max_running = max_running_.getValue();
    out->max_waiting = max_waiting_.getValue();
    out->prefill_time_per_token = Scaled(prefill_us_, 1);
    out->base_step_time = Scaled(token_us_, 1);
    out->step_time_per_stream = Scaled(running_us_, 1);
    out->kv_ttl = Scaled(kv_ttl_ms_, 1000);
    out->resume_window = Scaled(linger_ms_, 1000);
    out->link_bytes_per_second = link_rate_.getValue();
    out->kv_bytes_per_token = kv_bytes_.getValue();
    out->time_scale = time_scale_.getValue();
    out->cancel_on_disconnect = on_disconnect_.getValue() == "cancel";
  }

  Duration Scaled(Int& flag, int64_t microseconds) {
    return Duration(static_cast<int64_t>(
        static_cast<double>(flag.getValue() * microseconds) *
        time_scale_.getValue()));
  }

  TCLAP::CmdLine cmd_;
  std::vector<std::string> role_names_{"prefill", "decode"};
  std::vector<std::string> fencing_names_{"check", "ignore"};
  std::vector<std::string> disconnect_names_{"keep", "cancel"};
  ValuesConstraint<std::string> roles_;
  ValuesConstraint<std::string> fencings_;
  ValuesConstraint<std::string> disconnects_;
  ValueArg<std::string> role_;
  ValueArg<std::string> listen_;
  ValueArg<std::string> fencing_;
  ValueArg<std::string> on_disconnect_;
  Int pieces_{"", "pieces", "size of the KV memory", false, 20, "pieces", cmd_};
  Int max_running_{
      "",         "max-running", "concurrent prompts or streams", false, 32,
      "requests", cmd_};
  Int max_waiting_{"",         "max-waiting", "prompts in the queue", false, 64,
                   "requests", cmd_};
  Int prefill_us_{
      "",  "prefill-us-per-token", "prefill time per token", false, 20, "us",
      cmd_};
  Int token_us_{
      "",    "token-us", "duration of a decode step of an empty batch",
      false, 5000,       "us",
      cmd_};
  Int running_us_{"",
                  "token-us-per-running",
                  "added to a decode step per running stream",
                  false,
                  200,
                  "us",
                  cmd_};
  Int kv_ttl_ms_{"",    "kv-ttl-ms", "lifetime of an unclaimed prefill result",
                 false, 1000,        "ms",
                 cmd_};
  Int linger_ms_{
      "",    "linger-ms", "lifetime of a stream that finished unread",
      false, 1000,        "ms",
      cmd_};
  Int link_rate_{"",
                 "link-bytes-per-s",
                 "bandwidth of the KV link",
                 false,
                 1 << 30,
                 "bytes",
                 cmd_};
  Int kv_bytes_{
      "",  "kv-bytes-per-token", "KV size per token", false, 16384, "bytes",
      cmd_};
  Int load_lag_ms_{
      "", "load-lag-ms", "maximum age of load reports", false, 200, "ms", cmd_};
  Int cache_blocks_{"",    "cache-blocks", "capacity of the prefix cache",
                    false, 1024,           "blocks",
                    cmd_};
  Int cache_lag_ms_{
      "", "cache-lag-ms", "delay of cache events", false, 300, "ms", cmd_};
  Int cache_loss_{"",
                  "cache-gap-every",
                  "on average, one of this many cache events is lost",
                  false,
                  16,
                  "events",
                  cmd_};
  Int seed_{"",       "seed", "seed of the random number generator", false, 1,
            "number", cmd_};
  ValueArg<double> time_scale_{
      "",       "time-scale", "factor applied to all times", false, 1,
      "factor", cmd_};
};

}  // namespace
}  // namespace mimosa::standins

int main(int argc, char** argv) {
  mimosa::standins::Flags flags;
  const mimosa::standins::EngineServerOptions options = flags.Parse(argc, argv);
  const auto loop = mimosa::LwsLoop::Create();
  const auto client = mimosa::MakeHttpClient(loop.get());
  mimosa::standins::EngineServer engine(loop.get(), client.get(), options);
  return mimosa::standins::ServeUntilSignal(loop.get(), flags.listen(),
                                            &engine);
}
