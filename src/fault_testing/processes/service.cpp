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

constexpr std::chrono::milliseconds kDeadline{2000};   // of a request
constexpr std::chrono::milliseconds kLookAgain{10};    // whether a silence is over
constexpr std::chrono::milliseconds kEndIsKnown{300};  // of a process, after its connections broke
constexpr std::chrono::milliseconds kSlack{1000};      // before one that has no answer is lost

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
        work_(owner.io_),
        life_(Here().model.incarnation()),
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
                       if (!failed) self->Arrived();
                     });
  }

  void Reset() {
    Error ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

 private:
  Backend& Here() { return owner_.backends_[static_cast<std::size_t>(backend_)]; }
  void Arrived() {
    unsafe_ = request_.method() != http::verb::get;
    id_ = std::strtoull(std::string(request_["Req-Id"]).c_str(), nullptr, 16);
    int* unproven = unsafe_ ? &owner_.unproven_[id_] : nullptr;
    owner_.rules_.OnAttemptStarted(owner_.now_(), id_, static_cast<std::uint32_t>(proxy_),
                                   static_cast<std::uint32_t>(backend_),
                                   {.idempotent = !unsafe_, .may_have_run = unproven && *unproven > 0},
                                   /*has_response=*/false);
    if (unproven) ++*unproven;
    const double work = owner_.service_.work_ms;
    double told_share = 0;
    if (Here().model.RecordSlowStartWork(owner_.now_(), work, owner_.told_ && owner_.told_(proxy_, backend_),
                                         &told_share)) {
      owner_.rules_.OnOverload(owner_.now_(), static_cast<std::uint32_t>(backend_), told_share);
      ++owner_.falls_;
      return owner_.fell_(backend_);
    }
    Work();
  }

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
      if (unsafe_) --owner_.unproven_[id_];
      return Answer();
    }
    owner_.Ran(id_, unsafe_, backend_);
    if (owner_.random_.Chance(owner_.troubles_.Failing(backend_))) {
      status_ = http::status::internal_server_error;
      return Answer();
    }
    ++Here().busy;
    const double ms = owner_.service_.work_ms * owner_.troubles_.Slowness(backend_) /
                      Here().model.CapacityFraction(owner_.now_());
    work_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
    work_.async_wait([self = shared_from_this()](const Error& cancelled) {
      if (cancelled || self->life_ != self->Here().model.incarnation()) return;
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

  StandInBackends& owner_;
  const int proxy_, backend_;
  Tcp::socket socket_;
  asio::steady_timer work_;
  const std::uint32_t life_;  // of the backend's process
  const std::shared_ptr<std::vector<int>> open_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  http::status status_ = http::status::ok;
  std::uint64_t id_ = 0;
  bool unsafe_ = false, reset_after_ = false;
};

StandInBackends::StandInBackends(asio::io_context& io, const Plan& plan, std::uint64_t seed,
                                 const asio::ip::address& address, const Troubles& troubles,
                                 simulation::RuleChecker& rules, std::function<simulation::Micros()> now)
    : io_(io),
      service_(plan.service),
      troubles_(troubles),
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

void StandInBackends::Watch(std::function<bool(int, int)> told, std::function<void(int)> fell) {
  told_ = std::move(told);
  fell_ = std::move(fell);
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

void StandInBackends::Ran(std::uint64_t request, bool unsafe, int backend) {
  ++backends_[static_cast<std::size_t>(backend)].runs;
  if (unsafe) rules_.OnExecution(now_(), request, static_cast<std::uint32_t>(backend), ++runs_[request]);
}

// ---- clients --------------------------------------------------------------------------------------------

class Clients::Request : public std::enable_shared_from_this<Request> {
 public:
  Request(Clients& owner, Target target, std::uint64_t id, bool counts)
      : owner_(owner), target_(target), id_(id), counts_(counts), stream_(owner.io_), late_(owner.io_) {}

  void Start(bool unsafe) {
    unsafe_ = unsafe;
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
                         // A process that was ended or stood still meanwhile owes nothing. That it ended by
                         // itself is known here a little later than its connections are.
                         self->late_.expires_after(kEndIsKnown);
                         self->late_.async_wait([self](const Error& cancelled) {
                           Clients& asked = self->owner_;
                           if (!cancelled && !asked.stopped_ && asked.owed_(self->target_))
                             asked.rules_.OnResponseOverdue(asked.now_(), self->id_,
                                                            static_cast<std::uint32_t>(self->target_.member));
                         });
                         return;
                       }
                       const unsigned status = self->response_.result_int();
                       const bool refused = status == 429 || status == 503;
                       if (refused)
                         owner.rules_.OnRejected(
                             owner.now_(), self->id_, static_cast<std::uint32_t>(self->target_.member),
                             {.idempotent = !self->unsafe_, .may_have_run = owner.may_have_run_(self->id_)});
                       if (!self->counts_) return;
                       owner.served_ += status == 200;
                       owner.refused_ += refused;
                     });
  }

  Clients& owner_;
  const Target target_;
  const std::uint64_t id_;
  const bool counts_;
  bool unsafe_ = false;
  beast::tcp_stream stream_;
  asio::steady_timer late_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
};

Clients::Clients(asio::io_context& io, const Service& service, std::uint64_t seed,
                 simulation::RuleChecker& rules, Choose choose, Owed owed, MayHaveRun may_have_run,
                 std::function<simulation::Micros()> now)
    : io_(io),
      service_(service),
      random_(seed, "clients"),
      rules_(rules),
      choose_(std::move(choose)),
      owed_(std::move(owed)),
      may_have_run_(std::move(may_have_run)),
      now_(std::move(now)),
      timer_(io) {}

void Clients::Start(double count_from_s) {
  if (service_.rate <= 0) return;
  count_from_ = simulation::FromMs(count_from_s * 1000);
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

nlohmann::json ProxySettings(const Plan& plan, int member) {
  const auto cls = [](const char* name, const char* effect) {
    return nlohmann::json{{"name", name},       {"effect", effect},    {"group", "cell"},
                          {"windowMs", 2000.0}, {"goalTimeMs", 500.0}, {"deadlineMs", 2000.0},
                          {"worth", 1.0}};
  };
  nlohmann::json zones = nlohmann::json::array();
  for (int i = 0; i < plan.zones; ++i) zones.push_back(ZoneName(plan, i));
  return {{"balancers", plan.members},
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
}

}  // namespace copperpoint::fault_testing
