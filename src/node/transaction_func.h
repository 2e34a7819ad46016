/** @file transaction_func.h Transactions of the configuration in the form of the storage interface. */
#ifndef WAXWING_NODE_TRANSACTION_FUNC_H
#define WAXWING_NODE_TRANSACTION_FUNC_H

#include "config/config.h"
#include "storage/storage.h"

namespace waxwing {

/** Returns the transaction that @p commit describes, without its token. Thread safety: any thread. */
inline table_transaction to_transaction(const publish_commit& commit)
{
    table_transaction transaction;
    for (const auto& [key, version] : commit.m_checks) {
        transaction.m_checks.push_back({key, version});
    }
    for (const auto& [key, value] : commit.m_writes) {
        transaction.m_writes.push_back({key, value});
    }
    return transaction;
}

} // namespace waxwing

#endif
