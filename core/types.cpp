#include "core/types.hpp"

namespace galenastage {

std::string_view name(verdict Verdict) {
  switch (Verdict) {
  case verdict::NotRun:
    return "not-run";
  case verdict::Ran:
    return "ran";
  case verdict::Unknown:
    break;
  }
  return "unknown";
}

std::string_view name(work_class Class) {
  switch (Class) {
  case work_class::Urgent:
    return "urgent";
  case work_class::Ordinary:
    return "ordinary";
  case work_class::Patient:
    break;
  }
  return "patient";
}

} // namespace galenastage
