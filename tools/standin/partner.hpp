// A stand-in for one endpoint of a partner system: takes calls on loopback, answers each after a while, and
// keeps when the first byte of each came.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "threaded_server.hpp"

namespace fennellane::standin {

struct PartnerCall {
  std::string id;
  std::string from;  // the address that the call came from
  std::chrono::steady_clock::time_point first_byte;
};

class Partner {
 public:
  explicit Partner(std::chrono::milliseconds answers_after);
  ~Partner();
  Partner(const Partner&) = delete;
  Partner& operator=(const Partner&) = delete;

  std::uint16_t port() const { return server_.port(); }
  std::string address() const { return server_.address(); }
  std::vector<PartnerCall> calls() const;

 private:
  void serve(const ThreadedServer::Socket& socket);

  const std::chrono::milliseconds answers_after_;
  mutable std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::vector<PartnerCall> calls_;
  ThreadedServer server_;  // last, since its threads use all the others
};

std::vector<std::unique_ptr<Partner>> make_partners(std::size_t count,
                                                    std::chrono::milliseconds answers_after);
// The hosts' lines of a settings file: one destination a partner, at a rate that limits nothing.
std::string host_lines(const std::vector<std::unique_ptr<Partner>>& partners);

}  // namespace fennellane::standin
