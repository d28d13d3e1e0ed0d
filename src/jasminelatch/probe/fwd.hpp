#ifndef JASMINELATCH_PROBE_FWD_HPP
#define JASMINELATCH_PROBE_FWD_HPP

namespace jasminelatch::probe {

struct Target;
struct Summary;
class PairedSamples;

} // namespace jasminelatch::probe

#endif
