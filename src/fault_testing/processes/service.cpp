// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/service.h"

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

namespace copperpoint::fault_testing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;

constexpr std::chrono::milliseconds kDeadline{2000};       // deadline of a request
constexpr double kMaxPollIntervalMs = 10000;               // where discovery has to be polled
constexpr std::chrono::milliseconds kRecheckInterval{10};  // for the end of a freeze or cut
constexpr std::chrono::milliseconds kExitNoticeDelay{
    300};  // until the rig knows of an exit after the connections broke
constexpr std::chrono::milliseconds kResponseSlack{
    1000};  // after the deadline, until a response counts as missing

void Listen(Tcp::acceptor& acceptor, const Tcp::endpoint& address) {
  acceptor.open(Tcp::v4());
  acceptor.set_option(Tcp::acceptor::reuse_address(true));
  acceptor.bind(address);
  acceptor.listen();
}

simulation::BackendType BackendTypeOf(const Service& service) {
  simulation::BackendType type;
  type.cores = service.slots;
  type.slow_start_min_capacity = service.slow_start_min_capacity;
  type.slow_start_window_s = service.warm_up_s;
  type.overload_factor = service.overload_factor;
  type.overload_window_ms = service.fall_ms;
  return type;
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
        execution_timer_(owner.io_),
        incarnation_(BackendState().model.incarnation()),
        connections_by_proxy_(BackendState().connections) {
    ++(*connections_by_proxy_)[static_cast<std::size_t>(proxy_)];
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { --(*connections_by_proxy_)[static_cast<std::size_t>(proxy_)]; }

  void Read() {
    request_ = {};
    http::async_read(socket_, buffer_, request_,
                     [self = shared_from_this()](const Error& failed, std::size_t) {
                       if (!failed) self->OnRequest();
                     });
  }

  void Reset() {
    Error ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

 private:
  Backend& BackendState() { return owner_.backends_[static_cast<std::size_t>(backend_)]; }
  void OnRequest() {
    unsafe_ = request_.method() != http::verb::get;
    id_ = std::strtoull(std::string(request_["Req-Id"]).c_str(), nullptr, 16);
    int* unproven = unsafe_ ? &owner_.unproven_[id_] : nullptr;
    owner_.rules_.OnAttemptStarted(owner_.now_(), id_, static_cast<std::uint32_t>(proxy_),
                                   static_cast<std::uint32_t>(backend_),
                                   {.idempotent = !unsafe_, .may_have_run = unproven && *unproven > 0},
                                   /*has_response=*/false);
    if (unproven) ++*unproven;
    const double work = owner_.service_.work_ms;
    double informed_share = 0;
    if (BackendState().model.RecordSlowStartWork(owner_.now_(), work,
                                                 owner_.is_informed_ && owner_.is_informed_(proxy_, backend_),
                                                 &informed_share)) {
      owner_.rules_.OnOverload(owner_.now_(), static_cast<std::uint32_t>(backend_), informed_share);
      ++owner_.overloads_;
      return owner_.on_overload_(backend_);
    }
    Execute();
  }

  bool IsBlocked() const {
    return owner_.service_faults_.IsCut(proxy_, backend_) || owner_.service_faults_.IsFrozen(backend_);
  }

  // Repeats `step` after a short time, until the backend is no longer frozen or cut off.
  void RetryAfterRecheck(void (Connection::*step)()) {
    execution_timer_.expires_after(kRecheckInterval);
    execution_timer_.async_wait([self = shared_from_this(), step](const Error& cancelled) {
      if (!cancelled) ((*self).*step)();
    });
  }

  void Execute() {
    if (IsBlocked()) return RetryAfterRecheck(&Connection::Execute);
    const double resets = owner_.service_faults_.ResetShare(backend_);
    if (owner_.random_.Chance(resets / 2)) return Reset();
    reset_after_ = owner_.random_.Chance(resets / 2);
    status_ = http::status::ok;
    if (BackendState().busy >= owner_.service_.slots) {
      status_ = http::status::service_unavailable;
      if (unsafe_) --owner_.unproven_[id_];
      return Respond();
    }
    owner_.RecordExecution(id_, unsafe_, backend_);
    if (owner_.random_.Chance(owner_.service_faults_.FailureShare(backend_))) {
      status_ = http::status::internal_server_error;
      return Respond();
    }
    ++BackendState().busy;
    const double ms = owner_.service_.work_ms * owner_.service_faults_.SlowdownFactor(backend_) /
                      BackendState().model.CapacityFraction(owner_.now_());
    execution_timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
    execution_timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
      if (cancelled || self->incarnation_ != self->BackendState().model.incarnation()) return;
      --self->BackendState().busy;
      self->Respond();
    });
  }

  void Respond() {
    if (IsBlocked()) return RetryAfterRecheck(&Connection::Respond);
    if (reset_after_) return Reset();
    response_ = {status_, 11};
    if (status_ == http::status::service_unavailable) response_.set("Srv-Declined", "1");
    response_.body() = std::string(request_["Req-Id"]);
    response_.prepare_payload();
    http::async_write(socket_, response_, [self = shared_from_this()](const Error& failed, std::size_t) {
      if (!failed) self->Read();
    });
  }

  StandInBackends& owner_;
  const int proxy_, backend_;
  Tcp::socket socket_;
  asio::steady_timer execution_timer_;
  const std::uint32_t incarnation_;  // of the backend's process that accepted the connection
  const std::shared_ptr<std::vector<int>> connections_by_proxy_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  http::status status_ = http::status::ok;
  std::uint64_t id_ = 0;
  bool unsafe_ = false, reset_after_ = false;
};

