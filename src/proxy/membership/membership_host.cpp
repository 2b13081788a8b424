// SPDX-License-Identifier: Apache-2.0
#include "proxy/membership/membership_host.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "log/log.h"
#include "proxy/config/config_error.h"
#include "proxy/membership/clock.h"
#include "proxy/membership/membership_report.h"
#include "proxy/membership/settings_loader.h"

namespace copperpoint::proxy {
namespace {

membership::Record RecordOf(const FleetSettings& settings, const MembershipHost::Member& self) {
  membership::Record record;
  record.set_name(self.name);
  record.set_address(settings.advertise.empty() ? settings.listen : settings.advertise);
  record.set_zone(self.zone);
  record.set_program(self.program_version);
  record.set_settings(self.settings_version);
  return record;
}

}  // namespace

MembershipHost::MembershipHost(boost::asio::io_context& io, const FleetSettings& settings, const Member& self,
                               std::uint64_t seed, std::function<void(double)> on_ring_offset) try
    : cluster_(settings.cluster),
      socket_(io, ParseListenAddress(settings), *this),
      seeds_(LoadSeeds(settings)),
      view_(membership::Options(), LoadSeal(settings), RecordOf(settings, self), seed, MembershipNow()),
      subsets_enabled_(settings.subsets),
      on_ring_offset_(std::move(on_ring_offset)),
      rollout_(io, {view_.self().name(), view_.self().life()},
               {[this](const std::string& name) { return IsLiving(name); },
                [this] { return LivingMembers(); }, [this] { ProcessOutput(); }}),
      tick_timer_(io) {
  view_.SetGate(
      [this](membership::Topic topic, std::uint64_t version) { return rollout_.Admits(topic, version); });
  socket_.Open();
} catch (const std::invalid_argument& error) {
  throw ConfigError(ConfigError::Kind::kInvalid, {.key = "fleet"}, std::string("fleet: ") + error.what());
}

// ---- frames of other members ------------------------------------------------------------------------------

void MembershipHost::OnOpen() {
  log::Global().Info("fleet_member", {{"cluster", cluster_}, {"address", view_.self().address()}});
  view_.Join(MembershipNow(), seeds_);
  ProcessOutput();
}

void MembershipHost::OnDatagram(const std::string& from, std::string_view frame) {
  view_.OnDatagram(MembershipNow(), from, frame);
  ProcessOutput();
}

std::string MembershipHost::OnExchange(std::string_view frame) {
  std::string reply = view_.OnExchange(MembershipNow(), frame);
  ProcessOutput();
  return reply;
}

void MembershipHost::OnReply(std::string_view frame) {
  view_.OnReply(MembershipNow(), frame);
  ProcessOutput();
}

// ---- what follows from an event ---------------------------------------------------------------------------

void MembershipHost::ProcessOutput() {
  ExchangeWithRollout();
  ReportConnected();
  UpdateRingOffset();
  ScheduleTick();
}

// Until neither the membership nor the rollout agent has anything more for the other.
void MembershipHost::ExchangeWithRollout() {
  for (bool delivered = true; delivered;) {
    PublishFromRollout();
    const membership::Output output = view_.Take();
    delivered = DeliverToRollout(output);
    socket_.Send(output);
    LogMembershipEvents(output.events);
  }
}

void MembershipHost::PublishFromRollout() {
  const membership::Time now = MembershipNow();
  rollout::Agent::Output output = rollout_.Take();
  for (const auto& document : output.documents)
    view_.Put(now, document.topic, document.version, document.body);
  for (auto& message : output.letters)
    view_.Mail(now, message.to, rollout::kLetterTopic, std::move(message.body));
}

// False if there was nothing to deliver.
bool MembershipHost::DeliverToRollout(const membership::Output& output) {
  for (const membership::Letter& message : output.letters) {
    if (message.topic == rollout::kLetterTopic)
      rollout_.OnMessage(MembershipNow(), message.from, message.body);
  }
  for (const membership::Topic topic : output.documents) {
    const membership::Document* document = view_.document(topic);
    if (document) rollout_.OnDocument(MembershipNow(), topic, document->version, document->body);
  }
  return !output.letters.empty() || !output.documents.empty();
}

void MembershipHost::ReportConnected() {
  if (view_.established() && view_.members().living().size() > 1) rollout_.OnConnected();
}

void MembershipHost::UpdateRingOffset() {
  if (!subsets_enabled_) return;
  const std::optional<double> ring_offset = positions_.Look(view_, MembershipNow());
  if (!ring_offset) return;
  log::Global().Info("fleet_position", {{"turn", *ring_offset}});
  ring_offset_ = ring_offset;
  on_ring_offset_(*ring_offset);
}

void MembershipHost::ScheduleTick() {
  if (!socket_.is_open() || view_.silent()) return;
  tick_timer_.expires_at(ToSteady(std::min({view_.next(), positions_.next(), rollout_.next_tick()})));
  tick_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    view_.OnTick(MembershipNow());
    rollout_.OnTick(MembershipNow());
    ProcessOutput();
  });
}

// ---- this process -----------------------------------------------------------------------------------------

void MembershipHost::SetState(membership::State state) {
  view_.SetState(MembershipNow(), state);
  ProcessOutput();
}

void MembershipHost::Leave() {
  if (std::exchange(left_, true)) return;
  rollout_.OnLeft();
  view_.Leave(MembershipNow());
  ProcessOutput();
  socket_.Close();
  tick_timer_.cancel();
}

// ---- admin calls ------------------------------------------------------------------------------------------

std::string MembershipHost::StatusJson() const {
  return MembershipJson({cluster_, view_, MembershipNow(), ring_offset_, socket_.counters()});
}

std::optional<AdminHandler::FleetCallResult> MembershipHost::HandleRolloutCall(
    const AdminHandler::FleetCallRequest& request) {
  auto result = rollout_.Handle(MembershipNow(), request);
  if (result && request.method == AdminHandler::FleetCallRequest::Method::kPost) ProcessOutput();
  return result;
}

// ---- members ----------------------------------------------------------------------------------------------

bool MembershipHost::IsLiving(const std::string& name) const {
  const int index = view_.members().Find(name);
  return index != membership::Members::kNone && view_.members()[index].living();
}

// By name, so that the same members make the same change, whichever of them starts it.
std::vector<rollout::Named> MembershipHost::LivingMembers() const {
  std::vector<rollout::Named> members;
  for (const int index : view_.members().living()) {
    const membership::Record& record = *view_.members()[index].record;
    members.push_back({record.name(), record.zone()});
  }
  std::sort(members.begin(), members.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
  return members;
}

}  // namespace copperpoint::proxy
