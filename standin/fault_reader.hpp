#pragma once

// Reads descriptions of faults that arrive over HTTP.

#include "core/config/json_reader.hpp"
#include "net/http.hpp"

#include <nlohmann/json.hpp>

namespace galenastage::standin {

constexpr int MaxDelayMilliseconds = 600'000;

inline http_response
problemsResponse(const std::vector<table_problem> &Problems) {
  nlohmann::json List = nlohmann::json::array();
  for (const table_problem &Problem : Problems)
    List.push_back({{"field", Problem.Field}, {"rule", Problem.Rule}});
  return jsonResponse(422, nlohmann::json{{"problems", List}}.dump());
}

inline int readDelay(detail::object_reader &Reader, const std::string &Field) {
  const int Value = Reader.integer(Field, 0);
  if (Value < 0 || Value > MaxDelayMilliseconds)
    Reader.addProblem(Field, "must lie in [0, 600000]");
  return Value;
}

/// Parses a fault description and applies it only when all of it is valid.
template <typename Faults, typename Read>
http_response applyFaults(const std::string &Body, Faults &Target,
                          Read ReadFaults) {
  const nlohmann::json Document = nlohmann::json::parse(Body, nullptr, false);
  if (Document.is_discarded())
    return problemsResponse({{"", "is not valid JSON"}});
  std::vector<table_problem> Problems;
  detail::object_reader Reader(Document, "", Problems);
  const Faults Wanted = ReadFaults(Reader);
  Reader.rejectUnknown();
  if (!Problems.empty())
    return problemsResponse(Problems);
  Target = Wanted;
  return jsonResponse(200, R"({"applied":true})");
}

} // namespace galenastage::standin
