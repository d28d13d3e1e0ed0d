#ifndef JASMINELATCH_SECRET_FWD_HPP
#define JASMINELATCH_SECRET_FWD_HPP

namespace jasminelatch::secret {

class FleetSecret;

} // namespace jasminelatch::secret

#endif
