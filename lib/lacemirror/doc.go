// Package lacemirror keeps a copy of one prefix of the platform's store in memory.
//
// The copy is complete at a revision. It is fed by a watch of the store and, while the store does not answer this
// instance, by instances that the store does answer. Revisions are the store's own, so that it never goes back and the
// two sources can't contradict each other.
package lacemirror
