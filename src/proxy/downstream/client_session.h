// SPDX-License-Identifier: Apache-2.0
//
// One client connection: reads requests, passes them to the request handler and writes their responses,
// within the time limits of session_state.h.
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

#include "proxy/clock.h"
#include "proxy/config/config.h"
#include "proxy/downstream/request_handler.h"
#include "proxy/downstream/request_reader.h"
#include "proxy/downstream/response_writer.h"
#include "proxy/downstream/session_state.h"
#include "proxy/memory_budget.h"

namespace copperpoint::proxy {

class SessionManager;

// Owns the socket, the request reader, the response writer and the connection's state (session_state.h).
// Handles one request at a time: the next one is read after the response is written. Owned by the
// SessionManager's list and, while an operation is in progress, by its completion handler. A completion
// handler has no effect if the state has changed since its operation was started. The request handler also
// holds the session, as the request's Responder and, for a streamed body, as its BodySource.
class ClientSession final : public std::enable_shared_from_this<ClientSession>,
                            public Responder,
                            public BodySource {
 public:
  using List = std::list<std::shared_ptr<ClientSession>>;

  ClientSession(SessionManager& manager, boost::asio::ip::tcp::socket socket);

  // Position in the SessionManager's list, maintained by the SessionManager.
  List::iterator position;

  // @param queued_since earliest time at which the connection may have been queued for accept; nullopt: now.
  void Start(std::optional<Steady::time_point> queued_since);

  // Queries by which SessionManager selects the connections to evict or close.
  bool IsIdle() const;  // waits for a request, of which no byte has arrived
  bool IsReadingRequest() const { return state_ == SessionState::kReadingRequest; }
  // The request is being forwarded, and its body is not read completely.
  bool IsReadingStreamedBody() const { return IsAwaitingResponse() && reader_.body_streaming(); }
  bool IsAwaitingResponse() const { return state_ == SessionState::kAwaitingResponse; }
  bool IsWritingResponse() const { return state_ == SessionState::kWritingResponse; }
  bool IsLingering() const { return state_ == SessionState::kLingering; }
  bool ExpectsRequest() const { return state_ == SessionState::kIdle || IsReadingRequest(); }
  // @return whether a response is awaited, being written, or possibly not completely received by the client.
  bool HasUndeliveredResponse() const { return IsAwaitingResponse() || IsWritingResponse() || IsLingering(); }
  bool HasPartialHeaderSince(Steady::time_point at) const;
  bool IsIdleSince(Steady::time_point at) const { return state_since_ <= at && IsIdle(); }
  bool IsKeptAliveSince(Steady::time_point at) const { return has_sent_request_ && IsIdleSince(at); }
  bool IsUnusedSince(Steady::time_point at) const { return !has_sent_request_ && IsIdleSince(at); }

  // Enforces the time limit of the current state.
  void OnDeadlineCheck(Steady::time_point now);

  // Ends the request of IsReadingStreamedBody: 503, as no backend can have run an incomplete request.
  void RejectStreamedBody();

  void Close();
  // Lingering close: shuts down the sending side and discards received bytes until the client closes. Closing
  // a socket while received bytes are unread, or more are in transit, resets the connection, and the reset
  // may destroy a response that the client has not read yet. A client that sends a request at the same time
  // sees the connection end without a response and retries.
  void CloseLingering();
  // Closes at once, to free the descriptor; received bytes are read first, so that they cause no reset.
  void CloseImmediately();
  // Closes without further calls to the SessionManager, which is being destroyed.
  void Detach();

  // Responder
  void SendResponse(HttpResponse response, std::shared_ptr<BodySource> body_stream,
                    std::optional<std::uint64_t> body_length) override;
  void SendUnavailable(Duration retry_after) override;
  void SendBadGateway() override;
  void SendClientError(boost::beast::http::status status) override;

  // BodySource, for the rest of a streamed request body.
  void Read(OnBodyChunk on_chunk) override;
  bool ConfirmSender() override;
  std::optional<Steady::time_point> ArrivedAt() const override;

  // Callbacks of RequestReader and StreamedBody.
  void OnRequestRead(Steady::time_point at);
  void OnInvalidRequest(boost::beast::http::status status, std::string text);
  // The last byte of the streamed body has been read.
  void OnStreamedBodyRead();
  // @return false if the client has closed behind a request that is read.
  bool IsClientConnected() { return reader_.ReadAhead(Steady::now()); }
  // The streamed body ended early. With a status, an error response with `text` is sent; otherwise closes.
  void FailStreamedBody(std::optional<boost::beast::http::status> status, const char* text);
  // Detects that the client closes before its response, even if unread bytes precede the close.
  void WatchForDisconnect();

  // Callbacks of ResponseWriter.
  void OnResponseWritten();
  // Resets the connection, so that the client detects the incomplete response with any framing.
  void AbortResponse();

  // Used by RequestReader and ResponseWriter.
  void CancelReads();
  void SetDeadline(Steady::time_point at) { deadline_ = at; }
  void ExtendDeadline(Steady::time_point at) { deadline_ = std::max(deadline_, at); }
  const std::shared_ptr<MemoryBudget>& body_memory() const;
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
  // @return whether the rest of a streamed body may still arrive.
  bool IsBodyUnread() const { return drops_streamed_body_ || reader_.body_streaming(); }
  void DiscardInput();

  SessionManager* manager_;  // null once detached
  boost::asio::ip::tcp::socket socket_;
  RequestReader reader_;
  ResponseWriter writer_;
  SessionState state_ = SessionState::kIdle;
  Steady::time_point state_since_{}, deadline_{};
  RequestId request_ = 0;                           // the request forwarded last
  std::optional<Steady::time_point> queued_since_;  // of a connection whose first request has not been read
  bool is_forwarding_ = false;                      // within the call that forwards a request
  bool http_1_0_ = false;                           // version of the current request
  bool has_sent_request_ = false;                   // at least one request was read
  bool close_after_response_ = false;
  bool drops_streamed_body_ = false;  // the request was rejected before its streamed body was read
  std::size_t discarded_bytes_ = 0;   // by the lingering close
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_CLIENT_SESSION_H_
