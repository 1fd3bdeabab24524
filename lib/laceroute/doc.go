// Package laceroute provides the routing table: it maps a host and path to a service and an API key to a client
// account, and holds the limits on requests. A table is immutable; a new version replaces the previous one as a whole.
package laceroute
