#ifndef JASMINELATCH_CONNECTION_FWD_HPP
#define JASMINELATCH_CONNECTION_FWD_HPP

namespace jasminelatch::connection {

class AnswerCache;
class Monitor;
struct AnswerQuery;
struct AnswerReport;
struct Ping;
struct Pong;

} // namespace jasminelatch::connection

#endif
