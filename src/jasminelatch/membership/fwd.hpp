#ifndef JASMINELATCH_MEMBERSHIP_FWD_HPP
#define JASMINELATCH_MEMBERSHIP_FWD_HPP

namespace jasminelatch::membership {

struct Endpoint;

} // namespace jasminelatch::membership

#endif
