#ifndef JASMINELATCH_ORDER_FWD_HPP
#define JASMINELATCH_ORDER_FWD_HPP

namespace jasminelatch::order {

class Claimant;
class ClaimHolder;
struct ClaimAnswer;
struct ClaimRequest;
struct Result;
struct Settings;

} // namespace jasminelatch::order

#endif
