#ifndef JASMINELATCH_LEASE_FWD_HPP
#define JASMINELATCH_LEASE_FWD_HPP

namespace jasminelatch::lease {

class LeaseController;
struct Acquisition;
struct PromiseAnswer;
struct PromiseRequest;
struct Record;
struct Released;
struct Settings;

} // namespace jasminelatch::lease

#endif
