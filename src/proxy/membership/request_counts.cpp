// SPDX-License-Identifier: Apache-2.0
#include "proxy/membership/request_counts.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <vector>

#include "rollout/latency_histogram.h"

namespace copperpoint::proxy {
namespace {

constexpr std::size_t kMaxReportBytes = 820;  // for the strata: a message of the membership has 900 bytes
constexpr std::size_t kStratumOverhead = 3;   // bytes that each stratum adds to its own in the report
constexpr std::size_t kMaxStrata = 4096;      // further strata are not counted
constexpr std::uint32_t kAllTenants = 0;      // in place of a tenant: all requests of a class

std::uint64_t ProcessorTimeUs() {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& time) {
    return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000 + static_cast<std::uint64_t>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

std::uint32_t ResidentMemoryKb() {
  std::uint64_t total_pages = 0, resident_pages = 0;
  std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
  return static_cast<std::uint32_t>(resident_pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) /
                                    1024);
}

// A 4xx of a backend is its response to the request, which is thereby served.
bool IsServed(RequestOutcome outcome) {
  return outcome == RequestOutcome::kServed || outcome == RequestOutcome::kClientError;
}

void Count(const RequestCounts::Sample& sample, rollout::wire::Stratum* stratum) {
  stratum->set_requests(stratum->requests() + 1);
  stratum->set_missed(stratum->missed() + !(IsServed(sample.outcome) && sample.before_deadline));
  stratum->set_rejected(stratum->rejected() + (sample.outcome == RequestOutcome::kRejected));
  stratum->set_failed(stratum->failed() + (sample.outcome == RequestOutcome::kFailed));
  stratum->set_attempts(stratum->attempts() + static_cast<std::uint64_t>(std::max(0, sample.attempts)));
}

void CountDuration(double duration_ms, rollout::wire::Stratum* stratum) {
  while (stratum->latency_buckets_size() < static_cast<int>(rollout::kLatencyBuckets))
    stratum->add_latency_buckets(0);
  const int bucket = static_cast<int>(rollout::LatencyBucketOf(duration_ms));
  stratum->set_latency_buckets(bucket, stratum->latency_buckets(bucket) + 1);
}

}  // namespace

const char* NameOf(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kServed:
      return "served";
    case RequestOutcome::kClientError:
      return "client_error";
    case RequestOutcome::kRejected:
      return "rejected";
    case RequestOutcome::kFailed:
      return "failed";
    case RequestOutcome::kClientDisconnected:
      return "client_disconnected";
  }
  return "unknown";
}

rollout::wire::Stratum* RequestCounts::FindOrAdd(std::uint32_t tenant, std::uint32_t request_class) {
  const auto found = strata_.find({tenant, request_class});
  if (found != strata_.end()) return &found->second;
  if (strata_.size() >= kMaxStrata) return nullptr;
  rollout::wire::Stratum& added = strata_[{tenant, request_class}];
  added.set_request_class(request_class);
  added.set_tenant(tenant);
  return &added;
}

void RequestCounts::Record(const Sample& sample) {
  if (sample.outcome == RequestOutcome::kClientDisconnected) return;
  ++recorded_;
  const auto request_class = static_cast<std::uint32_t>(std::max(0, sample.request_class));
  if (rollout::wire::Stratum* stratum = FindOrAdd(kAllTenants, request_class)) {
    Count(sample, stratum);
    if (IsServed(sample.outcome)) CountDuration(sample.duration_ms, stratum);
  }
  if (sample.tenant == kAllTenants) return;
  if (rollout::wire::Stratum* stratum = FindOrAdd(sample.tenant, request_class)) Count(sample, stratum);
}

rollout::wire::MemberReport RequestCounts::Report() const {
  rollout::wire::MemberReport report;
  report.set_cpu_us(ProcessorTimeUs());
  report.set_memory_kb(ResidentMemoryKb());
  std::vector<const rollout::wire::Stratum*> ordered;
  for (const auto& [key, stratum] : strata_) ordered.push_back(&stratum);
  std::stable_sort(ordered.begin(), ordered.end(), [](const auto* a, const auto* b) {
    const bool a_is_class = a->tenant() == kAllTenants, b_is_class = b->tenant() == kAllTenants;
    if (a_is_class != b_is_class) return a_is_class;
    return a->requests() > b->requests();
  });
  std::size_t bytes = 0;
  for (const rollout::wire::Stratum* stratum : ordered) {
    bytes += stratum->ByteSizeLong() + kStratumOverhead;
    if (bytes > kMaxReportBytes) break;
    *report.add_strata() = *stratum;
  }
  return report;
}

}  // namespace copperpoint::proxy
