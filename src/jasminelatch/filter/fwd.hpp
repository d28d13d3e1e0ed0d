#ifndef JASMINELATCH_FILTER_FWD_HPP
#define JASMINELATCH_FILTER_FWD_HPP

namespace jasminelatch::filter {

class Chain;
struct Filter;
struct Verdict;

} // namespace jasminelatch::filter

#endif
