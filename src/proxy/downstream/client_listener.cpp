// SPDX-License-Identifier: Apache-2.0
#include "proxy/downstream/client_listener.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <sstream>
#include <utility>

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t kMostHeader = 16 * 1024;
constexpr std::chrono::milliseconds kPause{50};       // after a failed accept
constexpr std::chrono::milliseconds kHalfRead{1500};  // at the stop, for the rest of a request to come
constexpr std::chrono::milliseconds kLookAgain{10};
constexpr std::size_t kCopies = 2;  // of a body while it is read
constexpr std::chrono::milliseconds kSweep{50};
constexpr std::chrono::milliseconds kFresh{500};  // while drained, for a new connection to say something
constexpr std::size_t kMostAhead = 32 * 1024;     // of requests behind an open one
constexpr std::chrono::milliseconds kBegun{
    500};                               // for the rest of a request, where another waits for the place
constexpr int kMostReads = 32;          // of what a client sends ahead, before others have their turn
constexpr std::size_t kMostMarks = 16;  // times kept of what came ahead
constexpr int kAtOnce = 16;             // clients accepted before others have their turn
constexpr double kRoomy = 0.4;          // of the connections, up to which those that stand idle are kept
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
constexpr const char* kText = "text/plain";

}  // namespace

class ClientListener::Session : public std::enable_shared_from_this<Session>,
                                public Responder,
                                public BodySource {
 public:
  Session(ClientListener& owner, Tcp::socket socket) : owner_(&owner), socket_(std::move(socket)) {}

  std::list<std::shared_ptr<Session>>::iterator place;

  // `queued`: since when it may have waited to be accepted, if that is longer ago than just now.
  void Start(std::optional<Steady::time_point> queued) {
    Error ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    Enter(State::kWaiting, timeouts().request_head);
    if (queued && !ReadAhead(*queued, /*may_drop=*/false)) return Close();
    Wait(timeouts().request_head);
  }

  // Between requests, with none on its way as far as can be seen.
  bool Idle() const {
    Error error;
    return state_ == State::kWaiting && buffer_.size() == 0 && socket_.available(error) == 0;
  }
  bool Reading() const { return state_ == State::kWaiting || state_ == State::kReading; }
  bool Holds() const { return state_ == State::kHeld; }
  // Owes an answer, or the rest of one, or the client may not have taken the last one yet.
  bool Owes() const { return Holds() || state_ == State::kWriting || state_ == State::kLingering; }
  bool Lingers() const { return state_ == State::kLingering; }
  bool HalfReadSince(Steady::time_point at) const {
    return state_ == State::kReading && since_ <= at && !parser_->is_header_done();
  }
  bool IdleSince(Steady::time_point at) const { return since_ <= at && Idle(); }
  // For how long it has been without a request, of one that asked before.
  bool SpareSince(Steady::time_point at) const { return asked_ && since_ <= at && Idle(); }
  bool SilentSince(Steady::time_point at) const { return !asked_ && since_ <= at && Idle(); }

  // Ends what has taken too long.
  void EndIfDue(Steady::time_point now) {
    if (now < until_) return;
    if (state_ == State::kHeld) return FailUpload(http::status::request_timeout, "too slow");
    if (state_ == State::kWaiting) return CloseLingering();
    if (state_ != State::kReading) return Close();
    Error ignored;
    socket_.cancel(ignored);
    TurnAway(http::status::request_timeout, "too slow");
  }

  void Close() {
    if (state_ == State::kClosed) return;
    state_ = State::kClosed;
    Release();
    rest_.reset();
    on_piece_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    if (owner_) owner_->Remove(this);
  }

  void Orphan() {
    owner_ = nullptr;
    Close();
  }

  // A lingering close. Guards against a reset: closed with bytes unread, or ahead of bytes that are on their
  // way, a connection is reset, and the reset may take with it an answer that the client has not read yet. A
  // client whose request crosses this gets the end and no answer, and sends it once more elsewhere.
  void CloseLingering() {
    Error ignored;
    if (state_ != State::kWriting) socket_.cancel(ignored);  // the watch for a next request, or its reading
    Release();
    Enter(State::kLingering, timeouts().lingering_close);
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    Discard();
  }

  // Where the descriptor is wanted at once: what is here is read, so that nothing is reset over it.
  void CloseNow() {
    Error failed;
    socket_.shutdown(Tcp::socket::shutdown_send, failed);
    char piece[1024];
    for (int n = 0; n < 64 && !failed; ++n) socket_.read_some(asio::buffer(piece), failed);
    Close();
  }

  void SendResponse(HttpResponse answer, std::shared_ptr<BodySource> rest,
                    std::optional<std::uint64_t> length) override {
    if (!Holds()) return;
    HttpResponse mine{http::status::ok, 11};
    if (const auto type = answer.find(http::field::content_type); type != answer.end())
      mine.set(http::field::content_type, type->value());
    mine.body() = std::move(answer.body());
    if (!rest) return Write(std::move(mine));
    rest_ = std::move(rest);
    Stream(std::move(mine), length);
  }
  void SendUnavailable(Duration retry_after) override {
    if (!Holds()) return;
    HttpResponse mine = Plain(http::status::service_unavailable, "refused; trying again is harmless\n");
    if (retry_after.count() > 0) {
      char seconds[32];
      std::snprintf(seconds, sizeof seconds, "%.3f", retry_after.count() / 1000);
      mine.set(http::field::retry_after, seconds);
    }
    Write(std::move(mine));
  }
  void SendBadGateway() override {
    if (Holds()) Write(Plain(http::status::bad_gateway, "failed\n"));
  }
  void SendClientError(http::status status) override {
    if (Holds()) TurnAway(status, "found faulty");
  }

  // The rest of the request's body.
  void Read(OnBodyChunk on_piece) override {
    asio::post(socket_.get_executor(), [self = shared_from_this(), on_piece = std::move(on_piece)]() mutable {
      if (!self->Holds() || !self->uploading_) return on_piece(false, {}, true);
      self->ReadUpload(std::move(on_piece));
    });
  }

 private:
  // Waiting for the first byte of a request, and then for its last.
  enum class State { kWaiting, kReading, kHeld, kWriting, kLingering, kClosed };

  using Parser = http::request_parser<http::buffer_body>;

  const Timeouts& timeouts() const { return owner_->config_.timeouts; }

  static HttpResponse Plain(http::status status, std::string text) {
    HttpResponse response{status, 11};
    response.set(http::field::content_type, kText);
    response.body() = std::move(text);
    return response;
  }

  // Each state has one time limit: it does not begin anew with each byte.
  void Enter(State state, std::optional<Steady::duration> at_most) {
    state_ = state;
    since_ = Steady::now();
    until_ = at_most ? since_ + *at_most : Steady::time_point::max();
    owner_->sessions_.splice(owner_->sessions_.end(), owner_->sessions_, place);
  }

  void Wait(Steady::duration at_most) {
    Enter(State::kWaiting, at_most);
    Release();
    parser_.reset();
    if (buffer_.size() > 0) return Begin();  // the next request came right behind the last
    came_.clear();
    buffer_.shrink_to_fit();  // what stands idle keeps no memory
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const Error& failed) {
      if (self->state_ != State::kWaiting) return;
      if (failed) return self->Close();
      self->Begin();
    });
  }

  void Begin() {
    // A first request's time counts from the connection's start.
    Enter(State::kReading, asked_ ? Steady::duration(timeouts().request_head) : until_ - Steady::now());
    parser_.emplace();
    parser_->header_limit(kMostHeader);
    parser_->body_limit(kMaxBody);
    kept_.clear();
    http::async_read_header(
        socket_, buffer_, *parser_,
        [self = shared_from_this(), ahead = buffer_.size()](const Error& failed, std::size_t n) {
          if (self->state_ != State::kReading) return;
          if (failed) return self->OnUnreadable(failed);
          self->size_ = n + self->parser_->content_length().value_or(0);
          self->whole_ahead_ = !self->parser_->chunked() && self->size_ <= ahead;
          self->OnHeader();
        });
  }

  // Takes what has come behind the request that is open, as a client that leaves shows it only behind that;
  // false if it has left. What is too much is dropped, and the connection closes after this answer. A flood
  // that does not end is looked at in turns.
  bool ReadAhead(Steady::time_point at, bool may_drop = true) {
    for (int n = 0; n < kMostReads; ++n) {
      Error failed;
      if (buffer_.size() >= kMostAhead) {
        if (!may_drop) return true;
        char dropped[4096];
        last_ = overrun_ = true;
        socket_.read_some(asio::buffer(dropped), failed);
      } else {
        const std::size_t n = socket_.read_some(buffer_.prepare(kMostAhead - buffer_.size()), failed);
        if (n > 0) Came(n, at);
        buffer_.commit(n);
      }
      if (failed == asio::error::would_block || failed == asio::error::try_again) return true;
      if (failed && failed != asio::error::interrupted) return false;
    }
    return true;
  }

  void Came(std::size_t bytes, Steady::time_point at) {
    if (came_.size() < kMostMarks) {
      came_.push_back({bytes, at});
    } else {
      came_.back().bytes += bytes;
    }
  }

  // When the last byte of the request that has been read was here. That may be long ago: it waited behind
  // another of this client's, or the connection waited to be accepted.
  Steady::time_point CameWhole(Steady::time_point now) {
    if (!whole_ahead_) {
      came_.clear();
      if (buffer_.size() > 0) Came(buffer_.size(), now);
      return now;
    }
    Steady::time_point at = now;
    for (std::size_t left = size_; left > 0 && !came_.empty();) {
      Mark& first = came_.front();
      const std::size_t taken = std::min(left, first.bytes);
      at = first.at;
      left -= taken;
      first.bytes -= taken;
      if (first.bytes == 0) came_.erase(came_.begin());
    }
    return at;
  }

  void OnHeader() {
    const auto& header = parser_->get();
    if (const auto complaint = ValidateRequestHeader(header))
      return TurnAway(complaint->status, complaint->text);
    const std::size_t length = static_cast<std::size_t>(
        parser_->chunked()
            ? kMaxBufferedBody
            : std::min<std::uint64_t>(kMaxBufferedBody, parser_->content_length().value_or(0)));
    if (!owner_->Reserve(length * kCopies))
      return TurnAway(http::status::service_unavailable, "no memory for this now; trying again is harmless");
    reserved_ = length * kCopies;
    may_keep_ = kMaxBufferedBody;
    body_began_ = Steady::now();
    if (boost::beast::iequals(header[http::field::expect], "100-continue")) return Continue();
    ReadBody();
  }

  void Release() {
    if (owner_) owner_->reserved_ -= std::exchange(reserved_, 0);
  }

  void Continue() {
    const auto go_on = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
    http::async_write(socket_, *go_on, [self = shared_from_this(), go_on](const Error& failed, std::size_t) {
      if (self->state_ != State::kReading) return;
      if (failed) return self->Close();
      self->ReadBody();
    });
  }

  void ReadBody() {
    if (parser_->is_done() || (kept_.size() >= may_keep_ && !KeepMore())) return OnRead(Steady::now());
    until_ = std::max(until_, body_began_ + timeouts().body_grace + TimeFor(kept_.size()));
    ReadBodyChunk(socket_, buffer_, *parser_, piece_, [self = shared_from_this()](const Error& failed, auto got) {
      if (self->state_ != State::kReading) return;
      self->kept_.append(self->piece_.data(), got());
      if (failed) return self->OnUnreadable(failed);
      self->ReadBody();
    });
  }

  // A body of middling size is held whole as well while there is memory for it: until it is here no backend's
  // place is taken, and it can be sent again.
  bool KeepMore() {
    const auto most = static_cast<std::size_t>(owner_->config_.shares.max_buffered_body_bytes);
    if (may_keep_ >= most || parser_->content_length().value_or(0) > most) return false;
    if (!owner_->Reserve(kMaxBufferedBody)) return false;
    reserved_ += kMaxBufferedBody;
    may_keep_ += kMaxBufferedBody;
    return true;
  }

  Steady::duration TimeFor(std::size_t bytes) const {
    return std::chrono::milliseconds(
        bytes * 1000 / static_cast<std::size_t>(owner_->config_.shares.min_body_rate_bytes_per_s));
  }

  // Over all its pieces, an upload may take a grace more than it does at the least rate. Time in which nobody
  // asked for a piece is not the client's.
  void ReadUpload(OnBodyChunk on_piece) {
    on_piece_ = std::move(on_piece);
    const auto began = Steady::now();
    until_ = began + std::max<Steady::duration>(timeouts().body_grace + TimeFor(uploaded_) - upload_time_,
                                                std::chrono::milliseconds(1));
    ReadBodyChunk(socket_, buffer_, *parser_, piece_,
                  [self = shared_from_this(), began](const Error& failed, auto got) {
                    if (!self->Holds() || !self->on_piece_) return;
                    if (failed) {
                      if (IsFromParser(failed))
                        return self->FailUpload(http::status::bad_request, "malformed");
                      return self->FailUpload(std::nullopt, "");
                    }
                    const auto now = Steady::now();
                    const std::size_t n = got();
                    self->upload_time_ += now - began;
                    self->uploaded_ += n;
                    self->until_ = Steady::time_point::max();
                    const bool last = self->parser_->is_done();
                    if (last) self->uploading_ = false, self->WatchClient();
                    std::exchange(self->on_piece_, nullptr)(true, {self->piece_.data(), n}, last);
                  });
  }

  // The client has broken off, or is to be told that it is at fault: either is the end of its request.
  void FailUpload(std::optional<http::status> status, const char* text) {
    const auto self = shared_from_this();
    const auto on_piece = std::exchange(on_piece_, nullptr);
    auto& handler = owner_->handler_;
    const RequestId of = request_;
    if (status) {
      TurnAway(*status, text);
    } else {
      Close();
    }
    if (on_piece) on_piece(false, {}, true);
    handler.OnClientDisconnected(of);
  }

  static bool IsFromParser(const Error& failed) {
    return failed.category() == http::make_error_code(http::error::bad_version).category() &&
           failed != http::error::end_of_stream && failed != http::error::partial_message;
  }

  void OnUnreadable(const Error& failed) {
    if (!IsFromParser(failed)) return Close();
    if (failed == http::error::body_limit) return TurnAway(http::status::payload_too_large, "too large");
    if (failed == http::error::header_limit || failed == http::error::buffer_overflow)
      return TurnAway(http::status::request_header_fields_too_large, "header too large");
    TurnAway(http::status::bad_request, "malformed");
  }

  void OnRead(Steady::time_point at) {
    asked_ = true;
    at = std::min(at, CameWhole(at));
    uploading_ = !parser_->is_done();
    uploaded_ = 0;
    upload_time_ = {};
    const bool has_length = !parser_->chunked();
    const std::uint64_t length = has_length ? parser_->content_length().value_or(0) : 0;
    HttpRequest message(parser_->get().base(), std::exchange(kept_, {}));
    last_ = !message.keep_alive();
    old_client_ = message.version() < 11;
    if (!uploading_) piece_ = {};
    if (message.method() == http::verb::get && message.target() == "/ready") {
      const bool ready = owner_->handler_.Ready() && !owner_->stopping_;
      return Write(ready ? Plain(http::status::ok, "ready\n")
                         : Plain(http::status::service_unavailable, "not ready\n"));
    }
    ClientRequest request;
    if (const auto complaint = ParseClientRequest(std::move(message), at, owner_->config_, &request))
      return TurnAway(complaint->status, complaint->text);
    const auto id = request.message["Req-Id"];
    if (owner_->handler_.IsRequestOpen({id.data(), id.size()}))
      return TurnAway(http::status::conflict, "Req-Id is that of an open request");
    if (uploading_) {
      request.body_stream = shared_from_this();
      if (has_length) request.message.content_length(length);
      if (!has_length) request.message.chunked(true);
    }
    Enter(State::kHeld, std::nullopt);
    // Nothing begins for a client that has gone while its request waited to be read.
    if (!uploading_ && !ReadAhead(Steady::now())) return Close();
    request_ = owner_->handler_.OnRequest(std::move(request), shared_from_this());
    if (state_ == State::kHeld && !uploading_) WatchClient();
  }

  // A client that closes its connection while its request is held has gone, whatever it had sent behind that.
  void WatchClient() {
    socket_.async_wait(Tcp::socket::wait_read,
                       [self = shared_from_this(), of = request_](const Error& failed) {
                         if (failed || !self->Holds() || self->request_ != of) return;
                         if (self->ReadAhead(Steady::now())) return self->WatchClient();
                         const auto owner = self->owner_;
                         self->Close();
                         owner->handler_.OnClientDisconnected(of);
                       });
  }

  // A client in error is not listened to any further: what follows may be the rest of what could not be read.
  void TurnAway(http::status status, std::string text) {
    last_ = true;
    Write(Plain(status, std::move(text) + '\n'));
  }

  void Write(HttpResponse response) {
    Enter(State::kWriting, timeouts().response_write);
    response_ = std::move(response);
    last_ |= uploading_ || overrun_ || owner_->stopping_ || owner_->drained_ || owner_->handed_over_;
    response_.keep_alive(!last_);
    response_.prepare_payload();
    Error ignored;
    socket_.cancel(ignored);  // the watch for the client's end
    http::async_write(socket_, response_, [self = shared_from_this()](const Error& failed, std::size_t) {
      if (self->state_ != State::kWriting) return;
      self->response_ = {};
      if (failed) return self->Close();
      self->OnAnswered();
    });
  }

  void OnAnswered() {
    if (last_) return CloseLingering();
    Wait(timeouts().keep_alive);
    if (owner_->waiting_for_room_) owner_->AcceptSoon();
  }

  // An answer whose end is still to come.
  void Stream(HttpResponse response, std::optional<std::uint64_t> length) {
    Enter(State::kWriting, timeouts().response_write);
    chunked_ = !length && !old_client_;
    // Only the connection's end can tell a client of HTTP/1.0 how long it is.
    last_ |= uploading_ || overrun_ || owner_->stopping_ || owner_->drained_ || owner_->handed_over_ ||
             (!length && old_client_);
    response.keep_alive(!last_);
    if (length) response.content_length(*length);
    if (chunked_) response.chunked(true);
    Error ignored;
    socket_.cancel(ignored);  // the watch for the client's end
    std::ostringstream head;
    head << response.base();
    WriteStream(head.str() + EncodeBodyChunk(response.body(), false, chunked_), false);
  }

  void WriteStream(std::string text, bool last) {
    until_ = Steady::now() + timeouts().response_write;
    out_ = std::move(text);
    if (last) rest_.reset();  // the backend's connection is free for others
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this(), last](const Error& failed, std::size_t) {
                        if (self->state_ != State::kWriting) return;
                        if (failed) return self->Close();
                        if (last) {
                          self->out_ = {};
                          return self->OnAnswered();
                        }
                        self->rest_->Read([self](bool whole, std::string_view piece, bool last) {
                          if (self->state_ != State::kWriting) return;
                          if (!whole) return self->Abort();
                          self->WriteStream(EncodeBodyChunk(piece, last, self->chunked_), last);
                        });
                      });
  }

  // A reset: whatever the framing, the client can tell that the answer is not whole.
  void Abort() {
    Error ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  // What a client says after the end is nobody's: it reads there that nothing more is answered.
  void Discard() {
    discard_.resize(kBodyChunkSize);
    socket_.async_read_some(
        asio::buffer(discard_), [self = shared_from_this()](const Error& failed, std::size_t n) {
          if (self->state_ != State::kLingering) return;
          self->discarded_ += n;
          if (failed || self->discarded_ > (self->uploading_ ? kMaxBody : 4 * kMaxBufferedBody))
            return self->Close();
          self->Discard();
        });
  }

  ClientListener* owner_;
  Tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kMaxBufferedBody + kMostHeader};
  std::optional<Parser> parser_;
  HttpResponse response_;
  std::string kept_, out_;     // a request's body as far as it is held; what is being written of an answer
  std::vector<char> discard_;  // not the buffer of a read that may not have heard yet that it is over
  std::vector<char> piece_;    // of a body that is being read
  std::shared_ptr<BodySource> rest_;  // of the answer
  OnBodyChunk on_piece_;              // wants the next piece of the request's body
  std::size_t uploaded_ = 0, may_keep_ = 0;
  Steady::time_point body_began_{};
  Steady::duration upload_time_{};
  bool uploading_ = false;  // the request's body has not come whole
  bool chunked_ = false, old_client_ = false;
  RequestId request_ = 0;
  std::size_t discarded_ = 0, reserved_ = 0;
  State state_ = State::kWaiting;
  Steady::time_point since_{}, until_{};  // of the state
  struct Mark {
    std::size_t bytes;
    Steady::time_point at;
  };
  std::vector<Mark> came_;    // when what is in the buffer came, as far as it was read ahead
  std::size_t size_ = 0;      // of the request that is being read, as far as its head tells
  bool whole_ahead_ = false;  // all of that was here before it was looked at
  bool overrun_ = false;      // has sent more behind an open request than is kept
  bool asked_ = false;        // has sent a whole request
  bool last_ = false;         // the connection closes after this answer
};

