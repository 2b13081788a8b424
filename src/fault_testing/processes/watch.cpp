// SPDX-License-Identifier: Apache-2.0
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "fault_testing/processes/fleet.h"

namespace copperpoint::fault_testing {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr double kHeaders = 28;                  // bytes of IP and UDP around a datagram
constexpr std::chrono::milliseconds kLook{100};  // between looks at all views

}  // namespace

// Asks one proxy for its view.
class ProcessFleet::Look : public std::enable_shared_from_this<Look> {
 public:
  Look(ProcessFleet& owner, int member) : owner_(owner), member_(member), stream_(owner.io_) {}
  void Start() {
    stream_.expires_after(kLookAnswer);
    stream_.async_connect(owner_.At(member_).op, [self = shared_from_this()](const Error& failed) {
      if (failed) {
        if (self->owner_.plan_.keep) {
          Member& of = self->owner_.At(self->member_);
          std::swap(of.op, of.op_other);
        }
        return self->Over();
      }
      self->request_ = {http::verb::get, "/fleet", 11};
      self->request_.set(http::field::host, "rig");
      http::async_write(self->stream_, self->request_, [self](const Error& broken, std::size_t) {
        if (broken) return self->Over();
        http::async_read(self->stream_, self->buffer_, self->response_,
                         [self](const Error& error, std::size_t) {
                           if (!error) self->Take();
                           self->Over();
                         });
      });
    });
  }

 private:
  void Take() {
    const auto json = nlohmann::json::parse(response_.body(), nullptr, /*allow_exceptions=*/false);
    Member& of = owner_.At(member_);
    // Of two processes, the one that takes part.
    if (owner_.plan_.keep && (!json.is_object() || !json.value("speaks", false)))
      std::swap(of.op, of.op_other);
    if (!json.is_object()) return;
    of.view = json.value("view", "");
    of.living = 0;
    const auto& counters = json["counters"];
    of.out = counters.value("sent_bytes", 0.0) + kHeaders * counters.value("sent", 0.0);
    of.in = counters.value("received_bytes", 0.0) + kHeaders * counters.value("received", 0.0);
    of.asked_at = owner_.Now();
    of.refused = 0;
    for (const auto& [name, value] : counters.items())
      if (name.starts_with("refused_")) of.refused += value.get<double>();
    if (of.before_at < 0 && of.asked_at >= owner_.rest_from_) {
      of.out_before = of.out;
      of.in_before = of.in;
      of.before_at = of.asked_at;
    }
    for (const auto& member : json["members"]) {
      const std::string status = member.value("status", "");
      of.living += status == "alive" || status == "suspect";
    }
  }
  void Over() {
    if (--owner_.looking_ == 0) owner_.OnLooked();
  }

  ProcessFleet& owner_;
  const int member_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  http::response<http::string_body> response_;
};

// What an operator calls at a member: the process that takes part answers.
void ProcessFleet::CallOperator(int number, const std::string& target, const std::string& body) {
  struct Call {
    explicit Call(asio::io_context& io) : stream(io) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
  };
  const auto call = std::make_shared<Call>(io_);
  call->request = {http::verb::post, target, 11, body};
  call->request.set(http::field::host, "rig");
  call->request.prepare_payload();
  call->stream.expires_after(kLookAnswer);
  const auto over = [this, number, target, call](const Error& failed) {
    if (failed || call->response.result() != http::status::ok)
      judge_.Broke(fmt::format("POST {} at {}: {} {}", target, MemberName(number), failed.message(),
                               call->response.body()));
  };
  call->stream.async_connect(At(number).op, [call, over](const Error& failed) {
    if (failed) return over(failed);
    http::async_write(call->stream, call->request, [call, over](const Error& broken, std::size_t) {
      if (broken) return over(broken);
      http::async_read(call->stream, call->buffer, call->response,
                       [over](const Error& error, std::size_t) { over(error); });
    });
  });
}

