// Implements the decode role of the stand-in engine, which imports KV data from
// a prefill engine and streams generated tokens.
//
// A stream reserves memory, in whole pieces, from when it is accepted until it
// ends or is cancelled, even after its reader has disconnected. Each batch step
// advances all running streams by one token and takes longer the more streams
// there are.
#ifndef STANDINS_DECODE_ROLE_H_
#define STANDINS_DECODE_ROLE_H_

#include <map>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "standins/delayed_tasks.h"
#include "standins/engine.h"
#include "standins/generated_text.h"

namespace mimosa::standins {

class DecodeRole : public EngineRole {
 public:
  // `options` and `faults` must outlive this object. `*faults` may change at
  // any time.
  DecodeRole(EventLoop* loop, HttpClient* client, const EngineOptions* options,
             const EngineFaults* faults);

  bool HandleRequest(const std::string& path, const ExchangePtr& exchange,
                     const Json::Value& body) override;
  CancelResult CancelMatching(const RequestMatcher& matcher) override;
  EngineLoad CurrentLoad() const override;
  void AddDebugState(Json::Value* state) const override;

 private:
  enum class Phase { kImporting, kRunning, kLingering };
  struct Stream {
    Stream(const std::string& prompt, int64_t max_output)
        : generated_text(prompt, max_output) {}

    Phase phase = Phase::kImporting;
    std::string request_id;
    Json::Value attempt;  // echoed unchanged in every event
    int64_t prompt_tokens = 0;
    GeneratedText generated_text;
    int64_t produced_tokens = 0;  // <= generated_text.tokens()
    Pieces reserved_pieces{};
    ExchangePtr reader;          // null if no reader is connected
    uint64_t reader_serial = 0;  // distinguishes this reader from previous ones
    int64_t bytes_written = 0;   // to this reader
    int64_t first_token_index = 0;  // earlier tokens aren't sent to this reader
    std::unique_ptr<HttpCall> import_call;
    TimerHandle resume_expiry_timer;
  };
  using StreamPtr = std::unique_ptr<Stream>;

  void StartDecode(const ExchangePtr& exchange, const Json::Value& body);
  void ImportKv(uint64_t serial, const Endpoint& prefill_engine,
                const std::string& kv);
  void OnKvImported(uint64_t serial, const HttpResult& result);
  void ResumeStream(const ExchangePtr& exchange, const Json::Value& body);
  void AttachReader(uint64_t serial, const ExchangePtr& exchange);
  void OnReaderDisconnected(uint64_t serial, uint64_t reader);
  void RejectStream(uint64_t serial, int status, const char* error);
  // Sends the response head and the tokens generated so far, from `offset` on.
  void StartResponse(Stream* stream, int64_t offset);

  void ScheduleStep();
  void RunStep();
  void AdvanceStream(uint64_t serial, Stream* stream);
  void FinishStream(uint64_t serial, Stream* stream);
  void WriteToken(Stream* stream, int64_t index);
  void WriteEvent(Stream* stream, const Json::Value& event);
  void WriteFinish(Stream* stream);
  void WriteToReader(Stream* stream, const std::string& text);
  Json::Value TokenEvent(const Stream& stream, int64_t index) const;
  Json::Value ForeignEvent(const Stream& stream, int64_t index) const;

  Pieces FreePieces() const;
  int64_t CountInPhase(Phase phase) const;

  EventLoop* const loop_;
  HttpClient* const client_;
  const EngineOptions* const options_;
  const EngineFaults* const faults_;
  uint64_t next_serial_ = 1;
  std::map<uint64_t, StreamPtr> streams_;
  TimerHandle step_timer_;
  int64_t generated_tokens_ = 0;
  int64_t unread_tokens_ = 0;  // generated while no reader was connected
  int64_t refused_out_of_memory_ = 0;
  int64_t finished_streams_ = 0;
  int64_t cancelled_streams_ = 0;
  int64_t resumed_streams_ = 0;
  DelayedTasks delayed_tasks_;  // last member: its tasks use the members above
};

}  // namespace mimosa::standins

#endif  // STANDINS_DECODE_ROLE_H_
