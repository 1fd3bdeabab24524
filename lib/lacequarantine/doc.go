// Package lacequarantine finds prompt parts that crash backend servers, and keeps requests with such parts away from
// the servers.
//
// Each instance reports the crashes of servers that it observes, with the suspect parts of the requests that ran on
// them. Tracker is the deterministic state machine that turns the reports of all instances into verdicts, without
// sockets, goroutines or clock. Service drives it and exchanges reports and verdicts through the platform's store.
// docs/quarantine.md describes the decision.
package lacequarantine
