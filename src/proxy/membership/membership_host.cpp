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
      membership_(membership::Options(), LoadFrameCodec(settings), RecordOf(settings, self), seed,
                  MembershipNow()),
      subsets_enabled_(settings.subsets),
      on_ring_offset_(std::move(on_ring_offset)),
      rollout_(io, {membership_.self().name(), membership_.self().incarnation()},
               {[this](const std::string& name) { return IsLiving(name); },
                [this] { return LivingMembers(); }, [this] { ProcessOutput(); }}),
      tick_timer_(io) {
  membership_.SetDocumentFilter([this](membership::Topic topic, std::uint64_t version) {
    return rollout_.AcceptsDocument(topic, version);
  });
  socket_.Open();
} catch (const std::invalid_argument& error) {
  throw ConfigError(ConfigError::Kind::kInvalid, {.key = "fleet"}, std::string("fleet: ") + error.what());
}

// ---- frames of other members ------------------------------------------------------------------------------

void MembershipHost::OnOpen() {
  log::Global().Info("fleet_member", {{"cluster", cluster_}, {"address", membership_.self().address()}});
  membership_.Join(MembershipNow(), seeds_);
  ProcessOutput();
}

void MembershipHost::OnDatagram(const std::string& from, std::string_view frame) {
  membership_.OnDatagram(MembershipNow(), from, frame);
  ProcessOutput();
}

std::string MembershipHost::OnExchange(std::string_view frame) {
  std::string reply = membership_.OnExchange(MembershipNow(), frame);
  ProcessOutput();
  return reply;
}

void MembershipHost::OnReply(std::string_view frame) {
  membership_.OnReply(MembershipNow(), frame);
  ProcessOutput();
}

// ---- output after an event --------------------------------------------------------------------------------

void MembershipHost::ProcessOutput() {
  ExchangeWithRollout();
  ReportMembershipContact();
  UpdateRingOffset();
  ScheduleTick();
}

// Repeats until neither the membership nor the rollout agent has output for the other.
void MembershipHost::ExchangeWithRollout() {
  for (bool delivered = true; delivered;) {
    PublishFromRollout();
    const membership::Output output = membership_.Take();
    delivered = DeliverToRollout(output);
    socket_.Send(output);
    LogMembershipEvents(output.events);
  }
}

void MembershipHost::PublishFromRollout() {
  const membership::Time now = MembershipNow();
  rollout::Agent::Output output = rollout_.TakeOutput();
  for (const auto& document : output.documents)
    membership_.PublishDocument(now, document.topic, document.version, document.body);
  for (auto& message : output.messages)
    membership_.SendMessage(now, message.to, rollout::kMessageTopic, std::move(message.body));
}

// Returns false if there was nothing to deliver.
bool MembershipHost::DeliverToRollout(const membership::Output& output) {
  for (const membership::ApplicationMessage& message : output.messages) {
    if (message.topic == rollout::kMessageTopic)
      rollout_.OnMessage(MembershipNow(), message.from, message.body);
  }
  for (const membership::Topic topic : output.documents) {
    const membership::Document* document = membership_.document(topic);
    if (document) rollout_.OnDocument(MembershipNow(), topic, document->version, document->body);
  }
  return !output.messages.empty() || !output.documents.empty();
}

void MembershipHost::ReportMembershipContact() {
  if (membership_.established() && membership_.members().living().size() > 1) rollout_.OnConnected();
}

void MembershipHost::UpdateRingOffset() {
  if (!subsets_enabled_) return;
  const std::optional<double> ring_offset = ring_position_.Update(membership_, MembershipNow());
  if (!ring_offset) return;
  log::Global().Info("fleet_position", {{"turn", *ring_offset}});
  ring_offset_ = ring_offset;
  on_ring_offset_(*ring_offset);
}

void MembershipHost::ScheduleTick() {
  if (!socket_.is_open() || membership_.stopped()) return;
  tick_timer_.expires_at(
      ToSteady(std::min({membership_.next(), ring_position_.next(), rollout_.next_tick()})));
  tick_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    membership_.OnTick(MembershipNow());
    rollout_.OnTick(MembershipNow());
    ProcessOutput();
  });
}

// ---- this process -----------------------------------------------------------------------------------------

void MembershipHost::SetState(membership::MemberState state) {
  membership_.SetState(MembershipNow(), state);
  ProcessOutput();
}

void MembershipHost::Leave() {
  if (std::exchange(left_, true)) return;
  rollout_.OnLeft();
  membership_.Leave(MembershipNow());
  ProcessOutput();
  socket_.Close();
  tick_timer_.cancel();
}

// ---- admin calls ------------------------------------------------------------------------------------------

std::string MembershipHost::StatusJson() const {
  return MembershipJson({cluster_, membership_, MembershipNow(), ring_offset_, socket_.counters()});
}

std::optional<AdminHandler::FleetCallResult> MembershipHost::HandleRolloutCall(
    const AdminHandler::FleetCallRequest& request) {
  auto result = rollout_.Handle(MembershipNow(), request);
  if (result && request.method == AdminHandler::FleetCallRequest::Method::kPost) ProcessOutput();
  return result;
}

// ---- members ----------------------------------------------------------------------------------------------

bool MembershipHost::IsLiving(const std::string& name) const {
  const int index = membership_.members().Find(name);
  return index != membership::MemberTable::kNotFound && membership_.members()[index].living();
}

// Sorted by name, so that a rollout among the same members is the same whichever of them starts it.
std::vector<rollout::MemberInfo> MembershipHost::LivingMembers() const {
  std::vector<rollout::MemberInfo> members;
  for (const int index : membership_.members().living()) {
    const membership::Record& record = *membership_.members()[index].record;
    members.push_back({record.name(), record.zone()});
  }
  std::sort(members.begin(), members.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
  return members;
}

}  // namespace copperpoint::proxy
