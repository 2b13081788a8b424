// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/discovery_client.h"

#include <algorithm>
#include <utility>

#include "log/event_names.h"
#include "log/log.h"

namespace copperpoint::proxy {
namespace {

constexpr std::chrono::milliseconds kMinBackoff{50};
constexpr std::chrono::milliseconds kMaxBackoff{1000};

void LogMalformed(const std::string& reason) {
  log::Global().Warn(log::events::kDiscoveryMalformed, {{"reason", reason}});
}

// One step of Knuth's MMIX linear congruential generator.
std::uint64_t NextJitterState(std::uint64_t state) {
  return state * 6364136223846793005u + 1442695040888963407u;
}

}  // namespace

DiscoveryClient::DiscoveryClient(boost::asio::io_context& io, Options options, OnUpdate on_update,
                                 OnFailure on_failure)
    : io_(io),
      options_(std::move(options)),
      on_update_(std::move(on_update)),
      on_failure_(std::move(on_failure)),
      backoff_timer_(io),
      jitter_state_(options_.seed | 1) {}

DiscoveryClient::~DiscoveryClient() {
  for (const auto& stream : {watch_, replacement_}) {
    if (stream) stream->Detach();
  }
}

void DiscoveryClient::Watch() { Enter(migrating() ? State::kMigrating : State::kWatching); }

void DiscoveryClient::MoveTo(const boost::asio::ip::tcp::endpoint& address) {
  if (address == (migrating() ? replacement_address_ : options_.address)) return;
  replacement_address_ = address;
  backoff_ = std::chrono::milliseconds(0);
  Enter(State::kMigrating);
}

void DiscoveryClient::Enter(State state) {
  state_ = state;
  switch (state) {
    case State::kIdle:
      return;
    case State::kWatching:
      return OpenWatch();
    case State::kMigrating:
      return OpenReplacement();
    case State::kBackoff:
    case State::kMigrationBackoff:
      return ArmBackoff();
  }
}

void DiscoveryClient::OpenWatch() {
  backoff_timer_.cancel();
  if (watch_) watch_->Detach();
  watch_ = NewStream(options_.address, EndpointStream::Request::kWatch);
  watch_->Start();
}

void DiscoveryClient::OpenReplacement() {
  backoff_timer_.cancel();
  if (replacement_) replacement_->Detach();
  replacement_ = NewStream(replacement_address_, EndpointStream::Request::kSnapshot);
  replacement_->Start();
}

// Makes the replacement the watch, once it has delivered its snapshot.
void DiscoveryClient::AdoptReplacement() {
  if (watch_) watch_->Detach();
  watch_ = std::move(replacement_);
  options_.address = replacement_address_;
  state_ = State::kWatching;
}

std::shared_ptr<EndpointStream> DiscoveryClient::NewStream(const boost::asio::ip::tcp::endpoint& address,
                                                           EndpointStream::Request request) {
  log::Global().Debug(log::events::kDiscoveryPolled);
  const EndpointStream::Timeouts timeouts{options_.connect_timeout, options_.first_message_timeout,
                                          options_.idle_timeout};
  EndpointStream::Observer& observer = *this;
  return std::make_shared<EndpointStream>(io_, observer, address, timeouts, request);
}

// Half of the backoff is jitter, so that proxies do not reconnect at the same time.
void DiscoveryClient::ArmBackoff() {
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  jitter_state_ = NextJitterState(jitter_state_);
  backoff_timer_.expires_after(backoff_ / 2 + backoff_ * (jitter_state_ >> 33) / 2 / (1ull << 31));
  backoff_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) Watch();
  });
}

bool DiscoveryClient::OnMessage(EndpointStream& stream, std::string_view message) {
  EndpointListError error;
  const auto update = ParseEndpointList(message, &error);
  if (!update) {
    LogMalformed(error.Describe());
    return false;
  }
  if (&stream == replacement_.get()) {
    if (!update->complete) return false;
    AdoptReplacement();
  }
  backoff_ = std::chrono::milliseconds(0);
  if (std::exchange(outage_logged_, false)) log::Global().Info(log::events::kDiscoveryRecovered);
  // An incremental update older than the list that it would change must not undo it.
  if (!update->complete && update->revision < options_.revision) return true;
  options_.revision = update->revision;
  on_update_(*update);
  return true;
}

void DiscoveryClient::OnFramingError() { LogMalformed("no list"); }

void DiscoveryClient::OnStreamEnded(EndpointStream& stream, const StreamFailure& failure) {
  const std::string reason = failure.Describe();
  log::Global().Debug(log::events::kDiscoveryFailed, {{"reason", reason}});
  // While migrating, the old watch is not needed: only the replacement is retried.
  if (migrating() && &stream == watch_.get()) return watch_.reset();
  if (!std::exchange(outage_logged_, true))
    log::Global().Warn(log::events::kDiscoveryUnavailable, {{"reason", reason}});
  if (migrating()) {
    replacement_.reset();
    return Enter(State::kMigrationBackoff);
  }
  watch_.reset();
  if (options_.reconnect == Reconnect::kAutomatic) return Enter(State::kBackoff);
  Enter(State::kIdle);
  on_failure_();
}

}  // namespace copperpoint::proxy
