#ifndef JASMINELATCH_BALANCE_FWD_HPP
#define JASMINELATCH_BALANCE_FWD_HPP

namespace jasminelatch::balance {

class Picker;
struct Settings;

} // namespace jasminelatch::balance

#endif
