// Package lacereplica runs the configuration replica of an instance: its ticker, platform reads and Twirp calls to
// peers.
package lacereplica
