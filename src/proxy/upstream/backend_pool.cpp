// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream/backend_pool.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

#include "log/log.h"
#include "proxy/clock.h"
#include "proxy/upstream/outcome.h"

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t kMostAnswerHeader = 16 * 1024;
constexpr char kDeadlineField[] = "Req-Deadline-Ms";
constexpr int kMostInterim = 8;     // 1xx answers ahead of the final one
constexpr double kIdleShare = 0.8;  // of the time after which backends close: ours must come first

Steady::duration ToSteady(Duration d) { return std::chrono::ceil<Steady::duration>(d); }

// No fault of a backend: this process, or this machine, has no more to give.
bool IsLocal(const Error& failed) {
  return failed == asio::error::no_descriptors || failed == asio::error::no_buffer_space ||
         failed == asio::error::no_memory || failed == boost::system::errc::too_many_files_open_in_system ||
         failed == boost::system::errc::address_not_available;
}

}  // namespace

// One connection and the attempt on it, if any. Once closed it is never used again, so that an answer which
// comes after its attempt's time-out has nowhere to go.
class BackendPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(BackendPool& owner, BackendId server, std::uint64_t generation)
      : owner_(&owner), server_(server), generation_(generation), socket_(owner.io_), timer_(owner.io_) {}

  BackendId server() const { return server_; }
  std::uint64_t generation() const { return generation_; }
  Steady::time_point idle_since() const { return idle_since_; }

  void Open(const Tcp::endpoint& address, Duration connect_timeout) {
    Error error;
    socket_.open(address.protocol(), error);
    if (!error) socket_.set_option(Tcp::no_delay(true), error);
    if (!error) socket_.non_blocking(true, error);
    if (error) return FinishSoon(AttemptOutcome::kNotSent, /*local=*/true);
    SetTimer(std::min(deadline_, Steady::now() + ToSteady(connect_timeout)));
    socket_.async_connect(address, [self = shared_from_this(), use = use_](const Error& failed) {
      if (!self->Carries(use)) return;
      if (failed && IsLocal(failed)) return self->Finish(AttemptOutcome::kNotSent, {}, /*local=*/true);
      if (failed) return self->Finish(AttemptOutcome::kConnectFailure);
      self->SetTimer(self->deadline_);
      // What speaks before it is asked will not answer what it is asked.
      if (!self->Quiet()) return self->Finish(AttemptOutcome::kConnectFailure);
      self->Write();
    });
  }

  void Assign(std::shared_ptr<const HttpRequest> request, Duration timeout, AttemptDone done,
              std::shared_ptr<RequestBodyStream> upload) {
    ++use_;
    request_ = std::move(request);
    done_ = std::move(done);
    upload_ = std::move(upload);
    timeout_ = ToSteady(timeout);
    body_.clear();
    deadline_ = Steady::now() + ToSteady(timeout);
    written_ = begun_ = aborted_ = false;
    interim_ = 0;
  }

  std::uint64_t use() const { return use_; }

  void Reuse() {
    Error ignored;
    socket_.cancel(ignored);  // the watch for its end
    SetTimer(deadline_);
    Write();
  }

  // An attempt that ends before its last byte is out; its result still comes from the event loop. Nothing
  // that completes in the meantime may carry it on.
  void FinishSoon(AttemptOutcome outcome, bool local = false) {
    aborted_ = true;
    asio::post(owner_->io_, [self = shared_from_this(), outcome, local, use = use_] {
      if (use == self->use_) self->Finish(outcome, {}, local);
    });
  }

  // Ends an attempt that cannot have run yet: the backend has not been given its last byte. One whose body
  // has partly left for good goes on, as there is no other try.
  void CancelUnsent() {
    if (!done_ || aborted_ || written_ || (upload_ && upload_->consumed)) return;
    FinishSoon(AttemptOutcome::kNotSent);
  }

  // Open, with nothing to read. Guards against writing to a connection that the backend has closed in the
  // meantime, which would end as a reset that may have run, and against taking for an answer what was sent
  // before the request.
  bool Quiet() {
    Error error;
    char byte;
    socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
  }

  void WatchIdle(Duration at_most) {
    idle_since_ = Steady::now();
    SetTimer(idle_since_ + ToSteady(at_most));
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error&) {
      if (use == self->use_) self->Close();  // its end, or an answer that nobody asked for
    });
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
    if (owner_) owner_->Drop(this);
    if (const auto on_piece = std::exchange(on_piece_, nullptr)) on_piece(false, {}, true);
  }

  // The rest of a large answer. Without a reader the connection is of no more use.
  class Rest : public BodySource {
   public:
    explicit Rest(std::shared_ptr<Connection> connection) : connection_(std::move(connection)) {}
    ~Rest() override { connection_->EndStream(); }
    void Read(OnBodyChunk on_piece) override { connection_->ReadStream(std::move(on_piece)); }

   private:
    std::shared_ptr<Connection> connection_;
  };

  // The owner goes: nothing may be reported any more.
  void Orphan() {
    owner_ = nullptr;
    done_ = nullptr;
    on_piece_ = nullptr;
    Close();
  }

 private:
  // What every completion asks first: whether the attempt that it was begun for is still out here.
  bool Carries(std::uint64_t use) const { return done_ && use == use_ && !aborted_; }

  void SetTimer(Steady::time_point at) {
    timer_.expires_at(at);
    timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
      if (cancelled || self->closed_ || self->aborted_ || Steady::now() < self->timer_.expiry()) return;
      if (!self->done_) return self->Close();  // idle for too long, or stalled in a large answer
      // Nothing has run unless the last byte was written.
      self->Finish(!self->written_ ? AttemptOutcome::kConnectFailure
                   : self->begun_ && self->timer_.expiry() < self->deadline_
                       ? AttemptOutcome::kConnectionReset
                       : AttemptOutcome::kTimeout);
    });
  }

  // The request as it came, but for how long its answer will be waited for: that is what is left by now, as a
  // dial may have taken its part of it.
  std::string Head(Steady::duration left) const {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    const auto method = request_->method_string(), target = request_->target();
    std::string head;
    head.reserve(512);
    head.append(method.data(), method.size()).append(1, ' ');
    head.append(target.data(), target.size()).append(" HTTP/1.1\r\n");
    for (const auto& field : *request_) {
      const auto name = field.name_string(), value = field.value();
      if (boost::beast::iequals(name, kDeadlineField)) continue;
      head.append(name.data(), name.size()).append(": ");
      head.append(value.data(), value.size()).append("\r\n");
    }
    head.append(kDeadlineField).append(": ").append(std::to_string(std::max<long long>(ms, 1)));
    return head.append("\r\n\r\n");
  }

  void Write() {
    const auto left = deadline_ - Steady::now();
    if (left <= Steady::duration(0)) return FinishSoon(AttemptOutcome::kNotSent);
    if (upload_)
      return WritePiece(Head(timeout_) + EncodeBodyChunk(request_->body(), false, request_->chunked()),
                        false);
    out_ = Head(left);
    out_at_ = 0;
    Flush(/*last=*/true);
  }

  // The attempt's own time begins with the last byte: until then the client is timed by its session, and a
  // backend by how long it takes nothing.
  void WritePiece(std::string text, bool last) {
    out_ = std::move(text);
    out_at_ = 0;
    SetTimer(Steady::now() + owner_->limits_.timeouts.body_stall);
    Flush(last);
  }

  // Guards against an attempt that the backend has whole being taken for one that never ran: whether its last
  // byte is out is known here as soon as the system has it, not a turn of the loop later, in which a timer or
  // a reset may come first.
  void Flush(bool last) {
    const auto body = upload_ ? asio::const_buffer() : asio::buffer(request_->body());
    const std::size_t all = out_.size() + body.size();
    while (out_at_ < all) {
      const std::size_t of_head = std::min(out_at_, out_.size());
      const std::array<asio::const_buffer, 2> rest{asio::buffer(out_) + of_head, body + (out_at_ - of_head)};
      Error failed;
      out_at_ += socket_.write_some(rest, failed);
      if (failed == asio::error::would_block || failed == asio::error::try_again) {
        socket_.async_wait(Tcp::socket::wait_write,
                           [self = shared_from_this(), use = use_, last](const Error& failed) {
                             if (!self->Carries(use)) return;
                             failed ? self->Finish(AttemptOutcome::kConnectFailure) : self->Flush(last);
                           });
        return;
      }
      if (failed && failed != asio::error::interrupted) return FinishSoon(AttemptOutcome::kConnectFailure);
    }
    last ? OnWritten() : ReadUpload();
  }

  void OnWritten() {
    written_ = true;
    if (upload_) {
      out_ = {};
      written_at_ = Steady::now();
      deadline_ = written_at_ + timeout_;
      SetTimer(deadline_);
    }
    AwaitAnswer();
  }

  void ReadUpload() {
    upload_->consumed = true;
    SetTimer(Steady::time_point::max());
    upload_->source->Read(
        [self = shared_from_this(), use = use_](bool whole, std::string_view piece, bool last) {
          if (!self->Carries(use)) return;
          if (!whole)
            return self->Finish(AttemptOutcome::kNotSent);  // the client's doing, and nothing has run
          self->WritePiece(EncodeBodyChunk(piece, last, self->request_->chunked()), last);
        });
  }

  // An answer that has begun comes whole soon, or not at all: its connection may stay open and silent.
  void AwaitAnswer() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error& failed) {
      if (!self->Carries(use)) return;
      if (failed) return self->Finish(AttemptOutcome::kConnectionReset);
      self->begun_ = true;
      self->ExpectMore();
      self->Read();
    });
  }

  void ExpectMore() {
    SetTimer(std::min(deadline_, Steady::now() + owner_->limits_.timeouts.response_stall));
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBody);
    parser_->header_limit(kMostAnswerHeader);
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this(), use = use_](const Error& failed, std::size_t) {
                              if (!self->Carries(use)) return;
                              if (failed) return self->Finish(AttemptOutcome::kConnectionReset);
                              self->OnHeader();
                            });
  }

  void OnHeader() {
    const auto& header = parser_->get();
    if (header.result_int() < 200) {
      // The final answer is still to come; but nothing here asked to switch protocols.
      const bool over = header.result() == http::status::switching_protocols || ++interim_ > kMostInterim;
      return over ? Finish(AttemptOutcome::kConnectionReset) : Read();
    }
    // An answer that only the connection's end delimits cannot be told from one cut short, unless the backend
    // has said that it will close: then a plain end is the answer's, and a reset is not.
    const bool ends_it =
        header.version() >= 11 && http::token_list(header[http::field::connection]).exists("close");
    if (!IsFramingUnambiguous(header, header.version()) ||
        (parser_->need_eof() && !parser_->chunked() && !ends_it))
      return Finish(AttemptOutcome::kConnectionReset);
    ReadBody();
  }

  void ReadBody() {
    const auto length = parser_->content_length();
    const bool ok = parser_->get().result() == http::status::ok;
    if (parser_->is_done()) {
      reusable_ = parser_->keep_alive() && buffer_.size() == 0;
      HttpResponse response(parser_->get().base(), std::move(body_));
      const AttemptOutcome outcome = ClassifyResponse(*request_, response);
      return Finish(outcome, std::move(response));
    }
    if (body_.size() > kMaxBufferedBody || (length && *length > kMaxBufferedBody))
      return ok ? BeginStream() : Finish(AttemptOutcome::kConnectionReset);
    ReadBodyChunk(socket_, buffer_, *parser_, piece_,
                  [self = shared_from_this(), use = use_](const Error& failed, auto got) {
                    if (!self->Carries(use)) return;
                    if (failed) return self->Finish(AttemptOutcome::kConnectionReset);
                    self->body_.append(self->piece_.data(), got());
                    self->ExpectMore();
                    self->ReadBody();
                  });
  }

  // The answer counts from its first bytes on; what follows is between this connection and the client.
  void BeginStream() {
    const auto self = shared_from_this();
    AttemptResult result;
    result.outcome = AttemptOutcome::kSuccess;
    if (parser_->content_length()) result.body_length = *parser_->content_length();
    result.response = HttpResponse(parser_->get().base(), std::move(body_));
    if (upload_) result.request_written_at = written_at_;
    const AttemptDone done = std::exchange(done_, nullptr);
    request_ = {};
    upload_.reset();
    streaming_ = true;
    SetTimer(Steady::time_point::max());
    result.body_stream = std::make_shared<Rest>(self);
    done(std::move(result));
  }

  void ReadStream(BodySource::OnBodyChunk on_piece) {
    on_piece_ = std::move(on_piece);
    if (closed_) {
      asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (const auto on_piece = std::exchange(self->on_piece_, nullptr)) on_piece(false, {}, true);
      });
      return;
    }
    SetTimer(Steady::now() + owner_->limits_.timeouts.body_stall);
    ReadBodyChunk(
        socket_, buffer_, *parser_, piece_, [self = shared_from_this()](const Error& failed, auto got) {
          if (!self->streaming_ || self->closed_ || !self->on_piece_) return;
          if (failed) return self->Close();
          self->SetTimer(Steady::time_point::max());  // how long the client takes is not the backend's doing
          const auto on_piece = std::exchange(self->on_piece_, nullptr);
          on_piece(true, {self->piece_.data(), got()}, self->parser_->is_done());
        });
  }

  void EndStream() {
    if (!std::exchange(streaming_, false)) return;
    on_piece_ = nullptr;
    if (closed_) return;
    if (!parser_->is_done() || !parser_->keep_alive() || buffer_.size() > 0 || !owner_) return Close();
    Clear();
    owner_->Keep(shared_from_this());
  }

  // What stands idle keeps no memory.
  void Clear() {
    request_ = {};
    upload_.reset();
    parser_.reset();
    out_ = {};
    body_ = {};
    piece_ = {};
    buffer_.clear();
    buffer_.shrink_to_fit();
  }

  void Finish(AttemptOutcome outcome, HttpResponse response = {}, bool local = false) {
    if (!done_) return;
    const auto self = shared_from_this();
    const AttemptDone done = std::exchange(done_, nullptr);
    const bool uploaded = upload_ != nullptr && written_;
    // Closed before anybody hears of the end: the next attempt must not find this one on an open connection.
    // A read or write that has not heard of it yet may still look at what belongs to it.
    if (std::exchange(reusable_, false) && owner_) {
      Clear();
      owner_->Keep(self);
    } else {
      Close();
    }
    // Where one answer stays away, the idle connections may lead nowhere too.
    if (outcome == AttemptOutcome::kTimeout && owner_) owner_->CloseIdleConnections(server_);
    AttemptResult result;
    result.outcome = outcome;
    result.response = std::move(response);
    if (uploaded) result.request_written_at = written_at_;
    result.local_failure = local;
    done(std::move(result));
  }

  BackendPool* owner_;
  BackendId server_;
  std::uint64_t generation_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{kMaxBufferedBody + kMostAnswerHeader};
  std::optional<http::response_parser<http::buffer_body>> parser_;
  std::string body_, out_;   // an answer's body as far as it is held; what is being written of a request
  std::size_t out_at_ = 0;   // what the system has taken of that, and of the body behind it
  std::vector<char> piece_;  // of a body that is being read
  std::shared_ptr<RequestBodyStream> upload_;
  BodySource::OnBodyChunk on_piece_;  // wants the next piece of a large answer
  std::shared_ptr<const HttpRequest> request_;
  AttemptDone done_;  // set while an attempt is out
  Steady::duration timeout_{};
  Steady::time_point deadline_{}, idle_since_{}, written_at_{};
  bool streaming_ = false;
  std::uint64_t use_ = 0;
  int interim_ = 0;
  bool written_ = false;  // the request's last byte is out: it may run
  bool begun_ = false;    // its answer has
  bool aborted_ = false;  // its end is on its way through the event loop
  bool reusable_ = false, closed_ = false;
};

