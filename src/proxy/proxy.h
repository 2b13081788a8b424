// SPDX-License-Identifier: Apache-2.0
//
// The proxy: turns what happens on sockets into events for its Balancer, and carries out the actions. Every
// decision is the Balancer's.
#ifndef COPPERPOINT_PROXY_PROXY_H_
#define COPPERPOINT_PROXY_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "copperpoint/balancer.h"
#include "proxy/admin/admin_server.h"
#include "proxy/clock.h"
#include "proxy/config/config.h"
#include "proxy/control/disabled_backends.h"
#include "proxy/handover/handover.h"
#include "proxy/lifecycle/lifecycle.h"
#include "proxy/discovery/discovery_client.h"
#include "proxy/discovery/endpoints.h"
#include "proxy/downstream/client_listener.h"
#include "proxy/membership/host.h"
#include "proxy/upstream/backend_pool.h"

namespace copperpoint::proxy {

class Proxy : public RequestHandler, public AdminHandler {
 public:
  // Listens, and watches discovery, from here on.
  Proxy(boost::asio::io_context& io, Config config);
  ~Proxy() override;

  // Takes over from a configuration read anew where discovery is and how patient to be; the rest of it holds
  // from the next start on.
  void Reload(const Config& config);

  // Serves what comes for a while yet; `done` is called when nothing is held any more.
  void Stop(std::function<void()> done);

  RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) override;
  void OnClientDisconnected(RequestId request) override;
  bool IsRequestOpen(std::string_view id) const override { return open_ids_.contains(std::string(id)); }
  bool Ready() const override { return lifecycle_.ready(); }

  std::string StateName() const override { return NameOf(lifecycle_.state()); }
  AdminResult Disable(const std::string& backend) override;
  AdminResult Enable(const std::string& backend) override;
  AdminResult Drain() override;
  AdminResult Undrain() override;
  std::string FleetStatus() const override { return fleet_ ? fleet_->Json() : ""; }
  bool IsFleetCall(std::string_view path) const override;
  std::optional<FleetCallResult> FleetCall(const std::string& path, bool post,
                                           const std::string& body) override;

  boost::asio::ip::tcp::endpoint address() const { return clients_->address(); }
  boost::asio::ip::tcp::endpoint admin_address() const { return admin_->address(); }
  std::size_t client_connections() const { return clients_->connection_count(); }
  std::size_t backend_connections() const { return backends_->connection_count(); }
  std::uint64_t last_revision() const { return discovery_->revision(); }
  std::size_t backends_known() const { return backends_->backend_count(); }
  std::size_t held() const { return pending_.size(); }

 private:
  // From its Submit until it has its answer and no attempt is out.
  struct Pending {
    std::shared_ptr<const HttpRequest> message;
    std::shared_ptr<RequestBodyStream> upload;  // null if the message is whole
    Steady::time_point arrived{}, due{};
    int request_class = -1, tenant = -1;
    double work_ms = 0;                    // hinted
    std::shared_ptr<Responder> responder;  // null once answered
    int attempts = 0;
    bool attempt_out = false;
    BackendPool::AttemptHandle attempt;  // the one that is out
  };

  void Feed(Event event);
  void HandleQueued();
  void OnList(const EndpointList& list, EndpointUpdateKind kind);
  void PassOn(const EndpointList& list, EndpointUpdateKind kind);
  AdminResult Carried(DisabledBackends::ChangeResult verdict, const EndpointList& changes);
  void LookAfterState();
  void TellFleet();  // what this process is up to
  // Begins to accept clients, at the listener that was inherited, if any.
  void Serve(int listener);
  void TakeOverAfter(std::chrono::milliseconds wait);
  void TakeOver();
  std::optional<Gift> GiveOver();
  std::string LearntText();
  void OnGift(const std::string& text);
  int Descriptors() const;
  void LeaveTo(int other_descriptors);
  void ForgetLongGone();
  int ZoneOf(const std::string& name) const;

  void Do(const StartAttempt& action);
  void Do(const RejectRequest& action);
  void Do(const FailRequest& action);
  void Do(const SetTimer& action);
  void Do(const PollEndpoints& action);
  void Do(const struct CloseIdleConnections& action);
  void Do(const Log& action);

  void OnNotSent(const StartAttempt& action);
  void OnAttemptDone(RequestId request, int attempt, BackendId server, Steady::time_point sent,
                     AttemptResult result);
  template <typename Answer>
  void Give(const std::shared_ptr<Responder>& responder, Answer answer);
  std::shared_ptr<Responder> Conclude(RequestId request, RequestOutcome outcome,
                                      RejectReason reason = RejectReason::kNone);
  void ForgetIfOver(RequestId request);
  void ArmTimer();

  boost::asio::io_context& io_;
  Config config_;
  ModuleClock clock_;
  Balancer balancer_;
  BackendIds backend_ids_;
  std::unordered_map<RequestId, Pending> pending_;
  std::unordered_set<std::string> open_ids_;  // Req-Id of those pending
  std::unordered_map<std::string, Steady::time_point> gone_since_;
  RequestId last_request_ = 0;
  std::deque<Event> events_;
  bool handling_ = false;
  bool asked_for_listener_ = false;
  bool listed_ = false;  // a list has named a backend
  Lifecycle lifecycle_;
  DisabledBackends disabled_;
  std::multimap<TimePoint, std::uint64_t> timers_;
  TimePoint armed_for_;
  boost::asio::steady_timer timer_, look_, fresh_list_;
  std::unique_ptr<BackendPool> backends_;
  std::unique_ptr<ClientListener> clients_;
  std::unique_ptr<DiscoveryClient> discovery_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<HandoverClient> predecessor_;
  std::unique_ptr<HandoverServer> successor_;
  std::unique_ptr<FleetHost> fleet_;  // null: this proxy talks to no other
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_PROXY_H_
