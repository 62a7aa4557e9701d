#pragma once

#include <carawayloft/core/ids.h>

#include <cstddef>
#include <functional>
#include <map>

namespace carawayloft {

/**
 * Numbers the orders to each engine in the order of their decisions, so that an engine refuses an order that reaches it
 * after a later one. The numbers of a leader lie above the term of every earlier leader and reach up to its own term, so
 * that the first order of a later leader is higher, also if that leader numbers its orders by its term alone.
 */
class order_fences
{
public:
    /** Starts over for a leader in @p term, before which the last leader that may have ordered engines had @p preceding. */
    void begin(log_term preceding, log_term term);

    /** A higher number than all before for this engine, or the term itself if these are used up. */
    fencing_token next(const backend_id &backend);

    /** The number of the last order to this engine, or else its first one; for orders that need not come in order. */
    fencing_token current(const backend_id &backend);

    /** Whether a later order to this engine has a higher number. */
    bool isOvertaken(const backend_id &backend, fencing_token number) const;

    /** Forgets the engines that are not @p known. If one of them returns, its numbers are still higher than before. */
    void forgetUnless(const std::function<bool(const backend_id &)> &known);

    /** Number of engines with numbers of their own. */
    std::size_t size() const;

private:
    fencing_token latest(const backend_id &backend) const;

    log_term m_term;
    fencing_token m_floor; /**< At least the last number of each engine that is not in m_latest. */
    std::map<backend_id, fencing_token> m_latest;
};

} // namespace carawayloft
