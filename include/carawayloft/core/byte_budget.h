#pragma once

#include <carawayloft/core/strong_type.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace carawayloft {

/** A connection, for the budget. Ids are given in the order in which connections are made, so a lower one is older. */
using byte_holder_id = strong_type<struct byte_holder_id_tag, std::uint64_t>;

/** What a process holds in memory for one connection, in bytes. */
struct held_bytes {
    std::size_t unfinishedBody = 0; /**< Of a request that is not whole; it can be rejected as not run. */
    std::size_t untakenAnswer = 0; /**< Of an answer that waits to be taken; it can only be cut. */
    std::size_t other = 0; /**< Of the connection itself and of a whole request that is being served; kept. */

    friend bool operator==(const held_bytes &, const held_bytes &) = default;
};

/** The unfinished body is to be rejected. */
struct reject_unfinished_body {
    byte_holder_id holder;
};

/** The answer is to be cut. */
struct cut_untaken_answer {
    byte_holder_id holder;
};

using byte_budget_output = std::variant<reject_unfinished_body, cut_untaken_answer>;

/**
 * Limit on what a process holds for all connections together. When it is exceeded, unfinished bodies are rejected:
 * the largest first, and of those that are alike, the oldest. Sizes are alike within a factor of two, so that a body
 * that has stalled goes before a newer one that has just grown past it. Answers are cut only if that is not enough.
 */
class byte_budget
{
public:
    explicit byte_budget(std::size_t limit);

    /** @p holder holds @p now from now on, and nothing once that is zero. What the outputs name counts as given up. */
    std::vector<byte_budget_output> update(byte_holder_id holder, const held_bytes &now);

    std::size_t limit() const
    {
        return m_limit;
    }

    std::size_t used() const
    {
        return m_used;
    }

private:
    /** Orders by size class, largest first, then by age. */
    struct rank {
        int sizeClass = 0;
        byte_holder_id holder;

        bool operator<(const rank &other) const;
    };
    using ranking = std::set<rank>;

    static void move(ranking &in, byte_holder_id holder, std::size_t before, std::size_t after);
    void replace(byte_holder_id holder, const held_bytes &now);

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::map<byte_holder_id, held_bytes> m_holders;
    ranking m_bodies;
    ranking m_answers;
};

} // namespace carawayloft