BackendPool::BackendPool(asio::io_context& io, Limits limits) : io_(io), limits_(limits) {}

BackendPool::~BackendPool() {
  const auto live = std::move(live_);
  live_.clear();
  for (const auto& [key, weak] : live) {
    if (const auto connection = weak.lock()) connection->Orphan();
  }
}

void BackendPool::SetEndpoint(BackendId server, const Tcp::endpoint& address, double up_since) {
  Backend& backend = backends_[server];
  if (backend.usable && backend.address == address && backend.up_since == up_since) return;
  DrainBackend(server);
  backend.address = address;
  backend.up_since = up_since;
  backend.usable = true;
}

void BackendPool::DrainBackend(BackendId server) {
  const auto found = backends_.find(server);
  if (found == backends_.end()) return;
  Backend& backend = found->second;
  if (!backend.usable && backend.live == 0) return;
  ++backend.generation;
  backend.usable = false;
  CloseIdleConnections(server);
  if (backend.live == 0) return;
  // What is still being dialled or written would begin at a backend that wants nothing new.
  for (const auto& [key, weak] : live_) {
    if (const auto connection = weak.lock(); connection && connection->server() == server)
      connection->CancelUnsent();
  }
}

void BackendPool::DrainAllExcept(const std::unordered_set<BackendId>& named) {
  for (const auto& [server, backend] : backends_) {
    if (!named.contains(server)) DrainBackend(server);
  }
}

