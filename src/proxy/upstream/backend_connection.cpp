// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream/backend_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cassert>
#include <chrono>
#include <string>
#include <utility>

#include "log/event_names.h"
#include "log/log.h"
#include "proxy/upstream/backend_pool.h"
#include "proxy/upstream/outcome.h"

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

// After the client's deadline, a response that comes this late is still received, and one that failed is
// still told.
constexpr std::chrono::milliseconds kLateResponseTime{400};

Steady::duration ToSteady(Duration duration) { return std::chrono::ceil<Steady::duration>(duration); }

// @return true if this process or machine lacks a resource, and the backend is not at fault.
bool IsLocalFailure(const Error& error) {
  return error == asio::error::no_descriptors || error == asio::error::no_buffer_space ||
         error == asio::error::no_memory || error == boost::system::errc::too_many_files_open_in_system ||
         error == boost::system::errc::address_not_available;
}

}  // namespace

// The rest of a streamed response. If it is destroyed before the response is read, the connection is closed.
class BackendConnection::ResponseBodyStream : public BodySource {
 public:
  explicit ResponseBodyStream(std::shared_ptr<BackendConnection> connection)
      : connection_(std::move(connection)) {}
  ~ResponseBodyStream() override { connection_->EndStream(); }
  void Read(OnBodyChunk on_chunk) override { connection_->reader_.ReadStreamedBody(std::move(on_chunk)); }

 private:
  std::shared_ptr<BackendConnection> connection_;
};

BackendConnection::BackendConnection(BackendPool& pool, BackendId backend, std::uint64_t generation)
    : pool_(&pool),
      backend_(backend),
      generation_(generation),
      socket_(pool.io()),
      timer_(pool.io()),
      writer_(*this, socket_),
      reader_(*this, socket_, pool.buffer_memory()) {}

void BackendConnection::EnterState(ConnectionState state) {
  assert(IsValidTransition(state_, state));
  state_ = state;
}

void BackendConnection::Assign(Attempt&& attempt) {
  ++attempt_id_;
  attempt_ = std::move(attempt);
  reader_.Reset();
}

void BackendConnection::Connect(const Tcp::endpoint& address, Duration timeout) {
  Error error;
  socket_.open(address.protocol(), error);
  if (!error) socket_.set_option(Tcp::no_delay(true), error);
  if (!error) socket_.non_blocking(true, error);
  if (error) return FailSoon(AttemptOutcome::kNotSent, /*local_failure=*/true);
  SetTimer(std::min(WriteBy(), Steady::now() + ToSteady(timeout)));
  socket_.async_connect(address, [self = shared_from_this(), id = attempt_id_](const Error& error) {
    if (!self->IsCurrent(id)) return;
    if (error && IsLocalFailure(error)) return self->Fail(AttemptOutcome::kNotSent, /*local_failure=*/true);
    if (error) return self->Fail(AttemptOutcome::kConnectFailure);
    self->SetTimer(self->WriteBy());
    // Bytes that the peer sends before it has the request cannot be the response.
    if (!self->IsQuiescent()) return self->Fail(AttemptOutcome::kConnectFailure);
    self->WriteRequest();
  });
}

void BackendConnection::Reuse() {
  Error ignored;
  socket_.cancel(ignored);  // ends StartIdle's wait for a close by the backend
  SetTimer(WriteBy());
  WriteRequest();
}

Steady::time_point BackendConnection::WriteBy() const {
  return std::min(attempt_.deadline, attempt_.send_by);
}

void BackendConnection::WriteRequest() {
  EnterState(ConnectionState::kWritingRequest);
  writer_.Write();
}

void BackendConnection::OnRequestWritten() {
  EnterState(ConnectionState::kAwaitingResponse);
  LogRequestWritten();
  if (attempt_.upload) {
    writer_.Clear();
    attempt_.written_at = Steady::now();
    attempt_.deadline = UploadDue(attempt_.upload->source->ArrivedAt().value_or(attempt_.written_at));
    attempt_.response_due = attempt_.deadline;
    SetTimer(attempt_.deadline);
  } else if (attempt_.send_by < attempt_.deadline) {
    SetTimer(attempt_.deadline);
  }
  socket_.async_wait(Tcp::socket::wait_read,
                     [self = shared_from_this(), id = attempt_id_](const Error& error) {
                       if (!self->IsCurrent(id)) return;
                       if (error) return self->FailResponse();
                       self->EnterState(ConnectionState::kReadingResponse);
                       self->reader_.Read();
                     });
}

