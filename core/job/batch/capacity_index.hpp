#pragma once

// An index over the free capacity of executors, by service and rack. It lets a
// placement look only at racks that may have the capacity, so that its cost
// doesn't grow with the number of executors.

#include "core/job/batch/shares.hpp"

#include <array>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace galenastage::batch {

/// How fast an executor works, compared with the others of its service.
enum class speed_class : std::uint8_t { Unknown, Slow, Normal, Fast };

std::string_view name(speed_class Class);

/// A set of executors of one service, by their speed and by whether they are
/// kept free for guaranteed work. The index counts each such group by itself,
/// so that a placement can prefer some executors without looking at all.
class executor_filter {
public:
  static constexpr int Groups = 8; // four speeds, kept or not

  static constexpr int groupOf(speed_class Speed, bool IsKept) {
    return 2 * static_cast<int>(Speed) + (IsKept ? 1 : 0);
  }
  static constexpr executor_filter all() { return executor_filter(0xff); }
  static constexpr executor_filter none() { return executor_filter(0); }
  /// Executors of these speeds, kept or not.
  static constexpr executor_filter
  ofSpeeds(std::initializer_list<speed_class> Speeds) {
    executor_filter Filter = none();
    for (const speed_class Speed : Speeds)
      Filter = Filter.with(Speed, false).with(Speed, true);
    return Filter;
  }
  /// Executors that are kept, or those that aren't, of any speed.
  static constexpr executor_filter kept(bool IsKept) {
    return executor_filter(IsKept ? 0xaa : 0x55);
  }

  [[nodiscard]] constexpr executor_filter with(speed_class Speed,
                                               bool IsKept) const {
    return executor_filter(Bits | (1U << groupOf(Speed, IsKept)));
  }
  /// The executors that are in both sets.
  [[nodiscard]] constexpr executor_filter
  operator&(executor_filter Other) const {
    return executor_filter(Bits & Other.Bits);
  }
  [[nodiscard]] constexpr bool includes(int Group) const {
    return (Bits >> Group & 1U) != 0;
  }
  /// Whether every executor of the other set is in this one.
  [[nodiscard]] constexpr bool covers(executor_filter Other) const {
    return (Other.Bits & ~Bits) == 0;
  }
  [[nodiscard]] constexpr bool isEmpty() const { return Bits == 0; }

  friend constexpr bool operator==(executor_filter, executor_filter) = default;

private:
  explicit constexpr executor_filter(unsigned Bits) : Bits(Bits) {}

  unsigned Bits; // one for each group
};

/// What the index knows about one executor.
struct indexed_executor {
  service_id Service;
  rack_id Rack;
  std::string Kind;       // label that steps may require
  resources Capacity;     // of the whole executor
  resources Used;         // by runs
  resources Free;         // neither used nor reserved
  resources Preemptible;  // that stops free, now or soon, beyond plans
  bool IsOpen = false;    // runs may start on it
  bool IsSuspect = false; // a task failed on it since its last success
  instant ProvenAt{};     // its last success
  speed_class Speed = speed_class::Unknown;
  bool IsKept = false; // free for guaranteed work only

  [[nodiscard]] int group() const {
    return executor_filter::groupOf(Speed, IsKept);
  }

  /// Whether its kind or its rack has this name.
  [[nodiscard]] bool hasLabel(std::string_view Label) const;

  friend bool operator==(const indexed_executor &,
                         const indexed_executor &) = default;
};

/// Free capacity of some executors of a rack.
struct free_capacity {
  resources Free;    // sum
  resources Largest; // per resource, the most that one of them has free
  // By accelerators of a task: how many such tasks their free accelerators
  // hold. The sum above hides that a task must fit on one executor.
  static constexpr int MostCounted = 16; // accelerators of a task
  std::array<int, MostCounted + 1> Tasks{};

  free_capacity &operator+=(const free_capacity &Other);
  void add(const indexed_executor &Executor);
  /// Upper bound of the tasks with these needs that fit, at most Limit.
  [[nodiscard]] int boundFits(const resources &Needs, int Limit) const;

