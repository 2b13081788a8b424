// SPDX-License-Identifier: Apache-2.0
#include "proxy/serve.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <utility>

#include "config/read.h"
#include "log/event_names.h"
#include "proxy/config/operator_settings.h"
#include "proxy/proxy.h"

namespace copperpoint::proxy {
namespace {

// Runs the event loop until it is stopped. An exception ends the handler that threw it, not the process.
void RunEventLoop(boost::asio::io_context& io) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      log::Global().Error(log::events::kHandlerFailed, {{"error", error.what()}});
    }
  }
}

void LogRejectedConfig(const std::string& fault) {
  log::Global().Error(log::events::kConfigurationRejected,
                      {{"fault", fault}, {"in_force", "the one before"}});
}

void Reload(const ServeOptions& options, const Environment& env, Proxy& proxy) {
  try {
    log::Settings log;
    proxy.Reload(Configure(options, ReloadConfig(env), &log));
    log::Global().Set(log);
    log::Global().Info(log::events::kConfigurationReloaded);
  } catch (const config::InvalidFile& error) {
    for (const config::Diagnostic& fault : error.diagnostics())
      LogRejectedConfig(config::Describe(options.operators_file, fault));
  } catch (const ConfigError& error) {
    LogRejectedConfig(error.what());
  }
}

void ReloadAtSignal(boost::asio::signal_set& signals, const ServeOptions& options, const Environment& env,
                    Proxy& proxy) {
  signals.async_wait([&](const boost::system::error_code& failed, int) {
    if (failed) return;
    ReloadAtSignal(signals, options, env, proxy);
    Reload(options, env, proxy);
  });
}

}  // namespace

Config Configure(const ServeOptions& options, Config platform, log::Settings* log) {
  OperatorSettings operator_settings;
  if (!options.operators_file.empty()) {
    operator_settings = config::LoadFile<OperatorSettings>(options.operators_file);
    if (operator_settings.fleet.on())
      platform.operator_settings_version =
          log::Hex(StableHash(config::ReadFileContents(options.operators_file)));
  }
  *log = operator_settings.log;
  log->level = options.log_level.value_or(log->level);
  log->format = options.log_format.value_or(log->format);
  platform.timeouts = operator_settings.timeouts;
  platform.shares = operator_settings.shares;
  platform.upgrade = operator_settings.upgrade;
  platform.fleet = operator_settings.fleet;
  return platform;
}

void Serve(const ServeOptions& options, const Environment& env) {
  boost::asio::io_context io(1);
  // Set up before the proxy listens, so that a signal never kills a proxy that is ready.
  boost::asio::signal_set stop_signals(io, SIGTERM, SIGINT), reload_signals(io, SIGHUP);
  log::Settings log;
  Config config = Configure(options, LoadConfig(env), &log);
  log::Global().Set(log);
  Proxy proxy(io, std::move(config));
  stop_signals.async_wait([&](const boost::system::error_code& failed, int) {
    if (!failed) proxy.Stop([&] { io.stop(); });
  });
  ReloadAtSignal(reload_signals, options, env, proxy);
  RunEventLoop(io);
}

}  // namespace copperpoint::proxy
