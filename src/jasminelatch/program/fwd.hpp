#ifndef JASMINELATCH_PROGRAM_FWD_HPP
#define JASMINELATCH_PROGRAM_FWD_HPP

namespace jasminelatch::program {

enum class ExitCode : int;

} // namespace jasminelatch::program

#endif
