// Package lacefleet runs the membership state machine of package lacemember: it renews the lease of this instance,
// watches the membership record, exchanges messages with the other instances and authorizes requests.
package lacefleet
