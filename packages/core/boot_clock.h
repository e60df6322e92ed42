#pragma once

#include "core/time.h"

namespace savoryglade {

// Time since the start of the VM. Unlike the steady clock it counts the time during which the VM
// was suspended, so a lease that lapsed meanwhile is seen to have lapsed.
TimePoint BootNow();

}  // namespace savoryglade
