// Package lacerelay implements a reverse proxy: it forwards a caller's request to a backend server and the response to
// the caller.
//
// A request passes admission (route, key, body, token budget), load balancing (picking a server, or queueing for one),
// sending with retries, and settlement of its token budget. The decision whether to retry, refuse or fail is a pure
// function of the attempts so far; the rest is the network I/O around it. Only the reservation of tokens may wait
// briefly for the platform's store (while the store responds) or for a token loan from another instance.
package lacerelay