ClientListener::ClientListener(asio::io_context& io, const Config& config, std::size_t most_connections,
                               RequestHandler& handler, int listener)
    : io_(io),
      config_(config),
      most_connections_(most_connections),
      most_bytes_(static_cast<std::size_t>(config.memory_mb * config.shares.body_memory * 1024 * 1024)),
      handler_(handler),
      acceptor_(io),
      pause_(io),
      grace_(io),
      sweep_(io) {
  if (listener >= 0) {
    acceptor_.assign(config.listen.protocol(), listener);
  } else {
    acceptor_.open(config.listen.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));  // restarts come on the same address
    acceptor_.set_option(ReusePort(true));                     // and a next process may come beside this one
    acceptor_.bind(config.listen);
    acceptor_.listen();
  }
  acceptor_.non_blocking(true);
  Accept();
}

ClientListener::~ClientListener() {
  const auto sessions = std::move(sessions_);
  sessions_.clear();
  for (const auto& session : sessions) session->Orphan();
}

void ClientListener::Accept() {
  if (shut_ || handed_over_) return;
  waiting_for_room_ = false;
  Error failed;
  for (int n = 0; n < kAtOnce; ++n) {
    if (sessions_.size() >= most_connections_ && !MakeRoom()) {
      waiting_for_room_ = true;  // the next connections wait in the kernel's queue
      if (!queued_since_) queued_since_ = Steady::now();
      return;
    }
    Tcp::socket socket(io_);
    acceptor_.accept(socket, failed);
    if (failed) break;
    Begin(std::move(socket));
  }
  if (!failed) return AcceptSoon();
  // Guards against spinning when descriptors run out: the queue stays readable all the while.
  if (failed != asio::error::would_block && failed != asio::error::try_again) return AcceptLater();
  queued_since_.reset();  // the queue is empty: who comes from here on is seen at once
  AwaitClient();
}

