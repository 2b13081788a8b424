// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/directory.h"

#include <fmt/format.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <chrono>
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
constexpr std::chrono::milliseconds kLookAgain{10};  // whether a cut is over

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

const char* Word(Directory::Phase phase) {
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
      : owner_(&owner), proxy_(proxy), socket_(std::move(socket)), timer_(owner.io_) {}

  void Start() {
    request_ = {};
    http::async_read(socket_, buffer_, request_,
                     [self = shared_from_this()](const Error& failed, std::size_t) {
                       if (failed || !self->owner_) return;
                       self->stream_ = self->request_.target().find("stream=1") != beast::string_view::npos;
                       self->head_ = true;
                       self->sent_ = 0;
                       self->Go();
                     });
  }
  // Something has changed.
  void Poke() {
    if (waits_) timer_.cancel();
  }
  void Orphan() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  void Wait(std::chrono::milliseconds at_most) {
    waits_ = true;
    timer_.expires_after(at_most);
    timer_.async_wait([self = shared_from_this()](const Error&) {
      self->waits_ = false;
      if (self->owner_) self->Go();
    });
  }

  void Go() {
    if (owner_->troubles_.Cut(proxy_, kDiscovery)) return Wait(kLookAgain);
    std::vector<int> told;
    const std::uint64_t revision = owner_->revision_;
    // Woken by the timer without news: a sign of life.
    std::string line = !head_ && sent_ == revision ? "" : owner_->LineSince(proxy_, sent_, &told);
    if (stream_) {
      line += '\n';
      out_ = head_ ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" : "";
      out_ += fmt::format("{:x}\r\n{}\r\n", line.size(), line);
    } else {
      out_ = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", line.size(), line);
    }
    head_ = false;
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this(), revision, told](const Error& failed, std::size_t) {
                        if (failed || !self->owner_) return;
                        self->owner_->Told(self->proxy_, told);
                        self->sent_ = revision;
                        if (!self->stream_) return self->Start();
                        self->owner_->revision_ > revision ? self->Go() : self->Wait(kHeartbeat);
                      });
  }

  Directory* owner_;
  const int proxy_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  std::string out_;
  std::uint64_t sent_ = 0;  // the revision that it has
  bool stream_ = false, head_ = true, waits_ = false;
};

Directory::Directory(asio::io_context& io, const Plan& plan, const asio::ip::address& address,
                     std::vector<std::vector<Tcp::endpoint>> addresses, const Troubles& troubles,
                     simulation::RuleChecker& rules, std::function<simulation::Micros()> now)
    : io_(io),
      plan_(plan),
      addresses_(std::move(addresses)),
      troubles_(troubles),
      rules_(rules),
      now_(std::move(now)),
      entries_(static_cast<std::size_t>(plan.service.backends)) {
  for (int proxy = 0; proxy < plan.members; ++proxy) {
    auto door = std::make_unique<Door>(io);
    door->acceptor.open(Tcp::v4());
    door->acceptor.bind({address, 0});
    door->acceptor.listen();
    door->known.resize(entries_.size());
    doors_.push_back(std::move(door));
    Accept(proxy);
  }
}

Directory::~Directory() {
  for (const auto& door : doors_)
    for (const auto& watch : door->watches)
      if (const auto open = watch.lock()) open->Orphan();
}

Directory::Tcp::endpoint Directory::address(int proxy) const {
  return doors_[static_cast<std::size_t>(proxy)]->acceptor.local_endpoint();
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

void Directory::Set(int backend, Phase phase, bool started) {
  Entry& entry = entries_[static_cast<std::size_t>(backend)];
  entry.phase = phase;
  if (started) entry.up_since_unix_ms = UnixMs();
  entry.changed = ++revision_;
  for (const auto& door : doors_)
    for (const auto& watch : door->watches)
      if (const auto open = watch.lock()) open->Poke();
}

std::string Directory::LineSince(int proxy, std::uint64_t revision, std::vector<int>* told) const {
  nlohmann::json line{
      {"revision", revision_}, {"complete", revision == 0}, {"members", nlohmann::json::array()}};
  const auto& addresses = addresses_[static_cast<std::size_t>(proxy)];
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const Entry& entry = entries_[i];
    if (entry.changed <= revision) continue;
    told->push_back(static_cast<int>(i));
    if (revision == 0 && entry.phase == Phase::kTerminated) continue;
    line["members"].push_back(
        {{"id", fmt::format("b{}", i + 1)},
         {"host_port", peers::FormatAddress({addresses[i].address(), addresses[i].port()})},
         {"locality", ZoneName(plan_, static_cast<int>(i))},
         {"flavor", "m"},
         {"cell", 0},
         {"phase", Word(entry.phase)},
         {"size", 1.0},
         {"up_since_ms", entry.up_since_unix_ms}});
  }
  return line.dump();
}

void Directory::Told(int proxy, const std::vector<int>& backends) {
  for (const int backend : backends) {
    const Entry& entry = entries_[static_cast<std::size_t>(backend)];
    At(proxy).known[static_cast<std::size_t>(backend)].up_since_unix_ms = entry.up_since_unix_ms;
    rules_.OnEndpointUpdate(static_cast<std::uint32_t>(proxy), static_cast<std::uint32_t>(backend),
                            entry.phase == Phase::kInService, now_());
  }
}

bool Directory::ToldOfStart(int proxy, int backend) const {
  return doors_[static_cast<std::size_t>(proxy)]->known[static_cast<std::size_t>(backend)].up_since_unix_ms ==
         entries_[static_cast<std::size_t>(backend)].up_since_unix_ms;
}

void Directory::Started(int proxy) {
  rules_.OnProxyStarted(static_cast<std::uint32_t>(proxy));
  At(proxy).known.assign(entries_.size(), Known());
}

void Directory::Continued(int proxy) {
  rules_.OnProxyStarted(static_cast<std::uint32_t>(proxy));
  std::vector<int> all;
  for (std::size_t i = 0; i < entries_.size(); ++i) all.push_back(static_cast<int>(i));
  Told(proxy, all);
}

}  // namespace copperpoint::fault_testing
