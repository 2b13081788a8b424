// SPDX-License-Identifier: Apache-2.0
//
// Framing checks, chunk encoding, classification of responses, and the states of backend connections.
#include <gtest/gtest.h>

#include <array>
#include <string>

#include "proxy/http/body_stream.h"
#include "proxy/http/framing.h"
#include "proxy/upstream/connection_state.h"
#include "proxy/upstream/outcome.h"

namespace copperpoint::testing {
namespace {

namespace http = boost::beast::http;
using proxy::ConnectionState;
using proxy::ExpiredLimit;
using proxy::HttpRequest;
using proxy::HttpResponse;
using proxy::IsFramingUnambiguous;

constexpr unsigned kHttp10 = 10, kHttp11 = 11;

HttpRequest Request(http::verb method = http::verb::post) { return {method, "/book", kHttp11}; }

TEST(Framing, AcceptsOneNumericLengthOrChunkedOrNeither) {
  HttpRequest request = Request();
  EXPECT_TRUE(IsFramingUnambiguous(request, kHttp11));
  request.set(http::field::content_length, "12");
  EXPECT_TRUE(IsFramingUnambiguous(request, kHttp11));
  request.erase(http::field::content_length);
  request.set(http::field::transfer_encoding, "Chunked");
  EXPECT_TRUE(IsFramingUnambiguous(request, kHttp11));
  EXPECT_FALSE(IsFramingUnambiguous(request, kHttp10)) << "HTTP/1.0 has no chunks";
}

TEST(Framing, RejectsLengthBesideCodingAndWhatIsNoNumber) {
  HttpRequest both = Request();
  both.set(http::field::content_length, "12");
  both.set(http::field::transfer_encoding, "chunked");
  EXPECT_FALSE(IsFramingUnambiguous(both, kHttp11));
  HttpRequest twice = Request();
  twice.insert(http::field::content_length, "12");
  twice.insert(http::field::content_length, "12");
  EXPECT_FALSE(IsFramingUnambiguous(twice, kHttp11));
  for (const char* length : {"", "+12", "1 2", "0x12", "12,12", "-1"}) {
    HttpRequest request = Request();
    request.set(http::field::content_length, length);
    EXPECT_FALSE(IsFramingUnambiguous(request, kHttp11)) << length;
  }
  HttpRequest unknown = Request();
  unknown.set(http::field::transfer_encoding, "gzip, chunked");
  EXPECT_FALSE(IsFramingUnambiguous(unknown, kHttp11));
}

TEST(Framing, RejectsABodyOnGetButNotAnEmptyOne) {
  HttpRequest request = Request(http::verb::get);
  EXPECT_FALSE(proxy::ValidateRequestHeader(request));
  request.set(http::field::content_length, "000");
  EXPECT_FALSE(proxy::ValidateRequestHeader(request));
  request.set(http::field::content_length, "1");
  const auto error = proxy::ValidateRequestHeader(request);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->status, http::status::bad_request);
  EXPECT_EQ(error->text, "a body on GET");
}

TEST(BodyChunk, IsEncodedWithItsSizeInHexAndAnEndAfterTheLast) {
  EXPECT_EQ(proxy::EncodeBodyChunk(std::string(26, 'x'), false, true),
            "1a\r\n" + std::string(26, 'x') + "\r\n");
  EXPECT_EQ(proxy::EncodeBodyChunk("abc", true, true), "3\r\nabc\r\n0\r\n\r\n");
  EXPECT_EQ(proxy::EncodeBodyChunk("", true, true), "0\r\n\r\n");
  EXPECT_EQ(proxy::EncodeBodyChunk("", false, true), "") << "an empty chunk would end the body";
}

TEST(BodyChunk, IsWrittenAsItIsWithoutTheChunkedCoding) {
  EXPECT_EQ(proxy::EncodeBodyChunk("abc", false, false), "abc");
  EXPECT_EQ(proxy::EncodeBodyChunk("", true, false), "");
}

AttemptOutcome OutcomeFor(unsigned status, const char* declined = "") {
  HttpResponse response{http::status::ok, kHttp11};
  response.result(status);
  if (*declined != '\0') response.set("Srv-Declined", declined);
  return proxy::ClassifyResponse(Request(), response);
}

TEST(ClassifyResponse, TakesOnlyADeclined503Or504ForARequestThatNeverRan) {
  EXPECT_EQ(OutcomeFor(503, "1"), AttemptOutcome::kBackendRejected);
  EXPECT_EQ(OutcomeFor(504, "1"), AttemptOutcome::kBackendRejected);
  EXPECT_EQ(OutcomeFor(503), AttemptOutcome::kServerError);
  EXPECT_EQ(OutcomeFor(503, "0"), AttemptOutcome::kServerError);
  EXPECT_EQ(OutcomeFor(500, "1"), AttemptOutcome::kServerError);
}

TEST(ClassifyResponse, TakesA4xxForTheRequestsFaultButNot408And429) {
  for (const unsigned status : {400u, 404u, 409u, 422u, 499u})
    EXPECT_EQ(OutcomeFor(status), AttemptOutcome::kUnknown) << status;
  EXPECT_EQ(OutcomeFor(408), AttemptOutcome::kServerError);
  EXPECT_EQ(OutcomeFor(429), AttemptOutcome::kServerError);
}

TEST(ClassifyResponse, TakesOnly200ForSuccess) {
  EXPECT_EQ(OutcomeFor(200), AttemptOutcome::kSuccess);
  EXPECT_EQ(OutcomeFor(204), AttemptOutcome::kServerError);
  EXPECT_EQ(OutcomeFor(302), AttemptOutcome::kServerError);
}

constexpr std::array kStates{ConnectionState::kConnecting,
                             ConnectionState::kWritingRequest,
                             ConnectionState::kAwaitingResponse,
                             ConnectionState::kReadingResponse,
                             ConnectionState::kStreamingResponse,
                             ConnectionState::kIdle,
                             ConnectionState::kClosed};

TEST(ConnectionState, AnyStateButClosedMayCloseAndNoneFollowsIt) {
  for (const ConnectionState state : kStates) {
    EXPECT_EQ(IsValidTransition(state, ConnectionState::kClosed), state != ConnectionState::kClosed);
    EXPECT_FALSE(IsValidTransition(ConnectionState::kClosed, state));
  }
}

TEST(ConnectionState, ARequestIsWrittenOnlyOnANewOrIdleConnection) {
  for (const ConnectionState from : kStates) {
    EXPECT_EQ(IsValidTransition(from, ConnectionState::kWritingRequest),
              from == ConnectionState::kConnecting || from == ConnectionState::kIdle);
  }
}

TEST(ConnectionState, TimeoutBeforeTheLastByteOfTheRequestMeansThatNothingRan) {
  for (const ExpiredLimit limit : {ExpiredLimit::kAttemptTimeout, ExpiredLimit::kState}) {
    for (const ConnectionState state : {ConnectionState::kConnecting, ConnectionState::kWritingRequest})
      EXPECT_EQ(proxy::OutcomeOfTimeout(state, limit), AttemptOutcome::kConnectFailure);
    EXPECT_EQ(proxy::OutcomeOfTimeout(ConnectionState::kAwaitingResponse, limit), AttemptOutcome::kTimeout);
  }
}

TEST(ConnectionState, RequestThatMayNoLongerBeWrittenWasNotSent) {
  for (const ConnectionState state : {ConnectionState::kConnecting, ConnectionState::kWritingRequest})
    EXPECT_EQ(proxy::OutcomeOfTimeout(state, ExpiredLimit::kSendBy), AttemptOutcome::kNotSent);
}

TEST(ConnectionState, ResponseThatStopsHalfwayIsAResetUnlessTheDeadlineIsReached) {
  EXPECT_EQ(proxy::OutcomeOfTimeout(ConnectionState::kReadingResponse, ExpiredLimit::kState),
            AttemptOutcome::kConnectionReset);
  EXPECT_EQ(proxy::OutcomeOfTimeout(ConnectionState::kReadingResponse, ExpiredLimit::kAttemptTimeout),
            AttemptOutcome::kTimeout);
}

}  // namespace
}  // namespace copperpoint::testing
