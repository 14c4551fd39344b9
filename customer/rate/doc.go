// Package rate admits requests by each customer's rate and burst, counted over
// all hosts together.
//
// Hosts of the roster hold standing shares of a customer's token bucket: a part
// of its burst and of its rate. A host whose own part is spent borrows parts of
// other hosts' buckets. A loan moves tokens, burst and rate; it leaves the
// lender's account before it is sent, is counted once by the borrower, and ends
// when the borrower returns it or its lifetime runs out. The borrower counts
// the lifetime from before it asked, the lender from after, and a little
// longer. So at every instant the bursts of all accounts and of all loans on
// their way sum to at most the customer's burst, and the rates to at most its
// rate; over any interval the fleet admits no more than burst plus rate times
// the interval.
//
// A process that starts holds nothing: its share comes from the roster, its
// bucket is empty, and it accrues nothing until every loan that a predecessor
// at its address may have given has run out.
//
// A Table reads no clock and does no IO. The caller must read the clock just
// before each call, while it holds the lock that guards the Table: a request is
// admitted as of that time.
package rate
