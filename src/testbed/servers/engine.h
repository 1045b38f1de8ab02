#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

#include "testbed/audit/context.h"
#include "testbed/model/host_model.h"

namespace balancer::testbed {

// Drives a host model in real time on the event loop and reports when each job starts and ends.
class Engine {
 public:
  explicit Engine(Context& context) : context_(context), timer_(context.io) {}

  // Starts a new process. Jobs of the previous one are dropped without a callback.
  void start(const HostSpec& spec, bool cold);
  void stop();
  bool running() const { return model_ != nullptr; }

  struct Work {
    std::function<void(Time)> begun, done;
  };
  // Returns 0 if the job was rejected or has just crashed the host by overload; fallen() is true in
  // the latter case.
  Job submit(double work, int source, Work handlers);
  void cancel(Job job);
  void freeze();
  void thaw();
  void set_slowness(double factor);
  bool fallen() const { return model_ && model_->fallen(); }
  const HostModel* model() const { return model_.get(); }
  double done_before() const { return done_before_; }  // seconds of work done by earlier processes

 private:
  void step();
  void arm();

  Context& context_;
  asio::steady_timer timer_;
  std::unique_ptr<HostModel> model_;
  std::unordered_map<Job, Work> jobs_;
  Job next_job_ = 1;
  Time timer_due_ = kNever;
  double done_before_ = 0;
};

}  // namespace balancer::testbed
