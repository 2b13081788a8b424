// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/child.h"

#include <linux/close_range.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/process.hpp>
#include <boost/process/extend.hpp>
#include <istream>
#include <utility>

namespace copperpoint::fault_testing {

namespace bp = boost::process;

class Child::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, OnLine on_line, OnEnd on_end)
      : pipe(io), on_line(std::move(on_line)), on_end(std::move(on_end)) {}

  void Read() {
    boost::asio::async_read_until(
        pipe, buffer, '\n',
        [self = shared_from_this()](const boost::system::error_code& failed, std::size_t) {
          if (failed) return self->OnStderrClosed();
          std::istream in(&self->buffer);
          std::string line;
          std::getline(in, line);
          if (self->on_line) self->on_line(line);
          self->Read();
        });
  }

  // The child closed its standard error: it has ended or is about to.
  void OnStderrClosed() {
    if (std::exchange(has_ended, true)) return;
    std::error_code ignored;
    child.wait(ignored);
    const int status = child.native_exit_code();
    if (on_end) on_end(WIFSIGNALED(status) ? 1000 + WTERMSIG(status) : WEXITSTATUS(status));
  }

  bp::async_pipe pipe;
  boost::asio::streambuf buffer{1 << 20};
  bp::child child;
  OnLine on_line;
  OnEnd on_end;
  bool has_ended = false;
};

Child::Child(boost::asio::io_context& io, const std::string& program,
             const std::vector<std::string>& arguments,
             const std::map<std::string, std::string>& extra_environment, OnLine on_line, OnEnd on_end)
    : impl_(std::make_shared<Impl>(io, std::move(on_line), std::move(on_end))) {
  bp::environment environment = boost::this_process::environment();
  for (const auto& [name, value] : extra_environment) environment[name] = value;
  // Runs in the child: a signal that the rig handles must not stay blocked or ignored there.
  const auto child_setup = bp::extend::on_exec_setup([](auto&) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The child must not keep the rig's listeners or the pipe of another child open.
    ::close_range(3, ~0u, CLOSE_RANGE_CLOEXEC);
  });
  impl_->child =
      bp::child(bp::exe = program, bp::args = arguments, environment,
                bp::std_in<bp::null, bp::std_out> bp::null, bp::std_err > impl_->pipe, child_setup);
  impl_->Read();
}

Child::~Child() {
  impl_->on_line = nullptr;
  impl_->on_end = nullptr;
  if (!impl_->has_ended) {
    Signal(SIGKILL);
    std::error_code ignored;
    impl_->child.wait(ignored);
    impl_->has_ended = true;
  }
  boost::system::error_code ignored;
  impl_->pipe.close(ignored);
}

void Child::Signal(int signal) {
  if (!impl_->has_ended) ::kill(impl_->child.id(), signal);
}

bool Child::running() const { return !impl_->has_ended; }

int Child::pid() const { return impl_->child.id(); }

}  // namespace copperpoint::fault_testing
