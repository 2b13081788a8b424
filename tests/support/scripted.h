// SPDX-License-Identifier: Apache-2.0
//
// Means to control the timing of a test exactly: peers on real sockets that stall, send part of a message or
// close when the test says so, and an event loop that the test runs one handler at a time.
#ifndef COPPERPOINT_TESTS_SUPPORT_SCRIPTED_H_
#define COPPERPOINT_TESTS_SUPPORT_SCRIPTED_H_

#include <sys/socket.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "support/loopback.h"

namespace copperpoint::testing {

// A listening socket to which connections are not established until AcceptUnless is called: its accept queue
// is full, so that the kernel drops further connection requests.
class FullBacklogListener {
 public:
  FullBacklogListener() : acceptor_(io_), filler_(io_) {
    acceptor_.open(kAnyPort.protocol());
    acceptor_.bind(kAnyPort);
    acceptor_.listen(0);
    filler_.connect(acceptor_.local_endpoint());
  }
  Tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Makes room in the accept queue, and accepts the next connection, whose client repeats its connection
  // request a second after the first one. @return nullopt if `condition` holds before it is established.
  template <typename Condition>
  std::optional<Tcp::socket> AcceptUnless(Condition condition) {
    acceptor_.accept();  // the filler
    acceptor_.non_blocking(true);
    Tcp::socket socket(io_);
    error_code would_block;
    while (acceptor_.accept(socket, would_block), would_block) {
      if (condition()) return std::nullopt;
      std::this_thread::yield();
    }
    return socket;
  }

 private:
  asio::io_context io_;
  Tcp::acceptor acceptor_;
  Tcp::socket filler_;
};

// The bytes read from a socket, and whether the peer has closed or reset the connection.
struct ReceivedData {
  std::string bytes;
  bool ended = false;
  error_code error;  // of the last read: would_block, eof, or connection_reset
};
// Reads what has arrived so far, without waiting.
inline ReceivedData ReadAvailable(Tcp::socket& socket) {
  ReceivedData received;
  socket.non_blocking(true);
  char piece[65536];
  for (;;) {
    const std::size_t n = socket.read_some(asio::buffer(piece), received.error);
    received.bytes.append(piece, n);
    if (received.error == asio::error::would_block) break;
    if (received.error) {
      received.ended = true;
      break;
    }
  }
  socket.non_blocking(false);
  return received;
}
inline ReceivedData ReadToEnd(Tcp::socket& socket) {
  ReceivedData received;
  char piece[65536];
  while (!received.error) {
    const std::size_t n = socket.read_some(asio::buffer(piece), received.error);
    received.bytes.append(piece, n);
  }
  received.ended = true;
  return received;
}

// Closes the connection with a reset, even if all received data has been read.
inline void CloseWithReset(Tcp::socket& socket) {
  socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
}

// Runs ready handlers of the event loop, one at a time, until `condition` holds. @return false after
// kWaitTimeout.
template <typename Condition>
bool StepUntil(asio::io_context& io, Condition condition) {
  const auto until = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) return false;
    io.restart();
    if (io.poll_one() == 0) std::this_thread::yield();
  }
  return true;
}

// Lets time pass without running the event loop, so that several events are ready when it runs next.
inline void SleepWithoutPolling(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_SCRIPTED_H_
