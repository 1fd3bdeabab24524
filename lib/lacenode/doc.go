// Package lacenode assembles a router instance whose only partner is the platform: configuration, backend servers,
// membership and budgets all live in the platform's store, and instances pass news of it on to each other.
//
// An Adapter supplies what speaks the platform's protocols; this package knows none of its names.
package lacenode
