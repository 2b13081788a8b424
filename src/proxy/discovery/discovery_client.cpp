// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/discovery_client.h"

#include <utility>

#include "log/event_names.h"
#include "log/log.h"

namespace copperpoint::proxy {
namespace {

void LogMalformed(const std::string& reason) {
  log::Global().Warn(log::events::kDiscoveryMalformed, {{"reason", reason}});
}

// Whether discovery rejects the request as such, as it may if it does not know the revision.
bool IsClientError(const StreamFailure& failure) {
  return failure.http_status >= 400 && failure.http_status < 500;
}

}  // namespace

DiscoveryClient::DiscoveryClient(boost::asio::io_context& io, Options options, OnUpdate on_update,
                                 OnFailure on_failure)
    : io_(io),
      options_(std::move(options)),
      on_update_(std::move(on_update)),
      on_failure_(std::move(on_failure)),
      backoff_timer_(io),
      confirmation_timer_(io),
      backoff_(options_.seed),
      confirmation_backoff_(options_.seed + 1) {}

DiscoveryClient::~DiscoveryClient() {
  for (const auto& stream : {watch_, replacement_, confirmation_}) {
    if (stream) stream->Detach();
  }
}

// A migration goes on by itself: to call anew would lose the place among the calls that wait at discovery.
void DiscoveryClient::Watch() {
  if (!migrating()) Enter(State::kWatching);
}

void DiscoveryClient::AdoptList(std::uint64_t revision, Steady::time_point received_at) {
  options_.revision = revision;
  if (watch_ && !watch_->message_received()) adopted_during_call_ = received_at;
}

bool DiscoveryClient::MayPredateAdoptedList(const EndpointStream& stream, const EndpointList& response) {
  if (&stream != watch_.get()) return false;
  const auto received_at = std::exchange(adopted_during_call_, std::nullopt);
  if (!received_at || response.revision >= options_.revision) return false;
  return !response.complete || watch_->opened_at() < *received_at;
}

void DiscoveryClient::Reload(const boost::asio::ip::tcp::endpoint& address) {
  current_by_ = Steady::now() + options_.reload_bound;
  if (address == (migrating() ? replacement_address_ : options_.address)) return;
  replacement_address_ = address;
  replacement_request_ = EndpointStream::Request::kWatch;
  EndConfirmation();
  backoff_.Reset();
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
  adopted_during_call_.reset();
  watch_->Start();
}

void DiscoveryClient::OpenReplacement() {
  backoff_timer_.cancel();
  if (replacement_) replacement_->Detach();
  replacement_ = NewStream(replacement_address_, replacement_request_);
  replacement_->Start();
}

bool DiscoveryClient::AdoptReplacement(const EndpointList& update) {
  if (!update.complete && update.revision < options_.revision) {
    replacement_request_ = EndpointStream::Request::kSnapshot;
    OpenReplacement();
    return false;
  }
  if (watch_) watch_->Detach();
  watch_ = std::move(replacement_);
  adopted_during_call_.reset();
  options_.address = replacement_address_;
  state_ = State::kWatching;
  if (!update.complete) ArmConfirmation();
  return true;
}

// The delay leaves discovery to the proxies that have no list yet.
void DiscoveryClient::ArmConfirmation() {
  confirmation_backoff_.Reset();
  confirmation_timer_.expires_at(current_by_ - options_.reload_bound / 2);
  confirmation_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) OpenConfirmation();
  });
}

void DiscoveryClient::OpenConfirmation() {
  if (confirmation_) confirmation_->Detach();
  confirmation_ = NewStream(options_.address, EndpointStream::Request::kSnapshot);
  confirmation_->Start();
}

void DiscoveryClient::RetryConfirmation() {
  confirmation_timer_.expires_after(confirmation_backoff_.Next(Steady::duration::zero()));
  confirmation_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) OpenConfirmation();
  });
}

