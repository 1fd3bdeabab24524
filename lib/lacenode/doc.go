// Package lacenode assembles a router instance that depends only on the platform: configuration, backend servers,
// membership and budgets are all kept in the platform's store, and instances replicate its changes to each other.
//
// An Adapter implements the platform's protocols, so that this package is independent of them.
package lacenode
