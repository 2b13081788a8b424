// SPDX-License-Identifier: Apache-2.0
//
// Includes what a test of the proxy on loopback sockets needs: backends, clients and a discovery service.
#ifndef COPPERPOINT_TESTS_SUPPORT_LOOPBACK_H_
#define COPPERPOINT_TESTS_SUPPORT_LOOPBACK_H_

#include "support/backend.h"
#include "support/client.h"
#include "support/discovery.h"
#include "support/running_proxy.h"
#include "support/sockets.h"

#endif  // COPPERPOINT_TESTS_SUPPORT_LOOPBACK_H_