void BackendPool::CloseIdleConnections(BackendId server) {
  const auto found = backends_.find(server);
  if (found == backends_.end()) return;
  const auto idle = std::move(found->second.idle);
  found->second.idle.clear();
  for (const auto& connection : idle) connection->Close();
}

void BackendPool::RemoveBackend(BackendId server) {
  const auto found = backends_.find(server);
  if (found != backends_.end() && !found->second.usable && found->second.live == 0) backends_.erase(found);
}

void BackendPool::CancelUnsent(const AttemptHandle& handle) {
  const auto connection = std::static_pointer_cast<Connection>(handle.connection.lock());
  if (connection && connection->use() == handle.use) connection->CancelUnsent();
}

BackendPool::AttemptHandle BackendPool::SendRequest(BackendId server,
                                                    std::shared_ptr<const HttpRequest> request,
                                                    Duration timeout, AttemptDone done,
                                                    std::shared_ptr<RequestBodyStream> upload) {
  Backend& backend = backends_[server];
  std::shared_ptr<Connection> connection = TakeIdle(backend);
  if (connection) {
    connection->Assign(std::move(request), timeout, std::move(done), std::move(upload));
    connection->Reuse();
    return {connection, connection->use()};
  }
  connection = std::make_shared<Connection>(*this, server, backend.generation);
  live_.emplace(connection.get(), connection);
  ++open_;
  ++backend.live;
  connection->Assign(std::move(request), timeout, std::move(done), std::move(upload));
  // A backend that never had an address could not be connected to; a pool full of attempts is no backend's
  // fault.
  if (backend.address.port() == 0) {
    connection->FinishSoon(AttemptOutcome::kConnectFailure);
  } else if (open_ > limits_.max_connections && !CloseOldestIdle()) {
    connection->FinishSoon(AttemptOutcome::kNotSent, /*local=*/true);
  } else {
    ++connections_opened_;
    log::Global().Debug("connection_opened", {{"server", server}});
    connection->Open(backend.address, limits_.connect_timeout);
  }
  return {connection, connection->use()};
}

