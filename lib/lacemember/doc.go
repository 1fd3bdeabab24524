// Package lacemember decides who is a member of the fleet and who may run a request while the platform is out of reach.
//
// It has no sockets, goroutines or clock: messages, timers and platform results go in, effects come out.
// The safety argument is in docs/membership.md.
package lacemember