// The client's time counts from the last byte that it has sent, however late its backend takes it.
Steady::time_point BackendConnection::UploadDue(Steady::time_point arrived_at) const {
  if (attempt_.response_time <= Steady::duration(0))
    return std::min(Steady::now() + attempt_.timeout, pool_->answer_by());
  const auto due = std::max(attempt_.started_at + attempt_.timeout, arrived_at + attempt_.response_time);
  return std::min(due, pool_->answer_by());
}

// Until the last byte arrives, it may arrive at any time: a backend that takes nothing must not hold the
// final response back for longer than the client's time from then on.
void BackendConnection::RestartUploadTimer() {
  Steady::duration stall = timeouts().body_stall;
  if (attempt_.response_time > Steady::duration(0))
    stall = std::min<Steady::duration>(stall, attempt_.response_time + kLateResponseTime);
  auto at = std::min(Steady::now() + stall, pool_->answer_by());
  if (const auto arrived_at = attempt_.upload->source->ArrivedAt()) at = std::min(at, UploadDue(*arrived_at));
  SetTimer(at);
}

void BackendConnection::LogRequestWritten() const {
  if (!log::Global().Enabled(log::Level::kDebug)) return;
  log::Global().Debug(log::events::kRequestWritten,
                      {{log::fields::kBackend, backend_},
                       {log::fields::kId, std::string((*attempt_.request)["Req-Id"])},
                       {log::fields::kDurationMs, Duration(Steady::now() - attempt_.started_at).count()}});
}

// Limits the time between reads of a response: a backend that stops halfway may keep its connection open.
void BackendConnection::RestartResponseTimer(Steady::duration stall) {
  auto at = std::min(attempt_.deadline, Steady::now() + stall);
  if (reader_.buffers_unknown_length()) at = std::min(at, buffering_until_);
  SetTimer(at);
}

void BackendConnection::OnBodyStarted() {
  buffering_until_ = Steady::now() + timeouts().response_buffering;
  RestartResponseTimer(timeouts().response_stall);
}

// A large response is timed by its first bytes, and is read for as long as its backend sends it. A response
// of unknown length that may still be a small one must have ended soon after its client's deadline: from then
// on it may pause only for as long as a backend that is well.
void BackendConnection::RestartStreamTimer(bool may_be_small) {
  const auto now = Steady::now();
  Steady::time_point at = now + timeouts().body_stall;
  if (may_be_small) {
    const auto longest_pause = now + timeouts().response_header_stall;
    at = std::min(at, std::max<Steady::time_point>(longest_pause, attempt_.response_due + kLateResponseTime));
  }
  SetTimer(at);
}

void BackendConnection::OnResponse(HttpResponse&& response, bool reusable) {
  AttemptResult result;
  result.outcome = ClassifyResponse(*attempt_.request, response);
  result.response = std::move(response);
  Complete(std::move(result), reusable);
}

// The attempt succeeds with the first part of a large response; a later failure of the stream affects only
// this connection and the client's.
void BackendConnection::OnStreamedResponse(HttpResponse&& response,
                                           std::optional<std::uint64_t> body_length) {
  const auto self = shared_from_this();
  AttemptResult result;
  result.outcome = AttemptOutcome::kSuccess;
  result.body_length = body_length;
  result.response = std::move(response);
  if (attempt_.upload) result.request_written_at = attempt_.written_at;
  const AttemptCallback on_completed = std::exchange(attempt_.on_completed, nullptr);
  attempt_.request = {};
  attempt_.upload.reset();
  EnterState(ConnectionState::kStreamingResponse);
  SetTimer(Steady::time_point::max());
  result.body_stream = std::make_shared<ResponseBodyStream>(self);
  on_completed(std::move(result));
}

