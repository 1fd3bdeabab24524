// Package lacequota keeps the spend of prepaid client accounts within what was paid, across all instances.
//
// Each instance has a cap on its own total spend of an account. The caps of all instances, including those of ended
// processes, are stored in one entry per account in the platform's store, and their sum never exceeds what was paid. A
// cap is raised in the store before anything is spent against it, and lowered locally before it is lowered in the
// store. No order of kills, partitions, lost answers or late writes can therefore overspend. A request that the cap
// covers needs neither the store nor a peer.
//
// Tokens that a killed instance held beyond its reported spend stay counted as spent, since it is unknown whether they
// were. The share of an account that instances hold at any time therefore bounds both the loss when instances are
// killed and the length of an outage that can be bridged.
package lacequota
