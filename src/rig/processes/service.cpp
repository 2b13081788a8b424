// SPDX-License-Identifier: Apache-2.0
#include "rig/processes/service.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace copperpoint::rig {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;

constexpr std::chrono::milliseconds kHeartbeat{2000};
constexpr std::chrono::milliseconds kDeadline{2000};  // of a request
constexpr std::chrono::milliseconds kLookAgain{10};   // whether a silence is over
constexpr std::chrono::milliseconds kSlack{1000};     // before one that has no answer is lost

Tcp::acceptor Listen(asio::io_context& io, const asio::ip::address& address) {
  Tcp::acceptor acceptor(io);
  acceptor.open(Tcp::v4());
  acceptor.bind({address, 0});
  acceptor.listen();
  return acceptor;
}

}  // namespace

// ---- backends -------------------------------------------------------------------------------------------

class StandInBackends::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(StandInBackends& owner, int proxy, int backend, Tcp::socket socket)
      : owner_(owner),
        proxy_(proxy),
        backend_(backend),
        socket_(std::move(socket)),
        work_(owner.io_),
        open_(Here().connections) {
    ++(*open_)[static_cast<std::size_t>(proxy_)];
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { --(*open_)[static_cast<std::size_t>(proxy_)]; }

  void Read() {
    request_ = {};
    http::async_read(socket_, buffer_, request_,
                     [self = shared_from_this()](const Error& failed, std::size_t) {
                       if (!failed) self->Work();
                     });
  }

 private:
  Backend& Here() { return owner_.backends_[static_cast<std::size_t>(backend_)]; }
  bool Silent() const { return owner_.troubles_.Cut(proxy_, backend_) || owner_.troubles_.Frozen(backend_); }

  // Once something passes here again.
  void Later(void (Connection::*what)()) {
    work_.expires_after(kLookAgain);
    work_.async_wait([self = shared_from_this(), what](const Error& cancelled) {
      if (!cancelled) ((*self).*what)();
    });
  }

  void Work() {
    if (Silent()) return Later(&Connection::Work);
    const double resets = owner_.troubles_.Resetting(backend_);
    if (owner_.random_.Chance(resets / 2)) return Reset();
    reset_after_ = owner_.random_.Chance(resets / 2);
    status_ = http::status::ok;
    if (Here().busy >= owner_.service_.slots) {
      status_ = http::status::service_unavailable;
      return Answer();
    }
    owner_.Ran(std::string(request_["Req-Id"]), request_.method() != http::verb::get, backend_);
    if (owner_.random_.Chance(owner_.troubles_.Failing(backend_))) {
      status_ = http::status::internal_server_error;
      return Answer();
    }
    ++Here().busy;
    const double ms = owner_.service_.work_ms * owner_.troubles_.Slowness(backend_);
    work_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
    work_.async_wait([self = shared_from_this()](const Error& cancelled) {
      if (cancelled) return;
      --self->Here().busy;
      self->Answer();
    });
  }

  void Answer() {
    if (Silent()) return Later(&Connection::Answer);
    if (reset_after_) return Reset();
    response_ = {status_, 11};
    if (status_ == http::status::service_unavailable) response_.set("Srv-Declined", "1");
    response_.body() = std::string(request_["Req-Id"]);
    response_.prepare_payload();
    http::async_write(socket_, response_, [self = shared_from_this()](const Error& failed, std::size_t) {
      if (!failed) self->Read();
    });
  }

  void Reset() {
    Error ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

  StandInBackends& owner_;
  const int proxy_, backend_;
  Tcp::socket socket_;
  asio::steady_timer work_;
  const std::shared_ptr<std::vector<int>> open_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  http::status status_ = http::status::ok;
  bool reset_after_ = false;
};

StandInBackends::StandInBackends(asio::io_context& io, const Plan& plan, std::uint64_t seed,
                                 const asio::ip::address& address, const Troubles& troubles,
                                 lab::Observer& observer, std::function<lab::Micros()> now)
    : io_(io),
      service_(plan.service),
      troubles_(troubles),
      random_(seed, "backends"),
      observer_(observer),
      now_(std::move(now)),
      backends_(static_cast<std::size_t>(plan.service.backends)),
      addresses_(static_cast<std::size_t>(plan.members)) {
  for (Backend& backend : backends_)
    backend.connections = std::make_shared<std::vector<int>>(static_cast<std::size_t>(plan.members));
  for (int proxy = 0; proxy < plan.members; ++proxy) {
    for (int backend = 0; backend < plan.service.backends; ++backend) {
      acceptors_.push_back(std::make_unique<Tcp::acceptor>(Listen(io, address)));
      addresses_[static_cast<std::size_t>(proxy)].push_back(acceptors_.back()->local_endpoint());
      Accept(proxy, backend, *acceptors_.back());
    }
  }
}

void StandInBackends::Accept(int proxy, int backend, Tcp::acceptor& acceptor) {
  acceptor.async_accept([this, proxy, backend, &acceptor](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed) std::make_shared<Connection>(*this, proxy, backend, std::move(socket))->Read();
    Accept(proxy, backend, acceptor);
  });
}

