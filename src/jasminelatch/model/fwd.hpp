#ifndef JASMINELATCH_MODEL_FWD_HPP
#define JASMINELATCH_MODEL_FWD_HPP

namespace jasminelatch::model {

struct Outcome;
struct Scenario;
class Simulation;

} // namespace jasminelatch::model

#endif
