/** @file key_cmd.cpp Hashes keys of organisations for configuration files. */
#include "waxwingctl/command_func.h"

#include <iostream>

namespace waxwing {

exit_status run_hash_key(const command_options& options)
{
    std::string key;
    std::getline(std::cin, key);
    if (!key.empty() && key.back() == '\r') {
        key.pop_back();
    }
    if (key.empty() || key.find_first_of(" \t") != std::string::npos) {
        std::cerr << "waxwingctl: the first line of the standard input must be a key without spaces\n";
        return exit_status::refused;
    }
    std::cout << key_hash(options.m_operand, key) << '\n';
    return exit_status::done;
}

} // namespace waxwing
