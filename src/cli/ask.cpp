// SPDX-License-Identifier: Apache-2.0
#include "cli/ask.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <stdexcept>

#include "peers/transport.h"

namespace copperpoint::cli {
namespace {

namespace http = boost::beast::http;

constexpr std::chrono::seconds kAnswer{2};
constexpr std::uint64_t kMostAnswer = 64 * 1024 * 1024;

}  // namespace

std::string Ask(const std::string& address, const std::string& target, bool post, const std::string& body) {
  boost::asio::ip::udp::endpoint parsed;
  if (!peers::ParseAddress(address, &parsed))
    throw std::invalid_argument("'" + address + "' is no ADDRESS:PORT");
  boost::asio::io_context io;
  boost::beast::tcp_stream stream(io);
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request{post ? http::verb::post : http::verb::get, target, 11, body};
  request.set(http::field::host, address);
  request.prepare_payload();
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMostAnswer);
  boost::system::error_code failed;
  stream.expires_after(kAnswer);
  stream.async_connect({parsed.address(), parsed.port()}, [&](const boost::system::error_code& error) {
    if ((failed = error)) return;
    http::async_write(stream, request, [&](const boost::system::error_code& broken, std::size_t) {
      if ((failed = broken)) return;
      http::async_read(stream, buffer, parser,
                       [&](const boost::system::error_code& end, std::size_t) { failed = end; });
    });
  });
  io.run();
  if (failed) throw std::runtime_error(address + ": " + failed.message());
  const auto& response = parser.get();
  if (response.result() != http::status::ok)
    throw std::runtime_error(fmt::format("{}: {} {}", address, response.result_int(),
                                         response.body().substr(0, response.body().find('\n'))));
  return response.body();
}

}  // namespace copperpoint::cli