std::vector<int> StandInBackends::holders() const {
  std::vector<int> holders;
  for (const Backend& backend : backends_)
    holders.push_back(static_cast<int>(std::count_if(backend.connections->begin(), backend.connections->end(),
                                                     [](int n) { return n > 0; })));
  return holders;
}

std::uint64_t StandInBackends::executions() const {
  std::uint64_t all = 0;
  for (const Backend& backend : backends_) all += backend.runs;
  return all;
}

void StandInBackends::Ran(const std::string& id, bool unsafe, int backend) {
  ++backends_[static_cast<std::size_t>(backend)].runs;
  if (unsafe)
    observer_.Ran(now_(), std::strtoull(id.c_str(), nullptr, 16), static_cast<std::uint32_t>(backend),
                  ++runs_[id]);
}

// ---- discovery ------------------------------------------------------------------------------------------

class StandInDiscovery::Watch : public std::enable_shared_from_this<Watch> {
 public:
  Watch(StandInDiscovery& owner, Tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)), timer_(owner.io_) {}

  void Start() {
    http::async_read(
        socket_, buffer_, request_, [self = shared_from_this()](const Error& failed, std::size_t) {
          if (failed) return;
          const bool stream = self->request_.target().find("stream=1") != beast::string_view::npos;
          const std::string& line = self->owner_.line_;
          self->out_ =
              stream ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(line + "\n")
                     : fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", line.size(), line);
          self->Write(stream);
        });
  }

 private:
  static std::string Chunk(const std::string& text) {
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
  }

  void Write(bool stream) {
    if (owner_.cut_()) {
      timer_.expires_after(kLookAgain);
      timer_.async_wait([self = shared_from_this(), stream](const Error& cancelled) {
        if (!cancelled) self->Write(stream);
      });
      return;
    }
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this(), stream](const Error& failed, std::size_t) {
                        if (failed) return;
                        if (!stream) return self->Start();
                        self->timer_.expires_after(kHeartbeat);
                        self->timer_.async_wait([self](const Error& cancelled) {
                          if (cancelled) return;
                          self->out_ = Chunk("\n");
                          self->Write(true);
                        });
                      });
  }

  StandInDiscovery& owner_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  std::string out_;
};

StandInDiscovery::StandInDiscovery(asio::io_context& io, const asio::ip::address& address,
                                   const nlohmann::json& list, std::function<bool()> cut)
    : io_(io), acceptor_(Listen(io, address)), line_(list.dump()), cut_(std::move(cut)) {
  Accept();
}

void StandInDiscovery::Accept() {
  acceptor_.async_accept([this](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed) std::make_shared<Watch>(*this, std::move(socket))->Start();
    Accept();
  });
}

// ---- clients --------------------------------------------------------------------------------------------

class Clients::Request : public std::enable_shared_from_this<Request> {
 public:
  Request(Clients& owner, Target target, std::uint64_t id, bool counts)
      : owner_(owner), target_(target), id_(id), counts_(counts), stream_(owner.io_) {}

