// Package lacereplica runs the configuration replica of an instance, a state machine of package laceconfig: it does the
// ticks, the reads from the platform and the Twirp calls to peers.
package lacereplica
