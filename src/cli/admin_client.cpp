// SPDX-License-Identifier: Apache-2.0
#include "cli/admin_client.h"

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

constexpr std::chrono::seconds kCallTimeout{2};
constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{64} * 1024 * 1024;
constexpr int kHttp11 = 11;

boost::asio::ip::tcp::endpoint EndpointOf(const std::string& address) {
  boost::asio::ip::udp::endpoint parsed;
  if (!peers::ParseAddress(address, &parsed))
    throw std::invalid_argument("admin address '" + address + "' is invalid; expected ADDRESS:PORT");
  return {parsed.address(), parsed.port()};
}

}  // namespace

std::string CallAdmin(const std::string& address, const std::string& target, AdminMethod method,
                      const std::string& body) {
  const boost::asio::ip::tcp::endpoint endpoint = EndpointOf(address);
  boost::asio::io_context io;
  boost::beast::tcp_stream stream(io);
  boost::beast::flat_buffer buffer;
  const http::verb verb = method == AdminMethod::kPost ? http::verb::post : http::verb::get;
  http::request<http::string_body> request{verb, target, kHttp11, body};
  request.set(http::field::host, address);
  request.prepare_payload();
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  boost::system::error_code failure;
  stream.expires_after(kCallTimeout);
  stream.async_connect(endpoint, [&](const boost::system::error_code& connect_error) {
    failure = connect_error;
    if (failure) return;
    http::async_write(stream, request, [&](const boost::system::error_code& write_error, std::size_t) {
      failure = write_error;
      if (failure) return;
      http::async_read(stream, buffer, parser, [&](const boost::system::error_code& read_error, std::size_t) {
        failure = read_error;
      });
    });
  });
  io.run();
  if (failure) throw std::runtime_error(address + ": " + failure.message());
  const auto& response = parser.get();
  if (response.result() != http::status::ok) {
    const std::string first_line = response.body().substr(0, response.body().find('\n'));
    throw std::runtime_error(fmt::format("{}: status {}: {}", address, response.result_int(), first_line));
  }
  return response.body();
}

nlohmann::ordered_json GetAdminJson(const std::string& address, const std::string& target) {
  auto json = nlohmann::ordered_json::parse(CallAdmin(address, target), nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) throw std::runtime_error(address + ": the response is not JSON");
  return json;
}

}  // namespace copperpoint::cli