// Not from within what a session does: accepting may end others.
void ClientListener::AcceptSoon() {
  if (std::exchange(accepting_soon_, true)) return;
  asio::post(io_, [this, alive = std::weak_ptr<int>(alive_)] {
    if (alive.expired()) return;
    accepting_soon_ = false;
    Accept();
  });
}

void ClientListener::AwaitClient() {
  if (std::exchange(awaiting_, true)) return;
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this](const Error& failed) {
    if (failed == asio::error::operation_aborted) return;
    awaiting_ = false;
    failed ? AcceptLater() : Accept();
  });
}

void ClientListener::Begin(Tcp::socket socket) {
  if (sessions_.empty()) Sweep();
  sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
  const auto session = sessions_.back();
  session->place = std::prev(sessions_.end());
  session->Start(queued_since_);
}

void ClientListener::AcceptLater() {
  if (!queued_since_) queued_since_ = Steady::now();
  MakeRoom();
  pause_.expires_after(kPause);
  pause_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Accept();
  });
}

// Bodies that are being read, or are held, must not fill the memory: what comes beyond is turned away.
bool ClientListener::Reserve(std::size_t bytes) {
  if (reserved_ + bytes > most_bytes_) return false;
  reserved_ += bytes;
  return true;
}

// Gives up, of the first of these kinds that there is, the one that has been so for the longest: a connection
// that has had its last answer; one that has stood idle for long; one that never said anything; one that
// rests; one whose request does not come whole. Those that are fresh stay, since their request may be on its
// way.
bool ClientListener::MakeRoom() {
  const auto now = Steady::now();
  const auto& timeouts = config_.timeouts;
  const auto give_up = [&](auto which) {
    const auto found = std::find_if(sessions_.begin(), sessions_.end(), which);
    if (found == sessions_.end()) return false;
    const auto session = *found;
    session->CloseNow();
    return true;
  };
  return give_up([](const auto& s) { return s->Lingers(); }) ||
         give_up([&](const auto& s) { return s->SpareSince(now - timeouts.idle_reclaim); }) ||
         give_up([&](const auto& s) { return s->IdleSince(now - timeouts.pressed_idle_reclaim); }) ||
         give_up([&](const auto& s) { return s->HalfReadSince(now - kBegun); });
}