  friend bool operator==(const free_capacity &,
                         const free_capacity &) = default;
};

/// The open executors of one rack.
struct indexed_rack {
  rack_id Id;
  std::map<executor_id, indexed_executor> Open;
  resources Free;        // sums over the open executors
  resources Preemptible; //
  resources Capacity;    //
  std::array<free_capacity, executor_filter::Groups> Groups;

  /// Free capacity of the executors in the set.
  [[nodiscard]] free_capacity freeOf(executor_filter Allowed) const;
  /// Upper bound of the tasks with these needs that fit on executors of the
  /// set, at most Limit.
  [[nodiscard]] int boundFits(const resources &Needs, int Limit,
                              executor_filter Allowed) const;

  friend bool operator==(const indexed_rack &, const indexed_rack &) = default;
};

/// Orders amounts of capacity: thousandths of a core, an accelerator counting
/// as in weightedCores.
std::int64_t capacityWeight(const resources &Amount);

/// Number of tasks with these needs that fit into Free, at most Limit.
int countFits(const resources &Free, const resources &Needs, int Limit);

/// The executors of one service.
class indexed_service {
public:
  /// Numbers of the racks in the order of their free capacity, from the first
  /// with at least this weight.
  template <typename Visit>
  void fromWeight(std::int64_t Least, Visit Each) const {
    for (auto Item = ByFree.lower_bound({Least, 0}); Item != ByFree.end();
         ++Item)
      if (!Each(Racks[static_cast<std::size_t>(Item->second)]))
        return;
  }
  /// The same, from the rack with the most free capacity downwards.
  template <typename Visit> void fromLargest(Visit Each) const {
    auto Item = ByFree.rbegin();
    while (Item != ByFree.rend() &&
           Each(Racks[static_cast<std::size_t>(Item->second)]))
      ++Item;
  }
  /// Null when no executor of the rack was ever known.
  [[nodiscard]] const indexed_rack *findRack(const rack_id &Id) const;

  /// Share of the accelerators of all listed executors that is in use, in
  /// percent; 100 when there is none.
  [[nodiscard]] int percentInUse() const;
  /// Sum over the open executors.
  [[nodiscard]] const resources &free() const { return Free; }

  /// Capacity of all its listed executors, open or not.
  [[nodiscard]] const capacity_sum &total() const { return Total; }

  /// Number of listed executors.
  [[nodiscard]] int executors() const { return Listed; }
  [[nodiscard]] bool isEmpty() const { return Listed == 0; }

  void add(const executor_id &Id, const indexed_executor &Executor);
  void remove(const executor_id &Id, const indexed_executor &Executor);

  /// Equal contents; the numbers of the racks don't matter.
  friend bool operator==(const indexed_service &Left,
                         const indexed_service &Right);

private:
  void change(indexed_rack &Rack, int Number, const indexed_executor &Executor,
              int Sign);

  std::vector<indexed_rack> Racks;
  std::map<rack_id, int> Numbers;                // in Racks
  std::set<std::pair<std::int64_t, int>> ByFree; // weight and number
  resources Free;
  int Listed = 0;           // executors, open or not
  int UsedAccelerators = 0; // of them
  capacity_sum Total;       //
};

/// All listed executors, by service. Equal contents compare equal, in whichever
/// order they were added.
class capacity_index {
public:
  /// Adds or replaces a listed executor.
  void update(const executor_id &Id, const indexed_executor &Executor);
  void remove(const executor_id &Id);
  /// Null when no executor of the service was ever known.
  [[nodiscard]] const indexed_service *find(const service_id &Id) const;
  /// Capacity of all listed executors, open or not.
  [[nodiscard]] const capacity_sum &total() const { return Total; }

  friend bool operator==(const capacity_index &,
                         const capacity_index &) = default;

private:
  std::map<executor_id, indexed_executor> Executors;
  std::map<service_id, indexed_service> Services;
  capacity_sum Total;
};

} // namespace galenastage::batch
