#pragma once

// Handing the leadership over to a larger instance. After a failure of larger
// instances a small one may have to lead. Standbys that are larger offer
// themselves by a key in the store, of which there is one; the leader resigns
// once that key has been there for a while.

#include "platform/metadata_store.hpp"

namespace galenastage {

struct handover_settings {
  milliseconds Margin{300};          // least difference of campaign delays
  milliseconds CandidateLife{3'000}; // lease of the candidate's key
  milliseconds KeepInterval{800};    // of that lease, and of the leader's look
  milliseconds OfferInterval{4'000}; // of a standby's look whether to offer
  milliseconds MinWell{5'000};       // that the key has been there
  milliseconds MinTerm{15'000};      // least time between two handovers
  milliseconds MinQuiet{1'000};      // without new jobs
};

/// A standby that offers itself, as stored: "NAME DELAY_MS".
struct leader_candidate {
  std::string Name;
  milliseconds CampaignDelay{0};

  friend bool operator==(const leader_candidate &,
                         const leader_candidate &) = default;
};

std::string printCandidate(const leader_candidate &Candidate);

/// Nullopt when the text isn't a candidate.
std::optional<leader_candidate> parseCandidate(std::string_view Text);

/// What the leader knows of the candidate and of its own term.
struct handover_view {
  milliseconds OwnDelay{0};
  milliseconds CandidateDelay{0};
  milliseconds Well{0};  // since when the candidate's key is there
  milliseconds Term{0};  // since when this instance leads
  milliseconds Quiet{0}; // since the last new job
};

/// Whether an instance is so much larger than the leader that it should lead.
bool isLarger(milliseconds OwnDelay, milliseconds LeaderDelay,
              const handover_settings &Settings);

/// Whether the leader should resign now.
bool isHandoverDue(const handover_view &View,
                   const handover_settings &Settings);

/// The standby's side: offers itself while the leader is much smaller.
class candidacy {
public:
  candidacy(asio::io_context &Context, platform::metadata_store &Store,
            leader_candidate Self, const handover_settings &Settings);

  /// Offers and withdraws until stop is called.
  task<void> run();
  void stop() { IsStopped = true; }

  /// Nullopt: no leader is known, this instance leads, or the leader's key
  /// doesn't say.
  void noteLeader(std::optional<milliseconds> CampaignDelay) {
    LeaderDelay = CampaignDelay;
  }

private:
  [[nodiscard]] bool isWanted() const;
  task<void> offer();
  task<void> keep();
  task<void> withdraw();

  asio::io_context &Context;
  platform::metadata_store &Store;
  leader_candidate Self;
  handover_settings Settings;
  std::optional<milliseconds> LeaderDelay;
  std::int64_t Lease = 0; // of the key; 0: not offered
  bool IsStopped = false;
};

} // namespace galenastage
