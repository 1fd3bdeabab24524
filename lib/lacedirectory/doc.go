// Package lacedirectory registers an instance in the platform's store and tracks the membership of the fleet: which
// instances serve callers, and which watch the store.
package lacedirectory
