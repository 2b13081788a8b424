// SPDX-License-Identifier: Apache-2.0
#include "proxy/handover/handover.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sstream>
#include <utility>
#include <vector>

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
using Local = LocalMessages;
using Error = boost::system::error_code;

constexpr std::size_t kMostMessage = 128 * 1024;
constexpr std::size_t kMostPath = sizeof(sockaddr_un::sun_path) - 1;

std::string TakeWord(const asio::ip::tcp::endpoint& listen) {
  std::ostringstream text;
  text << "take " << listen;
  return text.str();
}

bool SendMessage(Local::socket& socket, const std::string& text, int descriptor) {
  iovec part{const_cast<char*>(text.data()), text.size()};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  if (descriptor >= 0) {
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    cmsghdr* header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(header), &descriptor, sizeof(int));
  }
  return ::sendmsg(socket.native_handle(), &message, MSG_NOSIGNAL | MSG_DONTWAIT) ==
         static_cast<ssize_t>(text.size());
}

enum class Heard { kMessage, kNothingYet, kEnd };
Heard ReadMessage(Local::socket& socket, Gift* gift) {
  std::vector<char> buffer(kMostMessage);
  iovec part{buffer.data(), buffer.size()};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  const ssize_t n = ::recvmsg(socket.native_handle(), &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return Heard::kNothingYet;
  if (n <= 0) return Heard::kEnd;
  const cmsghdr* header = CMSG_FIRSTHDR(&message);
  if (header && header->cmsg_level == SOL_SOCKET && header->cmsg_type == SCM_RIGHTS &&
      header->cmsg_len == CMSG_LEN(sizeof(int)))
    std::memcpy(&gift->listener, CMSG_DATA(header), sizeof(int));
  if (message.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) return Heard::kEnd;
  gift->text.assign(buffer.data(), static_cast<std::size_t>(n));
  return Heard::kMessage;
}

bool SameUser(Local::socket& socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 &&
         peer.uid == ::getuid();
}

bool ListensAt(int descriptor, const asio::ip::tcp::endpoint& at) {
  int listening = 0;
  socklen_t size = sizeof listening;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) != 0 || !listening) return false;
  asio::ip::tcp::endpoint name;
  size = static_cast<socklen_t>(name.capacity());
  if (::getsockname(descriptor, name.data(), &size) != 0 || size > name.capacity()) return false;
  name.resize(size);
  return name == at;
}

void CloseDescriptor(Gift& gift) {
  if (gift.listener >= 0) ::close(std::exchange(gift.listener, -1));
}

}  // namespace

HandoverServer::HandoverServer(asio::io_context& io, std::string path, asio::ip::tcp::endpoint listen,
                               Give give, Lost lost)
    : path_(std::move(path)),
      listen_(listen),
      give_(std::move(give)),
      lost_(std::move(lost)),
      acceptor_(io),
      socket_(io) {
  Listen();
}

// What was given away is the successor's, and so is the path.
HandoverServer::~HandoverServer() {
  if (acceptor_.is_open() && !given_) ::unlink(path_.c_str());
}

// Whatever stood at the path is a process that has gone, or has just given its place to this one.
void HandoverServer::Listen() {
  if (path_.empty() || path_.size() > kMostPath) return;
  struct stat there {};
  if (::lstat(path_.c_str(), &there) == 0 && S_ISSOCK(there.st_mode)) ::unlink(path_.c_str());
  Error failed;
  acceptor_.open(Local(), failed);
  if (!failed) acceptor_.bind(Local::endpoint(path_), failed);
  if (!failed) acceptor_.listen(4, failed);
  if (failed) {
    acceptor_.close(failed);
    return;
  }
  ::chmod(path_.c_str(), 0600);
  Accept();
}

void HandoverServer::Accept() {
  acceptor_.async_accept([this](const Error& failed, Local::socket socket) {
    if (failed) return;
    // One at a time: a newer caller takes the place of one that has taken nothing yet.
    if (!given_ && SameUser(socket)) {
      Error ignored;
      socket_.close(ignored);
      socket_ = std::move(socket);
      Await();
    }
    Accept();
  });
}

void HandoverServer::Await() {
  socket_.async_wait(Local::socket::wait_read, [this](const Error& failed) {
    if (failed == asio::error::operation_aborted) return;
    Gift said;
    const Heard heard = failed ? Heard::kEnd : ReadMessage(socket_, &said);
    CloseDescriptor(said);
    if (heard == Heard::kEnd) return OnLost();
    if (heard == Heard::kMessage && !given_) {
      if (said.text != TakeWord(listen_)) return OnLost();
      const auto gift = give_();
      if (!gift) return OnLost();
      given_ = true;
      if (!SendMessage(socket_, gift->text, gift->listener)) return OnLost();
    }
    Await();
  });
}

void HandoverServer::OnLost() {
  Error ignored;
  socket_.close(ignored);
  if (!std::exchange(given_, false)) return;
  acceptor_.close(ignored);
  Listen();  // the path may have been the successor's
  lost_();
}

void HandoverServer::Tell(const std::string& text) {
  if (given_ && socket_.is_open()) SendMessage(socket_, text, -1);
}

std::unique_ptr<HandoverClient> HandoverClient::Connect(asio::io_context& io, const std::string& path) {
  if (path.empty() || path.size() > kMostPath) return nullptr;
  std::unique_ptr<HandoverClient> client(new HandoverClient(io));
  Error failed;
  client->socket_.open(Local(), failed);
  if (!failed) client->socket_.non_blocking(true, failed);
  if (!failed) client->socket_.connect(Local::endpoint(path), failed);
  if (failed || !SameUser(client->socket_)) return nullptr;
  return client;
}

HandoverClient::~HandoverClient() = default;

void HandoverClient::Take(const asio::ip::tcp::endpoint& listen, std::chrono::milliseconds at_most,
                          Taken taken, Told told, Gone gone) {
  listen_ = listen;
  taken_ = std::move(taken);
  told_ = std::move(told);
  gone_ = std::move(gone);
  timer_.expires_after(at_most);
  timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled && taken_) End(std::nullopt);
  });
  SendMessage(socket_, TakeWord(listen), -1);
  Await();
}

void HandoverClient::Await() {
  socket_.async_wait(Local::socket::wait_read, [this](const Error& failed) {
    if (failed == asio::error::operation_aborted) return;
    Gift gift;
    const Heard heard = failed ? Heard::kEnd : ReadMessage(socket_, &gift);
    if (heard == Heard::kNothingYet) return Await();
    if (heard == Heard::kEnd) {
      CloseDescriptor(gift);
      return taken_ ? End(std::nullopt) : std::exchange(gone_, nullptr)();
    }
    if (!taken_) {
      CloseDescriptor(gift);
      told_(gift.text);
    } else if (ListensAt(gift.listener, listen_)) {
      End(std::move(gift));
    } else {
      CloseDescriptor(gift);
      return End(std::nullopt);
    }
    Await();
  });
}

// Without a gift this end is over, so that the other side keeps what it has.
void HandoverClient::End(std::optional<Gift> gift) {
  timer_.cancel();
  Error ignored;
  if (!gift) socket_.close(ignored);
  std::exchange(taken_, nullptr)(std::move(gift));
}

}  // namespace copperpoint::proxy
