// Package lacemember maintains the membership of the fleet and decides which instance may run a request during an
// outage of the platform.
//
// It is a state machine without sockets, goroutines or clock: messages, timer ticks and results from the platform go
// in, effects come out. The safety argument is in docs/membership.md.
//
// The home of a request is the member that rendezvous hashing assigns the request to; in an outage only the home may
// run a non-idempotent request. A home has outage authority for a round once every other member has promised to run
// none of its requests until it releases the round; the promise binds the member to the home. The witnesses of a home
// hold copies of its journal; a sealed witness accepts no more copies.
package lacemember
