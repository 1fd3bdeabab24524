// Package lacereplica runs the replica of the configuration: its timer, its reads of the platform and its twirp calls.
package lacereplica
