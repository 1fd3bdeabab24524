// Package lacelog writes structured log lines about requests and state changes, and reconstructs the timeline of a
// request from them.
//
// Writing never blocks: lines are buffered, and dropped and counted when the buffer is full. Each event type has its
// own rate limit, so that one type can't crowd out another; the next line of a type reports how many were suppressed.
package lacelog
