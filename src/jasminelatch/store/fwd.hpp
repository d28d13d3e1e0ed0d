#ifndef JASMINELATCH_STORE_FWD_HPP
#define JASMINELATCH_STORE_FWD_HPP

namespace jasminelatch::store {

struct Answer;
struct Entry;
struct Request;

} // namespace jasminelatch::store

#endif
