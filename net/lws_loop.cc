// Implements LwsLoop on one libwebsockets context with its default poll loop.
//
// The loop keeps its timers in a map ordered by deadline and uses one timer of
// the library (lws_sul) to wake poll for the earliest. The library's own timer
// list is searched linearly at each insertion, which is slow with thousands of
// connections.
#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <initializer_list>
#include <map>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/raw_socket.h"

namespace mimosa {
namespace {

// Maximum size of one read from a connection. The buffer exists once, not per
// connection.
constexpr unsigned kReadBufferBytes = 64U << 10;

// The library's own connect timeout. The client's timeouts are shorter and take
// effect first.
constexpr unsigned kLibraryConnectTimeoutSeconds = 3600;

// Poll doesn't count the time in which the machine is suspended, but timers do.
// Waking at least this often bounds how late a timer fires after a suspension.
constexpr Duration kMaxPollWait = std::chrono::seconds(1);

const std::array<lws_protocols, 2> kProtocols = {{
    {detail::kRawProtocolName, detail::RawProtocolCallback, 0, kReadBufferBytes,
     0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

// The library's timer that wakes poll for the earliest timer of the loop. The
// library runs expired entries of its list just before it polls and would then
// wait for the next event, so Wake() makes lws_service() return.
struct Waker {
  static void Wake(lws_sorted_usec_list_t* sul) {
    lws_cancel_service(lws_container_of(sul, Waker, sul)->context);
  }

  lws_sorted_usec_list_t sul{};
  lws_context* context = nullptr;
};

// Deadline and serial number of a timer. Timers with equal deadlines run in
// order of creation.
using TimerKey = std::pair<MonoTime, uint64_t>;
using TimerMap = std::map<TimerKey, std::function<void()>>;

class TimerImpl : public TimerHandle::Impl {
 public:
  TimerImpl(std::weak_ptr<TimerMap> timers, TimerKey key)
      : timers_(std::move(timers)), key_(key) {}
  ~TimerImpl() override {
    if (auto timers = timers_.lock()) timers->erase(key_);
  }

 private:
  const std::weak_ptr<TimerMap> timers_;  // expires with the loop
  const TimerKey key_;
};

bool IsBlocked(int signal) {
  sigset_t blocked;
  sigprocmask(SIG_BLOCK, nullptr, &blocked);
  return sigismember(&blocked, signal) == 1;
}

void Unblock(std::initializer_list<int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) sigaddset(&set, signal);
  sigprocmask(SIG_UNBLOCK, &set, nullptr);
}

class LwsLoopImpl;
std::atomic<LwsLoopImpl*> g_signal_loop{nullptr};

class LwsLoopImpl : public LwsLoop {
 public:
  LwsLoopImpl() : timers_(std::make_shared<TimerMap>()) {
    // Writes to closed connections must fail instead of terminating the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    // A blocked one waits for OnHangup().
    if (!IsBlocked(SIGHUP)) std::signal(SIGHUP, SIG_IGN);
    lws_set_log_level(LLL_ERR, nullptr);
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = kProtocols.data();
    info.pt_serv_buf_size = kReadBufferBytes;
    info.timeout_secs = kLibraryConnectTimeoutSeconds;
    info.connect_timeout_secs = kLibraryConnectTimeoutSeconds;
    context_ = lws_create_context(&info);
    waker_.context = context_;
  }

  ~LwsLoopImpl() override {
    LwsLoopImpl* self = this;
    if (g_signal_loop.compare_exchange_strong(self, nullptr)) {
      // Once told to terminate, the process does so in order, however often it
      // is told.
      const auto disposition = terminating_ ? SIG_IGN : SIG_DFL;
      std::signal(SIGTERM, disposition);
      std::signal(SIGINT, disposition);
      std::signal(SIGHUP, SIG_IGN);
    }
    posted_.clear();
    timers_.reset();
    lws_sul_cancel(&waker_.sul);
    lws_context_destroy(context_);
  }

  MonoTime Now() const override {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return MonoTime(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(ts.tv_sec) +
        std::chrono::nanoseconds(ts.tv_nsec)));
  }

  TimerHandle After(Duration delay, std::function<void()> callback) override {
    const TimerKey key(Now() + std::max(delay, Duration::zero()),
                       ++last_timer_serial_);
    const auto it = timers_->emplace(key, std::move(callback)).first;
    if (in_service_ && it == timers_->begin()) ScheduleWake();
    return TimerHandle(std::make_unique<TimerImpl>(timers_, key));
  }

  void Post(std::function<void()> callback) override {
    // The library may be about to poll and must not wait.
    if (in_service_ && posted_.empty()) lws_cancel_service(context_);
    posted_.push_back(std::move(callback));
  }

  void Run() override {
    stop_requested_ = false;
    while (!stop_requested_) {
      RunTimers();
      RunPosted();
      RunSignalCallbacks();
      if (stop_requested_) break;
      ScheduleWake();
      in_service_ = true;
      const int result = lws_service(context_, posted_.empty() ? 0 : -1);
      in_service_ = false;
      if (result < 0) break;
    }
  }

  void Stop() override {
    stop_requested_ = true;
    lws_cancel_service(context_);
  }

  void OnSignal(std::function<void()> callback) override {
    on_signal_ = std::move(callback);
    g_signal_loop = this;
    struct sigaction action {};
    action.sa_handler = &LwsLoopImpl::HandleTermination;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    Unblock({SIGTERM, SIGINT});
  }

  void OnHangup(std::function<void()> callback) override {
    on_hangup_ = std::move(callback);
    g_signal_loop = this;
    struct sigaction action {};
    action.sa_handler = &LwsLoopImpl::HandleHangup;
    sigaction(SIGHUP, &action, nullptr);
    Unblock({SIGHUP});
  }

  lws_context* context() override { return context_; }

 private:
  static void HandleTermination(int /*signal*/) {
    const int saved_errno = errno;
    if (LwsLoopImpl* loop = g_signal_loop) {
      loop->termination_pending_ = true;
      // Async-signal-safe: it only writes to an eventfd.
      lws_cancel_service(loop->context_);
    }
    errno = saved_errno;
  }

  static void HandleHangup(int /*signal*/) {
    const int saved_errno = errno;
    if (LwsLoopImpl* loop = g_signal_loop) {
      loop->hangup_pending_ = true;
      lws_cancel_service(loop->context_);
    }
    errno = saved_errno;
  }

  void ScheduleWake() {
    Duration wait = kMaxPollWait;
    if (!timers_->empty()) {
      wait = std::min(wait, timers_->begin()->first.first - Now());
    }
    // The library rounds down to milliseconds, which is what poll can wait, and
    // would spin through the last millisecond. So the wait is rounded up here.
    const Duration rounded = std::max(wait, Duration::zero()) +
                             std::chrono::milliseconds(1) - Duration(1);
    lws_sul_schedule(context_, 0, &waker_.sul, &Waker::Wake, rounded.count());
  }

  // Runs the timers that are due. A timer that is set meanwhile waits for the
  // next iteration, so that a chain of timers can't starve the connections.
  void RunTimers() {
    const TimerKey limit(Now(), last_timer_serial_);
    while (!stop_requested_ && !timers_->empty()) {
      const auto it = timers_->begin();
      if (it->first > limit) return;
      const std::function<void()> callback = std::move(it->second);
      timers_->erase(it);
      callback();
    }
  }

  void RunPosted() {
    std::vector<std::function<void()>> batch;
    batch.swap(posted_);
    for (const auto& callback : batch) callback();
  }

  void RunSignalCallbacks() {
    if (termination_pending_.exchange(false) && on_signal_) {
      terminating_ = true;
      on_signal_();
    }
    if (hangup_pending_.exchange(false) && on_hangup_) on_hangup_();
  }

  lws_context* context_ = nullptr;
  std::shared_ptr<TimerMap> timers_;
  uint64_t last_timer_serial_ = 0;  // of the most recent timer
  std::vector<std::function<void()>> posted_;
  std::function<void()> on_signal_;
  std::function<void()> on_hangup_;
  Waker waker_;
  bool stop_requested_ = false;
  bool terminating_ = false;  // a SIGTERM or SIGINT was received
  bool in_service_ = false;   // within lws_service()
  std::atomic<bool> termination_pending_{false};
  std::atomic<bool> hangup_pending_{false};
};

}  // namespace

std::unique_ptr<LwsLoop> LwsLoop::Create() {
  auto loop = std::make_unique<LwsLoopImpl>();
  if (loop->context() == nullptr) return nullptr;
  return loop;
}

}  // namespace mimosa
