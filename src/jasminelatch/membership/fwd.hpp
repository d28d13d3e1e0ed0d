#ifndef JASMINELATCH_MEMBERSHIP_FWD_HPP
#define JASMINELATCH_MEMBERSHIP_FWD_HPP

namespace jasminelatch::membership {

class Controller;
class Fleet;
struct Candidate;
struct CellRecord;
struct Endpoint;
struct MemberRecord;
struct RightContenders;
struct Settings;

} // namespace jasminelatch::membership

#endif
