#include "measure/evidence_trial.hpp"

#include "standin/relay_net.hpp"

#include <array>
#include <iomanip>
#include <iostream>

namespace galenastage {
namespace {

using standin::relay_net;

constexpr std::array Rules = {start_rule::AlwaysStop, start_rule::NeverStop,
                              start_rule::StopUnlessTotalOutage};
constexpr std::array DataCentres = {"a", "b", "c"};
constexpr milliseconds Settle{5'000};
constexpr milliseconds FaultDuration{60'000};
constexpr milliseconds FirstEdit{-2'000}; // from the start of the fault
constexpr milliseconds LastEdit{8'000};
constexpr milliseconds EditStep{130}; // makes edits fall in every phase
constexpr milliseconds ObservationTime{20'000}; // for starts after an edit

/// A fault, and who can store an edit while it lasts (empty: nobody).
struct fault_case {
  const char *Name;
  void (*Begin)(relay_net &);
  const char *Editor;
};

void cut(relay_net &Net, const char *One, const char *Two) {
  Net.CutBetween.insert({data_centre_id(One), data_centre_id(Two)});
}

void cutFromStore(relay_net &Net, const char *Name) {
  Net.CutFromStore.insert(data_centre_id(Name));
}

void cutFromPeers(relay_net &Net) {
  cut(Net, "a", "b");
  cut(Net, "a", "c");
}

constexpr std::array Faults = {
    fault_case{"none", [](relay_net &) {}, "b"},
    fault_case{"store down for all",
               [](relay_net &Net) { Net.IsStoreDown = true; }, ""},
    fault_case{"store slow, 400 ms one way",
               [](relay_net &Net) { Net.StoreDelay = milliseconds(400); }, "b"},
    fault_case{"a cut from store",
               [](relay_net &Net) { cutFromStore(Net, "a"); }, "b"},
    fault_case{"a, c cut from store",
               [](relay_net &Net) {
                 cutFromStore(Net, "a");
                 cutFromStore(Net, "c");
               },
               "b"},
    fault_case{"a cut from b and c", cutFromPeers, "b"},
    fault_case{"a cut from store, b and c",
               [](relay_net &Net) {
                 cutFromStore(Net, "a");
                 cutFromPeers(Net);
               },
               "b"},
    fault_case{"store down, a cut from b, c",
               [](relay_net &Net) {
                 Net.IsStoreDown = true;
                 cutFromPeers(Net);
               },
               ""},
    fault_case{"store down 5 s, then back for b, c",
               [](relay_net &Net) {
                 Net.IsStoreDown = true;
                 Net.run(Settle);
                 Net.IsStoreDown = false;
                 cutFromStore(Net, "a");
                 cutFromPeers(Net);
               },
               "b"},
    fault_case{"reader of a pauses",
               [](relay_net &Net) {
                 for (const char *Name : {"a0", "a1"})
                   if (Net.at(Name).IsWatching)
                     Net.at(Name).IsRunning = false;
               },
               "b"},
};

relay_net makeNet() {
  relay_net Net;
  for (const char *Name : DataCentres) {
    Net.add(Name, std::string(Name) + "0");
    Net.add(Name, std::string(Name) + "1");
    Net.add(Name, std::string(Name) + "s", process_kind::Scheduler);
  }
  Net.store(1);
  Net.run(Settle);
  return Net;
}

using per_rule = std::array<milliseconds, Rules.size()>;

/// Time in which schedulers might not start, over a fault without an edit,
/// summed over the data centres.
per_rule lostTime(const fault_case &Fault) {
  relay_net Net = makeNet();
  Fault.Begin(Net);
  per_rule Lost{};
  Net.run(FaultDuration, [&] {
    for (const char *Name : DataCentres)
      for (std::size_t I = 0; I < Rules.size(); ++I)
        if (!Net.mayStartAt(std::string(Name) + "s", Rules[I]))
          Lost[I] += relay_net::Step;
  });
  return Lost;
}

/// Takes "a" out at one moment, and returns how long after it tasks might still
/// start there.
per_rule lateStarts(const fault_case &Fault, milliseconds EditAt) {
  relay_net Net = makeNet();
  if (EditAt > milliseconds(0)) {
    Fault.Begin(Net);
    Net.run(EditAt);
  }
  Net.store(2, {"a"});
  Net.apply(instance_id(std::string(Fault.Editor) + "0"),
            edit_stored{Net.Stored});
  const instant EditedAt = Net.Now;
  if (EditAt <= milliseconds(0)) {
    Net.run(-EditAt);
    Fault.Begin(Net);
  }
  per_rule Late{};
  Net.run(ObservationTime, [&] {
    for (std::size_t I = 0; I < Rules.size(); ++I)
      if (Net.mayStartAt("as", Rules[I]))
        Late[I] = Net.Now - EditedAt;
  });
  return Late;
}

per_rule worstLateStart(const fault_case &Fault) {
  per_rule Worst{};
  for (milliseconds At = FirstEdit; At <= LastEdit; At += EditStep) {
    const per_rule Late = lateStarts(Fault, At);
    for (std::size_t I = 0; I < Rules.size(); ++I)
      Worst[I] = std::max(Worst[I], Late[I]);
  }
  return Worst;
}

std::string inSeconds(milliseconds Duration) {
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(2)
       << std::chrono::duration<double>(Duration).count();
  return Text.str();
}

void runTrial() {
  std::cout << "Three data centres, a fault of " << inSeconds(FaultDuration)
            << " s; \"a\" is taken out at moments from " << inSeconds(FirstEdit)
            << " s to " << inSeconds(LastEdit)
            << " s after its start.\nlate: longest time from the accepted edit "
               "to the last allowed start in a, seconds ("
            << inSeconds(ObservationTime)
            << ": to the end of the observation)\nlost: data centre seconds "
               "without starts, no edit, of "
            << inSeconds(FaultDuration * DataCentres.size()) << "\n\n"
            << "| fault | rule | late | lost |\n|---|---|---|---|\n";
  for (const fault_case &Fault : Faults) {
    const per_rule Lost = lostTime(Fault);
    const bool IsEditPossible = Fault.Editor[0] != '\0';
    const per_rule Late = IsEditPossible ? worstLateStart(Fault) : per_rule{};
    for (std::size_t I = 0; I < Rules.size(); ++I)
      std::cout << "| " << Fault.Name << " | " << name(Rules[I]) << " | "
                << (IsEditPossible ? inSeconds(Late[I]) : "no edit possible")
                << " | " << inSeconds(Lost[I]) << " |\n";
  }
}

} // namespace

void addEvidenceTrial(CLI::App &App) {
  App.add_subcommand("evidence",
                     "compare rules for starts without recent evidence")
      ->callback(runTrial);
}

} // namespace galenastage
