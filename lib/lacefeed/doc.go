// Package lacefeed polls the state of the backend servers for the balancer: which are leaving, how loaded they are and
// which prompt prefixes they cache.
//
// The sources are the platform's instance list and the servers' load reports and cache events. A poll that fails
// changes nothing, so the last known state is kept when the list or a server's reports are unavailable.
package lacefeed
