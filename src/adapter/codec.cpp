// SPDX-License-Identifier: Apache-2.0
#include "adapter/codec.h"

#include <bit>
#include <cstring>
#include <istream>
#include <type_traits>
#include <utility>

#include "adapter/wire_names.h"

namespace copperpoint::adapter {
namespace {

static_assert(std::endian::native == std::endian::little,
              "the simulator's protocol is little-endian and its fields are copied without conversion");

using wire::ActionCode;
using wire::EventCode;

// Reads fields from the front of a byte string that it doesn't own.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}

  template <typename T>
  T Get() {
    static_assert(std::is_arithmetic_v<T>);
    T value;
    std::memcpy(&value, Bytes(sizeof value).data(), sizeof value);
    return value;
  }
  std::string_view Bytes(std::size_t n) {
    if (n > rest_.size())
      throw MalformedInput("a field of " + std::to_string(n) + " bytes exceeds the " +
                           std::to_string(rest_.size()) + " bytes left in its record");
    const std::string_view bytes = rest_.substr(0, n);
    rest_.remove_prefix(n);
    return bytes;
  }
  std::size_t remaining() const { return rest_.size(); }

 private:
  std::string_view rest_;
};

TimePoint TimeAt(double ms) { return TimePoint(Duration(ms)); }

AttemptOutcome OutcomeOf(std::uint16_t status) {
  switch (status) {
    case wire::kStatusSuccess:
      return AttemptOutcome::kSuccess;
    case wire::kStatusServerError:
      return AttemptOutcome::kServerError;
    case wire::kStatusBackendRejected:
      return AttemptOutcome::kBackendRejected;
    case wire::kStatusTimeout:
      return AttemptOutcome::kTimeout;
    case wire::kStatusConnectFailure:
      return AttemptOutcome::kConnectFailure;
    case wire::kStatusConnectionReset:
      return AttemptOutcome::kConnectionReset;
    case wire::kStatusCancelled:
      return AttemptOutcome::kCancelled;
    case wire::kStatusNotSent:
      return AttemptOutcome::kNotSent;
    default:
      return AttemptOutcome::kUnknown;
  }
}

EndpointUpdate ReadEndpointUpdate(Reader& in) {
  EndpointUpdate update;
  const auto kind = in.Get<std::uint8_t>();
  if (kind > wire::kMaxUpdateKind)
    throw MalformedInput("endpoint list of unknown kind " + std::to_string(kind) + "; expected 0 to " +
                         std::to_string(wire::kMaxUpdateKind));
  update.kind = static_cast<EndpointUpdateKind>(kind);
  in.Get<std::uint32_t>();  // the version isn't needed, since lists arrive in order and without gaps
  const auto count = in.Get<std::uint32_t>();
  if (count > in.remaining() / wire::kEndpointBytes)
    throw MalformedInput("endpoint list of " + std::to_string(count) + " endpoints exceeds the " +
                         std::to_string(in.remaining()) + " bytes left in its record");
  Reader fields(in.Bytes(std::size_t{count} * wire::kEndpointBytes));
  for (std::uint32_t i = 0; i < count; ++i) {
    Endpoint endpoint;
    endpoint.backend = fields.Get<std::uint32_t>();
    endpoint.zone = fields.Get<std::uint16_t>();
    endpoint.kind = fields.Get<std::uint16_t>();
    endpoint.cell = fields.Get<std::uint16_t>();
    const auto state = fields.Get<std::uint8_t>();
    if (state > wire::kMaxEndpointState)
      throw MalformedInput("endpoint of unknown state " + std::to_string(state) + "; expected 0 to " +
                           std::to_string(wire::kMaxEndpointState));
    endpoint.state = static_cast<EndpointState>(state);
    endpoint.weight = fields.Get<float>();
    endpoint.up_since = TimeAt(fields.Get<double>());
    update.endpoints.push_back(endpoint);
  }
  return update;
}

RequestReceived ReadRequestReceived(Reader& in) {
  RequestReceived request;
  request.request = in.Get<std::uint64_t>();
  request.deadline = TimeAt(in.Get<double>());
  request.tenant = in.Get<std::uint16_t>();
  const auto flags = in.Get<std::uint16_t>();
  request.has_work_estimate = (flags & wire::kFlagWorkEstimate) != 0;
  request.client_retry = (flags & wire::kFlagClientRetry) != 0;
  request.key = in.Get<std::uint64_t>();
  request.request_class = in.Get<std::uint16_t>();
  request.estimated_work_ms = in.Get<double>();
  return request;
}

AttemptCompleted ReadAttemptCompleted(Reader& in) {
  AttemptCompleted completed;
  completed.request = in.Get<std::uint64_t>();
  completed.request_completed = in.Get<std::uint8_t>() != 0;
  completed.backend = in.Get<std::uint32_t>();
  completed.attempt = in.Get<std::uint8_t>();
  completed.outcome = OutcomeOf(in.Get<std::uint16_t>());
  completed.duration = Duration(in.Get<double>());
  in.Bytes(sizeof(float) * in.Get<std::uint8_t>());  // the load report of the backend is not used
  return completed;
}

Message ReadMessage(std::uint8_t code, Reader& in) {
  switch (static_cast<EventCode>(code)) {
    case EventCode::kCreateInstance: {
      CreateInstance create;
      create.seed = in.Get<std::uint64_t>();
      create.config = in.Bytes(in.Get<std::uint32_t>());
      return create;
    }
    case EventCode::kEndpointUpdate:
      return Event(ReadEndpointUpdate(in));
    case EventCode::kRequestReceived:
      return Event(ReadRequestReceived(in));
    case EventCode::kResponseStarted: {
      ResponseStarted started;
      started.request = in.Get<std::uint64_t>();
      started.attempt = in.Get<std::uint8_t>();
      return Event(started);
    }
    case EventCode::kAttemptCompleted:
      return Event(ReadAttemptCompleted(in));
    case EventCode::kClientDisconnected:
      return Event(ClientDisconnected{in.Get<std::uint64_t>()});
    case EventCode::kTimerFired:
      return Event(TimerFired{in.Get<std::uint64_t>()});
    case EventCode::kCrash:
      return CrashInstance{};
    case EventCode::kHealthCheckCompleted:
    case EventCode::kPeerMessage:
      return IgnoredEvent{code, true};  // the adapter sends no health checks and no peer messages
    default:
      return IgnoredEvent{code, false};
  }
}

template <typename T>
void Put(std::string& out, T value) {
  static_assert(std::is_arithmetic_v<T>);
  char bytes[sizeof value];
  std::memcpy(bytes, &value, sizeof value);
  out.append(bytes, sizeof value);
}

void PutText(std::string& out, std::string_view text) {
  text = text.substr(0, 0xffff);
  Put(out, static_cast<std::uint16_t>(text.size()));
  out.append(text);
}

// Appends the fields that follow the instance in an action's record, and returns the action's code.
struct Encoder {
  std::string& out;

