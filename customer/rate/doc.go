// Package rate admits requests by each customer's rate and burst, counted over
// all hosts together.
//
// Hosts of the roster hold standing shares of each customer's token bucket: a
// fraction of its burst and of its rate. In a roster of more than
// standing.SmallRoster hosts, only some hold one. A host that has spent its own
// share, or has none, borrows from the holders. A loan moves tokens, burst and
// rate. It is debited from the lender's account before it is sent, is credited once
// by the borrower, and ends when the borrower returns it or its lifetime expires.
// The borrower counts the lifetime from before it sent the request; the lender
// counts it from the receipt of the request, and adds a margin. So at every
// instant the bursts of all accounts and of all loans in transit sum to at most
// the customer's burst, and the rates to at most its rate; over any interval
// the fleet admits no more than burst plus rate times the interval.
//
// A process starts with nothing: its share comes from the roster, its bucket is
// empty, and its share accrues nothing until every loan that a predecessor at
// its address may have given has expired. It can borrow in the meantime.
//
// A Table reads no clock and does no I/O. The caller must read the clock just
// before each call, while it holds the lock that guards the Table: a request is
// admitted as of that time.
package rate
