/** @file faults_test.cpp Checks that the fault matrix covers every cell, names existing tests, and equals its
 * page. */
#include "test/table/faults.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace waxwing;

namespace {

std::string read_file(const std::filesystem::path& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return std::move(text).str();
}

/** Returns the text of all test sources except this one. */
std::string test_sources()
{
    std::string all;
    for (const auto& entry : std::filesystem::directory_iterator(WAXWING_SOURCE "/test")) {
        const bool source = entry.path().extension() == ".cpp" || entry.path().extension() == ".py";
        if (source && entry.path().filename() != "faults_test.cpp") {
            all += read_file(entry.path());
        }
    }
    return all;
}

/** Returns whether @p sources define the test `suite/name`. */
bool has_test(const std::string& sources, std::string_view test)
{
    const std::size_t slash = test.find('/');
    const std::string suite(test.substr(0, slash));
    const std::string name(test.substr(slash + 1));
    const std::string head = "Test(" + suite + ", " + name;
    const bool criterion =
        sources.find(head + ")") != std::string::npos || sources.find(head + ",") != std::string::npos;
    return criterion || sources.find("def " + name + "(") != std::string::npos;
}

/** Returns the last entry that covers a cell; null if there is none. */
const fault_cells* find_cell(fault row, fault_step column)
{
    const fault_cells* found = nullptr;
    for (const fault_cells& block : fault_matrix) {
        if (block.m_fault == row && block.m_first_step <= column && column <= block.m_last_step) {
            found = &block;
        }
    }
    return found;
}

std::string matrix_page()
{
    std::ostringstream page;
    page << "# Fault matrix\n\nEvery fault at every step: the test that meets it, or why it can't occur "
            "there. The page is "
            "drawn from\n`test/table/faults.h`; a test fails on a cell without either, and on a test that "
            "does not "
            "exist. Pairs of faults are met\nby the random histories of `fleet`, `publisher`, "
            "`spread` and "
            "`member`, which draw any faults at any time.\n";
    for (std::size_t row = 0; row < fault_names.size(); ++row) {
        page << "\n## " << fault_names[row] << "\n\n| steps | test, or why there is none |\n| --- | --- |\n";
        for (const fault_cells& block : fault_matrix) {
            if (static_cast<std::size_t>(block.m_fault) != row) {
                continue;
            }
            const std::string first(name_in(fault_step_names, block.m_first_step));
            const std::string last(name_in(fault_step_names, block.m_last_step));
            page << "| " << first << " to " << last << " | "
                 << (block.m_test.empty() ? std::string(block.m_note) : "`" + std::string(block.m_test) + "`")
                 << " |\n";
        }
    }
    return std::move(page).str();
}

} // namespace

Test(faults, each_cell_has_a_test_or_a_reason)
{
    const std::string sources = test_sources();
    for (std::size_t row = 0; row < fault_names.size(); ++row) {
        for (std::size_t column = 0; column < fault_step_names.size(); ++column) {
            const fault_cells* const cell =
                find_cell(static_cast<fault>(row), static_cast<fault_step>(column));
            const std::string place =
                std::string(fault_names[row]) + " / " + std::string(fault_step_names[column]);
            cr_assert(cell != nullptr, "%s is empty", place.c_str());
            const bool filled = !cell->m_test.empty() || !cell->m_note.empty();
            cr_assert(filled, "%s has neither test nor reason", place.c_str());
            const bool exists = cell->m_test.empty() || has_test(sources, cell->m_test);
            cr_assert(exists, "%s names %s, which does not exist", place.c_str(),
                      std::string(cell->m_test).c_str());
        }
    }
}

Test(faults, the_page_equals_the_matrix)
{
    const std::string path = WAXWING_SOURCE "/docs/FAULTS.md";
    if (std::getenv("WAXWING_WRITE_PAGES") != nullptr) {
        std::ofstream(path) << matrix_page();
        return;
    }
    cr_assert(read_file(path) == matrix_page(),
              "docs/FAULTS.md differs; run the tests with WAXWING_WRITE_PAGES=1");
}
