// SPDX-License-Identifier: Apache-2.0
//
// A libFuzzer target; docs/membership.md has the command and the duration of the runs. Whatever bytes arrive
// as a datagram or a frame, with a valid digest or without one, a member must not crash or lose its name.
// Without a valid digest its table must not change.
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>

#include "membership/membership.h"

namespace {

using copperpoint::membership::Membership;
using copperpoint::membership::Record;
using copperpoint::membership::Time;
using copperpoint::peers::FrameCodec;

constexpr char kKey[] = "sixteen bytes or more";

std::unique_ptr<Membership> Member(const std::string& name) {
  Record self;
  self.set_name(name);
  self.set_address(name);
  return std::make_unique<Membership>(copperpoint::membership::Options(), FrameCodec("c", kKey), self, 7,
                                      Time(1'000'000));
}

void Require(bool holds) {
  if (!holds) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 2) return 0;
  const int entry_point = data[0] % 4;
  const auto later = Time(1'000'000 + 10'000 * data[1]);
  std::string bytes(reinterpret_cast<const char*>(data) + 2, size - 2);
  const auto a = Member("a"), b = Member("b");
  a->Join(Time(1'000'000), {"b"});
  for (const auto& exchange : a->Take().exchanges) {
    const std::string answer = b->OnExchange(Time(1'000'100), exchange.bytes);
    a->OnReply(Time(1'000'200), answer);
  }
  a->Take();
  const auto before = a->members().hash();
  if (entry_point == 0) {
    a->OnDatagram(later, "x", bytes);
    Require(a->members().hash() == before);  // the bytes have no digest made with the key
  } else if (entry_point == 1) {
    a->OnDatagram(later, "x", FrameCodec("c", kKey).Encode(std::string_view(bytes)));
  } else if (entry_point == 2) {
    a->OnExchange(later, FrameCodec("c", kKey).Encode(std::string_view(bytes)));
  } else {
    a->OnReply(later, FrameCodec("c", kKey).Encode(std::string_view(bytes)));
  }
  a->Take();
  for (int i = 1; i < 20; ++i) {
    a->OnTick(later + Time(100'000) * i);
    for (const auto& datagram : a->Take().datagrams)
      Require(datagram.bytes.size() <= copperpoint::peers::kMaxDatagramBytes);
  }
  Require(a->self().name() == "a");
  return 0;
}
