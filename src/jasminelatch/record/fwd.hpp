#ifndef JASMINELATCH_RECORD_FWD_HPP
#define JASMINELATCH_RECORD_FWD_HPP

namespace jasminelatch::record {

struct Account;
struct Fleet;
struct Id;
struct Key;
struct Kind;
struct Place;
struct Record;
class Reader;

} // namespace jasminelatch::record

#endif
