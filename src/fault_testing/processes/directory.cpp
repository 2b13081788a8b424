// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/directory.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "peers/transport.h"

namespace copperpoint::fault_testing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;

constexpr std::chrono::milliseconds kHeartbeat{2000};
constexpr std::chrono::milliseconds kRecheckInterval{10};  // for the end of a cut
constexpr std::chrono::milliseconds kQueueTimeout{1000};   // after which a rejected call gets its response
constexpr std::chrono::milliseconds kOldAddressGrace{1500};

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

const char* PhaseName(Directory::Phase phase) {
  switch (phase) {
    case Directory::Phase::kInService:
      return "in_service";
    case Directory::Phase::kTerminating:
      return "terminating";
    case Directory::Phase::kTerminated:
      return "terminated";
  }
  return "";
}

}  // namespace

class Directory::Watch : public std::enable_shared_from_this<Watch> {
 public:
  Watch(Directory& owner, int proxy, Tcp::socket socket)
      : owner_(&owner),
        proxy_(proxy),
        socket_(std::move(socket)),
        timer_(owner.io_),
        close_timer_(owner.io_) {}

  void Start() {
    request_ = {};
    http::async_read(socket_, buffer_, request_,
                     [self = shared_from_this()](const Error& failed, std::size_t) {
                       if (failed || !self->owner_) return;
                       self->streams_ = self->request_.target().find("stream=1") != beast::string_view::npos;
                       self->head_pending_ = true;
                       self->sent_revision_ = 0;
                       if (self->owner_->TakeRejection(self->proxy_)) return self->Reject();
                       self->SendUpdate();
                     });
  }
  // Closes the connection after `delay`.
  void CloseAfter(std::chrono::milliseconds delay) {
    close_timer_.expires_after(delay);
    close_timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
      if (!cancelled) self->Detach();
    });
  }
  // Sends the changed entries if the proxy waits for an update.
  void NotifyChange() {
    if (is_waiting_) timer_.cancel();
  }
  void Detach() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
    close_timer_.cancel();
  }

 private:
  void Reject() {
    timer_.expires_after(kQueueTimeout);
    timer_.async_wait([self = shared_from_this()](const Error&) {
      if (!self->owner_) return;
      self->out_ = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
      asio::async_write(self->socket_, asio::buffer(self->out_),
                        [self](const Error&, std::size_t) { self->Detach(); });
    });
  }
  void Wait(std::chrono::milliseconds max_wait) {
    is_waiting_ = true;
    timer_.expires_after(max_wait);
    timer_.async_wait([self = shared_from_this()](const Error&) {
      self->is_waiting_ = false;
      if (self->owner_) self->SendUpdate();
    });
  }

  // Whether the proxy has closed the connection: what is written then does not count as delivered.
  bool IsClosedByProxy() {
    char byte = 0;
    return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  void SendUpdate() {
    if (IsClosedByProxy()) return Detach();
    if (owner_->service_faults_.IsCut(proxy_, kDiscovery)) return Wait(kRecheckInterval);
    std::vector<int> delivered;
    const std::uint64_t revision = owner_->revision_;
    // The timer fired without a change: an empty line is the heartbeat.
    std::string line = !head_pending_ && sent_revision_ == revision
                           ? ""
                           : owner_->ChangesSince(proxy_, sent_revision_, &delivered);
    if (streams_) {
      line += '\n';
      out_ = head_pending_ ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" : "";
      out_ += fmt::format("{:x}\r\n{}\r\n", line.size(), line);
    } else {
      out_ = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", line.size(), line);
    }
    head_pending_ = false;
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this(), revision, delivered](const Error& failed, std::size_t) {
                        if (failed || !self->owner_) return;
                        self->owner_->OnDelivered(self->proxy_, delivered);
                        self->sent_revision_ = revision;
                        if (!self->streams_) return self->Start();
                        self->owner_->revision_ > revision ? self->SendUpdate() : self->Wait(kHeartbeat);
                      });
  }

  Directory* owner_;
  const int proxy_;
  Tcp::socket socket_;
  asio::steady_timer timer_, close_timer_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  std::string out_;
  std::uint64_t sent_revision_ = 0;  // that the proxy has received
  bool streams_ = false, head_pending_ = true, is_waiting_ = false;
};

Directory::Directory(asio::io_context& io, const Plan& plan, const asio::ip::address& address,
                     std::vector<std::vector<Tcp::endpoint>> addresses, const ServiceFaults& service_faults,
                     simulation::RuleChecker& rules, std::function<simulation::Micros()> now)
    : io_(io),
      plan_(plan),
      address_(address),
      addresses_(std::move(addresses)),
      service_faults_(service_faults),
      rules_(rules),
      now_(std::move(now)),
      entries_(static_cast<std::size_t>(plan.service.backends)) {
  for (int proxy = 0; proxy < plan.members; ++proxy) {
    listeners_.push_back(std::make_unique<Listener>(io));
    At(proxy).known.resize(entries_.size());
    Listen(proxy);
  }
}