StandInBackends::StandInBackends(asio::io_context& io, const Plan& plan, std::uint64_t seed,
                                 const asio::ip::address& address, const ServiceFaults& service_faults,
                                 simulation::RuleChecker& rules, std::function<simulation::Micros()> now)
    : io_(io),
      service_(plan.service),
      service_faults_(service_faults),
      random_(seed, "backends"),
      rules_(rules),
      now_(std::move(now)),
      backend_type_(BackendTypeOf(plan.service)),
      addresses_(static_cast<std::size_t>(plan.members)) {
  for (int backend = 0; backend < plan.service.backends; ++backend) backends_.emplace_back(backend_type_);
  for (Backend& backend : backends_)
    backend.connections = std::make_shared<std::vector<int>>(static_cast<std::size_t>(plan.members));
  for (int proxy = 0; proxy < plan.members; ++proxy) {
    for (int backend = 0; backend < plan.service.backends; ++backend) {
      acceptors_.push_back(std::make_unique<Tcp::acceptor>(io));
      Listen(*acceptors_.back(), {address, 0});
      addresses_[static_cast<std::size_t>(proxy)].push_back(acceptors_.back()->local_endpoint());
      Accept(proxy, backend);
    }
  }
}

void StandInBackends::SetCallbacks(std::function<bool(int, int)> is_informed,
                                   std::function<void(int)> on_overload) {
  is_informed_ = std::move(is_informed);
  on_overload_ = std::move(on_overload);
}

void StandInBackends::Accept(int proxy, int backend) {
  AcceptorOf(proxy, backend).async_accept([this, proxy, backend](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed) {
      const auto connection = std::make_shared<Connection>(*this, proxy, backend, std::move(socket));
      auto& open = backends_[static_cast<std::size_t>(backend)].open;
      std::erase_if(open, [](const auto& one) { return one.expired(); });
      open.push_back(connection);
      connection->Read();
    }
    if (AcceptorOf(proxy, backend).is_open()) Accept(proxy, backend);
  });
}

void StandInBackends::Down(int number) {
  Backend& backend = backends_[static_cast<std::size_t>(number)];
  if (backend.model.health() != simulation::Backend::Health::kUp) return;
  backend.model.Stop(simulation::Backend::Health::kDown);
  backend.busy = 0;
  for (std::size_t proxy = 0; proxy < addresses_.size(); ++proxy) {
    Error ignored;
    AcceptorOf(static_cast<int>(proxy), number).close(ignored);
  }
  for (const auto& one : std::exchange(backend.open, {}))
    if (const auto connection = one.lock()) connection->Reset();
}

void StandInBackends::Up(int number) {
  Backend& backend = backends_[static_cast<std::size_t>(number)];
  if (backend.model.health() == simulation::Backend::Health::kUp) return;
  backend.model.Start(now_());
  for (std::size_t proxy = 0; proxy < addresses_.size(); ++proxy) {
    Listen(AcceptorOf(static_cast<int>(proxy), number), addresses_[proxy][static_cast<std::size_t>(number)]);
    Accept(static_cast<int>(proxy), number);
  }
}

bool StandInBackends::MayHaveRun(std::uint64_t request) const {
  const auto found = unproven_.find(request);
  return found != unproven_.end() && found->second > 0;
}

std::vector<int> StandInBackends::connected_proxies() const {
  std::vector<int> connected_proxies;
  for (const Backend& backend : backends_)
    connected_proxies.push_back(static_cast<int>(std::count_if(
        backend.connections->begin(), backend.connections->end(), [](int n) { return n > 0; })));
  return connected_proxies;
}

std::uint64_t StandInBackends::executions() const {
  std::uint64_t total = 0;
  for (const Backend& backend : backends_) total += backend.executions;
  return total;
}

void StandInBackends::RecordExecution(std::uint64_t request, bool unsafe, int backend) {
  ++backends_[static_cast<std::size_t>(backend)].executions;
  if (unsafe)
    rules_.OnExecution(now_(), request, static_cast<std::uint32_t>(backend), ++unsafe_executions_[request]);
}

// ---- clients --------------------------------------------------------------------------------------------

class Clients::Request : public std::enable_shared_from_this<Request> {
 public:
  Request(Clients& owner, Target target, std::uint64_t id, bool is_counted)
      : owner_(owner),
        target_(target),
        id_(id),
        is_counted_(is_counted),
        stream_(owner.io_),
        overdue_timer_(owner.io_) {}