void ProcessFleet::Watch() {
  FleetStatus status;
  status.at_s = Now();
  status.control = TextOf(control_->address());
  for (int i = 0; i < plan_.members; ++i) {
    const Member& member = At(i);
    status.members.push_back({MemberName(i), TextOf(member.listen), TextOf(member.op),
                              member.child && member.child->running() ? member.child->pid() : 0,
                              member.up && !member.stopped, member.living});
  }
  status.views = views_;
  FleetStatus totals;
  totals.requests = clients_->asked();
  totals.served = clients_->served();
  totals.rejected = clients_->refused();
  totals.ejections = ejections_;
  for (int b = 0; b < plan_.service.backends; ++b) totals.executions.push_back(backends_->executions(b));
  before_.executions.resize(totals.executions.size());
  status.requests = totals.requests - before_.requests;
  status.served = totals.served - before_.served;
  status.rejected = totals.rejected - before_.rejected;
  status.ejections = totals.ejections - before_.ejections;
  for (std::size_t b = 0; b < totals.executions.size(); ++b)
    status.executions.push_back(totals.executions[b] - before_.executions[b]);
  before_ = std::move(totals);
  options_.on_status(status);
  Schedule(status.at_s + 1, [this] { Watch(); });
}

std::string ProcessFleet::Carry(const std::string& what, const std::string& who) {
  static const std::map<std::string, std::pair<FaultKind, bool>> kCommands{
      {"cut", {FaultKind::kCut, true}},       {"heal", {FaultKind::kCut, false}},
      {"freeze", {FaultKind::kFreeze, true}}, {"thaw", {FaultKind::kFreeze, false}},
      {"fail", {FaultKind::kFail, true}},     {"mend", {FaultKind::kFail, false}}};
  if (what == "kill" || what == "start" || what == "stop" || what == "go") {
    for (const int member : Chosen(plan_, {who}, options_.seed)) {
      if (what == "kill") End(member, /*with_a_word=*/false);
      if (what == "start") Start(member);
      if (what == "stop" || what == "go") Stop(member, what == "stop");
    }
    return what + " " + who;
  }
  const auto command = kCommands.find(what);
  if (command == kCommands.end()) throw std::invalid_argument("no command '" + what + "'");
  const auto& [kind, begins] = command->second;
  Fault fault;
  fault.kind = kind;
  fault.who = {who};
  // Faults on links are known by their address.
  const auto same = [&](const Fault& f) { return f.kind == kind && f.who == fault.who; };
  const auto found = std::find_if(commanded_.begin(), commanded_.end(), same);
  if (begins == (found != commanded_.end())) return who + " is so already";
  if (begins) {
    fault.OnService() ? ChosenBackends(plan_, {who}, 1) : Chosen(plan_, {who}, 1);  // throws if it is none
    const Fault& kept = commanded_.emplace_back(fault);
    BeginBetween(kept);
  } else {
    EndBetween(*found);
    commanded_.erase(found);
  }
  return what + " " + who;
}

void ProcessFleet::LookAtAll() {
  look_.expires_after(kLook);
  look_.async_wait([this](const Error& cancelled) {
    if (cancelled || over_) return;
    ++looks_;
    for (int i = 0; i < plan_.members; ++i) {
      At(i).view.clear();
      if (At(i).up) ++looking_;
    }
    if (looking_ == 0) return LookAtAll();
    for (int i = 0; i < plan_.members; ++i)
      if (At(i).up) std::make_shared<Look>(*this, i)->Start();
  });
}

void ProcessFleet::OnLooked() {
  if (over_) return;
  std::size_t up = 0;
  const Member* first = nullptr;
  bool agreed = true;
  std::set<std::string> views;
  for (const Member& member : members_) {
    if (!member.up) continue;
    views.insert(member.view);
    ++up;
    if (!first) first = &member;
    agreed &= !member.view.empty() && member.view == first->view;
  }
  views_ = views.size();
  const bool one = agreed && first && first->living == up;
  judge_.Agreed(Now(), one);
  if (one && up == members_.size()) Meet("settled");
  LookAtAll();
}

}  // namespace copperpoint::fault_testing
