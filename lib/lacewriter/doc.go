// Package lacewriter keeps the ledger's logs on the platform: ring, snapshots, group commit, writer election and routing.
//
// The writer of a shard is a cache and combiner; the platform's compare-and-swap decides, so any instance may append.
package lacewriter
