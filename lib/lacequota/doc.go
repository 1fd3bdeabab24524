// Package lacequota keeps the spend of prepaid client accounts within what was paid, over all instances.
//
// Each instance holds a cap on its own total spend of an account. The caps of all instances, those that died included,
// stand in one page of the platform's store for each shard of accounts, and their sum never exceeds what was paid. A
// cap is raised in the store before anything is spent against it and lowered at the instance before it is lowered in
// the store, so no order of kills, partitions, lost answers or late writes can overspend. A request needs neither the
// store nor a peer while the cap covers it.
//
// What a killed instance held beyond its spend is not known and stays counted as spent. The share of an account that is
// held at instances at any time therefore bounds both the loss in kills and the time that an outage can be bridged.
package lacequota
