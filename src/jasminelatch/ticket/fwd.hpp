#ifndef JASMINELATCH_TICKET_FWD_HPP
#define JASMINELATCH_TICKET_FWD_HPP

namespace jasminelatch::ticket {

struct Ticket;

} // namespace jasminelatch::ticket

#endif