// The most recently used of those that have rested. A backend may close just after an answer, or send more
// than belongs to it: what has rested has shown that.
std::shared_ptr<BackendPool::Connection> BackendPool::TakeIdle(Backend& backend) {
  const auto rested_since = Steady::now() - limits_.timeouts.connection_rest;
  auto end = backend.idle.end();
  while (end != backend.idle.begin() && (*std::prev(end))->idle_since() > rested_since) --end;
  while (end != backend.idle.begin()) {
    const auto connection = *--end;
    end = backend.idle.erase(end);
    if (connection->Quiet()) return connection;
    const auto place = end - backend.idle.begin();
    connection->Close();
    end = backend.idle.begin() + place;
  }
  return nullptr;
}

bool BackendPool::CloseOldestIdle() {
  std::shared_ptr<Connection> oldest;
  for (const auto& [server, backend] : backends_) {
    if (backend.idle.empty()) continue;
    const auto& candidate = backend.idle.front();
    if (!oldest || candidate->idle_since() < oldest->idle_since()) oldest = candidate;
  }
  if (oldest) oldest->Close();
  return oldest != nullptr;
}

void BackendPool::Keep(const std::shared_ptr<Connection>& connection) {
  const auto found = backends_.find(connection->server());
  if (found == backends_.end()) return connection->Close();
  Backend& backend = found->second;
  if (!backend.usable || backend.generation != connection->generation()) return connection->Close();
  backend.idle.push_back(connection);
  connection->WatchIdle(limits_.backend_idle_timeout * kIdleShare);
}

void BackendPool::Drop(const Connection* connection) {
  const bool was_live = live_.erase(connection) > 0;
  open_ -= was_live;
  const auto found = backends_.find(connection->server());
  if (found == backends_.end()) return;
  found->second.live -= was_live;
  std::erase_if(found->second.idle, [&](const auto& idle) { return idle.get() == connection; });
}

}  // namespace copperpoint::proxy
