// Package lacefleet runs the membership state machine: it keeps the lease, follows the membership record, talks to the
// other instances and answers the request path.
package lacefleet
