// SPDX-License-Identifier: Apache-2.0
//
// A fake discovery service, whose watches deliver the events that the test pushes, and the JSON of its
// endpoint lists.
#ifndef COPPERPOINT_TESTS_SUPPORT_DISCOVERY_H_
#define COPPERPOINT_TESTS_SUPPORT_DISCOVERY_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "support/backend.h"
#include "support/sockets.h"

namespace copperpoint::testing {

inline nlohmann::json MemberJson(const std::string& id, const Tcp::endpoint& address,
                                 const std::string& phase = "in_service", double up_since = 0) {
  return {{"id", id},        {"host_port", "127.0.0.1:" + std::to_string(address.port())},
          {"locality", "a"}, {"flavor", "m"},
          {"cell", 0},       {"phase", phase},
          {"size", 1.0},     {"up_since_ms", up_since}};
}
template <typename... Json>
std::vector<nlohmann::json> Members(Json... members) {
  std::vector<nlohmann::json> all;
  (all.push_back(std::move(members)), ...);
  return all;
}
inline nlohmann::json ListJson(int revision, bool complete, std::vector<nlohmann::json> members) {
  return {{"revision", revision}, {"complete", complete}, {"members", std::move(members)}};
}

// Serves watches and the full endpoint list over HTTP. The test pushes the watch events.
class FakeDiscovery {
 public:
  struct Activity {
    std::vector<std::string> watches;  // request targets of the watches
    int list_requests = 0;             // requests for the full list
  };
  FakeDiscovery() : listener_([this](Tcp::socket& s) { Serve(s); }) {}
  ~FakeDiscovery() {
    script_.Update([](auto& s) { s.stopped = true; });
    listener_.Stop();
  }

  Tcp::endpoint address() const { return listener_.address; }
  void Push(const std::string& line) {
    script_.Update([&](Script& s) { s.lines.push_back(line + "\n"); });
  }
  void Push(const nlohmann::json& list) { Push(list.dump()); }
  // Sets the full list. Requests for the list that arrive before the first call wait for it.
  void SetFullList(const nlohmann::json& list) {
    script_.Update([&](Script& s) { s.full_list = list.dump(); });
  }
  void EndWatch() {
    script_.Update([](Script& s) { s.lines.emplace_back(); });
  }
  bool WaitForWatches(std::size_t n) {
    return activity.WaitFor([n](const Activity& s) { return s.watches.size() >= n; });
  }

  WaitableValue<Activity> activity;

 private:
  struct Script {
    std::vector<std::string> lines;  // watch events, one a line; an empty line ends the watch
    std::size_t sent = 0, watches = 0;
    bool stopped = false;
    std::string full_list;  // as JSON
  };
  void Serve(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    HttpRequest request;
    for (;;) {
      error_code failed;
      request = {};
      http::read(socket, buffer, request, failed);
      if (failed) return;
      if (request.target() != "/v1/endpoints") break;
      activity.Update([](Activity& s) { ++s.list_requests; });
      std::string full_list;
      script_.WaitFor([&](Script& s) {
        full_list = s.full_list;
        return s.stopped || !full_list.empty();
      });
      SendRaw(socket, OkResponse(full_list));
    }
    SendRaw(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::size_t watch = 0;
    script_.Update([&](Script& s) { watch = ++s.watches; });
    activity.Update([&](Activity& s) { s.watches.emplace_back(request.target()); });
    for (;;) {
      // Only the latest watch sends events: an earlier one may not have detected yet that its client has
      // closed.
      std::string line;
      const bool in_time = script_.WaitFor([&](Script& s) {
        if (s.stopped || s.watches != watch) return true;
        if (s.sent == s.lines.size()) return false;
        line = s.lines[s.sent++];
        return true;
      });
      if (!in_time || line.empty()) return;
      char size[24];
      std::snprintf(size, sizeof size, "%zx", line.size());
      SendRaw(socket, size + std::string("\r\n") + line + "\r\n");
    }
  }

  WaitableValue<Script> script_;
  Listener listener_;
};

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_DISCOVERY_H_
