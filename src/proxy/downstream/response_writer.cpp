// SPDX-License-Identifier: Apache-2.0
#include "proxy/downstream/response_writer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>
#include <string_view>
#include <utility>

#include "proxy/downstream/client_session.h"

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

}  // namespace

void ResponseWriter::Write(HttpResponse&& response, bool keep_alive) {
  response_ = std::move(response);
  response_.keep_alive(keep_alive);
  response_.prepare_payload();
  memory_.Charge(response_.body().capacity());
  session_.CancelReads();
  http::async_write(socket_, response_,
                    [this, session = session_.shared_from_this()](const Error& error, std::size_t) {
                      if (!session->IsWritingResponse()) return;
                      response_ = {};
                      memory_.Clear();
                      if (error) return session->Close();
                      session->OnResponseWritten();
                    });
}

void ResponseWriter::WriteStream(HttpResponse response, std::shared_ptr<BodySource> body_stream,
                                 const StreamOptions& options) {
  body_stream_ = std::move(body_stream);
  chunked_ = options.chunked;
  response.keep_alive(options.keep_alive);
  if (options.body_length) response.content_length(*options.body_length);
  if (chunked_) response.chunked(true);
  session_.CancelReads();
  std::ostringstream header;
  header << response.base();
  WriteChunk(header.str() + EncodeBodyChunk(response.body(), false, chunked_), false);
}

void ResponseWriter::WriteChunk(std::string bytes, bool last) {
  session_.SetDeadline(Steady::now() + session_.timeouts().response_write);
  chunk_ = std::move(bytes);
  memory_.Charge(chunk_.capacity());
  if (last) CancelStream();  // frees the backend connection for other requests
  asio::async_write(socket_, asio::buffer(chunk_),
                    [this, session = session_.shared_from_this(), last](const Error& error, std::size_t) {
                      if (!session->IsWritingResponse()) return;
                      if (error) return session->Close();
                      if (!last) return ReadNextChunk();
                      chunk_ = {};
                      memory_.Clear();
                      session->OnResponseWritten();
                    });
}

void ResponseWriter::ReadNextChunk() {
  body_stream_->Read(
      [this, session = session_.shared_from_this()](bool complete, std::string_view chunk, bool last) {
        if (!session->IsWritingResponse()) return;
        if (!complete) return session->AbortResponse();
        WriteChunk(EncodeBodyChunk(chunk, last, chunked_), last);
      });
}

}  // namespace copperpoint::proxy
