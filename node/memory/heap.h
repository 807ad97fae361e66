// Keeps the resident memory of the process near the memory that is in use.
#pragma once

namespace asterdrift::node::memory {

// Lets the allocator return the memory of bodies to the system as soon as they are freed. To be called at the
// start of the process.
void configure_heap();

}  // namespace asterdrift::node::memory
