// SPDX-License-Identifier: Apache-2.0
//
// A scripted discovery on real sockets, and a client of it on its own thread.
#ifndef COPPERPOINT_TESTS_SUPPORT_SCRIPTED_DISCOVERY_H_
#define COPPERPOINT_TESTS_SUPPORT_SCRIPTED_DISCOVERY_H_

#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "proxy/discovery/discovery_client.h"
#include "support/scripted.h"

namespace copperpoint::testing {

inline std::string List(int revision, std::vector<nlohmann::json> members = {}, bool complete = true,
                        int indent = -1) {
  return ListJson(revision, complete, std::move(members)).dump(indent);
}

inline std::string Chunk(const std::string& text) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return std::string(size).append(text).append("\r\n");
}

// A discovery that runs one script per connection, in turn; after the last it holds its connections open.
class ScriptedDiscovery {
 public:
  using Script = std::function<void(Tcp::socket&)>;
  explicit ScriptedDiscovery(std::vector<Script> scripts)
      : scripts_(std::move(scripts)), listener_([this](Tcp::socket& s) { Serve(s); }) {}
  ~ScriptedDiscovery() {
    finished.Update([](bool& o) { o = true; });
    listener_.Stop();
  }
  Tcp::endpoint address() const { return listener_.address; }
  bool WaitForCalls(std::size_t n) {
    return calls.WaitFor([n](const auto& c) { return c.size() >= n; });
  }
  static void Open(Tcp::socket& s) { SendRaw(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); }

  WaitableValue<std::vector<std::string>> calls;  // request targets
  WaitableValue<bool> finished;

 private:
  void Serve(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    HttpRequest request;
    error_code failed;
    http::read(socket, buffer, request, failed);
    if (failed) return;
    std::size_t n = 0;
    calls.Update([&](auto& c) { c.emplace_back(request.target()), n = c.size(); });
    if (n <= scripts_.size()) return scripts_[n - 1](socket);
    Open(socket);
    finished.WaitFor([](bool o) { return o; });
  }

  std::vector<Script> scripts_;
  Listener listener_;
};

// Opens the watch with `message` and ends it once the client closes it.
inline ScriptedDiscovery::Script WatchWith(std::string message) {
  return [message = std::move(message)](Tcp::socket& socket) {
    ScriptedDiscovery::Open(socket);
    SendRaw(socket, Chunk(message + "\n"));
    ReadToEnd(socket);
  };
}

// A client on its own thread, in the place of the proxy: collects its lists and failures.
struct WatchingClient {
  explicit WatchingClient(const Tcp::endpoint& address) { options.address = address; }
  ~WatchingClient() {
    asio::post(io, [this] { discovery.reset(), io.stop(); });
    if (loop.joinable()) loop.join();
  }
  void Start() {
    discovery = std::make_unique<proxy::DiscoveryClient>(
        io, options,
        [this](const proxy::EndpointList& list) { lists.Update([&](auto& l) { l.push_back(list); }); },
        [this] {
          failures.Update([](int& n) { ++n; });
          if (watches_after_failure) discovery->Watch();  // as the decision module does, at once
        });
    discovery->Watch();
    loop = std::thread([this] { io.run(); });
  }
  bool WaitForLists(std::size_t n) {
    return lists.WaitFor([n](const auto& l) { return l.size() >= n; });
  }

  bool watches_after_failure = true;
  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
  proxy::DiscoveryClient::Options options;
  WaitableValue<std::vector<proxy::EndpointList>> lists;
  WaitableValue<int> failures;
  std::unique_ptr<proxy::DiscoveryClient> discovery;
  std::thread loop;
};

inline const auto kMember = [](const char* id, const char* phase = "in_service") {
  return MemberJson(id, Tcp::endpoint(kAnyPort.address(), 80), phase);
};

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_SCRIPTED_DISCOVERY_H_
