#include "core/job/batch/record_size.hpp"

#include "core/job/batch/records.hpp"

namespace galenastage::batch {
namespace {

constexpr std::size_t FixedBytes = 256;
// {"done":false,"number":NNNN,"steps":[]} and a comma.
constexpr std::size_t BytesPerOccurrence = 40;
// Numbers and punctuation take 70 bytes of it.
constexpr std::size_t BytesPerTask = 128;
constexpr std::size_t BytesPerStep = 3;

// While a job is written: its record, the call's body with the record in it as
// base64, and the message.
constexpr std::size_t RecordCopies = 3;
constexpr std::size_t StepRecordBytes = 100; // beside texts and earlier steps
constexpr std::size_t AfterRecordBytes = 5;  // "7999,"

std::size_t stepBytes(const step_spec &Step) {
  const std::size_t Texts =
      Step.Requirement.size() + Step.Affinity.Value.size() + Step.Image.size();
  return sizeof(Step) + Texts + Step.After.size() * sizeof(int) +
         RecordCopies *
             (StepRecordBytes + Texts + Step.After.size() * AfterRecordBytes);
}

} // namespace

std::size_t submissionBytes(const job_spec &Job) {
  std::size_t Bytes = sizeof(Job) + (1 + RecordCopies) * Job.Payload.size();
  for (const step_spec &Step : Job.Steps)
    Bytes += stepBytes(Step);
  return Bytes;
}

std::size_t maxProgressBytes(const job_spec &Job, int Begun, int Open) {
  std::size_t OfOne = 0;
  for (const step_spec &Step : Job.Steps)
    OfOne += BytesPerStep + BytesPerTask * static_cast<std::size_t>(Step.Count);
  return FixedBytes + Job.Organisation.Value.size() +
         BytesPerOccurrence * static_cast<std::size_t>(Begun) +
         OfOne * static_cast<std::size_t>(Open);
}

std::string explainUnstorable(const job_spec &Job, std::size_t MaxValueBytes) {
  const auto Explain = [&](std::string_view What, std::size_t Bytes) {
    return std::string(What) + std::to_string(Bytes) +
           " bytes in the store, more than its value_bytes of " +
           std::to_string(MaxValueBytes);
  };
  if (const std::size_t Bytes = printSpec(Job).size(); Bytes > MaxValueBytes)
    return Explain("the job takes ", Bytes);
  if (const std::size_t Bytes = maxProgressBytes(Job, countOccurrences(Job), 1);
      Bytes > MaxValueBytes)
    return Explain("the progress of the job's tasks and repetitions takes up "
                   "to ",
                   Bytes);
  return {};
}

} // namespace galenastage::batch
