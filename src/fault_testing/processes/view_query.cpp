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

constexpr double kIpUdpHeaderBytes = 28;                 // of a datagram
constexpr std::chrono::milliseconds kPollInterval{100};  // between polls of all views

}  // namespace

// Requests the view of one proxy from its admin interface.
class ProcessFleet::ViewQuery : public std::enable_shared_from_this<ViewQuery> {
 public:
  ViewQuery(ProcessFleet& owner, int member) : owner_(owner), member_(member), stream_(owner.io_) {}
  void Start() {
    stream_.expires_after(kQueryTimeout);
    stream_.async_connect(
        owner_.At(member_).operator_address, [self = shared_from_this()](const Error& failed) {
          if (failed) {
            if (self->owner_.plan_.keep) {
              Member& target = self->owner_.At(self->member_);
              std::swap(target.operator_address, target.other_operator_address);
            }
            return self->OnDone();
          }
          self->request_ = {http::verb::get, "/fleet", 11};
          self->request_.set(http::field::host, "rig");
          http::async_write(self->stream_, self->request_, [self](const Error& broken, std::size_t) {
            if (broken) return self->OnDone();
            http::async_read(self->stream_, self->buffer_, self->response_,
                             [self](const Error& error, std::size_t) {
                               if (!error) self->OnResponse();
                               self->OnDone();
                             });
          });
        });
  }

 private:
  void OnResponse() {
    const auto json = nlohmann::json::parse(response_.body(), nullptr, /*allow_exceptions=*/false);
    Member& target = owner_.At(member_);
    // Of two processes, polls the one that takes part in the membership.
    if (owner_.plan_.keep && (!json.is_object() || !json.value("speaks", false)))
      std::swap(target.operator_address, target.other_operator_address);
    if (!json.is_object()) return;
    target.view = json.value("view", "");
    target.living_members = 0;
    const auto& counters = json["counters"];
    target.bytes_out = counters.value("sent_bytes", 0.0) + kIpUdpHeaderBytes * counters.value("sent", 0.0);
    target.bytes_in =
        counters.value("received_bytes", 0.0) + kIpUdpHeaderBytes * counters.value("received", 0.0);
    target.polled_at_s = owner_.Now();
    target.rejected = 0;
    for (const auto& [name, value] : counters.items())
      if (name.starts_with("refused_")) target.rejected += value.get<double>();
    if (target.before_at_s < 0 && target.polled_at_s >= owner_.measure_from_s_) {
      target.bytes_out_before = target.bytes_out;
      target.bytes_in_before = target.bytes_in;
      target.before_at_s = target.polled_at_s;
    }
    for (const auto& member : json["members"]) {
      const std::string status = member.value("status", "");
      target.living_members += status == "alive" || status == "suspect";
    }
  }
  void OnDone() {
    if (--owner_.pending_queries_ == 0) owner_.OnViewsPolled();
  }

  ProcessFleet& owner_;
  const int member_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  http::response<http::string_body> response_;
};

void ProcessFleet::ReportStatus() {
  FleetStatus status;
  status.at_s = Now();
  status.control = FormatEndpoint(control_->address());
  for (int i = 0; i < plan_.members; ++i) {
    const Member& member = At(i);
    status.members.push_back({MemberName(i), FormatEndpoint(member.listen_address),
                              FormatEndpoint(member.operator_address),
                              member.child && member.child->running() ? member.child->pid() : 0,
                              member.up && !member.paused, member.living_members});
  }
  status.views = views_;
  FleetStatus totals;
  totals.requests = clients_->requests();
  totals.served = clients_->served();
  totals.rejected = clients_->rejected();
  totals.ejections = ejections_;
  for (int b = 0; b < plan_.service.backends; ++b) totals.executions.push_back(backends_->executions(b));
  last_totals_.executions.resize(totals.executions.size());
  status.requests = totals.requests - last_totals_.requests;
  status.served = totals.served - last_totals_.served;
  status.rejected = totals.rejected - last_totals_.rejected;
  status.ejections = totals.ejections - last_totals_.ejections;
  for (std::size_t b = 0; b < totals.executions.size(); ++b)
    status.executions.push_back(totals.executions[b] - last_totals_.executions[b]);
  last_totals_ = std::move(totals);
  options_.on_status(status);
  Schedule(status.at_s + 1, [this] { ReportStatus(); });
}

std::string ProcessFleet::RunCommand(const std::string& what, const std::string& who) {
  static const std::map<std::string, std::pair<FaultKind, bool>> kCommands{
      {"cut", {FaultKind::kCut, true}},       {"heal", {FaultKind::kCut, false}},
      {"freeze", {FaultKind::kFreeze, true}}, {"thaw", {FaultKind::kFreeze, false}},
      {"fail", {FaultKind::kFail, true}},     {"mend", {FaultKind::kFail, false}}};
  if (what == "kill" || what == "start" || what == "stop" || what == "go") {
    for (const int member : SelectMembers(plan_, {who}, options_.seed)) {
      if (what == "kill") End(member, /*graceful=*/false);
      if (what == "start") Start(member);
      if (what == "stop" || what == "go") SetPaused(member, what == "stop");
    }
    return what + " " + who;
  }
  const auto command = kCommands.find(what);
  if (command == kCommands.end())
    throw std::invalid_argument("unknown command '" + what +
                                "', expected kill, start, stop, go, cut, heal, freeze, thaw, fail or mend");
  const auto& [kind, begins] = command->second;
  Fault fault;
  fault.kind = kind;
  fault.who = {who};
  // Link faults are identified by their address, so the Fault must stay in the list while it is active.
  const auto same = [&](const Fault& f) { return f.kind == kind && f.who == fault.who; };
  const auto found = std::find_if(commanded_faults_.begin(), commanded_faults_.end(), same);
  if (begins == (found != commanded_faults_.end())) return who + " is already in that state";
  if (begins) {
    fault.AffectsService() ? SelectBackends(plan_, {who}, 1)
                           : SelectMembers(plan_, {who}, 1);  // throws if invalid
    const Fault& active = commanded_faults_.emplace_back(fault);
    StartSharedFault(active);
  } else {
    EndSharedFault(*found);
    commanded_faults_.erase(found);
  }
  return what + " " + who;
}

void ProcessFleet::PollViews() {
  poll_timer_.expires_after(kPollInterval);
  poll_timer_.async_wait([this](const Error& cancelled) {
    if (cancelled || has_ended_) return;
    ++polls_;
    for (int i = 0; i < plan_.members; ++i) {
      At(i).view.clear();
      if (At(i).up) ++pending_queries_;
    }
    if (pending_queries_ == 0) return PollViews();
    for (int i = 0; i < plan_.members; ++i)
      if (At(i).up) std::make_shared<ViewQuery>(*this, i)->Start();
  });
}

void ProcessFleet::OnViewsPolled() {
  if (has_ended_) return;
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
  const bool agreed_on_truth = agreed && first && first->living_members == up;
  evaluator_.OnAgreement(Now(), agreed_on_truth);
  if (agreed_on_truth && up == members_.size()) TriggerFaults("settled");
  PollViews();
}

}  // namespace copperpoint::fault_testing
