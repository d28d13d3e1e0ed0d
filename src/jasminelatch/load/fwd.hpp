#ifndef JASMINELATCH_LOAD_FWD_HPP
#define JASMINELATCH_LOAD_FWD_HPP

namespace jasminelatch::load {

class Arrivals;
class Runner;
class TokenBucket;
struct Measures;
struct Sample;
struct Scenario;

} // namespace jasminelatch::load

#endif
