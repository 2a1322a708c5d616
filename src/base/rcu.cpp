#include "cicadaport/base/rcu.h"

#include <urcu/urcu-bp.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace cicadaport::base {
namespace {

// liburcu is not built with the thread sanitizer; these tell it what orders a
// reader's end before the return of a writer's wait.
int order_tag = 0;

void note_reader_end() noexcept
{
#if defined(__SANITIZE_THREAD__)
    __tsan_release(&order_tag);
#endif
    static_cast<void>(order_tag);
}

void note_wait_end() noexcept
{
#if defined(__SANITIZE_THREAD__)
    __tsan_acquire(&order_tag);
#endif
}

} // namespace

rcu_reader::rcu_reader() noexcept
{
    urcu_bp_read_lock();
}

rcu_reader::~rcu_reader()
{
    note_reader_end();
    urcu_bp_read_unlock();
}

void rcu_wait_for_readers()
{
    urcu_bp_synchronize_rcu();
    note_wait_end();
}

} // namespace cicadaport::base
