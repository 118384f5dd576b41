// Implements memory accounting, batch steps and streams of the decode role.
#include "standins/decode_role.h"

#include <cstdlib>
#include <utility>
#include <vector>

#include "base/json.h"
#include "standins/http_json.h"

namespace mimosa::standins {
namespace {

constexpr int kInjectedExitCode = 3;  // for the fault die_after_tokens

Pieces PiecesOf(int64_t tokens) { return PiecesFor(Tokens(tokens)); }

}  // namespace

DecodeRole::DecodeRole(EventLoop* loop, HttpClient* client,
                       const EngineOptions* options, const EngineFaults* faults)
    : loop_(loop),
      client_(client),
      options_(options),
      faults_(faults),
      delayed_tasks_(loop) {}

bool DecodeRole::HandleRequest(const std::string& path,
                               const ExchangePtr& exchange,
                               const Json::Value& body) {
  if (path == "/v1/decode") {
    StartDecode(exchange, body);
  } else if (path == "/v1/resume") {
    ResumeStream(exchange, body);
  } else {
    return false;
  }
  return true;
}

void DecodeRole::StartDecode(const ExchangePtr& exchange,
                             const Json::Value& body) {
  const std::string prompt = StringMember(body, "prompt");
  const int64_t prompt_tokens =
      IntMember(body, "prompt_tokens", PromptTokens(prompt));
  const int64_t max_output = IntMember(body, "max_output_tokens", 1);
  Endpoint prefill_engine;
  if (!Endpoint::Parse(StringMember(body, "from"), &prefill_engine)) {
    RespondError(exchange.get(), 400, "from");
    return;
  }
  const Pieces pieces = PiecesOf(prompt_tokens + max_output);
  if (pieces > FreePieces()) {
    ++refused_out_of_memory_;
    RespondError(exchange.get(), 507, "memory");
    return;
  }
  if (static_cast<int64_t>(streams_.size()) >= options_->max_running) {
    RespondError(exchange.get(), 503, "busy");
    return;
  }
  const uint64_t serial = next_serial_++;
  auto stream = std::make_unique<Stream>(prompt, max_output);
  stream->request_id = StringMember(body, "request");
  stream->attempt = body["attempt"];
  stream->prompt_tokens = prompt_tokens;
  stream->reserved_pieces = pieces;
  stream->produced_tokens =
      std::min(IntMember(body, "offset"), stream->generated_text.tokens());
  streams_[serial] = std::move(stream);
  AttachReader(serial, exchange);
  ImportKv(serial, prefill_engine, StringMember(body, "kv"));
}

void DecodeRole::AttachReader(uint64_t serial, const ExchangePtr& exchange) {
  Stream& stream = *streams_.at(serial);
  const uint64_t reader = next_serial_++;
  stream.reader = exchange;
  stream.reader_serial = reader;
  stream.bytes_written = 0;
  exchange->OnClientDisconnected(
      [this, serial, reader] { OnReaderDisconnected(serial, reader); });
}

void DecodeRole::OnReaderDisconnected(uint64_t serial, uint64_t reader) {
  const auto it = streams_.find(serial);
  if (it == streams_.end() || it->second->reader_serial != reader) return;
  it->second->reader = nullptr;
  if (!options_->cancel_on_disconnect) return;
  ++cancelled_streams_;
  streams_.erase(it);
}

void DecodeRole::ImportKv(uint64_t serial, const Endpoint& prefill_engine,
                          const std::string& kv) {
  HttpCallOptions options;
  options.to = prefill_engine;
  options.head_timeout = std::chrono::seconds(60);
  options.idle_timeout = std::chrono::seconds(60);
  HttpRequest request;
  request.method = "GET";
  request.target = "/v1/kv/" + kv;
  streams_.at(serial)->import_call =
      Fetch(client_, options, std::move(request),
            [this, serial](const HttpResult& result) {
              delayed_tasks_.RunAfter(
                  faults_->response_delay,
                  [this, serial, result] { OnKvImported(serial, result); });
            });
}

void DecodeRole::OnKvImported(uint64_t serial, const HttpResult& result) {
  const auto it = streams_.find(serial);
  if (it == streams_.end()) return;  // cancelled in the meantime
  if (!result.ok) {
    RejectStream(serial, 502, "transfer");
    return;
  }
  if (result.response.status != 200) {
    RejectStream(serial, 410, "kv_gone");
    return;
  }
  Stream* stream = it->second.get();
  stream->phase = Phase::kRunning;
  if (stream->reader != nullptr) StartResponse(stream, stream->produced_tokens);
  ScheduleStep();
}

void DecodeRole::RejectStream(uint64_t serial, int status, const char* error) {
  const auto node = streams_.extract(serial);
  if (node.mapped()->reader != nullptr)
    RespondError(node.mapped()->reader.get(), status, error);
}

void DecodeRole::ResumeStream(const ExchangePtr& exchange,
                              const Json::Value& body) {
  const std::string request = StringMember(body, "request");
  for (auto& [serial, stream] : streams_) {
    if (stream->request_id != request || stream->phase == Phase::kImporting)
      continue;
    ++resumed_streams_;
    // A stream has only one reader, so the previous one is disconnected.
    const ExchangePtr previous = std::move(stream->reader);
    if (previous != nullptr) previous->Abort();
    stream->attempt = body["attempt"];
    stream->resume_expiry_timer.Cancel();
    AttachReader(serial, exchange);
    StartResponse(stream.get(), IntMember(body, "offset"));
    if (stream->phase == Phase::kLingering) FinishStream(serial, stream.get());
    return;
  }
  RespondError(exchange.get(), 404, "kv_gone");
}

void DecodeRole::StartResponse(Stream* stream, int64_t offset) {
  HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  stream->reader->StartStream(200, std::move(headers));
  stream->first_token_index = offset;
  for (int64_t i = offset;
       i < stream->produced_tokens && stream->reader != nullptr; ++i)
    WriteToken(stream, i);
}

void DecodeRole::ScheduleStep() {
  if (step_timer_) return;
  const int64_t running = CountInPhase(Phase::kRunning);
  if (running == 0) return;
  step_timer_ = loop_->After(
      options_->base_step_time + running * options_->step_time_per_stream,
      [this] {
        const TimerHandle fired = std::move(step_timer_);
        step_timer_ = TimerHandle();
        RunStep();
      });
}

void DecodeRole::RunStep() {
  std::vector<uint64_t> serials;
  for (const auto& [serial, stream] : streams_)
    if (stream->phase == Phase::kRunning) serials.push_back(serial);
  for (const uint64_t serial : serials) {
    const auto it = streams_.find(serial);
    if (it != streams_.end()) AdvanceStream(serial, it->second.get());
  }
  ScheduleStep();
}

void DecodeRole::AdvanceStream(uint64_t serial, Stream* stream) {
  if (stream->produced_tokens >= stream->generated_text.tokens()) {
    FinishStream(serial, stream);
    return;
  }
  const int64_t stall_after = faults_->stall_decode_after;
  if (stall_after >= 0 && stream->produced_tokens >= stall_after) return;
  const int64_t exit_after = faults_->die_after_tokens;
  if (exit_after >= 0 && generated_tokens_ >= exit_after)
    std::_Exit(kInjectedExitCode);
  const int64_t index = stream->produced_tokens++;
  ++generated_tokens_;
  if (stream->reader == nullptr)
    ++unread_tokens_;
  else if (index >= stream->first_token_index)
    WriteToken(stream, index);
}

void DecodeRole::FinishStream(uint64_t serial, Stream* stream) {
  if (stream->reader == nullptr) {
    stream->phase = Phase::kLingering;
    stream->resume_expiry_timer = loop_->After(
        options_->resume_window,
        [this, serial] { const auto node = streams_.extract(serial); });
    return;
  }
  WriteFinish(stream);
  ++finished_streams_;
  const auto node = streams_.extract(serial);
  if (node.mapped()->reader != nullptr) node.mapped()->reader->Finish();
}

Json::Value DecodeRole::TokenEvent(const Stream& stream, int64_t index) const {
  Json::Value event;
  event["request"] = stream.request_id;
  event["attempt"] = stream.attempt;
  event["index"] = Json::Int64(index);
  event["text"] = stream.generated_text.TokenText(index);
  return event;
}

// Returns an event that belongs to another request, to inject cross_answers.
Json::Value DecodeRole::ForeignEvent(const Stream& stream,
                                     int64_t index) const {
  for (const auto& [serial, other] : streams_) {
    if (other.get() != &stream && index < other->generated_text.tokens())
      return TokenEvent(*other, index);
  }
  Json::Value event;
  event["request"] = "nobody#0/0";
  event["attempt"] = stream.attempt;
  event["index"] = Json::Int64(index);
  event["text"] = "foreign ";
  return event;
}

void DecodeRole::WriteToken(Stream* stream, int64_t index) {
  if (faults_->nonsense) {
    WriteToReader(stream, "data: {\"request\": nonsense\n\n");
    return;
  }
  if (faults_->cross_answers) WriteEvent(stream, ForeignEvent(*stream, index));
  const Json::Value event = TokenEvent(*stream, index);
  WriteEvent(stream, event);
  if (faults_->double_answers) WriteEvent(stream, event);
}

void DecodeRole::WriteFinish(Stream* stream) {
  Json::Value event;
  event["request"] = stream->request_id;
  event["attempt"] = stream->attempt;
  event["finish"] = stream->generated_text.finish_reason();
  event["prompt_tokens"] = Json::Int64(stream->prompt_tokens);
  event["output_tokens"] = Json::Int64(stream->generated_text.tokens());
  WriteEvent(stream, event);
  WriteToReader(stream, "data: [DONE]\n\n");
}

void DecodeRole::WriteEvent(Stream* stream, const Json::Value& event) {
  WriteToReader(stream, "data: " + WriteJson(event) + "\n\n");
}

// A write may call OnReaderDisconnected(), which clears the reader; later
// writes are then skipped.
void DecodeRole::WriteToReader(Stream* stream, const std::string& text) {
  if (stream->reader == nullptr) return;
  const int64_t limit = faults_->close_after_bytes;
  stream->bytes_written += static_cast<int64_t>(text.size());
  if (limit < 0 || stream->bytes_written <= limit) {
    stream->reader->Write(text);
    return;
  }
  const int64_t rest =
      limit - (stream->bytes_written - static_cast<int64_t>(text.size()));
  const ExchangePtr reader = std::move(stream->reader);
  stream->reader_serial = 0;
  if (rest > 0) reader->Write(text.substr(0, static_cast<size_t>(rest)));
  AbortWhenDrained(reader);
}

CancelResult DecodeRole::CancelMatching(const RequestMatcher& matcher) {
  CancelResult out;
  for (auto it = streams_.begin(); it != streams_.end();) {
    if (!matcher.Matches(it->second->request_id, it->second->attempt)) {
      ++it;
      continue;
    }
    ++out.cancelled;
    ++cancelled_streams_;
    out.freed += it->second->reserved_pieces;
    const StreamPtr stream = std::move(it->second);
    it = streams_.erase(it);
    if (stream->reader == nullptr) continue;
    if (stream->reader->response_started())
      stream->reader->Abort();
    else
      RespondError(stream->reader.get(), 499, "cancelled");
  }
  return out;
}

Pieces DecodeRole::FreePieces() const {
  Pieces free = options_->kv_pieces;
  for (const auto& [serial, stream] : streams_) free -= stream->reserved_pieces;
  return free;
}

int64_t DecodeRole::CountInPhase(Phase phase) const {
  int64_t count = 0;
  for (const auto& [serial, stream] : streams_) count += stream->phase == phase;
  return count;
}

EngineLoad DecodeRole::CurrentLoad() const {
  EngineLoad load;
  load.running = CountInPhase(Phase::kRunning);
  load.waiting = CountInPhase(Phase::kImporting);
  load.free_pieces = FreePieces();
  for (const auto& [serial, stream] : streams_)
    load.held_pieces.push_back(
        HeldPieces{stream->request_id, stream->reserved_pieces});
  return load;
}

void DecodeRole::AddDebugState(Json::Value* state) const {
  (*state)["tokens"] = Json::Int64(generated_tokens_);
  (*state)["unread_tokens"] = Json::Int64(unread_tokens_);
  (*state)["refused_memory"] = Json::Int64(refused_out_of_memory_);
  (*state)["finished"] = Json::Int64(finished_streams_);
  (*state)["cancelled"] = Json::Int64(cancelled_streams_);
  (*state)["resumed"] = Json::Int64(resumed_streams_);
}

}  // namespace mimosa::standins