void Directory::Listen(int proxy) {
  Tcp::acceptor& acceptor = At(proxy).acceptor;
  acceptor.open(Tcp::v4());
  acceptor.bind({address_, 0});
  acceptor.listen();
  Accept(proxy);
}

void Directory::MoveProxy(int proxy) {
  for (const auto& watch : At(proxy).watches)
    if (const auto open = watch.lock()) open->CloseAfter(kOldAddressGrace);
  At(proxy).acceptor.close();
  Listen(proxy);
}

bool Directory::TakeRejection(int proxy) {
  const double share = service_faults_.FailureShare(kDiscovery);
  if (share <= 0) return false;
  const auto call = static_cast<double>(At(proxy).calls++);
  return std::floor((call + 1) * share) > std::floor(call * share);
}

Directory::~Directory() {
  for (const auto& listener : listeners_)
    for (const auto& watch : listener->watches)
      if (const auto open = watch.lock()) open->Detach();
}

Directory::Tcp::endpoint Directory::address(int proxy) const {
  return listeners_[static_cast<std::size_t>(proxy)]->acceptor.local_endpoint();
}

void Directory::Accept(int proxy) {
  At(proxy).acceptor.async_accept([this, proxy](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed) {
      const auto watch = std::make_shared<Watch>(*this, proxy, std::move(socket));
      auto& watches = At(proxy).watches;
      std::erase_if(watches, [](const auto& one) { return one.expired(); });
      watches.push_back(watch);
      watch->Start();
    }
    Accept(proxy);
  });
}

void Directory::SetState(int backend, Phase phase, bool started) {
  Entry& entry = entries_[static_cast<std::size_t>(backend)];
  entry.phase = phase;
  if (started) entry.up_since_unix_ms = UnixMs();
  entry.changed_in_revision = ++revision_;
  for (const auto& listener : listeners_)
    for (const auto& watch : listener->watches)
      if (const auto open = watch.lock()) open->NotifyChange();
}

std::string Directory::ChangesSince(int proxy, std::uint64_t revision, std::vector<int>* delivered) const {
  nlohmann::json line{
      {"revision", revision_}, {"complete", revision == 0}, {"members", nlohmann::json::array()}};
  const auto& addresses = addresses_[static_cast<std::size_t>(proxy)];
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const Entry& entry = entries_[i];
    if (entry.changed_in_revision <= revision) continue;
    delivered->push_back(static_cast<int>(i));
    if (revision == 0 && entry.phase == Phase::kTerminated) continue;
    line["members"].push_back(
        {{"id", fmt::format("b{}", i + 1)},
         {"host_port", peers::FormatAddress({addresses[i].address(), addresses[i].port()})},
         {"locality", ZoneName(plan_, static_cast<int>(i))},
         {"flavor", "m"},
         {"cell", 0},
         {"phase", PhaseName(entry.phase)},
         {"size", 1.0},
         {"up_since_ms", entry.up_since_unix_ms}});
  }
  return line.dump();
}

void Directory::OnDelivered(int proxy, const std::vector<int>& backends) {
  for (const int backend : backends) {
    const Entry& entry = entries_[static_cast<std::size_t>(backend)];
    At(proxy).known[static_cast<std::size_t>(backend)].up_since_unix_ms = entry.up_since_unix_ms;
    rules_.OnEndpointUpdate(static_cast<std::uint32_t>(proxy), static_cast<std::uint32_t>(backend),
                            entry.phase == Phase::kInService, now_());
  }
}

bool Directory::KnowsCurrentProcess(int proxy, int backend) const {
  return listeners_[static_cast<std::size_t>(proxy)]
             ->known[static_cast<std::size_t>(backend)]
             .up_since_unix_ms == entries_[static_cast<std::size_t>(backend)].up_since_unix_ms;
}

void Directory::OnProxyStarted(int proxy) {
  rules_.OnProxyStarted(static_cast<std::uint32_t>(proxy));
  At(proxy).known.assign(entries_.size(), KnownBackend());
}

void Directory::OnProxyResumed(int proxy) {
  rules_.OnProxyStarted(static_cast<std::uint32_t>(proxy));
  OnUpdateDue(proxy);
}

void Directory::OnUpdateDue(int proxy) {
  std::vector<int> all;
  for (std::size_t i = 0; i < entries_.size(); ++i) all.push_back(static_cast<int>(i));
  OnDelivered(proxy, all);
}

}  // namespace copperpoint::fault_testing
