// Package lacewriter stores the ledger as one log per shard in the platform's key-value store. It contains the ring of
// log entries, snapshots, group commit, the election of each shard's writer, and the routing of calls to the writer.
//
// The writer of a shard caches its state and batches its records. Consistency does not depend on it: every append is a
// compare-and-swap on the platform, so any instance may append.
package lacewriter
