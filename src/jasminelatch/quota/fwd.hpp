#ifndef JASMINELATCH_QUOTA_FWD_HPP
#define JASMINELATCH_QUOTA_FWD_HPP

namespace jasminelatch::quota {

class Borrower;
class ShareHolder;
struct Decision;
struct LoanAsk;
struct LoanGrant;
struct Settings;
struct Split;

} // namespace jasminelatch::quota

#endif
