#include "measure/policy.hpp"

#include <algorithm>
#include <cmath>

namespace galenastage::measure {
namespace {

constexpr double RunTimeSigma = 0.6;     // of real run times within a kind
constexpr double DeclarationSigma = 0.8; // of declared against real run times
constexpr int Bursts = 3;
constexpr int BurstSmallJobs = 40;
constexpr int BurstLargeJobs = 4;
constexpr int LoadSamples = 20'000;
constexpr double Pi = 3.14159265358979323846;

pool makePool(const std::string &Name, const std::string &Organisation,
              guaranteed_shape Shape) {
  return {pool_id(Name), organisation_id(Organisation), Shape, {}};
}

void addDataCentres(deployment &Deployment, const std::string &Prefix,
                    const std::string &Region) {
  for (int I = 0; I < Deployment.DataCentres; ++I)
    Deployment.Tables.DataCentres.push_back(
        {data_centre_id(Prefix + std::string(1, static_cast<char>('a' + I))),
         Region, true});
}

deployment makeBayanat() {
  deployment D;
  D.Name = "bayanat";
  D.DataCentres = 4;
  D.WorkersPerRack = 6;
  addDataCentres(D, "ma-north-", "ma-north");
  D.Tables.Pools = {makePool("budgets", "finance", {2, 8}),
                    makePool("tiles", "planning", {2, 8}),
                    makePool("permits", "permits", {1, 8}),
                    makePool("water", "water", {0, 8})};
  const organisation_id Finance("finance");
  const organisation_id Planning("planning");
  const organisation_id Permits("permits");
  const organisation_id Water("water");
  D.Kinds = {
      {Finance,
       pool_id("budgets"),
       work_class::Patient,
       10,
       {2, 3, 4},
       8,
       seconds(3'600),
       true,
       true},
      {Planning,
       pool_id("tiles"),
       work_class::Ordinary,
       60,
       {1},
       1,
       seconds(400),
       false,
       true},
      {Planning,
       pool_id("tiles"),
       work_class::Urgent,
       4,
       {1, 2},
       4,
       seconds(300),
       false,
       true},
      {Permits,
       pool_id("permits"),
       work_class::Patient,
       12,
       {1, 2},
       2,
       seconds(1'200),
       false,
       false},
      {Water,
       pool_id("water"),
       work_class::Ordinary,
       30,
       {1, 2},
       2,
       seconds(900),
       true,
       true},
  };
  return D;
}

deployment makeFilo() {
  deployment D;
  D.Name = "filo";
  D.DataCentres = 3;
  addDataCentres(D, "sur-", "uy-sur");
  D.Tables.Pools = {makePool("carpenters", "cooperative", {4, 8}),
                    makePool("plans", "workshops", {2, 8}),
                    makePool("labels", "counter", {1, 4}),
                    makePool("photos", "photos", {0, 8})};
  const organisation_id Cooperative("cooperative");
  const organisation_id Workshops("workshops");
  const organisation_id Counter("counter");
  const organisation_id Photos("photos");
  D.Kinds = {
      {Cooperative,
       pool_id("carpenters"),
       work_class::Ordinary,
       8,
       {2, 4},
       8,
       seconds(2'400),
       false,
       false},
      {Cooperative,
       pool_id("carpenters"),
       work_class::Urgent,
       3,
       {1, 2},
       8,
       seconds(600),
       false,
       true},
      {Workshops,
       pool_id("plans"),
       work_class::Ordinary,
       10,
       {1, 2},
       4,
       seconds(1'800),
       true,
       true},
      {Counter,
       pool_id("labels"),
       work_class::Patient,
       30,
       {1},
       2,
       seconds(900),
       true,
       true},
      {Photos,
       pool_id("photos"),
       work_class::Ordinary,
       80,
       {1},
       1,
       seconds(500),
       false,
       true},
  };
  return D;
}

deployment makeLetter() {
  deployment D;
  D.Name = "letter";
  D.RacksPerDataCentre = 89;
  D.AcceleratorsPerWorker = 32;
  addDataCentres(D, "region-", "region");
  for (int I = 0; I < 90; ++I) {
    const std::string Name =
        "team-" + std::string(I < 10 ? "0" : "") + std::to_string(I);
    D.Tables.Pools.push_back(makePool(Name, Name, {I % 3 == 0 ? 4 : 2, 32}));
    const organisation_id Team(Name);
    const pool_id Pool(Name);
    D.Kinds.push_back({Team,
                       Pool,
                       work_class::Patient,
                       6,
                       {16, 64, 128},
                       1,
                       seconds(7'200),
                       true,
                       true});
    D.Kinds.push_back({Team,
                       Pool,
                       work_class::Ordinary,
                       10,
                       {4, 8, 16},
                       4,
                       seconds(5'400),
                       I % 2 == 0,
                       true});
    D.Kinds.push_back({Team,
                       Pool,
                       work_class::Ordinary,
                       2,
                       {4, 8},
                       8,
                       seconds(3'600),
                       false,
                       false});
    D.Kinds.push_back({Team,
                       Pool,
                       work_class::Urgent,
                       1,
                       {4, 16},
                       4,
                       seconds(900),
                       false,
                       true});
  }
  return D;
}

/// Draws jobs of the deployment's kinds.
class job_source {
public:
  job_source(const deployment &Deployment, std::uint64_t Seed)
      : Deployment(Deployment), Random(Seed) {
    for (const job_kind &Kind : Deployment.Kinds)
      WeightSum += Kind.Weight;
  }

  arrival draw() {
    std::size_t Ticket = Random.below(WeightSum);
    for (const job_kind &Kind : Deployment.Kinds) {
      if (Ticket < static_cast<std::size_t>(Kind.Weight))
        return drawOf(Kind);
      Ticket -= Kind.Weight;
    }
    return drawOf(Deployment.Kinds.back());
  }

  arrival drawOf(const job_kind &Kind) {
    arrival Job;
    Job.Spec.Organisation = Kind.Organisation;
    Job.Spec.Pool = Kind.Pool;
    Job.Spec.Class = Kind.Class;
    Job.Spec.Tasks = Kind.Tasks[Random.below(Kind.Tasks.size())];
    Job.Spec.AcceleratorsPerTask = Kind.AcceleratorsPerTask;
    Job.Spec.IsCheckpointable = Kind.IsCheckpointable;
    Job.Spec.IsIdempotent = Kind.IsIdempotent;
    const double Real = Random.logNormal(
        static_cast<double>(Kind.MedianRunTime.count()), RunTimeSigma);
    const double Declared = Real * Random.logNormal(1, DeclarationSigma);
    Job.RealRunTime = seconds(1 + std::lround(Real));
    Job.Spec.DeclaredRunTime = seconds(1 + std::lround(Declared));
    Job.Entry = Random.below(Deployment.DataCentres);
    return Job;
  }

  random_source &random() { return Random; }

private:
  const deployment &Deployment;
  random_source Random;
  std::size_t WeightSum = 0;
};

double workOf(const arrival &Job) {
  return static_cast<double>(Job.Spec.Tasks * Job.Spec.AcceleratorsPerTask) *
         static_cast<double>(Job.RealRunTime.count()) / 1'000;
}

/// Seconds between two arrivals that offer the deployment's load.
double meanGap(const deployment &Deployment) {
  job_source Source(Deployment, 1);
  double Work = 0;
  for (int I = 0; I < LoadSamples; ++I)
    Work += workOf(Source.draw());
  const int Accelerators =
      Deployment.DataCentres * Deployment.RacksPerDataCentre *
      Deployment.WorkersPerRack * Deployment.AcceleratorsPerWorker;
  return Work / LoadSamples / (Deployment.Load * Accelerators);
}

/// Many of the smallest kind and some of the largest, within a minute.
void addBurst(const deployment &Deployment, job_source &Source,
              std::vector<arrival> &Arrivals) {
  const auto Size = [](const job_kind &Kind) {
    return Kind.Tasks.back() * Kind.AcceleratorsPerTask;
  };
  const auto [Small, Large] =
      std::ranges::minmax_element(Deployment.Kinds, {}, Size);
  const seconds Start(Source.random().below(ArrivalSpan.count()));
  for (int I = 0; I < BurstSmallJobs + BurstLargeJobs; ++I) {
    arrival Job = Source.drawOf(I < BurstSmallJobs ? *Small : *Large);
    Job.At = Start + seconds(Source.random().below(60));
    Arrivals.push_back(std::move(Job));
  }
}

} // namespace

double random_source::uniform() {
  return static_cast<double>(Engine() >> 11) * 0x1.0p-53;
}

std::size_t random_source::below(std::size_t Count) {
  return static_cast<std::size_t>(uniform() * static_cast<double>(Count));
}

double random_source::exponential(double Mean) {
  return -Mean * std::log(1 - uniform());
}

double random_source::logNormal(double Median, double Sigma) {
  const double Radius = std::sqrt(-2 * std::log(1 - uniform()));
  return Median * std::exp(Sigma * Radius * std::cos(2 * Pi * uniform()));
}

deployment makeDeployment(const std::string &Name) {
  deployment D = Name == "bayanat" ? makeBayanat()
                 : Name == "filo"  ? makeFilo()
                                   : makeLetter();
  D.Tables.Version = 1;
  return D;
}

std::vector<arrival> drawArrivals(const deployment &Deployment,
                                  std::uint64_t Seed) {
  job_source Source(Deployment, Seed);
  const double Gap = meanGap(Deployment);
  std::vector<arrival> Arrivals;
  for (double At = 0;;) {
    At += Source.random().exponential(Gap);
    if (At >= static_cast<double>(ArrivalSpan.count()))
      break;
    arrival Job = Source.draw();
    Job.At = seconds(static_cast<std::int64_t>(At));
    Arrivals.push_back(std::move(Job));
  }
  for (int I = 0; I < Bursts; ++I)
    addBurst(Deployment, Source, Arrivals);
  std::ranges::stable_sort(Arrivals, {}, &arrival::At);
  for (std::size_t I = 0; I < Arrivals.size(); ++I) {
    std::string Number = std::to_string(I);
    Number.insert(0, 6 - std::min<std::size_t>(6, Number.size()), '0');
    Arrivals[I].Spec.Id = job_id("job-" + Number);
  }
  return Arrivals;
}

} // namespace galenastage::measure
