// Starts the stand-in of a Consul agent, build/review/consul, as a process that ends with this object.
#pragma once

#include "rig.hpp"

namespace rig {

class Consul {
 public:
  Consul() {
    int in[2], out[2];
    if (::pipe2(in, O_CLOEXEC) != 0 || ::pipe2(out, O_CLOEXEC) != 0) throw CannotRun("pipe");
    pid_ = ::fork();
    if (pid_ < 0) throw CannotRun("fork");
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(in[0], 0);
      ::dup2(out[1], 1);
      ::execl("build/review/consul", "consul", static_cast<char*>(nullptr));
      ::_exit(127);
    }
    ::close(in[0]);
    ::close(out[1]);
    stdin_ = in[1];
    char c;
    while (::read(out[0], &c, 1) == 1 && c != '\n') address_ += c;
    ::close(out[0]);
    if (address_.empty()) throw CannotRun("the stand-in of Consul does not start");
  }
  ~Consul() {
    ::close(stdin_);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  Consul(const Consul&) = delete;
  const std::string& address() const { return address_; }

 private:
  pid_t pid_ = -1;
  int stdin_ = -1;
  std::string address_;
};

}  // namespace rig
