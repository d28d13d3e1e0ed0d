#ifndef JASMINELATCH_MESH_FWD_HPP
#define JASMINELATCH_MESH_FWD_HPP

namespace jasminelatch::mesh {

class CapacityEstimator;
class ColdStart;
class ConfigurationIndex;
class Freshness;
class InstanceBreaker;
class InstanceDepartures;
class InstanceGate;
class InstanceRateLimit;
class InstanceRecord;
class Placement;
class ReportedStart;
class RetryBudget;
class StartHistory;
class UsageCaps;
struct Answer;
struct Configuration;
struct HopReply;
struct HopRequest;
struct InstanceDeparture;
struct InstanceReport;
struct Member;
struct NodeReport;
struct Request;
struct StoredCrash;

} // namespace jasminelatch::mesh

#endif
