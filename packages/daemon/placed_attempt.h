#pragma once

#include <memory>
#include <utility>

#include "daemon/active_requests.h"
#include "daemon/model_attempt.h"

namespace savoryglade {

// An attempt and the upstream that runs it.
struct PlacedAttempt {
  PlacedAttempt(const RequestHandlerContext& context, UpstreamConfig config, Ticket slot,
                const ModelRequest& request, ResponseWriter& writer,
                std::shared_ptr<Interrupt> attempt_interrupt)
      : upstream(std::move(config)),
        ticket(slot),
        interrupt(std::move(attempt_interrupt)),
        attempt(context, upstream, request, writer, *interrupt) {}

  const UpstreamConfig upstream;
  // Zero if the attempt joins a generation that has a slot already.
  const Ticket ticket;
  const std::shared_ptr<Interrupt> interrupt;
  ModelAttempt attempt;
  bool is_silence_recorded = false;
};

}  // namespace savoryglade
