#ifndef JASMINELATCH_ADMISSION_FWD_HPP
#define JASMINELATCH_ADMISSION_FWD_HPP

namespace jasminelatch::admission {

class ConcurrencyLimit;
class Controller;
class FairQueue;
class UpstreamGate;
struct Completion;
struct Item;
struct Pressure;
struct Settings;

} // namespace jasminelatch::admission

#endif
