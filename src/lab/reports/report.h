// One self-contained HTML page about run sets, with plots as SVG.
#pragma once

#include <string>
#include <vector>

#include "lab/reports/results.h"

namespace flintweir::lab {

// Sets of the same experiment stand beside each other, the first of them the one in question.
std::string report_page(const std::vector<RunSet>& sets);

}  // namespace flintweir::lab