// Ends what has taken too long, and makes room ahead of need.
void ClientListener::Sweep() {
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this](const Error& cancelled) {
    if (cancelled) return;
    const auto now = Steady::now();
    const auto mark = static_cast<std::size_t>(static_cast<double>(most_connections_) * kRoomy);
    for (auto it = sessions_.begin(); it != sessions_.end();) {
      const auto session = *it++;
      if (drained_ && (session->SpareSince(now) || session->SilentSince(now - kFresh))) {
        session->CloseLingering();
      } else if (sessions_.size() > mark && session->SpareSince(now - config_.timeouts.idle_reclaim)) {
        session->CloseLingering();
      } else {
        session->EndIfDue(now);
      }
    }
    if (waiting_for_room_) AcceptSoon();
    if (!sessions_.empty()) Sweep();
  });
}

void ClientListener::Remove(Session* session) {
  sessions_.erase(session->place);
  if (waiting_for_room_) AcceptSoon();
}

void ClientListener::ShutDown(Duration grace, std::function<void()> done) {
  if (stopping_) return;
  stopping_ = true;
  stopped_ = std::move(done);
  if (handed_over_)
    CloseListener(/*at_once=*/true);  // the other process has it too: nothing that waits there is lost
  grace_.expires_after(std::chrono::ceil<Steady::duration>(grace));
  grace_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Shut();
  });
}

