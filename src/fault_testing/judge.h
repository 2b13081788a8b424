// SPDX-License-Identifier: Apache-2.0
//
// Judges a run by what was done to the members and what they were seen to say and do. It knows no protocol,
// and serves processes and virtual time alike.
#ifndef COPPERPOINT_FAULT_TESTING_JUDGE_H_
#define COPPERPOINT_FAULT_TESTING_JUDGE_H_

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fault_testing/plan.h"

namespace copperpoint::fault_testing {

// Seconds since the start of the run.
class Judge {
 public:
  Judge(const Plan& plan, std::uint64_t seed, double silence_s);

  // ---- what was done ----
  void Started(double at, int member);
  void Ended(double at, int member, bool with_a_word);
  void Stopped(double at, int member);
  void Continued(double at, int member);
  // A fault that waited for something, begun only now.
  void Begun(double at, const Fault& fault);
  // What a fault waited for never came: the run has not shown what it is for.
  void Unmet(const std::string& when) { unmet_.push_back(when); }

  // ---- what was seen ----
  void SaidDead(double at, int observer, int subject);
  // Whether all living members have one view, the true one. Only changes need be told.
  void Agreed(double at, bool agreed);
  void Bytes(double per_s_out, double per_s_in);  // of the busiest member, from its property's time on
  void Refusals(std::uint64_t datagrams) { refusals_ += datagrams; }
  void Served(std::uint64_t served, std::uint64_t asked);
  void Runs(std::vector<std::uint64_t> by_backend) { runs_ = std::move(by_backend); }  // traffic_share
  // Of each member at the end, empty if it is down; and which each ever began.
  void Versions(std::vector<std::string> at_end, std::vector<std::set<std::string>> ever) {
    versions_ = std::move(at_end);
    ever_ = std::move(ever);
  }
  void Holders(std::vector<int> by_backend) { holders_ = std::move(by_backend); }
  void Broke(const std::string& rule) { broken_.push_back(rule); }  // one of the rules of service

  // When each that learnt of it knew of the first end without a word, in seconds after it.
  std::vector<double> Spread() const;

  struct Verdict {
    bool holds = true;
    nlohmann::ordered_json json;
    std::vector<std::string> story;  // a line each, of what did not hold
  };
  // `with_service`: properties of requests are judged too.
  Verdict Close(double at, bool with_service);

 private:
  struct Life {
    double from = 0, to = -1;  // to < 0: it goes on
    bool with_a_word = false;
  };
  struct Removal {
    double at = 0;
    int observer = 0, subject = 0;
  };
  struct Death {
    double at = 0;
    int subject = 0;
    std::map<int, double> known;  // by observer
  };
  bool LivedThrough(int member, double from, double to) const;
  bool CutOff(int a, int b, double at) const;
  nlohmann::ordered_json Known(double end, double* worst, std::vector<std::string>* story) const;

  void AddCut(const Fault& fault, double from);

  const Plan& plan_;
  const std::uint64_t seed_;
  const double silence_;
  std::vector<std::vector<Life>> lives_;
  std::vector<std::vector<Life>> stops_;
  std::vector<Removal> removals_;  // of the living
  std::vector<Death> deaths_;
  std::vector<std::pair<double, bool>> agreement_;
  double bytes_out_ = 0, bytes_in_ = 0;
  std::uint64_t served_ = 0, asked_ = 0, refusals_ = 0;
  std::vector<int> holders_;         // proxies, by backend
  std::vector<std::uint64_t> runs_;  // in the time of traffic_share, by backend
  double last_fault_over_;
  std::vector<std::string> versions_;
  std::vector<std::set<std::string>> ever_;
  std::vector<std::string> broken_, unmet_;
  struct Cut {
    double from = 0, to = 0;
    std::vector<bool> who, whom;
  };
  std::vector<Cut> cuts_;
};

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_JUDGE_H_
