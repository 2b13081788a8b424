// SPDX-License-Identifier: Apache-2.0
#include "proxy/membership/settings.h"

#include "peers/transport.h"

namespace copperpoint::proxy {

void FleetSettings::Describe(config::FieldVisitor& v) {
  v.Text("cluster", cluster, {}, {.text = "name of the fleet; empty: this proxy is no member of one"});
  v.Text("listen", listen, {}, {.text = "`ADDRESS:PORT`, UDP and TCP, for other proxies"});
  v.Text("advertise", advertise, {}, {.text = "the same as others reach it; empty: `listen`"});
  v.TextList("seeds", seeds, {.text = "addresses of members to join by; one that answers is enough"});
  v.Text("seeds_file", seeds_file, {}, {.text = "more of them, a line each"});
  v.Text("key_file", key_file, {}, {.text = "the secret that members share, 16 to 64 bytes, mode 0600"});
  v.Boolean(
      "subsets", subsets,
      {.text =
           "proxies of a zone divide the backends evenly by the membership; off: each by its own number"});
  boost::asio::ip::udp::endpoint parsed;
  v.Require("listen", !on() || peers::ParseAddress(listen, &parsed),
            "must be ADDRESS:PORT, but is '" + listen + "'");
  v.Require("advertise", advertise.empty() || peers::ParseAddress(advertise, &parsed),
            "must be ADDRESS:PORT, but is '" + advertise + "'");
  v.Require("key_file", !on() || !key_file.empty(), "is missing");
  for (const std::string& seed : seeds)
    v.Require("seeds", peers::ParseAddress(seed, &parsed), "must be ADDRESS:PORT, but is '" + seed + "'");
}

}  // namespace copperpoint::proxy
