#pragma once

// What a leader knows of the stored jobs and cancellations. A pure reducer:
// answers of the store go in, events for the scheduler come out, with the next
// page and the next watch to ask for.
//
// A new leader reads all stored jobs and their progress, then watches for
// changes. When the store has discarded changes before they were watched, the
// watch goes on after them, and all jobs are read again beside it for what was
// skipped.
//
// Properties:
// - A job is reported once in a term, and its cancellation after it, whatever
//   order they are read in.
// - requests_current names a time before which no change is unknown. While
//   skipped changes are being read it doesn't advance.
// - Pages of a range aren't a snapshot: a change during a read is watched.
//
// Index of this file
// [1] What the store holds
// [2] Answers of the store
// [3] State
// [4] The reducer

#include "core/job/batch/scheduler.hpp"

namespace galenastage::batch {

// [1] What the store holds

/// A stored job or a cancellation.
struct stored_request {
  job_id Job;
  bool IsCancellation = false;
  std::int64_t Revision = 0; // of its last change
  std::string Record;        // of a job: its specification

  friend bool operator==(const stored_request &,
                         const stored_request &) = default;
};

struct stored_progress {
  job_id Job;
  std::int64_t Revision = 0;
  std::string Record;

  friend bool operator==(const stored_progress &,
                         const stored_progress &) = default;
};

// [2] Answers of the store

/// A term of leadership has begun: nothing is known.
struct feed_begun {};

/// A page of the stored jobs and cancellations.
struct requests_read {
  instant Sent{};            // when the page was asked for
  std::int64_t Revision = 0; // of the store
  std::vector<stored_request> Requests;
  std::string Next; // where the next page begins; empty: this is the last
};

/// A page of the progress records.
struct progress_read {
  std::vector<stored_progress> Records;
  std::string Next; // as in requests_read
};

/// The answer to a watch. Removals are left out.
struct requests_watched {
  instant Sent{};            // when the watch was asked for
  std::int64_t Revision = 0; // where the next watch begins
  bool IsWhole = true;       // no change before Sent is missing
  std::vector<stored_request> Requests;
};

/// A watch has failed; its changes are still to be had.
struct watch_failed {};

/// The changes that were to be watched next are discarded.
struct history_lost {
  std::int64_t Revision = 0; // of the store now
};

struct feed_event {
  instant Now{};
  std::variant<feed_begun, requests_read, progress_read, requests_watched,
               watch_failed, history_lost>
      What;
};

// [3] State

struct job_feed_settings {
  milliseconds MaxAge{2'500}; // of what is known; older, nothing may start
  milliseconds MaxOutdated{15'000}; // the same; older, the leader resigns
  milliseconds WatchWait{700};      // longest wait for a change
  std::size_t MaxKept = 1'000;      // cancellations of unknown jobs

  friend bool operator==(const job_feed_settings &,
                         const job_feed_settings &) = default;
};

/// A cancellation that was read before its job.
struct kept_cancellation {
  std::int64_t Revision = 0;
  instant Since{};

  friend bool operator==(const kept_cancellation &,
                         const kept_cancellation &) = default;
};

/// A stored job while a new leader reads the records.
struct loaded_job {
  stored_request Request;
  std::optional<stored_progress> Progress;
  bool IsCancelled = false;

  friend bool operator==(const loaded_job &, const loaded_job &) = default;
};

enum class feed_phase {
  Idle,            // not leading
  LoadingRequests, //
  LoadingProgress, //
  Following,       // all is loaded; changes are watched
};

/// A read of all jobs for the changes that the watch has skipped.
struct gap_read {
  std::int64_t From = 0;     // older changes are known
  std::int64_t Revision = 0; // of the first page; 0: it isn't read yet
  instant Sent{};            // when the first page was asked for
  instant Since{};           // when the first loss was noticed
  int Passes = 1;
  int Items = 0;              // that were newer than From
  bool MustReadAgain = false; // more was lost since this pass began

  friend bool operator==(const gap_read &, const gap_read &) = default;
};

struct job_feed {
  explicit job_feed(job_feed_settings Settings = {}) : Settings(Settings) {}

  job_feed_settings Settings;
  feed_phase Phase = feed_phase::Idle;
  std::string After; // where the next page begins; empty: the first
  std::map<job_id, loaded_job> Loaded;
  instant LoadSent{}; // when the first page was asked for
  // Jobs reported in this term, with the revisions of their progress records.
  std::map<job_id, std::int64_t> Known;
  std::int64_t WatchAfter = 0; // revision
  bool IsConfirmDue = true;    // the next watch doesn't wait
  instant AsOf{};              // no earlier change is unknown
  instant WatchedAsOf{};       // none since the last loss of history
  std::optional<gap_read> Gap;
  std::map<job_id, kept_cancellation> Kept;

  friend bool operator==(const job_feed &, const job_feed &) = default;
};

struct page_request {
  bool IsProgress = false; // of the progress records, else of the requests
  std::string After;       // where it begins; empty: at the first record

  friend bool operator==(const page_request &, const page_request &) = default;
};

struct watch_request {
  std::int64_t After = 0; // revision
  milliseconds Wait{0};

  friend bool operator==(const watch_request &,
                         const watch_request &) = default;
};

// [4] The reducer

struct feed_output {
  std::vector<decltype(event::What)> Events; // for the scheduler, in order
  std::vector<log_line> Lines;
};

/// Applies an answer. Answers of an earlier term must not be passed on.
feed_output reduce(job_feed &Feed, feed_event Event);

/// The page to read next; nullopt: none.
std::optional<page_request> nextPage(const job_feed &Feed);

/// Whether no change is unknown that is older than MaxAge.
bool isCurrent(const job_feed &Feed, instant Now);

/// The watch to ask for next; nullopt: while the records are loaded.
std::optional<watch_request> nextWatch(const job_feed &Feed);

} // namespace galenastage::batch
