// Package laceroute holds the routing table: which service serves a host and path, for which client account, within
// which bounds. A table is immutable; versions replace each other as a whole.
package laceroute
