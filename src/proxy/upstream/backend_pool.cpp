// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream/backend_pool.h"

#include <chrono>
#include <iterator>
#include <utility>

#include "log/event_names.h"
#include "log/log.h"
#include "proxy/clock.h"
#include "proxy/upstream/backend_connection.h"

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// Fraction of the backends' idle timeout after which the proxy closes a connection, so that it closes first.
constexpr double kIdleTimeoutFraction = 0.8;

}  // namespace

BackendPool::BackendPool(asio::io_context& io, Limits limits) : io_(io), limits_(std::move(limits)) {}

BackendPool::~BackendPool() {
  const auto connections = std::move(connections_);
  connections_.clear();
  for (const auto& [key, weak] : connections) {
    if (const auto connection = weak.lock()) connection->Detach();
  }
}

void BackendPool::SetEndpoint(BackendId id, const Tcp::endpoint& address, double up_since_unix_ms) {
  Backend& backend = backends_[id];
  if (backend.usable && backend.address == address && backend.up_since_unix_ms == up_since_unix_ms) return;
  DrainBackend(id);
  backend.address = address;
  backend.up_since_unix_ms = up_since_unix_ms;
  backend.usable = true;
}

void BackendPool::DrainBackend(BackendId id) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) return;
  Backend& backend = found->second;
  if (!backend.usable && backend.open_connections == 0) return;
  ++backend.generation;
  backend.usable = false;
  CloseIdleConnections(id);
  if (backend.open_connections == 0) return;
  // Attempts that are still connecting or writing would start on a backend that accepts no new requests.
  for (const auto& [key, weak] : connections_) {
    if (const auto connection = weak.lock(); connection && connection->backend() == id)
      connection->CancelUnsent();
  }
}

void BackendPool::DrainAllExcept(const std::unordered_set<BackendId>& backends) {
  for (const auto& [id, backend] : backends_) {
    if (!backends.contains(id)) DrainBackend(id);
  }
}

void BackendPool::CloseIdleConnections(BackendId id) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) return;
  const auto idle = std::move(found->second.idle);
  found->second.idle.clear();
  for (const auto& connection : idle) connection->Close();
}

void BackendPool::RemoveBackend(BackendId id) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) return;
  const Backend& backend = found->second;
  if (!backend.usable && backend.open_connections == 0) backends_.erase(found);
}

void BackendPool::CancelUnsent(const AttemptHandle& handle) {
  const auto connection = handle.connection.lock();
  if (connection && connection->attempt_id() == handle.attempt_id) connection->CancelUnsent();
}

BackendPool::AttemptHandle BackendPool::SendRequest(BackendId id, std::shared_ptr<const HttpRequest> request,
                                                    const AttemptLimits& limits, AttemptCallback on_completed,
                                                    std::shared_ptr<RequestBodyStream> upload) {
  Backend& backend = backends_[id];
  std::shared_ptr<BackendConnection> connection = TakeIdle(backend);
  const bool reused = connection != nullptr;
  if (!reused) connection = AddConnection(id, backend);
  const auto attempt_timeout = std::chrono::ceil<Steady::duration>(limits.timeout);
  const auto now = Steady::now();
  connection->Assign({.request = std::move(request),
                      .upload = std::move(upload),
                      .on_completed = std::move(on_completed),
                      .started_at = now,
                      .timeout = attempt_timeout,
                      .deadline = now + attempt_timeout,
                      .send_by = limits.send_by,
                      .response_time = limits.response_time,
                      .response_due = limits.response_due});
  if (reused) {
    connection->Reuse();
  } else if (backend.address.port() == 0) {
    connection->FailSoon(AttemptOutcome::kConnectFailure);  // no address was ever set
  } else if (open_connections_ > limits_.max_connections && !CloseOldestIdle()) {
    connection->FailSoon(AttemptOutcome::kNotSent, /*local_failure=*/true);
  } else {
    ++connections_opened_;
    log::Global().Debug(log::events::kConnectionOpened, {{log::fields::kBackend, id}});
    connection->Connect(backend.address, limits_.connect_timeout);
  }
  return {connection, connection->attempt_id()};
}

std::shared_ptr<BackendConnection> BackendPool::AddConnection(BackendId id, Backend& backend) {
  auto connection = std::make_shared<BackendConnection>(*this, id, backend.generation);
  connections_.emplace(connection.get(), connection);
  ++open_connections_;
  ++backend.open_connections;
  return connection;
}

// Takes the most recently used connection that has been idle for `connection_rest`. A backend may close just
// after a response, or send excess bytes: by that time either is detected.
std::shared_ptr<BackendConnection> BackendPool::TakeIdle(Backend& backend) {
  const auto latest_idle_since = Steady::now() - limits_.timeouts.reuse_delay;
  auto end = backend.idle.end();
  while (end != backend.idle.begin() && (*std::prev(end))->idle_since() > latest_idle_since) --end;
  while (end != backend.idle.begin()) {
    auto connection = *--end;
    end = backend.idle.erase(end);
    if (connection->IsQuiescent()) return connection;
    const auto index = end - backend.idle.begin();
    connection->Close();
    end = backend.idle.begin() + index;
  }
  return nullptr;
}

bool BackendPool::CloseOldestIdle() {
  std::shared_ptr<BackendConnection> oldest;
  for (const auto& [id, backend] : backends_) {
    if (backend.idle.empty()) continue;
    const auto& candidate = backend.idle.front();
    if (!oldest || candidate->idle_since() < oldest->idle_since()) oldest = candidate;
  }
  if (oldest) oldest->Close();
  return oldest != nullptr;
}

void BackendPool::ReturnToIdle(const std::shared_ptr<BackendConnection>& connection) {
  const auto found = backends_.find(connection->backend());
  if (found == backends_.end()) return connection->Close();
  Backend& backend = found->second;
  if (!backend.usable || backend.generation != connection->generation()) return connection->Close();
  backend.idle.push_back(connection);
  connection->StartIdle(limits_.backend_idle_timeout * kIdleTimeoutFraction);
}

void BackendPool::OnConnectionClosed(const BackendConnection& connection) {
  const bool was_open = connections_.erase(&connection) > 0;
  open_connections_ -= was_open;
  const auto found = backends_.find(connection.backend());
  if (found == backends_.end()) return;
  found->second.open_connections -= was_open;
  std::erase_if(found->second.idle, [&](const auto& idle) { return idle.get() == &connection; });
}

}  // namespace copperpoint::proxy