void DiscoveryClient::EndConfirmation() {
  confirmation_timer_.cancel();
  if (confirmation_) confirmation_->Detach();
  confirmation_.reset();
}

std::shared_ptr<EndpointStream> DiscoveryClient::NewStream(const boost::asio::ip::tcp::endpoint& address,
                                                           EndpointStream::Request request) {
  log::Global().Debug(log::events::kDiscoveryPolled);
  const auto first_message_timeout =
      reload_bounds_time() ? options_.first_message_timeout_after_reload : options_.first_message_timeout;
  const EndpointStream::Timeouts timeouts{options_.connect_timeout, first_message_timeout,
                                          options_.idle_timeout};
  EndpointStream::Observer& observer = *this;
  return std::make_shared<EndpointStream>(io_, observer, address, timeouts, request);
}

void DiscoveryClient::ArmBackoff() {
  backoff_timer_.expires_after(backoff_.Next(current_by_ - Steady::now()));
  backoff_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) Enter(migrating() ? State::kMigrating : State::kWatching);
  });
}

bool DiscoveryClient::OnMessage(EndpointStream& stream, std::string_view message) {
  EndpointListError error;
  const auto update = ParseEndpointList(message, &error);
  if (!update) {
    LogMalformed(error.Describe());
    return false;
  }
  if (&stream == confirmation_.get()) return OnConfirmation(*update);
  if (&stream == replacement_.get()) {
    if (replacement_request_ == EndpointStream::Request::kSnapshot && !update->complete) return false;
    if (!AdoptReplacement(*update)) return true;
  }
  if (MayPredateAdoptedList(stream, *update)) {
    OpenWatch();
    return true;
  }
  if (update->complete) EndConfirmation();
  backoff_.Reset();
  if (std::exchange(outage_logged_, false)) log::Global().Info(log::events::kDiscoveryRecovered);
  // An incremental update older than the list that it would change must not undo it.
  if (!update->complete && update->revision < options_.revision) return true;
  Apply(*update);
  return true;
}

bool DiscoveryClient::OnConfirmation(const EndpointList& update) {
  if (!update.complete) return false;
  if (watch_) {
    EndConfirmation();
  } else {
    AdoptConfirmation();
  }
  if (update.revision < options_.revision) {
    RetryConfirmation();  // the watch has delivered a later change meanwhile
  } else {
    Apply(update);
  }
  return true;
}

// The watch has ended meanwhile. Whoever was to reopen it takes the snapshot for the end of the failure, so
// that the confirmation has to continue as the watch.
void DiscoveryClient::AdoptConfirmation() {
  backoff_timer_.cancel();
  watch_ = std::move(confirmation_);
  state_ = State::kWatching;
}

void DiscoveryClient::Apply(const EndpointList& update) {
  options_.revision = update.revision;
  on_update_(update);
}

void DiscoveryClient::OnFramingError() { LogMalformed("no list"); }

void DiscoveryClient::OnStreamEnded(EndpointStream& stream, const StreamFailure& failure) {
  const std::string reason = failure.Describe();
  log::Global().Debug(log::events::kDiscoveryFailed, {{"reason", reason}});
  if (&stream == confirmation_.get()) {
    confirmation_.reset();
    return RetryConfirmation();
  }
  // While migrating, the old watch is not needed: only the replacement is retried.
  if (migrating() && &stream == watch_.get()) return watch_.reset();
  if (!std::exchange(outage_logged_, true))
    log::Global().Warn(log::events::kDiscoveryUnavailable, {{"reason", reason}});
  if (migrating()) {
    replacement_.reset();
    if (IsClientError(failure)) replacement_request_ = EndpointStream::Request::kSnapshot;
    return Enter(State::kMigrationBackoff);
  }
  watch_.reset();
  if (options_.reconnect == Reconnect::kAutomatic || reload_bounds_time()) return Enter(State::kBackoff);
  Enter(State::kIdle);
  on_failure_();
}

}  // namespace copperpoint::proxy
