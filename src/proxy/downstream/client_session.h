// SPDX-License-Identifier: Apache-2.0
//
// One client connection: its state machine and time limits.
#ifndef COPPERPOINT_PROXY_DOWNSTREAM_CLIENT_SESSION_H_
#define COPPERPOINT_PROXY_DOWNSTREAM_CLIENT_SESSION_H_

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/clock.h"
#include "proxy/config/config.h"
#include "proxy/downstream/memory_budget.h"
#include "proxy/downstream/request_handler.h"
#include "proxy/downstream/request_reader.h"
#include "proxy/downstream/response_writer.h"
#include "proxy/downstream/session_state.h"

namespace copperpoint::proxy {

class SessionManager;

// Owns the socket, the reader of requests, the writer of responses and the state (session_state.h). Handles
// one request at a time: the next is read once the response is written. Owned by the SessionManager's list
// and, while an operation is in progress, by its completion handler; a handler that finds another state than
// it was started in does nothing. The request handler has it as Responder and, for a streamed body, as
// BodySource.
class ClientSession final : public std::enable_shared_from_this<ClientSession>,
                            public Responder,
                            public BodySource {
 public:
  using List = std::list<std::shared_ptr<ClientSession>>;

  ClientSession(SessionManager& manager, boost::asio::ip::tcp::socket socket);

  // Position in the manager's list.
  List::iterator position;

  // `queued_since`: when it may have entered the accept queue, if that was not just now.
  void Start(std::optional<Steady::time_point> queued_since);

  // What the manager asks to choose connections to close.
  bool IsIdle() const;  // between requests, and no byte of the next one has arrived
  bool IsReadingRequest() const { return state_ == SessionState::kReadingRequest; }
  bool IsAwaitingResponse() const { return state_ == SessionState::kAwaitingResponse; }
  bool IsWritingResponse() const { return state_ == SessionState::kWritingResponse; }
  bool IsLingering() const { return state_ == SessionState::kLingering; }
  bool ExpectsRequest() const { return state_ == SessionState::kIdle || IsReadingRequest(); }
  // The response is due, or the client may not have received all of it yet.
  bool HasUndeliveredResponse() const { return IsAwaitingResponse() || IsWritingResponse() || IsLingering(); }
  bool HasPartialHeaderSince(Steady::time_point at) const;
  bool IsIdleSince(Steady::time_point at) const { return state_since_ <= at && IsIdle(); }
  bool IsKeptAliveSince(Steady::time_point at) const { return has_sent_request_ && IsIdleSince(at); }
  bool IsUnusedSince(Steady::time_point at) const { return !has_sent_request_ && IsIdleSince(at); }

  // Applies the time limit of the current state.
  void OnDeadlineCheck(Steady::time_point now);

  void Close();
  // Lingering close: ends the sending side and discards what still arrives until the client closes. Closed
  // with bytes unread, or with bytes on their way, a connection is reset, and the reset may destroy a
  // response that the client has not read yet. A client whose request crosses this sees an end without a
  // response and retries.
  void CloseLingering();
  // Closes at once, to free the descriptor; what has arrived is read first, so that it causes no reset.
  void CloseImmediately();
  // The manager is being destroyed.
  void Detach();

  // Responder
  void SendResponse(HttpResponse response, std::shared_ptr<BodySource> body_stream,
                    std::optional<std::uint64_t> body_length) override;
  void SendUnavailable(Duration retry_after) override;
  void SendBadGateway() override;
  void SendClientError(boost::beast::http::status status) override;

  // BodySource: the rest of the request's body.
  void Read(OnBodyChunk on_chunk) override;

  // Callbacks of the reader.
  void OnRequestRead(Steady::time_point at);
  void OnInvalidRequest(boost::beast::http::status status, std::string text);
  // The streamed body ended early. With a status, the client is sent an error response.
  void FailStreamedBody(std::optional<boost::beast::http::status> status, const char* text);
  // A client that closes its connection while its request is open has disconnected, whatever it sent before.
  void WatchForDisconnect();

  // Callbacks of the writer.
  void OnResponseWritten();
  // Resets the connection: whatever the framing, the client sees that the response is incomplete.
  void AbortResponse();

  // Means of the reader and writer.
  void CancelReads();
  void SetDeadline(Steady::time_point at) { deadline_ = at; }
  void ExtendDeadline(Steady::time_point at) { deadline_ = std::max(deadline_, at); }
  MemoryBudget& body_memory();
  const Timeouts& timeouts() const;
  const ResourceShares& shares() const;

 private:
  void EnterState(SessionState state, std::optional<Steady::duration> time_limit);
  void AwaitRequest(Steady::duration time_limit);
  void ReadRequest();
  void SendReadiness();
  void ForwardRequest(ClientRequest&& request);
  void WriteResponse(HttpResponse response);
  void WriteStream(HttpResponse&& response, std::shared_ptr<BodySource> body_stream,
                   std::optional<std::uint64_t> body_length);
  bool ClosesAfterResponse() const;
  void DiscardInput();

  SessionManager* manager_;  // null once detached
  boost::asio::ip::tcp::socket socket_;
  RequestReader reader_;
  ResponseWriter writer_;
  SessionState state_ = SessionState::kIdle;
  Steady::time_point state_since_{}, deadline_{};
  RequestId request_ = 0;          // the last one forwarded
  bool http_1_0_ = false;          // version of the current request
  bool has_sent_request_ = false;  // at least one was read
  bool close_after_response_ = false;
  // Of a lingering close. Not the reader's buffer, whose last read may not have completed yet.
  std::vector<char> discard_buffer_;
  std::size_t discarded_bytes_ = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_CLIENT_SESSION_H_
