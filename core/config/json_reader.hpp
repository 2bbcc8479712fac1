#pragma once

#include "core/config/tables.hpp"
#include "core/json_number.hpp"

#include <nlohmann/json.hpp>

#include <set>

namespace galenastage::detail {

/// Reads the fields of one JSON object and records every problem: missing or
/// mistyped fields, and, by rejectUnknown, fields that were not read.
class object_reader {
public:
  object_reader(const nlohmann::json &Object, std::string Path,
                std::vector<table_problem> &Problems)
      : Object(Object), Path(std::move(Path)), Problems(Problems) {
    if (!Object.is_object())
      addProblem("", "must be an object");
  }

  template <typename T> T required(const std::string &Field) {
    if (!has(Field)) {
      addProblem(Field, "is missing");
      return T();
    }
    return optional<T>(Field, T());
  }

  template <typename T> T optional(const std::string &Field, T Default) {
    if (!has(Field))
      return Default;
    try {
      if constexpr (std::is_integral_v<T> && !std::is_same_v<T, bool>)
        if (Object.at(Field).is_number())
          return readWhole<T>(Object.at(Field), Field);
      return Object.at(Field).get<T>();
    } catch (const std::out_of_range &) {
      addProblem(Field, "must be a whole number in range");
      return Default;
    } catch (const nlohmann::json::exception &) {
      addProblem(Field, std::string("has the wrong type; it is ") +
                            Object.at(Field).type_name());
      return Default;
    }
  }

  /// Reads a whole number and rejects values that would overflow an int.
  int integer(const std::string &Field, int Default) {
    if (!has(Field))
      return Default;
    const nlohmann::json &Value = Object.at(Field);
    constexpr std::int64_t Limit = 2'000'000'000;
    if (!Value.is_number_integer() ||
        (Value.is_number_unsigned() && Value.get<std::uint64_t>() > Limit) ||
        Value.get<std::int64_t>() > Limit ||
        Value.get<std::int64_t>() < -Limit) {
      addProblem(Field, "must be a whole number");
      return Default;
    }
    return Value.get<int>();
  }

  /// Returns the field's value for a nested reader, or null.
  const nlohmann::json *child(const std::string &Field) {
    return has(Field) ? &Object.at(Field) : nullptr;
  }

  template <typename Id> Id identifier(const std::string &Field) {
    return Id(required<std::string>(Field));
  }

  template <typename Id>
  std::vector<Id> identifierList(const std::string &Field) {
    std::vector<Id> Result;
    for (std::string &Name : optional<std::vector<std::string>>(Field, {}))
      Result.emplace_back(std::move(Name));
    return Result;
  }

  work_class workClass(const std::string &Field) {
    const auto Name = optional<std::string>(Field, "ordinary");
    for (work_class Class :
         {work_class::Urgent, work_class::Ordinary, work_class::Patient})
      if (Name == name(Class))
        return Class;
    addProblem(Field, "must be one of urgent, ordinary, patient");
    return work_class::Ordinary;
  }

  void rejectUnknown() {
    if (!Object.is_object())
      return;
    for (const auto &Item : Object.items())
      if (!Requested.contains(Item.key()))
        addProblem(Item.key(), "is not a known field");
  }

  void addProblem(const std::string &Field, std::string Rule) {
    const std::string Separator = Path.empty() || Field.empty() ? "" : ".";
    Problems.push_back({Path + Separator + Field, std::move(Rule)});
  }

private:
  bool has(const std::string &Field) {
    Requested.insert(Field);
    return Object.is_object() && Object.contains(Field);
  }

  const nlohmann::json &Object;
  std::string Path;
  std::vector<table_problem> &Problems;
  std::set<std::string> Requested;
};

/// Converts identifiers to strings for JSON.
template <typename Id>
std::vector<std::string> namesOf(const std::vector<Id> &Ids) {
  std::vector<std::string> Names;
  Names.reserve(Ids.size());
  for (const Id &Name : Ids)
    Names.push_back(Name.Value);
  return Names;
}

} // namespace galenastage::detail