  void Start(bool unsafe) {
    request_ = {unsafe ? http::verb::post : http::verb::get, unsafe ? "/book/it" : "/look/it", 11};
    request_.set(http::field::host, "service.internal");
    request_.set("Req-Id", fmt::format("{:x}", id_));
    request_.set("Req-Kind", unsafe ? "book" : "look");
    request_.set("Req-Deadline-Ms", std::to_string(kDeadline.count()));
    request_.set(http::field::connection, "close");
    request_.prepare_payload();
    stream_.expires_after(kDeadline + kSlack);
    stream_.async_connect(target_.address, [self = shared_from_this()](const Error& failed) {
      if (failed) return;  // never taken
      http::async_write(self->stream_, self->request_, [self](const Error& broken, std::size_t) {
        if (!broken) self->Read();
      });
    });
  }

 private:
  void Read() {
    http::async_read(stream_, buffer_, response_,
                     [self = shared_from_this()](const Error& failed, std::size_t) {
                       Clients& owner = self->owner_;
                       if (failed) {
                         // A process that was ended or stood still meanwhile owes nothing.
                         if (!owner.stopped_ && owner.owed_(self->target_))
                           owner.observer_.Unanswered(owner.now_(), self->id_,
                                                      static_cast<std::uint32_t>(self->target_.member));
                         return;
                       }
                       if (!self->counts_) return;
                       const unsigned status = self->response_.result_int();
                       owner.served_ += status == 200;
                       owner.refused_ += status == 429 || status == 503;
                     });
  }

  Clients& owner_;
  const Target target_;
  const std::uint64_t id_;
  const bool counts_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
};

Clients::Clients(asio::io_context& io, const Service& service, std::uint64_t seed, lab::Observer& observer,
                 Choose choose, Owed owed, std::function<lab::Micros()> now)
    : io_(io),
      service_(service),
      random_(seed, "clients"),
      observer_(observer),
      choose_(std::move(choose)),
      owed_(std::move(owed)),
      now_(std::move(now)),
      timer_(io) {}

void Clients::Start(double count_from_s) {
  if (service_.rate <= 0) return;
  count_from_ = lab::FromMs(count_from_s * 1000);
  due_ = std::chrono::steady_clock::now();
  Next();
}

void Clients::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void Clients::Next() {
  due_ += std::chrono::microseconds(static_cast<std::int64_t>(random_.Exponential(1e6 / service_.rate)));
  timer_.expires_at(due_);
  timer_.async_wait([this](const Error& cancelled) {
    if (cancelled || stopped_) return;
    const bool counts = now_() >= count_from_;
    const bool unsafe = random_.Chance(0.2);
    if (const auto target = choose_(random_)) {
      asked_ += counts;
      std::make_shared<Request>(*this, *target, ++all_, counts)->Start(unsafe);
    }
    Next();
  });
}

nlohmann::json SettingsOf(const Plan& plan, int member) {
  const auto cls = [](const char* name, const char* effect) {
    return nlohmann::json{{"name", name},       {"effect", effect},    {"group", "cell"},
                          {"windowMs", 2000.0}, {"goalTimeMs", 500.0}, {"deadlineMs", 2000.0},
                          {"worth", 1.0}};
  };
  nlohmann::json zones = nlohmann::json::array();
  for (int i = 0; i < plan.zones; ++i) zones.push_back(ZoneName(plan, i));
  return {
      {"balancers", plan.members},
      {"me", member},
      {"zone", member % plan.zones},
      {"zones", zones},
      {"kinds", {"m"}},
      {"classes", {cls("look", "read_like"), cls("book", "non_idempotent")}},
      {"permissions",
       {{"maxAttempts", 4}, {"connIdleMs", 60000.0}, {"connectTimeoutMs", 250.0}, {"retryAfter", false}}},
      {"rules", {{"coldFrom", 0.2}, {"warmUpMs", 1000.0}, {"fallMultiple", 3.0}, {"overloadForMs", 1000.0}}},
      {"tenants", nlohmann::json::array()}};
}

}  // namespace copperpoint::rig
