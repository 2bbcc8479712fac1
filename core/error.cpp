#include "core/error.hpp"

#include <string>

namespace galenastage {
namespace {

class error_category final : public std::error_category {
public:
  [[nodiscard]] const char *name() const noexcept override {
    return "galenastage";
  }

  [[nodiscard]] std::string message(int Value) const override {
    switch (static_cast<errc>(Value)) {
    case errc::InvalidTables:
      return "invalid tables";
    case errc::InvalidJob:
      return "invalid job";
    case errc::VersionConflict:
      return "version conflict";
    case errc::NotFound:
      return "not found";
    case errc::StoreUnavailable:
      return "key-value service unavailable";
    case errc::StoreAnswerLost:
      return "outcome of a write to the key-value service unknown";
    case errc::MalformedAnswer:
      return "malformed answer";
    case errc::DeadlineExceeded:
      return "deadline exceeded";
    case errc::UpstreamOverloaded:
      return "upstream overloaded";
    case errc::NotLeading:
      return "not the active scheduler";
    case errc::StoreRefused:
      return "refused by the store";
    }
    return "unknown error " + std::to_string(Value);
  }
};

} // namespace

std::error_code make_error_code(errc Error) {
  static const error_category Category;
  return {static_cast<int>(Error), Category};
}

} // namespace galenastage