void BackendConnection::EndStream() {
  reader_.CancelStreamedBody();
  if (closed()) return;
  if (!reader_.allows_reuse() || !pool_) return Close();
  Clear();
  pool_->ReturnToIdle(shared_from_this());
}

void BackendConnection::StartIdle(Duration timeout) {
  EnterState(ConnectionState::kIdle);
  idle_since_ = Steady::now();
  SetTimer(idle_since_ + ToSteady(timeout));
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), id = attempt_id_](const Error&) {
    if (id == self->attempt_id_) self->Close();  // closed by the backend, or bytes without a request
  });
}

void BackendConnection::SetTimer(Steady::time_point at) {
  timer_.expires_at(at);
  timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
    if (cancelled || self->closed() || self->attempt_.completing) return;
    if (Steady::now() < self->timer_.expiry()) return;
    self->OnTimer();
  });
}

void BackendConnection::OnTimer() {
  // Without an attempt in progress, the idle timeout or a streamed response's stall timeout has expired.
  if (!attempt_.in_progress()) return Close();
  if (reader_.buffers_unknown_length()) return reader_.StopBuffering();
  Fail(OutcomeOfTimeout(state_, LimitReached()));
}

ExpiredLimit BackendConnection::LimitReached() const {
  if (!IsRequestWritten(state_) && !attempt_.MayBeWritten(Steady::now())) return ExpiredLimit::kSendBy;
  return timer_.expiry() >= attempt_.deadline ? ExpiredLimit::kAttemptTimeout : ExpiredLimit::kState;
}

void BackendConnection::CancelUnsent() {
  if (!attempt_.in_progress() || attempt_.completing || IsRequestWritten(state_)) return;
  if (attempt_.upload && attempt_.upload->consumed) return;
  FailSoon(AttemptOutcome::kNotSent);
}

void BackendConnection::FailSoon(AttemptOutcome outcome, bool local_failure) {
  attempt_.completing = true;
  asio::post(pool_->io(), [self = shared_from_this(), outcome, local_failure, id = attempt_id_] {
    if (id == self->attempt_id_) self->Fail(outcome, local_failure);
  });
}

void BackendConnection::Fail(AttemptOutcome outcome, bool local_failure) {
  AttemptResult result;
  result.outcome = outcome;
  result.local_failure = local_failure;
  Complete(std::move(result), /*reusable=*/false);
}

void BackendConnection::Complete(AttemptResult&& result, bool reusable) {
  if (!attempt_.in_progress()) return;
  const auto self = shared_from_this();
  const AttemptCallback on_completed = std::exchange(attempt_.on_completed, nullptr);
  if (attempt_.upload && IsRequestWritten(state_)) result.request_written_at = attempt_.written_at;
  // Closes or returns the connection before the result is reported, so that the next attempt does not coexist
  // with this one on it. Close keeps the buffers, as a read or write in progress may still access them.
  if (reusable && pool_) {
    Clear();
    pool_->ReturnToIdle(self);
  } else {
    Close();
  }
  // If a response does not arrive, the backend's idle connections may have failed as well.
  if (result.outcome == AttemptOutcome::kTimeout && pool_) pool_->CloseIdleConnections(backend_);
  on_completed(std::move(result));
}

bool BackendConnection::IsQuiescent() {
  Error error;
  char byte;
  socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error == asio::error::would_block || error == asio::error::try_again;
}

void BackendConnection::Close() {
  if (closed()) return;
  EnterState(ConnectionState::kClosed);
  Error ignored;
  socket_.close(ignored);
  timer_.cancel();
  if (pool_) pool_->OnConnectionClosed(*this);
  if (const auto on_chunk = reader_.CancelStreamedBody()) on_chunk(false, {}, true);
}

void BackendConnection::Detach() {
  pool_ = nullptr;
  attempt_.on_completed = nullptr;
  reader_.CancelStreamedBody();
  Close();
}

// Frees the memory of the last attempt, so that an idle connection holds none.
void BackendConnection::Clear() {
  attempt_.request = {};
  attempt_.upload.reset();
  reader_.Clear();
  writer_.Clear();
}

const Timeouts& BackendConnection::timeouts() const { return pool_->timeouts(); }

}  // namespace copperpoint::proxy
