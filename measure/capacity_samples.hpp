#pragma once

// Messages, records and tables of a given size, for measuring.

#include "core/config/tables.hpp"
#include "core/job/job.hpp"
#include "core/job/worker_protocol.hpp"

namespace galenastage::measure {

/// A renewal that names this many attempts.
renew_request sampleRenewal(int Attempts, bool IsConfirmed);

/// The answer of a worker that runs this many attempts.
worker_report sampleReport(int Attempts);

/// A renewal as proposed in docs/design/capacity.md: the attempts that the
/// scheduler means are named by a digest, which the worker compares with its
/// own. Not in use.
std::string proposedQuietRenewal();

/// The proposed answer of a worker whose attempts are those of the digest.
std::string proposedQuietReport();

/// The record of a running gang with one member on each of its workers.
job_record sampleRecord(int Members);

/// Tables of seven data centres with one pool and two routes for each team.
tables sampleTables(int Teams);

} // namespace galenastage::measure
