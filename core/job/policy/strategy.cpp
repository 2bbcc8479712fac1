#include "core/job/policy/strategy.hpp"

namespace galenastage {

std::string_view name(const placement_strategy &Strategy) {
  return std::visit(
      overloaded{
          [](const first_fit &) { return "first-fit"; },
          [](const best_fit_backfill &) { return "best-fit-backfill"; },
          [](const guaranteed_sharing &) { return "galenastage"; },
      },
      Strategy);
}

} // namespace galenastage
