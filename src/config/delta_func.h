/** @file delta_func.h Binary deltas between two serialised configurations. */
#ifndef WAXWING_CONFIG_DELTA_FUNC_H
#define WAXWING_CONFIG_DELTA_FUNC_H

#include "config/config_func.h"

namespace waxwing {

/** Splits the output of write_config into its blocks. @return none if @p text is malformed. */
std::optional<std::vector<config_block>> split_blocks(std::string_view text);

/** Encodes the objects that differ as CBOR. @pre @p before and @p after come from write_config. */
std::string encode_delta(std::string_view before, std::string_view after);

/** Applies @p delta to @p before. Safe on untrusted input; the caller verifies the digest of the result. */
result<std::string> apply_delta(std::string_view before, std::string_view delta);

} // namespace waxwing

#endif
