#ifndef JASMINELATCH_RECORD_FWD_HPP
#define JASMINELATCH_RECORD_FWD_HPP

namespace jasminelatch::record {

struct Account;
struct Fleet;
struct Key;
struct Kind;

} // namespace jasminelatch::record

#endif
