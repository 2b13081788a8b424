// SPDX-License-Identifier: Apache-2.0
#include "proxy/downstream/session_manager.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace copperpoint::proxy {
namespace {

using Error = boost::system::error_code;

constexpr std::chrono::milliseconds kSweepInterval{50};
// Time that a new connection gets to send its first request while draining or shutting down.
constexpr std::chrono::milliseconds kFirstRequestGrace{500};
// Time that a client gets to send the rest of a header while another connection waits to be accepted.
constexpr std::chrono::milliseconds kPartialHeaderGrace{500};
// Fraction of the connection limit up to which idle connections are not closed in advance.
constexpr double kIdleCloseThreshold = 0.4;

std::size_t BodyMemoryBytes(const Config& config) {
  return static_cast<std::size_t>(config.memory_mb * config.shares.body_memory * 1024 * 1024);
}

// @return true if the connection has just been accepted and its first request may be on its way.
bool MayBeAboutToSend(const ClientSession& session, Steady::time_point now) {
  return session.IsUnusedSince(now) && !session.IsUnusedSince(now - kFirstRequestGrace);
}

}  // namespace

SessionManager::SessionManager(boost::asio::io_context& io, const Config& config, std::size_t max_connections,
                               std::shared_ptr<MemoryBudget> buffer_memory, RequestHandler& handler,
                               std::function<void()> on_capacity)
    : config_(config),
      max_connections_(max_connections),
      handler_(handler),
      on_capacity_(std::move(on_capacity)),
      body_memory_(std::make_shared<MemoryBudget>(BodyMemoryBytes(config))),
      buffer_memory_(std::move(buffer_memory)),
      sweep_timer_(io) {}

SessionManager::~SessionManager() {
  const auto sessions = std::move(sessions_);
  sessions_.clear();
  for (const auto& session : sessions) session->Detach();
}

void SessionManager::Add(boost::asio::ip::tcp::socket socket,
                         std::optional<Steady::time_point> queued_since) {
  if (sessions_.empty()) ScheduleSweep();
  sessions_.push_back(std::make_shared<ClientSession>(*this, std::move(socket)));
  const auto session = sessions_.back();
  session->position = std::prev(sessions_.end());
  session->Start(queued_since);
}

bool SessionManager::EnsureCapacity() { return sessions_.size() < max_connections_ || Evict(); }

template <typename Predicate>
bool SessionManager::EvictFirst(Predicate predicate) {
  const auto found = std::find_if(sessions_.begin(), sessions_.end(),
                                  [&](const auto& session) { return predicate(*session); });
  if (found == sessions_.end()) return false;
  const auto session = *found;
  session->CloseImmediately();
  return true;
}

// Evicts a connection from the first of these groups that has one, and of that group the one longest in its
// state: lingering connections; those kept alive for `idle_reclaim`; idle ones, whether used or not, for
// `pressed_idle_reclaim`; those whose header is incomplete for kPartialHeaderGrace. Connections that have
// been in their state for less time stay, as their request may be on its way.
bool SessionManager::Evict() {
  const auto now = Steady::now();
  const auto kept_alive_since = now - config_.timeouts.idle_reclaim;
  const auto idle_since = now - config_.timeouts.idle_reclaim_under_pressure;
  const auto header_since = now - kPartialHeaderGrace;
  return EvictFirst([](const ClientSession& s) { return s.IsLingering(); }) ||
         EvictFirst([&](const ClientSession& s) { return s.IsKeptAliveSince(kept_alive_since); }) ||
         EvictFirst([&](const ClientSession& s) { return s.IsIdleSince(idle_since); }) ||
         EvictFirst([&](const ClientSession& s) { return s.HasPartialHeaderSince(header_since); });
}

void SessionManager::SetLimit(std::size_t max_connections) {
  max_connections_ = max_connections;
  NotifyCapacity();
}

void SessionManager::ScheduleSweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Sweep();
  });
}

// Enforces time limits, and closes idle connections in advance while many are open.
void SessionManager::Sweep() {
  const auto now = Steady::now();
  const auto threshold =
      static_cast<std::size_t>(static_cast<double>(max_connections_) * kIdleCloseThreshold);
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const auto session = *it++;
    const bool ends_by_draining =
        draining_ && (session->IsKeptAliveSince(now) || session->IsUnusedSince(now - kFirstRequestGrace));
    if (ends_by_draining ||
        (sessions_.size() > threshold && session->IsKeptAliveSince(now - config_.timeouts.idle_reclaim))) {
      session->CloseLingering();
    } else {
      session->OnDeadlineCheck(now);
    }
  }
  NotifyCapacity();
  if (!sessions_.empty()) ScheduleSweep();
}

void SessionManager::SetDraining(bool draining) {
  draining_ = draining;
  if (!draining) return;
  const auto now = Steady::now();
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const auto session = *it++;
    if (session->IsKeptAliveSince(now)) session->CloseLingering();
  }
}

void SessionManager::StartShutdown(Steady::time_point answer_by) {
  shutting_down_ = true;
  answer_by_ = answer_by;
}

bool SessionManager::CloseForShutdown(Steady::time_point now, bool read_grace_over) {
  bool unfinished = false;
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const auto session = *it++;
    const bool is_unneeded = session->IsIdle() && (read_grace_over || !MayBeAboutToSend(*session, now));
    if (is_unneeded || (session->ExpectsRequest() && read_grace_over)) session->CloseLingering();
    if (now >= answer_by_ && session->IsReadingStreamedBody()) session->RejectStreamedBody();
    unfinished |= session->HasUndeliveredResponse() || session->ExpectsRequest();
  }
  return unfinished;
}

void SessionManager::OnStateChanged(ClientSession& session) {
  sessions_.splice(sessions_.end(), sessions_, session.position);
}

void SessionManager::Remove(ClientSession& session) {
  sessions_.erase(session.position);
  NotifyCapacity();
}

void SessionManager::NotifyCapacity() {
  if (capacity_awaited_) on_capacity_();
}

}  // namespace copperpoint::proxy
