#ifndef JASMINELATCH_RETRY_FWD_HPP
#define JASMINELATCH_RETRY_FWD_HPP

namespace jasminelatch::retry {

class Asker;
class Ledger;
struct Ask;
struct Grant;
struct Need;
struct Settings;

} // namespace jasminelatch::retry

#endif
