// Package lacerelay carries a caller's request to a backend server and the answer back.
//
// A request passes admission (route, key, body, budget), placing (which server, or how long to wait for one), sending,
// and settlement of its budget. Verdicts on repeating, refusing and failing are pure functions of what is known of the
// attempts; the rest is the shell of sockets around them. No step waits for another instance, and only the reservation
// of tokens may wait briefly for the platform's store while that answers.
package lacerelay