  // The simulator sends within the batch, so that send_by has no field.
  ActionCode operator()(const StartAttempt& a) const {
    Put(out, a.request);
    Put(out, a.timeout.count());
    Put(out, a.backend);
    return ActionCode::kStartAttempt;
  }
  ActionCode operator()(const RejectRequest& a) const {
    Put(out, a.request);
    Put(out, a.retry_after.count());
    return ActionCode::kRejectRequest;
  }
  ActionCode operator()(const FailRequest& a) const {
    Put(out, a.request);
    return ActionCode::kFailRequest;
  }
  ActionCode operator()(const SetTimer& a) const {
    Put(out, a.at.time_since_epoch().count());
    Put(out, a.token);
    return ActionCode::kSetTimer;
  }
  ActionCode operator()(const PollEndpoints&) const {
    Put(out, std::uint8_t{1});
    return ActionCode::kPollEndpoints;
  }
  ActionCode operator()(const CloseIdleConnections& a) const {
    Put(out, a.backend);
    return ActionCode::kCloseIdleConnections;
  }
  ActionCode operator()(const Log& a) const {
    PutText(out, a.text);
    return ActionCode::kLog;
  }
};

void PutRecord(std::string& body, ActionCode code, std::uint32_t instance, std::string_view fields) {
  Put(body, static_cast<std::uint8_t>(code));
  Put(body, static_cast<std::uint32_t>(sizeof instance + fields.size()));
  Put(body, instance);
  body.append(fields);
}

}  // namespace

Batch DecodeBatch(TimePoint now, std::uint32_t count, std::string_view body) {
  Batch batch;
  batch.now = now;
  Reader in(body);
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto code = in.Get<std::uint8_t>();
    Reader fields(in.Bytes(in.Get<std::uint32_t>()));
    Record record;
    const bool known = code >= wire::kFirstEventCode && code <= wire::kLastEventCode;
    // The fields of an unknown code can't be read. A known code may have further fields at the end.
    if (known) record.instance = fields.Get<std::uint32_t>();
    record.message = ReadMessage(code, fields);
    batch.records.push_back(std::move(record));
  }
  if (in.remaining() != 0)
    throw MalformedInput(std::to_string(in.remaining()) + " bytes follow the " + std::to_string(count) +
                         " records of a frame");
  return batch;
}

std::optional<Batch> ReadBatch(std::istream& in) {
  char header[16];
  in.read(header, sizeof header);
  if (in.gcount() == 0) return std::nullopt;
  if (in.gcount() != sizeof header)
    throw MalformedInput("input ends after " + std::to_string(in.gcount()) + " of the " +
                         std::to_string(sizeof header) + " bytes of a frame header");
  Reader fields(std::string_view(header, sizeof header));
  const TimePoint now = TimeAt(fields.Get<double>());
  const auto length = fields.Get<std::uint32_t>();
  const auto count = fields.Get<std::uint32_t>();
  // The length includes the count. The body is read in pieces, so that a wrong length doesn't allocate
  // gigabytes.
  if (length < sizeof count)
    throw MalformedInput("frame length of " + std::to_string(length) + " bytes; expected at least " +
                         std::to_string(sizeof count));
  std::string body;
  for (std::size_t left = length - sizeof count; left > 0;) {
    char piece[65536];
    const std::size_t want = left < sizeof piece ? left : sizeof piece;
    in.read(piece, static_cast<std::streamsize>(want));
    if (static_cast<std::size_t>(in.gcount()) != want)
      throw MalformedInput("input ends inside a frame of " + std::to_string(length) + " bytes");
    body.append(piece, want);
    left -= want;
  }
  return DecodeBatch(now, count, body);
}

void ReplyWriter::Add(std::uint32_t instance, const Action& action) {
  std::string fields;
  const ActionCode code = std::visit(Encoder{fields}, action);
  PutRecord(body_, code, instance, fields);
}

void ReplyWriter::AddInternalError(std::uint32_t instance, std::string_view text) {
  std::string fields;
  PutText(fields, text);
  PutRecord(body_, ActionCode::kInternalError, instance, fields);
}

std::string ReplyWriter::Take() {
  std::string frame;
  Put(frame, static_cast<std::uint32_t>(body_.size()));
  frame += body_;
  body_.clear();
  return frame;
}

}  // namespace copperpoint::adapter