  void Start(bool unsafe) {
    unsafe_ = unsafe;
    request_ = {unsafe ? http::verb::post : http::verb::get, unsafe ? "/book/it" : "/look/it", 11};
    request_.set(http::field::host, "service.internal");
    request_.set("Req-Id", fmt::format("{:x}", id_));
    request_.set("Req-Kind", unsafe ? "book" : "look");
    request_.set("Req-Deadline-Ms", std::to_string(kDeadline.count()));
    request_.set(http::field::connection, "close");
    request_.prepare_payload();
    stream_.expires_after(kDeadline + kResponseSlack);
    stream_.async_connect(target_.address, [self = shared_from_this()](const Error& failed) {
      if (failed) return;  // the proxy never received the request
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
                         // A process that was ended or paused meanwhile does not owe a response. The rig
                         // learns of its exit slightly later than of the broken connection.
                         self->overdue_timer_.expires_after(kExitNoticeDelay);
                         self->overdue_timer_.async_wait([self](const Error& cancelled) {
                           Clients& clients = self->owner_;
                           if (!cancelled && !clients.stopped_ && clients.owes_response_(self->target_))
                             clients.rules_.OnResponseOverdue(
                                 clients.now_(), self->id_, static_cast<std::uint32_t>(self->target_.member));
                         });
                         return;
                       }
                       const unsigned status = self->response_.result_int();
                       const bool rejected = status == 429 || status == 503;
                       if (rejected)
                         owner.rules_.OnRejected(
                             owner.now_(), self->id_, static_cast<std::uint32_t>(self->target_.member),
                             {.idempotent = !self->unsafe_, .may_have_run = owner.may_have_run_(self->id_)});
                       if (!self->is_counted_) return;
                       owner.served_ += status == 200;
                       owner.rejected_ += rejected;
                     });
  }

  Clients& owner_;
  const Target target_;
  const std::uint64_t id_;
  const bool is_counted_;
  bool unsafe_ = false;
  beast::tcp_stream stream_;
  asio::steady_timer overdue_timer_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
};

Clients::Clients(asio::io_context& io, const Service& service, std::uint64_t seed,
                 simulation::RuleChecker& rules, SelectTarget select_target, OwesResponse owes_response,
                 MayHaveRun may_have_run, std::function<simulation::Micros()> now)
    : io_(io),
      service_(service),
      random_(seed, "clients"),
      rules_(rules),
      select_target_(std::move(select_target)),
      owes_response_(std::move(owes_response)),
      may_have_run_(std::move(may_have_run)),
      now_(std::move(now)),
      timer_(io) {}

void Clients::Start(double count_from_s) {
  if (service_.rate <= 0) return;
  count_from_ = simulation::FromMs(count_from_s * 1000);
  next_send_ = std::chrono::steady_clock::now();
  ScheduleNext();
}

void Clients::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void Clients::ScheduleNext() {
  next_send_ +=
      std::chrono::microseconds(static_cast<std::int64_t>(random_.Exponential(1e6 / service_.rate)));
  timer_.expires_at(next_send_);
  timer_.async_wait([this](const Error& cancelled) {
    if (cancelled || stopped_) return;
    const bool is_counted = now_() >= count_from_;
    const bool unsafe = random_.Chance(0.2);
    if (const auto target = select_target_(random_)) {
      requests_ += is_counted;
      std::make_shared<Request>(*this, *target, ++total_requests_, is_counted)->Start(unsafe);
    }
    ScheduleNext();
  });
}

nlohmann::json ProxySettings(const Plan& plan, int member) {
  const auto cls = [](const char* name, const char* effect) {
    return nlohmann::json{{"name", name},       {"effect", effect},    {"group", "cell"},
                          {"windowMs", 2000.0}, {"goalTimeMs", 500.0}, {"deadlineMs", 2000.0},
                          {"worth", 1.0}};
  };
  nlohmann::json zones = nlohmann::json::array();
  for (int i = 0; i < plan.zones; ++i) zones.push_back(ZoneName(plan, i));
  nlohmann::json settings{
      {"balancers", plan.members},
      {"me", member},
      {"zone", member % plan.zones},
      {"zones", zones},
      {"kinds", {"m"}},
      {"classes", {cls("look", "read_like"), cls("book", "non_idempotent")}},
      {"permissions",
       {{"maxAttempts", 4}, {"connIdleMs", 60000.0}, {"connectTimeoutMs", 250.0}, {"retryAfter", false}}},
      {"rules",
       {{"coldFrom", plan.service.slow_start_min_capacity},
        {"warmUpMs", plan.service.warm_up_s * 1000},
        {"fallMultiple", plan.service.overload_factor},
        {"overloadForMs", plan.service.fall_ms}}},
      {"tenants", nlohmann::json::array()}};
  if (plan.service.polled_discovery) {
    settings["registryMode"] = "ask";
    settings["rules"]["mustAskInMs"] = kMaxPollIntervalMs;
  }
  return settings;
}

}  // namespace copperpoint::fault_testing
