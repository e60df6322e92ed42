#pragma once

#include "core/time.h"

namespace savoryglade {

// Returns the time since the VM booted. Unlike the steady clock it includes the time during which
// the VM was suspended, so a lease that expired during a suspension is seen as expired.
TimePoint BootNow();

}  // namespace savoryglade
