// Package lacefeed keeps the balancer informed: which servers are leaving, how loaded they are, what they cache.
//
// It polls the platform's instance list and the servers' load reports and cache events. A poll that fails changes
// nothing, so losing the list or a server's reports keeps the last state.
package lacefeed
