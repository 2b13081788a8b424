// SPDX-License-Identifier: Apache-2.0
//
// A minimal use of the library: one request class, two backends, one request and its answer.
#include <cstdio>
#include <variant>
#include <vector>

#include "copperpoint/balancer.h"

int main() {
  using namespace copperpoint;
  using std::chrono::milliseconds;

  Settings settings;
  ClassSettings read_class;
  read_class.idempotency = Idempotency::kIdempotent;
  read_class.latency_objective = milliseconds(100);
  read_class.deadline = milliseconds(400);
  settings.classes = {read_class};
  settings.max_attempts = 3;
  Balancer balancer(settings, /*seed=*/42);

  // The caller owns the clock and the network. It passes events to the Balancer and executes the actions.
  TimePoint now{milliseconds(1000)};
  std::vector<Action> actions;
  EndpointUpdate list{EndpointUpdateKind::kSnapshot, {}};
  for (BackendId id : {7u, 9u}) {
    Endpoint endpoint;
    endpoint.backend = id;
    list.endpoints.push_back(endpoint);
  }
  balancer.Handle(now, list, &actions);

  actions.clear();
  RequestReceived received;
  received.request = 1;
  received.deadline = now + milliseconds(400);
  balancer.Handle(now, received, &actions);

  for (const Action& action : actions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      std::printf("request %llu goes to backend %u\n", static_cast<unsigned long long>(start->request),
                  start->backend);
      AttemptCompleted completed;
      completed.request = start->request;
      completed.backend = start->backend;
      completed.outcome = AttemptOutcome::kSuccess;
      completed.request_completed = true;
      completed.duration = milliseconds(12);
      std::vector<Action> further_actions;
      balancer.Handle(now + completed.duration, completed, &further_actions);
      return 0;
    }
  }
  return 1;
}