// What waits in the queue would be reset with it: it is closed once the queue has been seen empty, or nobody
// may be waited for any more.
void ClientListener::CloseListener(bool at_once) {
  if (!acceptor_.is_open()) return;
  Error failed;
  while (!handed_over_ && !failed && (sessions_.size() < most_connections_ || MakeRoom())) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, failed);
    if (!failed) Begin(std::move(socket));
  }
  if (handed_over_ || failed || at_once) acceptor_.close(failed);
}

std::optional<int> ClientListener::ReleaseListener() {
  if (!acceptor_.is_open() || shut_ || handed_over_) return std::nullopt;
  handed_over_ = true;
  awaiting_ = false;
  Error ignored;
  acceptor_.cancel(ignored);
  pause_.cancel();
  return acceptor_.native_handle();
}

void ClientListener::ResumeAccepting() {
  if (!std::exchange(handed_over_, false) || !acceptor_.is_open()) return;
  AcceptSoon();
}

void ClientListener::SetConnectionLimit(std::size_t connections) {
  most_connections_ = connections;
  if (waiting_for_room_) AcceptSoon();
}

void ClientListener::SetDraining(bool drained) {
  drained_ = drained;
  if (!drained) return;
  const auto now = Steady::now();
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const auto session = *it++;
    if (session->SpareSince(now)) session->CloseLingering();
  }
}

// Looks again until no answer is owed, no request is half read, and every client has seen its connection's
// end.
void ClientListener::Shut() {
  const auto now = Steady::now();
  if (!std::exchange(shut_, true)) half_read_until_ = now + kHalfRead;
  const bool late = now >= half_read_until_;
  CloseListener(late);
  bool wait = acceptor_.is_open();
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const auto session = *it++;
    // One that has just been accepted may be about to ask.
    if (session->Idle() && (late || !session->SilentSince(now) || session->SilentSince(now - kFresh))) {
      session->CloseLingering();
    } else if (session->Reading() && late) {
      session->CloseLingering();
    }
    wait |= session->Owes() || session->Reading();
  }
  if (!wait) return stopped_();
  grace_.expires_after(kLookAgain);
  grace_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Shut();
  });
}

}  // namespace copperpoint::proxy
