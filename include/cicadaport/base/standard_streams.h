// The descriptors 0 to 2.
#pragma once

namespace cicadaport::base {

// Opens /dev/null in place of each standard stream that is closed. Else the first descriptors that
// the process opens get these numbers, and its log is written to them.
//
// Call once, before other descriptors are opened.
void open_closed_standard_streams() noexcept;

} // namespace cicadaport::base
