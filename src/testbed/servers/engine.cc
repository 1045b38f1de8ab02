#include "testbed/servers/engine.h"

#include <utility>

namespace balancer::testbed {

void Engine::start(const HostSpec& spec, bool cold) {
  stop();
  model_ = std::make_unique<HostModel>(spec, context_.now(), cold);
}

void Engine::stop() {
  if (model_) done_before_ += model_->work_done();
  model_.reset();
  jobs_.clear();
  timer_.cancel();
  timer_due_ = kNever;
}

Job Engine::submit(double work, int source, Work handlers) {
  step();
  if (!model_) return 0;
  const Job job = next_job_++;
  jobs_.emplace(job, std::move(handlers));
  if (model_->submit(context_.now(), job, work, source) != HostModel::Answer::kTaken) {
    jobs_.erase(job);
    return 0;
  }
  step();
  return model_ ? job : 0;
}

void Engine::cancel(Job job) {
  if (!model_) return;
  step();
  if (model_ && model_->cancel(context_.now(), job)) jobs_.erase(job);
  step();
}

void Engine::freeze() {
  step();
  if (model_) model_->freeze(context_.now());
  arm();
}

void Engine::thaw() {
  if (model_) model_->thaw(context_.now());
  step();
}

void Engine::set_slowness(double factor) {
  step();
  if (model_) model_->set_slowness(context_.now(), factor);
  arm();
}

// Handlers may submit jobs and even stop the process, so no reference into the model is held across
// a call.
void Engine::step() {
  if (!model_) return;
  for (const HostModel::Event& event : model_->advance(context_.now())) {
    const auto it = jobs_.find(event.job);
    if (it == jobs_.end()) continue;
    if (event.kind == HostModel::Event::Kind::kBegun) {
      const auto begun = std::exchange(it->second.begun, nullptr);
      if (begun) begun(event.at);
    } else {
      const auto done = std::move(it->second.done);
      jobs_.erase(it);
      if (done) done(event.at);
    }
  }
  arm();
}

void Engine::arm() {
  const Time next = model_ ? model_->next() : kNever;
  if (next == timer_due_) return;
  timer_due_ = next;
  if (next == kNever) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(context_.steady(next));
  timer_.async_wait([this](const boost::system::error_code& e) {
    if (e) return;
    timer_due_ = kNever;
    step();
  });
}

}  // namespace balancer::testbed
