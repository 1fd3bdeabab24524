// Package lacesoak runs instances of the platform program as processes, injects a seeded sequence of faults and checks
// the guarantees of the gateway against the records of callers and backend servers.
package lacesoak
