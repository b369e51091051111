// Renders run sets as one self-contained HTML page with SVG plots.
#pragma once

#include <string>
#include <vector>

#include "lab/reports/results.h"

namespace flintweir::lab {

// Sets of the same experiment are shown side by side; the first is the one under test.
std::string report_page(const std::vector<RunSet>& sets);

}  // namespace flintweir::lab
