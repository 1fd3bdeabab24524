// Package lacemirror replicates one prefix of the platform's store in memory.
//
// The copy is complete up to a revision. It is updated by a watch of the store and, while this instance does not
// watch the store or can't reach it, by peers that do. Revisions are those of the store, so that the copy never goes
// back to an older state and the two sources can't conflict.
package lacemirror
