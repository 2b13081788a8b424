// SPDX-License-Identifier: Apache-2.0
//
// Peers on real sockets that hold, write a part, or end on command, and an event loop stepped by hand, so
// that what a test is about is made to happen and not hoped for.
#ifndef COPPERPOINT_TESTS_SUPPORT_SCRIPTED_H_
#define COPPERPOINT_TESTS_SUPPORT_SCRIPTED_H_

#include <sys/socket.h>

#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "support/loopback.h"

namespace copperpoint::testing {

// A listener at which connections do not come up: its queue is full, so that the system drops what else
// comes.
class HeldDial {
 public:
  HeldDial() : acceptor_(io_), filler_(io_) {
    acceptor_.open(kAnyPort.protocol());
    acceptor_.bind(kAnyPort);
    acceptor_.listen(0);
    filler_.connect(acceptor_.local_endpoint());
  }
  Tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  asio::io_context io_;
  Tcp::acceptor acceptor_;
  Tcp::socket filler_;
};

// What has come on a socket, up to where there is no more for now or the peer has ended it.
struct Heard {
  std::string bytes;
  bool ended = false;
  error_code how;  // eof, or a reset
};
inline Heard HearSoFar(Tcp::socket& socket) {
  Heard heard;
  socket.non_blocking(true);
  char piece[65536];
  for (;;) {
    const std::size_t n = socket.read_some(asio::buffer(piece), heard.how);
    heard.bytes.append(piece, n);
    if (heard.how == asio::error::would_block) break;
    if (heard.how) {
      heard.ended = true;
      break;
    }
  }
  socket.non_blocking(false);
  return heard;
}
inline Heard HearToTheEnd(Tcp::socket& socket) {
  Heard heard;
  char piece[65536];
  while (!heard.how) {
    const std::size_t n = socket.read_some(asio::buffer(piece), heard.how);
    heard.bytes.append(piece, n);
  }
  heard.ended = true;
  return heard;
}

// The next close of the socket is a reset, whatever has been read.
inline void CloseByReset(Tcp::socket& socket) {
  socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
}

// Runs what is ready in a loop, a turn at a time, until the condition holds.
template <typename Condition>
bool StepUntil(asio::io_context& io, Condition condition) {
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) return false;
    io.restart();
    if (io.poll_one() == 0) std::this_thread::yield();
  }
  return true;
}

// While the loop stands still: two things become ready in its next turn.
inline void StandStill(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_SCRIPTED_H_
